"""Accepts clients' connections, assigns them to workers, and settles them when a worker is lost.

The supervisor keeps a descriptor of every connection that it assigns. When a worker exits, or stalls and is
killed, the supervisor settles what was owed on its connections, as `takeover.choose_disposition` decides.
Decisions about the workers themselves are made by `state_machine.StateMachine`.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import signal
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any

import uvloop

from opalgauge.cores import messages, sockets, state_machine
from opalgauge.cores.ownership import WorkerLoad
from opalgauge.cores.shared_table import SharedTable
from opalgauge.cores.takeover import ConnectionRecord, Disposition, choose_disposition, unowned_disposition
from opalgauge.lifecycle.clock import Clock
from opalgauge.lifecycle.config import Config, ConfigError, make_config
from opalgauge.lifecycle.logs import Log
from opalgauge.lifecycle.reload import reload_settings
from opalgauge.lifecycle.sources import SettingsReading, SettingsSource, platform_config_json
from opalgauge.memory.drain import EXIT_MARGIN, DrainSchedule, min_time_to_kill
from opalgauge.wire.listener import Acceptor, bind

TICK_INTERVAL = 0.025  # s between checks of the heartbeats
LOAD_INTERVAL = 1.0  # s between decisions on which accounts are split
BACKLOG = 512
ASSIGN_TRIES, ASSIGN_PAUSE = 40, 0.01  # tries to assign a connection, and s between them
# s that a client has to send its next request when its worker ended just after the answer
NEXT_REQUEST_WAIT = 1.0
MAX_EARLY_ANSWERS = 4096  # answers kept for connections that have yet to be taken over
RETRY_AFTER_MS = 200  # a refused client finds another worker by then


@dataclass(slots=True)
class Client:
    """A client's connection: the supervisor's descriptor of it, and the worker generation that holds it."""

    sock: socket.socket
    worker: int
    generation: int
    awaited: ConnectionRecord | None = None  # its worker is lost, another one decides this request
    timer: asyncio.TimerHandle | None = None


@dataclass(slots=True)
class WorkerProcess:
    """The process of a worker's generation."""

    number: int
    generation: int
    channel: messages.Channel
    process: asyncio.subprocess.Process | None = None
    exited: bool = False
    connections: int = 0
    load: WorkerLoad = field(default_factory=lambda: WorkerLoad(0))


def settings_memfd(text: str) -> int:
    """Returns the descriptor of an anonymous file with the settings, which may be too long for a packet."""
    fd = os.memfd_create("opalgauge-settings")
    os.write(fd, text.encode())
    return fd


class Supervisor:
    """One ingress on several cores, from start to exit."""

    def __init__(self, reading: SettingsReading, config: Config, source: SettingsSource, log: Log) -> None:
        self.reading, self.config, self.source, self.log = reading, config, source, log
        self.loop = asyncio.get_running_loop()
        self.clock = Clock()
        # The shortest time from SIGTERM to SIGKILL.
        self.kill_after = min_time_to_kill(config.ingress.settings.classes)
        self.answer_deadline: datetime | None = None  # while draining: every request is answered by then
        self.machine = state_machine.StateMachine(self._supervisor_settings(reading))
        self.slots = max(16, config.ingress.max_clients // 2)
        self.free_slots = list(range(self.slots - 1, -1, -1))
        self.clients: dict[int, Client] = {}
        self.table = SharedTable(reading.workers, self.slots)
        self.workers: dict[int, WorkerProcess] = {}
        self.early_answers: dict[tuple[int, int], messages.OrphanAnswer] = {}
        # By lost (worker, generation), then by surviving worker: the requests (slot, sequence) that it still
        # decides for the lost one.
        self.held_orphans: dict[tuple[int, int], dict[int, set[tuple[int, int]]]] = {}
        self.listener: socket.socket | None = None
        self.acceptor: Acceptor | None = None
        self.exit_status: asyncio.Future[int] = self.loop.create_future()
        self.draining = False
        self.tasks: set[asyncio.Task[None]] = set()
        self.membership: messages.MembershipUpdate | None = None
        self.handlers: dict[type, Callable[[Any], None]] = {
            state_machine.SpawnWorker: self._spawn,
            state_machine.KillWorker: self._kill,
            state_machine.TakeOverConnections: self._take_over,
            state_machine.LinkWorker: self._link,
            state_machine.PublishMembership: self._publish,
            state_machine.StartAccepting: self._start_accepting,
            state_machine.StopAccepting: self._stop_accepting,
            state_machine.BroadcastDrain: lambda _: self._broadcast(messages.Drain()),
            state_machine.BroadcastLeave: lambda _: self._broadcast(messages.Leave()),
            state_machine.Exit: self._exit,
            state_machine.LogLine: lambda effect: self.log(effect.text),
        }

    def _supervisor_settings(self, reading: SettingsReading) -> state_machine.SupervisorSettings:
        return state_machine.SupervisorSettings(
            reading.workers, reading.stall_after, reading.restart_pause, reading.max_restart_pause,
            drain_timeout=self.kill_after - EXIT_MARGIN,
        )  # fmt: skip

    def step(self, event: state_machine.Event) -> None:
        """Passes an event to the state machine and carries out the effects."""
        self._perform(self.machine.step(event, self.clock.now()))

    def _perform(self, effects: list[state_machine.Effect]) -> None:
        for effect in effects:
            self.handlers[type(effect)](effect)

    async def serve(self) -> int:
        """Serves until asked to stop; returns the exit status.

        Raises OSError if the address is not available.
        """
        self.listener = bind(*self.config.listen)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(signal_number, self._drain)
        self.loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._perform(self.machine.start(self.clock.now()))
        self._tick()
        self._report_loads()
        status = await self.exit_status
        if self.tasks:
            await asyncio.wait(set(self.tasks), timeout=2)
        return status

    def _tick(self) -> None:
        now_ns, now = time.monotonic_ns(), self.clock.now()
        heartbeats = {
            worker: now - timedelta(microseconds=(now_ns - heartbeat) // 1000)
            for worker, heartbeat in enumerate(self.table.heartbeats())
            if heartbeat
        }
        self.step(state_machine.Tick(heartbeats))
        if not self.exit_status.done():
            self.loop.call_later(TICK_INTERVAL, self._tick)

    def _report_loads(self) -> None:
        self.step(
            state_machine.LoadsReported(
                {number: worker.load for number, worker in self.workers.items() if not worker.exited}
            )
        )
        for worker in self.workers.values():
            worker.load = WorkerLoad(0)
        if not self.exit_status.done():
            self.loop.call_later(LOAD_INTERVAL, self._report_loads)

    def _drain(self) -> None:
        if not self.draining:
            self.draining = True
            schedule = DrainSchedule.starting_at(self.clock.now(), self.kill_after, has_successor=False)
            self.answer_deadline = schedule.answer_all
        self.step(state_machine.DrainRequested())

    def _reload(self) -> None:
        def apply(reading: SettingsReading) -> None:
            self.reading = reading
            self.step(state_machine.SettingsChanged(self._supervisor_settings(reading)))
            for worker in self.workers.values():
                self._send_with_settings(worker, messages.Reload(dict(reading.environ)))
            if reading.change_summary:
                self.log(f"reload: {reading.change_summary}")

        reload_settings(self.source, apply, self.log)

    def _broadcast(self, message: messages.Message) -> None:
        for worker in self.workers.values():
            worker.channel.send(message)

    def _exit(self, effect: state_machine.Exit) -> None:
        for worker in self.workers.values():
            if worker.process is not None and not worker.exited:
                with contextlib.suppress(ProcessLookupError):
                    worker.process.kill()
        if not self.exit_status.done():
            self.exit_status.set_result(effect.code)

    # --- workers -------------------------------------------------------------------------------------------
    def _spawn(self, effect: state_machine.SpawnWorker) -> None:
        own_end, worker_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        channel = messages.Channel(own_end, messages.ToSupervisor, lambda message, _: None, lambda: None)
        worker = WorkerProcess(effect.worker, effect.generation, channel)
        channel.on_message = lambda message, _: self._on_message(worker, message)
        self.workers[effect.worker] = worker
        task = self.loop.create_task(self._run(worker, worker_end))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run(self, worker: WorkerProcess, worker_end: socket.socket) -> None:
        reason = "could not be started"
        try:
            fds = worker_end.fileno(), self.table.fd
            os.set_inheritable(fds[0], True)
            worker.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "opalgauge.cores", *map(str, fds), str(self.table.workers),
                f"seat={worker.number}",
                pass_fds=fds, stdin=asyncio.subprocess.DEVNULL,
            )  # fmt: skip
            worker_end.close()
            start = messages.Start(
                worker.number, worker.generation, self.table.workers, self.slots,
                self.reading.stall_after // timedelta(microseconds=1) * 1000, dict(self.reading.environ),
                self.reading.log_format, self.draining,
            )  # fmt: skip
            self._send_with_settings(worker, start)
            status = await worker.process.wait()
            reason = f"signal {-status}" if status < 0 else f"exit {status}"
        except OSError as error:
            reason = str(error)
        finally:
            worker_end.close()
        worker.channel.read_remaining()
        worker.channel.close()
        worker.exited = True
        if not self.exit_status.done():
            self.step(state_machine.WorkerExited(worker.number, worker.generation, reason))

    def _send_with_settings(self, worker: WorkerProcess, message: messages.Message) -> None:
        fd = settings_memfd(platform_config_json(self.reading))
        try:
            if not worker.channel.send(message, fd) and not worker.exited:
                # Retried, so that no worker stays on old settings. One that does not read is replaced soon,
                # and its next generation starts with the new settings.
                self.loop.call_later(0.05, self._resend_settings, worker, message)
        finally:
            os.close(fd)

    def _resend_settings(self, worker: WorkerProcess, message: messages.Message) -> None:
        if not worker.exited and self.workers.get(worker.number) is worker:
            self._send_with_settings(worker, message)

    def _kill(self, effect: state_machine.KillWorker) -> None:
        self.table.fence(effect.worker, effect.generation)
        worker = self.workers.get(effect.worker)
        if (
            worker is not None
            and worker.generation == effect.generation
            and worker.process is not None
            and not worker.exited
        ):
            with contextlib.suppress(ProcessLookupError):
                worker.process.kill()

    def _link(self, effect: state_machine.LinkWorker) -> None:
        """Links a worker that has become ready with those that serve already."""
        worker = self.workers[effect.worker]
        for number in effect.serving:
            other = self.workers.get(number)
            if other is None or other.exited:
                continue
            own_end, other_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
            with own_end, other_end:
                worker.channel.send(messages.OpenLink(number, other.generation), own_end.fileno())
                other.channel.send(messages.OpenLink(effect.worker, worker.generation), other_end.fileno())
        if self.membership is not None:
            worker.channel.send(self.membership)
        if self.draining:
            worker.channel.send(messages.Drain())

    def _publish(self, effect: state_machine.PublishMembership) -> None:
        membership = effect.membership
        self.membership = messages.MembershipUpdate(
            membership.version, list(membership.members), dict(membership.split), membership.initial
        )
        self._broadcast(self.membership)

    def _on_message(self, worker: WorkerProcess, message: Any) -> None:
        if isinstance(message, messages.ConnectionClosed):
            client = self.clients.get(message.slot)
            if client is not None and (client.worker, client.generation) == (
                worker.number,
                worker.generation,
            ):
                self._release(message.slot)
        elif isinstance(message, messages.ReportReady):
            self.step(state_machine.WorkerReady(worker.number, worker.generation))
        elif isinstance(message, messages.ReportLoad):
            load = WorkerLoad(worker.load.total + message.total, [*worker.load.busiest, *message.busiest])
            worker.load = load
        elif isinstance(message, messages.ReportDrained):
            self.step(state_machine.WorkerDrained(worker.number, worker.generation))
        elif isinstance(message, messages.OrphanAnswer):
            self._on_orphan_answer(message)
        elif isinstance(message, messages.OrphansHeld):
            held = {(slot, sequence) for slot, sequence in message.held}
            self.held_orphans.setdefault((message.worker, message.generation), {})[worker.number] = held
            for slot, client in list(self.clients.items()):
                record = client.awaited
                if record and (client.worker, client.generation) == (message.worker, message.generation):
                    if record.owner == worker.number and (slot, record.sequence) not in held:
                        self._settle_orphan(slot)
            while len(self.held_orphans) > 4 * len(self.workers):
                del self.held_orphans[next(iter(self.held_orphans))]

    # --- clients -------------------------------------------------------------------------------------------
    def _start_accepting(self, _: state_machine.StartAccepting) -> None:
        assert self.listener is not None
        try:
            self.listener.listen(BACKLOG)
        except OSError as error:
            # Another program may have taken the address while the workers came up.
            self.log(f"cannot start: {error}")
            self._exit(state_machine.Exit(2))
            return
        self.acceptor = Acceptor(self.listener, self._accepted)
        host, port = self.config.listen
        known = len(self.config.ingress.known_servers)
        workers = self.table.workers
        self.log(f"ready: {self.config.name} on {host}:{port}, {known} stock nodes known, {workers} workers")

    def _stop_accepting(self, _: state_machine.StopAccepting) -> None:
        if self.acceptor is not None:
            self.acceptor.close_when_empty()
        self._broadcast(messages.AcceptingStopped())

    def _accepted(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if not self.free_slots:
            sock.close()  # all slots are taken; the workers close idle connections to make room
            return
        self._assign(self.free_slots.pop(), Client(sock, -1, 0), 0)

    def _assign(self, slot: int, client: Client, consumed: int, tries: int = ASSIGN_TRIES) -> None:
        """Assigns a connection that is between requests to the worker with the fewest connections."""
        self.clients[slot] = client
        client.awaited = None
        self.table.reset_connection(slot, consumed)
        serving = [self.workers[number] for number in self.machine.serving if not self.workers[number].exited]
        for worker in sorted(serving, key=lambda worker: (worker.connections, worker.number)):
            if worker.channel.send(messages.AssignConnection(slot, consumed), client.sock.fileno()):
                client.worker, client.generation = worker.number, worker.generation
                worker.connections += 1
                return
        client.worker, client.generation = -1, 0
        if tries > 1:
            # Retried: a burst, as after the end of a worker, can fill the channel of the remaining one.
            self.loop.call_later(ASSIGN_PAUSE, self._assign, slot, client, consumed, tries - 1)
        else:
            self._dismiss(slot, client)

    def _release(self, slot: int) -> None:
        """Closes the last descriptor of a connection that has ended at its worker."""
        client = self.clients.pop(slot)
        if client.timer is not None:
            client.timer.cancel()
        self._uncount(client)
        client.sock.close()
        self.free_slots.append(slot)

    def _uncount(self, client: Client) -> None:
        worker = self.workers.get(client.worker)
        if worker is not None and worker.generation == client.generation:
            worker.connections -= 1

    def _send_final(self, slot: int, data: bytes) -> None:
        """Writes the final answer on a connection. Its slot stays taken until it is closed."""
        client = self.clients.pop(slot)
        if client.timer is not None:
            client.timer.cancel()
        self._uncount(client)
        # The event loop keeps the object alive until the connection is closed, which may be at once.
        sockets.FinalAnswer(client.sock, data, lambda: self.free_slots.append(slot))

    def _refuse(self, slot: int) -> None:
        self._send_final(slot, sockets.answer_bytes(503, retry_ms=RETRY_AFTER_MS))

    def _dismiss(self, slot: int, client: Client) -> None:
        """Ends a connection that no worker takes: refuses a request that it has just sent, else closes it."""
        if sockets.bytes_unread(client.sock):
            self._refuse(slot)
        else:
            self._send_final(slot, b"")

    # --- connections of a lost worker ----------------------------------------------------------------------
    def _take_over(self, effect: state_machine.TakeOverConnections) -> None:
        self.table.clear_worker(effect.worker)
        for slot, client in list(self.clients.items()):
            if client.awaited is not None:
                if client.awaited.owner == effect.worker:
                    self._settle_orphan(slot)
            elif (client.worker, client.generation) == (effect.worker, effect.generation):
                self._take_over_connection(slot, client, effect.lost)

    def _take_over_connection(self, slot: int, client: Client, lost: frozenset[int]) -> None:
        record = self.table.connection_record(slot)
        disposition = choose_disposition(record, sockets.socket_progress(client.sock), lost)
        if disposition is Disposition.REASSIGN:
            self._reassign(slot, client)
        elif disposition is Disposition.AWAIT_NEXT_REQUEST:
            self.loop.add_reader(client.sock.fileno(), self._on_next_request, slot)
            client.timer = self.loop.call_later(NEXT_REQUEST_WAIT, self._on_next_request, slot)
        elif disposition is Disposition.AWAIT_OWNER:
            client.awaited = record
            wait = (record.deadline_ns - time.monotonic_ns()) / 1e9 - 0.01
            if self.answer_deadline is not None:
                wait = min(wait, (self.answer_deadline - self.clock.now()).total_seconds())
            client.timer = self.loop.call_later(max(0.0, wait), self._settle_orphan, slot, 504)
            held = self.held_orphans.get((client.worker, client.generation), {}).get(record.owner)
            if answer := self.early_answers.pop((slot, record.sequence), None):
                self._on_orphan_answer(answer)
            elif held is not None and (slot, record.sequence) not in held:
                self._settle_orphan(slot)
        elif disposition is Disposition.FAIL:
            self._send_final(slot, sockets.answer_bytes(502))
        elif disposition is Disposition.REFUSE:
            self._refuse(slot)
        else:
            self._send_final(slot, b"")

    def _reassign(self, slot: int, client: Client) -> None:
        """Moves a connection that is between requests from a lost worker to another."""
        if self.draining:
            self._dismiss(slot, client)
        else:
            self._uncount(client)
            self._assign(slot, client, sockets.socket_progress(client.sock).consumed)

    def _on_next_request(self, slot: int) -> None:
        """An answered connection has sent its next request, has ended, or has been idle for too long."""
        client = self.clients[slot]
        self.loop.remove_reader(client.sock.fileno())
        if client.timer is not None:
            client.timer.cancel()
            client.timer = None
        if sockets.bytes_unread(client.sock):
            self._reassign(slot, client)
        else:
            self._send_final(slot, b"")

    def _settle_orphan(self, slot: int, status_if_attempted: int = 502) -> None:
        """Answers a request that no worker decides any more, or whose time is up."""
        client = self.clients.get(slot)
        if client is None or client.awaited is None:
            return
        # Read again: the owner may have made an attempt since the holder ended.
        record = self.table.connection_record(slot)
        if unowned_disposition(record) is Disposition.FAIL:
            self._send_final(slot, sockets.answer_bytes(status_if_attempted))
        else:
            self._refuse(slot)

    def _on_orphan_answer(self, answer: messages.OrphanAnswer) -> None:
        client = self.clients.get(answer.slot)
        if client is None:
            return
        if client.awaited is None:
            # Its worker's end is not known here yet, or that worker did receive the answer.
            self.early_answers[answer.slot, answer.sequence] = answer
            while len(self.early_answers) > MAX_EARLY_ANSWERS:
                del self.early_answers[next(iter(self.early_answers))]
        elif client.awaited.sequence == answer.sequence:
            self._send_final(
                answer.slot,
                sockets.answer_bytes(answer.status, answer.body, answer.content_type, answer.retry_ms),
            )


def raise_descriptor_limit() -> None:
    """Raises the descriptor limit to what the system allows; the settings bound how many are used."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    with contextlib.suppress(ValueError, OSError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


async def serve(reading: SettingsReading, config: Config, source: SettingsSource, log: Log) -> int:
    """Runs a supervisor until it is asked to stop; returns the exit status."""
    return await Supervisor(reading, config, source, log).serve()


def run(reading: SettingsReading, source: SettingsSource, log: Log) -> int:
    """Serves on several cores until asked to stop; returns the exit status.

    Raises ConfigError or OSError if it cannot start.
    """
    config = make_config(reading.platform_config, reading.environ)
    if config.ingress.max_clients < 2 * reading.workers * 8:
        raise ConfigError(f"sockets are too few for {reading.workers} workers")
    raise_descriptor_limit()
    return uvloop.run(serve(reading, config, source, log))
