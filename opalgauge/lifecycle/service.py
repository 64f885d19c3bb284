"""One ingress from start to exit."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Any, Protocol

import uvloop

from opalgauge.console.ban_file import BanFile
from opalgauge.console.endpoint import admin_endpoint
from opalgauge.lifecycle.clock import Clock
from opalgauge.lifecycle.config import Config, ConfigError, Peering, make_config
from opalgauge.lifecycle.logs import Log, make_log, plain
from opalgauge.lifecycle.reload import LINGER, readdress, reread
from opalgauge.lifecycle.sources import PlatformSource, Reading, Source
from opalgauge.memory import effects as fx
from opalgauge.memory.events import DrainRequested, Event
from opalgauge.memory.reducer import BANS_KEY, Reducer
from opalgauge.wire.clients import Clients
from opalgauge.wire.exchange import Exchange
from opalgauge.wire.node_list import NodeListReader
from starlinggap.snapshot import export_state

if TYPE_CHECKING:
    from opalgauge.handover.link import Link
    from opalgauge.wire.peers import Peers

CLOCK_STEP = timedelta(milliseconds=250)  # two starts read the same wall clock closer than that
MARKS_ROUND = timedelta(milliseconds=250)  # what one process was told holds at the other within 1 s


class Part(Protocol):
    """One that speaks with the other ingresses."""

    def start(self) -> None: ...

    def close(self) -> None: ...

    def figures(self) -> list[str]: ...


def watch_marks(loop: asyncio.AbstractEventLoop, ban_file: BanFile, report: Callable[[Event], None]) -> None:
    """Looks now and then at what staff told this ingress's other process."""
    ban_file.look(report)
    loop.call_later(MARKS_ROUND.total_seconds(), watch_marks, loop, ban_file, report)


class Joined:
    """What joins this ingress with the others: one datagram address, and the parts that speak over it."""

    def __init__(self, wire: Peers, parts: list[Part], waits: Callable[[], Awaitable[None]] | None) -> None:
        self.wire, self.parts, self.waits = wire, parts, waits

    async def start(self, listen: tuple[str, int]) -> None:
        """Until this ingress knows what it needs of the others before it serves."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self.wire, local_addr=listen)
        for part in self.parts:
            part.start()
        if self.waits is not None:
            await self.waits()

    def close(self) -> None:
        for part in self.parts:
            part.close()
        self.wire.close()

    def figures(self) -> list[str]:
        """Lines for the admin endpoint."""
        lines = [line for part in self.parts for line in part.figures()]
        return [*lines, f"peers.words_sent={self.wire.sent}", f"peers.words_dropped={self.wire.dropped}"]


def join(config: Config, peering: Peering, exchange: Exchange, clock: Clock, log: Log) -> Joined:
    """Puts the parts that need the other ingresses beside the reducer. None is loaded where it is off."""
    from opalgauge.wire.peers import Peers

    s, seed = config.house.settings, config.house.seed
    wire = Peers(peering.peers, asyncio.get_running_loop().time)
    parts: list[Part] = []
    if peering.zones:
        from opalgauge.zones.driver import ZoneDriver
        from opalgauge.zones.watch import ZoneConfig

        usual = tuple(timedelta(seconds=c.aim / 5) for c in s.classes)
        cold = timedelta(seconds=s.slow_start_duration)
        zones = ZoneConfig(
            config.zones, s.gateways, s.gateway_index, usual, cold, s.slow_start_share, peering.acts
        )
        judge = ZoneDriver(zones, wire, peering.secret, seed, exchange.report, clock.now, log)
        exchange.do[fx.ReportAttempt] = judge.on_attempt
        exchange.do[fx.ReportServers] = judge.on_servers
        parts.append(judge)
    holder = None
    if config.house.uses_leases:
        from opalgauge.leases.driver import LeaseDriver
        from opalgauge.leases.holder import LeaseConfig

        plans = tuple((p.rate, p.burst) for p in s.plans)
        ahead, grants = peering.leases in ("ahead", "on"), peering.leases == "on"
        leases = LeaseConfig(s.gateway_index, s.gateways, plans, ahead, grants)
        holder = LeaseDriver(leases, wire, peering.secret, seed, exchange.report, clock.now, log)
        exchange.do[fx.ReportAccount] = holder.on_account
        exchange.do[fx.AskLeaseHolder] = holder.on_count
        exchange.do[fx.ReportCounterResult] = holder.on_counter_result
        parts.append(holder)
    waits = None
    if peering.replicate:
        from opalgauge.replica.driver import ReplicaDriver
        from starlinggap.snapshot import active_ejections

        gateway = exchange.reducer.gateway
        copy = ReplicaDriver(
            s.gateway_index, s.gateways, wire, peering.secret, seed, exchange.report, clock.now,
            lambda: active_ejections(gateway, clock.now().timestamp()),
        )  # fmt: skip
        exchange.do[fx.ReplicateBan] = copy.on_ban
        if holder is not None:
            holder.on_usage, holder.holder.replicated_usage = copy.add_usage, copy.usage
        parts.append(copy)
        waits = copy.wait_caught_up
    return Joined(wire, parts, waits)


async def call_old_process(config: Config, exchange: Exchange, clock: Clock, log: Log) -> Link:
    """The link to this ingress's other process, which has handed over what it knows, if there is one.

    Called before anything is decided: where the wall clock was stepped since the old process started, the new
    one goes on by the old one's time, which the other ingresses share and all that is handed over is told in.
    """
    from opalgauge.handover.link import Link  # not loaded where no other process can be
    from opalgauge.handover.record import Identity, Moment

    reducer = exchange.reducer

    def memory() -> dict[str, Any]:
        return {**export_state(reducer.gateway), BANS_KEY: reducer.bans_for_handover()}

    who = Identity.of(config.name, config.settings_told)
    link = Link(config.scratch, memory, lambda: Moment(clock.now(), clock.steady()), log, who)
    await link.start()
    if abs(link.ahead) >= CLOCK_STEP:
        clock.shift(link.ahead)
        seconds = link.ahead.total_seconds()
        log(f"clock: stepped since the old process started; going on by its time ({seconds:+.1f} s)")
    return link


def tell_and_keep(link: Link, ban_file: BanFile | None) -> Callable[[fx.PersistBans], None]:
    """What staff say goes to the other process as well: guards a ban that cannot be written for now."""

    def keep(effect: fx.PersistBans) -> None:
        if ban_file is not None:
            ban_file.keep(effect)
        link.tell_bans(effect.bans)

    return keep


async def serve(config: Config, source: Source, log: Log = plain) -> None:
    loop = asyncio.get_running_loop()
    over = asyncio.Event()
    clock = Clock()
    exchange = Exchange(Reducer(config.house), clock.now, NodeListReader(config.zones), log, over.set)
    ready = draining = False
    link: Link | None = None
    clients = exchange.clients = Clients(config.trade, exchange.report, lambda: not draining)
    shared = config.listen_fd is not None  # another process may listen on it too

    def drain() -> None:
        nonlocal draining
        if not draining:
            draining = clients.last = True
            # A descriptor that others could listen on is no proof that one does.
            exchange.report(
                DrainRequested(has_successor=shared and exchange.reducer.is_other_process_accepting())
            )
            if link is not None:
                link.tell_serving(False)

    def reload() -> None:
        """The addresses of the other parties may change in service, nothing else does."""

        def take(reading: Reading) -> None:
            readdress(exchange.report, make_config(reading.told, reading.environ))
            if reading.changed:
                log(f"reload: {reading.changed}")

        reread(source, take, log)

    # Whatever escapes on a connection ends there, and is told in one line.
    loop.set_exception_handler(
        lambda _, what: exchange.fault(f"{what.get('message')}: {what.get('exception')!r}")
    )
    loop.add_signal_handler(signal.SIGTERM, drain)
    loop.add_signal_handler(signal.SIGINT, drain)
    loop.add_signal_handler(signal.SIGHUP, reload)
    loop.add_signal_handler(signal.SIGUSR1, exchange.recorder.write, config.scratch, config.name, log)
    ban_file = BanFile(config.scratch, log) if config.console and config.scratch else None
    if ban_file is not None:
        exchange.do[fx.PersistBans] = ban_file.keep
    joined = join(config, config.peering, exchange, clock, log) if config.peering is not None else None
    if shared and config.scratch:
        link = await call_old_process(config, exchange, clock, log)
        exchange.do[fx.PersistBans] = tell_and_keep(link, ban_file)
    exchange.start()
    if link is not None:
        link.go_on(exchange.report)
    async with admin_endpoint(
        config.console,
        kinds=config.kinds,
        figures=exchange.reducer.status_report,
        report=exchange.report,
        refusal=lambda: "draining" if draining else "" if ready else "starting",
        more=joined.figures if joined is not None else None,
        record=exchange.recorder.lines,
    ) as opened:
        if opened is not None:
            exchange.do[fx.AnswerStaff] = opened.answered
        if ban_file is not None:
            watch_marks(loop, ban_file, exchange.report)
        if joined is not None and config.peering is not None:
            await joined.start(config.peering.listen)
        if not draining:  # guards clients against one that was asked to stop while it started
            await clients.listen(*config.listen, config.listen_fd)
            ready = True
            if link is not None:
                link.tell_serving(True)
            host, port = config.listen
            log(f"ready: {config.name} on {host}:{port}, {len(config.house.known_servers)} stock nodes known")
        await over.wait()
        if exchange.reducer.state.streams or exchange.reducer.state.requests:
            exchange.recorder.write(config.scratch, config.name, log)  # it leaves, and owes something
        await asyncio.sleep(LINGER.total_seconds())
        if link is not None:
            link.close()
        if joined is not None:
            joined.close()
        await clients.close(exchange.time_to_kill().total_seconds())
    log("drain: nothing owed any more; leaving")


def main(source: Source | None = None) -> int:
    """Serves until asked to stop; 0 after a drain, 2 where a start cannot work."""
    log: Log = plain
    try:
        source = source or PlatformSource()
        reading = source.read()
        config = make_config(reading.told, reading.environ)
        log = make_log(reading.log_form, ingress=config.name)
        if reading.workers > 1:
            from opalgauge.cores import supervisor  # not loaded where one core serves

            return supervisor.run(reading, source, log)
        uvloop.run(serve(config, source, log))
    except (ConfigError, OSError) as bad:
        log(f"cannot start: {bad}")
        return 2
    return 0
