"""Runs one ingress in a single process, from start to exit."""

from __future__ import annotations

import asyncio
import gc
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
from opalgauge.lifecycle.process_memory import measure_memory
from opalgauge.lifecycle.reload import EXIT_DELAY, reload_settings, report_addresses
from opalgauge.lifecycle.sources import PlatformSource, SettingsReading, SettingsSource
from opalgauge.memory import effects
from opalgauge.memory.buffers import MemoryLimits
from opalgauge.memory.events import DrainRequested, Event, MemoryMeasured, ProcessCountChanged
from opalgauge.memory.reducer import BANS_KEY, Reducer
from opalgauge.wire.clients import Clients
from opalgauge.wire.runtime import Runtime
from opalgauge.wire.server_list import ServerListReader
from starlinggap.snapshot import export_state

if TYPE_CHECKING:
    from opalgauge.handover.link import HandoverLink
    from opalgauge.handover.shared_tables import SharedTables
    from opalgauge.lifecycle.limit_sharing import LimitSharing
    from opalgauge.wire.peers import PeerSocket

MIN_CLOCK_STEP = timedelta(milliseconds=250)  # processes that share an unstepped wall clock differ by less
BAN_POLL_INTERVAL = timedelta(milliseconds=250)  # a ban has to reach the other process within 1 s


class PeerService(Protocol):
    """A part of the ingress that exchanges datagrams with the peers."""

    def start(self) -> None:
        """Starts exchanging messages. The datagram socket is open by then."""
        ...

    def close(self) -> None:
        """Stops exchanging messages."""
        ...

    def figures(self) -> list[str]:
        """Returns the statistics lines for the admin endpoint."""
        ...


def poll_ban_file(
    loop: asyncio.AbstractEventLoop, ban_file: BanFile, report: Callable[[Event], None]
) -> None:
    """Polls the ban file from now on, for bans that were set at the other process of this ingress."""
    ban_file.poll(report)
    loop.call_later(BAN_POLL_INTERVAL.total_seconds(), poll_ban_file, loop, ban_file, report)


class PeerServices:
    """The datagram socket to the peers, and the services that communicate over it."""

    def __init__(
        self,
        peer_socket: PeerSocket,
        services: list[PeerService],
        wait_until_ready: Callable[[], Awaitable[None]] | None,
    ) -> None:
        self.peer_socket, self.services, self.wait_until_ready = peer_socket, services, wait_until_ready

    async def start(self, listen: tuple[str, int]) -> None:
        """Opens the socket and starts the services. Returns when they are ready for serving to begin."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self.peer_socket, local_addr=listen)
        for service in self.services:
            service.start()
        if self.wait_until_ready is not None:
            await self.wait_until_ready()

    def close(self) -> None:
        """Closes the services and the socket."""
        for service in self.services:
            service.close()
        self.peer_socket.close()

    def figures(self) -> list[str]:
        """Returns the statistics lines of all services for the admin endpoint."""
        lines = [line for service in self.services for line in service.figures()]
        return [
            *lines,
            f"peers.words_sent={self.peer_socket.sent}",
            f"peers.words_dropped={self.peer_socket.dropped}",
        ]


def build_peer_services(
    config: Config, peering: Peering, runtime: Runtime, clock: Clock, log: Log
) -> PeerServices:
    """Creates the configured peer services and routes the reducer's effects to them.

    The modules of a service that is off are not imported.
    """
    from opalgauge.wire.peers import PeerSocket

    settings, seed = config.ingress.settings, config.ingress.seed
    peer_socket = PeerSocket(peering.peers, asyncio.get_running_loop().time)
    services: list[PeerService] = []
    if peering.watches_zones:
        from opalgauge.zones.driver import ZoneDriver
        from opalgauge.zones.watch import ZoneConfig

        usual_latencies = tuple(timedelta(seconds=c.aim / 5) for c in settings.classes)
        slow_start_duration = timedelta(seconds=settings.slow_start_duration)
        zone_config = ZoneConfig(
            config.zones,
            settings.gateways,
            settings.gateway_index,
            usual_latencies,
            slow_start_duration,
            settings.slow_start_share,
            peering.acts_on_zones,
        )
        zone_driver = ZoneDriver(
            zone_config, peer_socket, peering.secret, seed, runtime.report, clock.now, log
        )
        runtime.effect_handlers[effects.ReportAttempt] = zone_driver.on_attempt
        runtime.effect_handlers[effects.ReportServers] = zone_driver.on_servers
        services.append(zone_driver)
    lease_driver = None
    if config.ingress.uses_leases:
        from opalgauge.leases.driver import LeaseDriver
        from opalgauge.leases.holder import LeaseConfig

        plans = tuple((p.rate, p.burst) for p in settings.plans)
        leases_ahead, grants_to_peers = peering.lease_mode in ("ahead", "on"), peering.lease_mode == "on"
        lease_config = LeaseConfig(
            settings.gateway_index, settings.gateways, plans, leases_ahead, grants_to_peers
        )
        lease_driver = LeaseDriver(
            lease_config, peer_socket, peering.secret, seed, runtime.report, clock.now, log
        )
        runtime.effect_handlers[effects.ReportAccount] = lease_driver.on_account
        runtime.effect_handlers[effects.AskLeaseHolder] = lease_driver.on_count
        runtime.effect_handlers[effects.ReportCounterResult] = lease_driver.on_counter_result
        services.append(lease_driver)
    wait_until_ready = None
    if peering.replicates:
        from opalgauge.replica.driver import ReplicaDriver
        from starlinggap.snapshot import active_ejections

        gateway = runtime.reducer.gateway
        replica_driver = ReplicaDriver(
            settings.gateway_index,
            settings.gateways,
            peer_socket,
            peering.secret,
            seed,
            runtime.report,
            clock.now,
            lambda: active_ejections(gateway, clock.now().timestamp()),
        )
        runtime.effect_handlers[effects.ReplicateBan] = replica_driver.on_ban
        if lease_driver is not None:
            lease_driver.on_usage, lease_driver.holder.replicated_usage = (
                replica_driver.add_usage,
                replica_driver.usage,
            )
        services.append(replica_driver)
        wait_until_ready = replica_driver.wait_caught_up
    return PeerServices(peer_socket, services, wait_until_ready)


def open_shared_tables(config: Config, runtime: Runtime, log: Log) -> SharedTables | None:
    """Opens what the processes of this ingress share beside the link, and routes the reducer's effects to it.

    Without it this process serves as if it were alone.
    """
    from opalgauge.handover.record import Identity
    from opalgauge.handover.shared_tables import SharedTables
    from opalgauge.lifecycle.limit_sharing import held_now

    identity = Identity.of(config.name, config.platform_settings)
    try:
        tables = SharedTables.open(config.state_folder, identity, held_now())
    except OSError as error:
        log(f"handover: nothing can be shared with another process: {error}")
        return None
    handlers = runtime.effect_handlers
    handlers[effects.ClaimId] = lambda effect: tables.claim_id(effect, runtime.report)
    handlers[effects.ReleaseId] = tables.release_id
    handlers[effects.AbandonId] = tables.abandon_id
    return tables


async def connect_to_old_process(config: Config, runtime: Runtime, clock: Clock, log: Log) -> HandoverLink:
    """Opens the link to the other process of this ingress and takes over its snapshot, if there is one.

    Must be called before the first decision. If the wall clock was stepped after the old process started, the
    new process adopts the old one's clock: the peers share it, and the times in the snapshot refer to it.
    """
    from opalgauge.handover.link import HandoverLink  # not imported if there can be no other process
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


def count_linked_processes(sharing: LimitSharing, report: Callable[[Event], None]) -> Callable[[Event], None]:
    """Returns what reports the link's events where `sharing` tells how many processes there are.

    It knows that also while the link is cut, and where it cannot be opened.
    """

    def report_event(event: Event) -> None:
        if isinstance(event, ProcessCountChanged):
            sharing.count_linked(event.process_count)
        else:
            report(event)

    return report_event


def persist_and_share(link: HandoverLink, ban_file: BanFile | None) -> Callable[[effects.PersistBans], None]:
    """Returns a handler that writes bans to the file and sends them to the other process.

    The second way keeps a ban that cannot be written at the moment.
    """

    def persist(effect: effects.PersistBans) -> None:
        if ban_file is not None:
            ban_file.save(effect)
        link.send_bans(effect.bans)

    return persist


def apply_limits(
    config: Config, runtime: Runtime, clients: Clients, sharing: LimitSharing | None, log: Log
) -> None:
    """Divides what this process, which serves nobody yet, leaves of its limits."""
    gc.collect()
    gc.freeze()  # later collections look at what requests leave behind, and not at the program itself
    idle = measure_memory()
    if idle is None:
        return
    if sharing is not None:
        sharing.start(idle, log)
        return
    limits = MemoryLimits.of_process(config.ingress.memory_limit, idle)
    runtime.report(MemoryMeasured(limits))
    clients.read_budget.total = limits.stream_reads


async def serve(config: Config, source: SettingsSource, log: Log = log_plain) -> None:
    """Serves until the drain after SIGTERM or SIGINT is over.

    Raises OSError if an address is not available.
    """
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    clock = Clock()
    runtime = Runtime(Reducer(config.ingress), clock.now, ServerListReader(config.zones), log, stopped.set)
    ready = draining = False
    link: HandoverLink | None = None
    sharing: LimitSharing | None = None
    clients = runtime.clients = Clients(
        config.request_catalog, runtime.report, lambda: not draining,
        stream_read_memory=config.ingress.memory.stream_reads,
    )  # fmt: skip
    shared = config.listen_fd is not None  # another process may accept from the same socket

    def drain() -> None:
        nonlocal draining
        if not draining:
            draining = clients.draining = True
            # An inherited socket alone does not prove that another process accepts from it.
            runtime.report(
                DrainRequested(has_successor=shared and runtime.reducer.is_other_process_accepting())
            )
            if link is not None:
                link.send_serving(False)

    def reload() -> None:
        """Applies new addresses of the counter, discovery and servers; nothing else changes while serving."""

        def apply(reading: SettingsReading) -> None:
            report_addresses(runtime.report, make_config(reading.platform_config, reading.environ))
            if reading.change_summary:
                log(f"reload: {reading.change_summary}")

        reload_settings(source, apply, log)

    # An unhandled exception on a connection ends that connection and is logged in one line.
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
        if (tables := open_shared_tables(config, runtime, log)) is not None:
            from opalgauge.lifecycle.limit_sharing import LimitSharing

            sharing = LimitSharing(tables.processes, config.ingress, runtime.report, clients.read_budget)
        link = await connect_to_old_process(config, runtime, clock, log)
        runtime.effect_handlers[effects.PersistBans] = persist_and_share(link, ban_file)
        send_list = link.send_list
        runtime.effect_handlers[effects.ShareList] = lambda effect: send_list(effect.told)
    runtime.start()
    if sharing is not None:
        sharing.follow()
    if link is not None:
        link.attach(runtime.report if sharing is None else count_linked_processes(sharing, runtime.report))
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
        apply_limits(config, runtime, clients, sharing, log)
        await runtime.list_settled.wait()
        if not draining:  # a process that was stopped while starting must not accept clients
            await clients.listen(*config.listen, config.listen_fd)
            ready = True
            if link is not None:
                link.send_serving(True)
            host, port = config.listen
            log(
                f"ready: {config.name} on {host}:{port}, "
                f"{len(runtime.reducer.state.servers)} stock nodes known, "
                f"node list {'told' if runtime.reducer.state.list_heard else 'as configured'}"
            )
        await stopped.wait()
        if runtime.reducer.state.streams or runtime.reducer.state.requests:
            runtime.recorder.write(config.state_folder, config.name, log)  # unanswered requests at exit
        await asyncio.sleep(EXIT_DELAY.total_seconds())
        if link is not None:
            link.close()
        if peer_services is not None:
            peer_services.close()
        await clients.close(runtime.time_until_exit().total_seconds())
    log("drain: nothing owed any more; leaving")


def main(source: SettingsSource | None = None) -> int:
    """Runs an ingress; returns exit status 0 after a drain, 2 if it cannot start."""
    log: Log = log_plain
    try:
        source = source or PlatformSource()
        reading = source.read()
        config = make_config(reading.platform_config, reading.environ)
        log = make_log(reading.log_format, ingress=config.name)
        if reading.workers > 1:
            from opalgauge.cores import supervisor  # not imported if there is one worker

            return supervisor.run(reading, source, log)
        uvloop.run(serve(config, source, log))
    except (ConfigError, OSError) as error:
        log(f"cannot start: {error}")
        return 2
    return 0
