"""One ingress from start to exit."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import TYPE_CHECKING, Any, Protocol

import uvloop

from opalgauge.console.ban_file import BanFile
from opalgauge.console.endpoint import open_admin_endpoint
from opalgauge.lifecycle.clock import Clock
from opalgauge.lifecycle.config import Config, ConfigError, Peering, make_config
from opalgauge.lifecycle.logs import Log, log_plain, make_log
from opalgauge.lifecycle.reload import EXIT_DELAY, reload_settings, report_addresses
from opalgauge.lifecycle.sources import PlatformSource, SettingsReading, SettingsSource
from opalgauge.memory import effects
from opalgauge.memory.events import DrainRequested, Event
from opalgauge.memory.reducer import BANS_KEY, Reducer
from opalgauge.wire.clients import Clients
from opalgauge.wire.runtime import Runtime
from opalgauge.wire.server_list import ServerListReader
from starlinggap.snapshot import export_state

if TYPE_CHECKING:
    from opalgauge.handover.link import HandoverLink
    from opalgauge.wire.peers import PeerSocket

MIN_CLOCK_STEP = timedelta(milliseconds=250)  # two starts read the same wall clock closer than that
BAN_POLL_INTERVAL = timedelta(milliseconds=250)  # what one process was told holds at the other within 1 s


class PeerService(Protocol):
    """One that speaks with the other ingresses."""

    def start(self) -> None: ...

    def close(self) -> None: ...

    def figures(self) -> list[str]: ...


def poll_ban_file(
    loop: asyncio.AbstractEventLoop, ban_file: BanFile, report: Callable[[Event], None]
) -> None:
    """Looks now and then at what staff told this ingress's other process."""
    ban_file.poll(report)
    loop.call_later(BAN_POLL_INTERVAL.total_seconds(), poll_ban_file, loop, ban_file, report)


class PeerServices:
    """What joins this ingress with the others: one datagram address, and the parts that speak over it."""

    def __init__(
        self,
        transport: PeerSocket,
        services: list[PeerService],
        wait_until_ready: Callable[[], Awaitable[None]] | None,
    ) -> None:
        self.transport, self.services, self.wait_until_ready = transport, services, wait_until_ready

    async def start(self, listen: tuple[str, int]) -> None:
        """Until this ingress knows what it needs of the others before it serves."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self.transport, local_addr=listen)
        for service in self.services:
            service.start()
        if self.wait_until_ready is not None:
            await self.wait_until_ready()

    def close(self) -> None:
        for service in self.services:
            service.close()
        self.transport.close()

    def figures(self) -> list[str]:
        """Lines for the admin endpoint."""
        lines = [line for service in self.services for line in service.figures()]
        return [
            *lines,
            f"peers.words_sent={self.transport.sent}",
            f"peers.words_dropped={self.transport.dropped}",
        ]


def build_peer_services(
    config: Config, peering: Peering, runtime: Runtime, clock: Clock, log: Log
) -> PeerServices:
    """Puts the parts that need the other ingresses beside the reducer. None is loaded where it is off."""
    from opalgauge.wire.peers import PeerSocket

    settings, seed = config.ingress.settings, config.ingress.seed
    transport = PeerSocket(peering.peers, asyncio.get_running_loop().time)
    services: list[PeerService] = []
    if peering.watches_zones:
        from opalgauge.zones.channel import Channel as ZoneChannel
        from opalgauge.zones.watch import Rules as ZoneRules

        usual_latencies = tuple(timedelta(seconds=c.aim / 5) for c in settings.classes)
        slow_start_duration = timedelta(seconds=settings.slow_start_duration)
        zone_rules = ZoneRules(
            config.zones,
            settings.gateways,
            settings.gateway_index,
            usual_latencies,
            slow_start_duration,
            settings.slow_start_share,
            peering.acts_on_zones,
        )
        zone_channel = ZoneChannel(
            zone_rules, transport, peering.secret, seed, runtime.report, clock.now, log
        )
        runtime.effect_handlers[effects.ReportAttempt] = zone_channel.seen
        runtime.effect_handlers[effects.ReportServers] = zone_channel.listed
        services.append(zone_channel)
    lease_channel = None
    if config.ingress.uses_leases:
        from opalgauge.leases.channel import Channel as LeaseChannel
        from opalgauge.leases.holder import Rules as LeaseRules

        plans = tuple((p.rate, p.burst) for p in settings.plans)
        leases_ahead, grants_to_peers = peering.lease_mode in ("ahead", "on"), peering.lease_mode == "on"
        lease_rules = LeaseRules(
            settings.gateway_index, settings.gateways, plans, leases_ahead, grants_to_peers
        )
        lease_channel = LeaseChannel(
            lease_rules, transport, peering.secret, seed, runtime.report, clock.now, log
        )
        runtime.effect_handlers[effects.ReportAccount] = lease_channel.met
        runtime.effect_handlers[effects.AskLeaseHolder] = lease_channel.asked
        runtime.effect_handlers[effects.ReportCounterResult] = lease_channel.counted
        services.append(lease_channel)
    wait_until_ready = None
    if peering.replicates:
        from opalgauge.replica.channel import Channel as ReplicaChannel
        from starlinggap.snapshot import active_ejections

        gateway = runtime.reducer.gateway
        replica_channel = ReplicaChannel(
            settings.gateway_index,
            settings.gateways,
            transport,
            peering.secret,
            seed,
            runtime.report,
            clock.now,
            lambda: active_ejections(gateway, clock.now().timestamp()),
        )
        runtime.effect_handlers[effects.ReplicateBan] = replica_channel.marked
        if lease_channel is not None:
            lease_channel.spent, lease_channel.leases.heard_of = (
                replica_channel.spent,
                replica_channel.heard_of,
            )
        services.append(replica_channel)
        wait_until_ready = replica_channel.ready
    return PeerServices(transport, services, wait_until_ready)


async def connect_to_old_process(config: Config, runtime: Runtime, clock: Clock, log: Log) -> HandoverLink:
    """The link to this ingress's other process, which has handed over what it knows, if there is one.

    Called before anything is decided: where the wall clock was stepped since the old process started, the new
    one goes on by the old one's time, which the other ingresses share and all that is handed over is told in.
    """
    from opalgauge.handover.link import HandoverLink  # not loaded where no other process can be
    from opalgauge.handover.record import ClockReading, Identity

    reducer = runtime.reducer

    def snapshot() -> dict[str, Any]:
        return {**export_state(reducer.gateway), BANS_KEY: reducer.bans_for_handover()}

    identity = Identity.of(config.name, config.platform_settings)
    link = HandoverLink(
        config.state_folder, snapshot, lambda: ClockReading(clock.now(), clock.monotonic()), log, identity
    )
    await link.start()
    if abs(link.clock_offset) >= MIN_CLOCK_STEP:
        clock.shift(link.clock_offset)
        seconds = link.clock_offset.total_seconds()
        log(f"clock: stepped since the old process started; going on by its time ({seconds:+.1f} s)")
    return link


def persist_and_share(link: HandoverLink, ban_file: BanFile | None) -> Callable[[effects.PersistBans], None]:
    """What staff say goes to the other process as well: guards a ban that cannot be written for now."""

    def persist(effect: effects.PersistBans) -> None:
        if ban_file is not None:
            ban_file.save(effect)
        link.send_bans(effect.bans)

    return persist


async def serve(config: Config, source: SettingsSource, log: Log = log_plain) -> None:
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    clock = Clock()
    runtime = Runtime(Reducer(config.ingress), clock.now, ServerListReader(config.zones), log, stopped.set)
    ready = draining = False
    link: HandoverLink | None = None
    clients = runtime.clients = Clients(config.trade, runtime.report, lambda: not draining)
    shared = config.listen_fd is not None  # another process may listen on it too

    def drain() -> None:
        nonlocal draining
        if not draining:
            draining = clients.draining = True
            # A descriptor that others could listen on is no proof that one does.
            runtime.report(
                DrainRequested(has_successor=shared and runtime.reducer.is_other_process_accepting())
            )
            if link is not None:
                link.send_serving(False)

    def reload() -> None:
        """The addresses of the other parties may change in service, nothing else does."""

        def apply(reading: SettingsReading) -> None:
            report_addresses(runtime.report, make_config(reading.platform_config, reading.environ))
            if reading.change_summary:
                log(f"reload: {reading.change_summary}")

        reload_settings(source, apply, log)

    # Whatever escapes on a connection ends there, and is told in one line.
    loop.set_exception_handler(
        lambda _, context: runtime.report_fault(f"{context.get('message')}: {context.get('exception')!r}")
    )
    loop.add_signal_handler(signal.SIGTERM, drain)
    loop.add_signal_handler(signal.SIGINT, drain)
    loop.add_signal_handler(signal.SIGHUP, reload)
    loop.add_signal_handler(signal.SIGUSR1, runtime.recorder.write, config.state_folder, config.name, log)
    ban_file = BanFile(config.state_folder, log) if config.admin_address and config.state_folder else None
    if ban_file is not None:
        runtime.effect_handlers[effects.PersistBans] = ban_file.save
    peer_services = (
        build_peer_services(config, config.peering, runtime, clock, log)
        if config.peering is not None
        else None
    )
    if shared and config.state_folder:
        link = await connect_to_old_process(config, runtime, clock, log)
        runtime.effect_handlers[effects.PersistBans] = persist_and_share(link, ban_file)
    runtime.start()
    if link is not None:
        link.attach(runtime.report)
    async with open_admin_endpoint(
        config.admin_address,
        class_names=config.class_names,
        status_report=runtime.reducer.status_report,
        report=runtime.report,
        not_ready_reason=lambda: "draining" if draining else "" if ready else "starting",
        extra_lines=peer_services.figures if peer_services is not None else None,
        record_lines=runtime.recorder.lines,
    ) as endpoint:
        if endpoint is not None:
            runtime.effect_handlers[effects.AnswerStaff] = endpoint.on_answer
        if ban_file is not None:
            poll_ban_file(loop, ban_file, runtime.report)
        if peer_services is not None and config.peering is not None:
            await peer_services.start(config.peering.listen)
        if not draining:  # guards clients against one that was asked to stop while it started
            await clients.listen(*config.listen, config.listen_fd)
            ready = True
            if link is not None:
                link.send_serving(True)
            host, port = config.listen
            log(
                f"ready: {config.name} on {host}:{port}, "
                f"{len(config.ingress.known_servers)} stock nodes known"
            )
        await stopped.wait()
        if runtime.reducer.state.streams or runtime.reducer.state.requests:
            runtime.recorder.write(config.state_folder, config.name, log)  # it leaves, and owes something
        await asyncio.sleep(EXIT_DELAY.total_seconds())
        if link is not None:
            link.close()
        if peer_services is not None:
            peer_services.close()
        await clients.close(runtime.time_until_exit().total_seconds())
    log("drain: nothing owed any more; leaving")


def main(source: SettingsSource | None = None) -> int:
    """Serves until asked to stop; 0 after a drain, 2 where a start cannot work."""
    log: Log = log_plain
    try:
        source = source or PlatformSource()
        reading = source.read()
        config = make_config(reading.platform_config, reading.environ)
        log = make_log(reading.log_format, ingress=config.name)
        if reading.workers > 1:
            from opalgauge.cores import supervisor  # not loaded where one core serves

            return supervisor.run(reading, source, log)
        uvloop.run(serve(config, source, log))
    except (ConfigError, OSError) as error:
        log(f"cannot start: {error}")
        return 2
    return 0
