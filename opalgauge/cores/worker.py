"""A worker: the whole ingress program on one core, which decides for its part of the accounts.

The supervisor assigns clients' connections to it. Each request that it reads goes to the worker that owns the
request's account, often itself; the answer comes back the same way. A worker writes every step to the shared
table before it takes it, so that the supervisor can settle its connections whenever it is lost.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import math
import os
import socket
import sys
import time
from collections import deque
from collections.abc import Mapping
from dataclasses import replace
from datetime import datetime, timedelta
from typing import Any

import uvloop
from aiohttp.web_protocol import RequestHandler

from opalgauge.cores import messages, sockets
from opalgauge.cores.ownership import AccountOwnership, Membership
from opalgauge.cores.shared_table import SharedTable, id_hash
from opalgauge.cores.takeover import CONSUMED_UNKNOWN
from opalgauge.lifecycle.clock import Clock
from opalgauge.lifecycle.config import Config, make_config
from opalgauge.lifecycle.logs import make_log
from opalgauge.lifecycle.reload import EXIT_DELAY, report_addresses
from opalgauge.memory import effects, events
from opalgauge.memory.reducer import Reducer
from opalgauge.memory.state import IngressConfig
from opalgauge.wire.clients import Clients, ClientServer
from opalgauge.wire.runtime import Runtime
from opalgauge.wire.server_list import ServerListReader

HEARTBEAT_INTERVAL = 0.02  # s between heartbeats
LOAD_REPORT_INTERVAL = 0.5  # s between load reports
MAX_REPORTED_ACCOUNTS = 8  # accounts named in a load report
MAX_COUNTED_ACCOUNTS = 4096  # accounts counted between two load reports
MAX_RECENT_ANSWERS = 256  # answers kept per worker, in case it is lost before it has read them
EXIT_FENCED = 3  # exit status of a generation that found itself fenced off
COUNTER_CONNECTIONS = 16  # to the quota counter, of all workers of an ingress together


def settle_time(stall_after: timedelta) -> timedelta:
    """The longest delay with which a live worker receives a membership: a slower one would be replaced."""
    return stall_after * 1.5 + timedelta(milliseconds=100)


def worker_share(config: IngressConfig, workers: int) -> IngressConfig:
    """A worker's share of the limits of the ingress.

    A client's connection takes two descriptors: the supervisor keeps one as well, to answer on it if the
    worker is lost.
    """
    clients = max(16, config.max_clients // (2 * workers))
    return replace(
        config,
        max_server_connections=max(16, config.max_server_connections // workers),
        max_requests=max(16, min(config.max_requests // workers, clients)),
        max_clients=clients,
        memory=config.memory.per_worker(workers),
        streams_answers=False,
        keep_alive_limit=max(4, config.keep_alive_limit // (2 * workers)),
        counter_connections=max(1, COUNTER_CONNECTIONS // workers),
    )


class WorkerRequestHandler(RequestHandler):
    """aiohttp's connection handler that also counts received bytes and records written answers."""

    __slots__ = ("bytes_received", "worker", "slot", "request_recorded")

    def __init__(self, *args: Any, worker: Worker, **options: Any) -> None:
        super().__init__(*args, **options)
        self.bytes_received, self.worker, self.slot, self.request_recorded = 0, worker, -1, False

    def data_received(self, data: bytes) -> None:
        """Counts the bytes that arrive."""
        self.bytes_received += len(data)
        super().data_received(data)

    async def finish_response(self, request: Any, resp: Any, start_time: float | None) -> Any:
        """Records the answer in the shared table once it has been written."""
        result = await super().finish_response(request, resp, start_time)
        # The bytes of a request were recorded with it; bytes of the next one may have arrived since.
        self.worker.table.record_answer(self.slot, None if self.request_recorded else self.bytes_received)
        self.request_recorded = False
        return result


class WorkerClientServer(ClientServer):
    """A client server without a listener: the supervisor assigns its connections."""

    worker: Worker

    def __call__(self) -> RequestHandler:
        return WorkerRequestHandler(self, loop=self._loop, worker=self.worker, **self._kwargs)


class Worker:
    """One generation of a worker."""

    def __init__(
        self, start: messages.Start, config: Config, channel_sock: socket.socket, table: SharedTable
    ) -> None:
        self.number, self.generation, self.table = start.worker, start.generation, table
        self.loop = asyncio.get_running_loop()
        self.clock = Clock()
        self.stall_after = timedelta(microseconds=start.stall_after_ns // 1000)
        self.ownership = AccountOwnership(self.number, settle_time(self.stall_after))
        self.finished = asyncio.Event()
        self.draining = self.supervisor_lost = self.drained = False
        log = make_log(start.log_form, ingress=config.name, worker=self.number)
        self.log = log if start.log_form != "plain" else (lambda text: log(f"worker {self.number}: {text}"))
        seed = (
            config.ingress.seed + self.number * 7919 + self.generation
        )  # each generation draws other numbers
        ingress_config = worker_share(replace(config.ingress, seed=seed), start.workers)
        self.plans = ingress_config.settings.plans
        self.max_units = ingress_config.settings.max_units
        self.repeatable = [
            request_class.idempotency.value == "safe" for request_class in ingress_config.settings.classes
        ]
        self.runtime = Runtime(
            Reducer(ingress_config), self.now, ServerListReader(config.zones), self.log, self._on_drained
        )
        self.runtime.effect_handlers |= {
            effects.AnswerClient: self._answer,
            effects.SendAttempt: self._send_attempt,
            effects.DelegateRequest: self._delegate,
            effects.WithdrawRequest: self._withdraw,
        }
        self.clients = Clients(
            config.request_catalog, self._on_event, lambda: not self.draining, WorkerClientServer
        )
        # Long bodies are not streamed: they would have to pass between workers.
        self.runtime.stream_bodies = self.clients.stream_bodies = False
        self.clients.server.worker = self  # type: ignore[attr-defined]
        self.clients.on_request_over = self._on_request_over
        self.runtime.clients = self.clients
        self.links: dict[int, messages.WorkerLink] = {}
        self.client_sockets: dict[RequestHandler, socket.socket] = {}
        self.sequences: dict[int, int] = {}  # by slot: sequence of the last request
        self.claimed_ids: dict[int, int] = {}  # by request held here: the entry of its id in the table
        self.record_keys: dict[int, tuple[int, int]] = {}  # by request decided here: slot and sequence
        self.delegated: dict[int, tuple[int, int, int]] = {}  # by delegated request: worker, slot, sequence
        # By request that another worker delegated to this one: its link, and its number there.
        self.remote_requests: dict[int, tuple[messages.WorkerLink, int]] = {}
        self.remote_numbers: dict[tuple[int, int, int], int] = {}  # by worker, generation, number there
        # By worker: the last answers sent to it.
        self.recent_answers: dict[int, deque[messages.OrphanAnswer]] = {}
        self.remote_count = 0
        self.requests_received, self.account_counts = 0, dict[tuple[int, int, int], int]()
        self.last_heartbeat = time.monotonic()
        self.channel = messages.Channel(
            channel_sock, messages.ToWorker, self._on_message, self._on_supervisor_lost
        )

    # --- time ----------------------------------------------------------------------------------------------
    def now(self) -> datetime:
        """The time of an event. Exits if this generation has been fenced off: it must not act any more."""
        if self.table.is_fenced(self.number, self.generation):
            os._exit(EXIT_FENCED)
        return self.clock.now()

    def heartbeat(self) -> None:
        """Writes a heartbeat to the shared table, and schedules the next one."""
        self.now()
        self.last_heartbeat = time.monotonic()
        self.table.record_heartbeat(self.number)
        self.loop.call_later(HEARTBEAT_INTERVAL, self.heartbeat)

    def report_load(self) -> None:
        """Reports the load of the last interval to the supervisor, and schedules the next report."""
        busiest = sorted(self.account_counts.items(), key=lambda kv: (-kv[1], kv[0]))[:MAX_REPORTED_ACCOUNTS]
        accounts = [
            (account, requests, self._max_parts(plan_index, spread))
            for (account, plan_index, spread), requests in busiest
        ]
        self.channel.send(messages.ReportLoad(self.requests_received, accounts))
        self.requests_received, self.account_counts = 0, {}
        self.loop.call_later(LOAD_REPORT_INTERVAL, self.report_load)

    def _max_parts(self, plan_index: int, spread: int) -> int:
        """How many workers can share an account so that each part of its ceiling holds two requests."""
        plan = self.plans[plan_index]
        if not plan.ceiling_rate:
            return 1 << 16
        return max(1, int(plan.ceiling_burst / (2 * self.max_units * max(1, spread))))

    # --- requests of clients -------------------------------------------------------------------------------
    def _on_event(self, event: events.Event) -> None:
        if type(event) is not events.RequestReceived:
            self.runtime.report(event)
            return
        handler = self.clients.connections.get(event.client_id)
        entry = self.table.claim_id(self.number, id_hash(event.http_request.correlation_id))
        if entry is None or not isinstance(handler, WorkerRequestHandler):
            self.runtime.report(events.DuplicateRequestId(event.request_id, event.client_id))
            return
        self.claimed_ids[event.request_id] = entry
        slot = handler.slot
        sequence = self.sequences[slot] = self.sequences[slot] + 1
        owner = self.ownership.worker_for(event.account)
        if owner != self.number and owner not in self.links:
            # The owner has just gone: decide here, with the small part that a new owner starts with.
            owner = self.number
        self.requests_received += 1
        if len(self.account_counts) < MAX_COUNTED_ACCOUNTS:
            key = event.account, event.plan_index, event.account_gateways
            self.account_counts[key] = self.account_counts.get(key, 0) + 1
        handler.request_recorded = True
        consumed = CONSUMED_UNKNOWN if handler._messages else handler.bytes_received
        written = sockets.bytes_written(self.client_sockets[handler])
        deadline_ns = time.monotonic_ns() + event.time_left // timedelta(microseconds=1) * 1000
        self.table.record_request(
            slot, sequence, owner, self.repeatable[event.class_index], consumed, written, deadline_ns
        )
        if owner == self.number:
            self.record_keys[event.request_id] = slot, sequence
            self._set_account_share(event)
            self.runtime.report(event)
        else:
            self.delegated[event.request_id] = owner, slot, sequence
            self.runtime.report(events.RequestDelegated(event, owner))

    def _set_account_share(self, event: events.RequestReceived) -> None:
        now = self.clock.now()
        exclusive_for = self.ownership.exclusive_for(event.account, now)
        event.exclusive_for = math.inf if exclusive_for is None else exclusive_for.total_seconds()
        event.account_workers = self.ownership.split_count(event.account, now)

    def _on_request_over(self, request_id: int) -> None:
        """No client waits for the request any more: it was answered, or its client left."""
        self.record_keys.pop(request_id, None)
        self.delegated.pop(request_id, None)
        if (entry := self.claimed_ids.pop(request_id, None)) is not None:
            self.table.release_id(entry)

    def _send_attempt(self, effect: effects.SendAttempt) -> None:
        if record_key := self.record_keys.get(effect.request_id):
            self.table.record_attempt(*record_key)
        self.runtime.send_attempt(effect)

    # --- requests between workers --------------------------------------------------------------------------
    def _delegate(self, effect: effects.DelegateRequest) -> None:
        received, http_request = effect.received, effect.received.http_request
        delegated = self.delegated.get(received.request_id)
        link = self.links.get(effect.worker)
        if delegated is None or link is None:
            self.runtime.report(events.WorkerLost(effect.worker, frozenset()))
            return
        deadline_ns = time.monotonic_ns() + received.time_left // timedelta(microseconds=1) * 1000
        link.send(
            messages.DelegateRequest(
                received.request_id, delegated[1], delegated[2], deadline_ns,
                http_request.method, http_request.target, http_request.correlation_id,
                list(http_request.headers), http_request.body, received.class_index, received.plan_index,
                received.account, received.units, received.account_gateways,
                received.first_gateway, received.is_retry,
            )
        )  # fmt: skip

    def _withdraw(self, effect: effects.WithdrawRequest) -> None:
        if link := self.links.get(effect.worker):
            link.send(messages.WithdrawRequest(effect.request_id))

    def _on_link_message(self, link: messages.WorkerLink, message: Any) -> None:
        if isinstance(message, messages.DelegateRequest):
            self._on_delegated_request(link, message)
        elif isinstance(message, messages.DelegatedAnswer):
            retry = timedelta(milliseconds=message.retry_ms) if message.retry_ms >= 0 else None
            self.runtime.report(
                events.DelegatedRequestAnswered(
                    message.request_id, message.status, message.body, message.content_type, retry
                )
            )
        elif isinstance(message, messages.WithdrawRequest):
            number = self.remote_numbers.get((link.worker, link.generation, message.request_id))
            if number is not None:
                self._remove_remote(number)
                self.runtime.report(events.ClientDisconnected(number))

    def _on_delegated_request(self, link: messages.WorkerLink, message: messages.DelegateRequest) -> None:
        self.remote_count += 1
        number = -self.remote_count  # negative: never the number of a client or request of this worker
        time_left = timedelta(microseconds=(message.deadline_ns - time.monotonic_ns()) // 1000)
        self.remote_requests[number] = link, message.request_id
        self.remote_numbers[link.worker, link.generation, message.request_id] = number
        self.record_keys[number] = message.slot, message.sequence
        headers = tuple((name, value) for name, value in message.headers)
        http_request = events.HttpRequest(
            message.method, message.target, message.correlation_id, headers, message.body
        )
        event = events.RequestReceived(
            number, http_request, message.class_index, message.plan_index, message.account,
            max(time_left, timedelta(milliseconds=1)), message.units, message.spread, message.first,
            message.is_retry, number,
        )  # fmt: skip
        self._set_account_share(event)
        self.runtime.report(event)

    def _remove_remote(self, number: int) -> tuple[messages.WorkerLink, int] | None:
        self.record_keys.pop(number, None)
        remote = self.remote_requests.pop(number, None)
        if remote is not None:
            self.remote_numbers.pop((remote[0].worker, remote[0].generation, remote[1]), None)
        return remote

    def _answer(self, effect: effects.AnswerClient) -> None:
        if effect.request_id >= 0:
            self.clients.answer(effect)  # always a complete answer: long bodies are not streamed
            return
        slot, sequence = self.record_keys.get(effect.request_id, (-1, 0))
        remote = self._remove_remote(effect.request_id)
        if remote is None:
            return
        link, remote_request_id = remote
        retry_ms = -1 if effect.retry_after is None else effect.retry_after // timedelta(milliseconds=1)
        orphan = messages.OrphanAnswer(
            slot, sequence, effect.status, effect.body, effect.content_type, retry_ms
        )
        if link.transport is not None:
            link.send(
                messages.DelegatedAnswer(
                    remote_request_id, effect.status, effect.body, effect.content_type, retry_ms
                )
            )
            self.recent_answers.setdefault(link.worker, deque(maxlen=MAX_RECENT_ANSWERS)).append(orphan)
        else:
            self.channel.send(orphan)
        self.runtime.report(events.ClientDisconnected(effect.request_id))

    def _on_link_lost(self, link: messages.WorkerLink) -> None:
        """Another worker is lost. What it decided for this one is settled here; what this one decides for it
        goes to the supervisor, which has its clients' connections."""
        if self.links.get(link.worker) is link:
            del self.links[link.worker]
        delegated = {
            request_id: (slot, sequence)
            for request_id, (owner, slot, sequence) in self.delegated.items()
            if owner == link.worker
        }
        attempted = frozenset(
            request_id
            for request_id, (slot, sequence) in delegated.items()
            if self.table.connection_record(slot).attempted == sequence
        )
        if delegated:
            self.runtime.report(events.WorkerLost(link.worker, attempted))
        held = [
            self.record_keys[number]
            for number, (origin, _) in self.remote_requests.items()
            if origin is link and number in self.record_keys
        ]
        for answer in self.recent_answers.pop(link.worker, ()):
            self.channel.send(answer)
        self.channel.send(messages.OrphansHeld(link.worker, link.generation, held))

    # --- messages of the supervisor ------------------------------------------------------------------------
    def _on_message(self, message: Any, fd: int | None) -> None:
        if isinstance(message, messages.AssignConnection) and fd is not None:
            self.loop.create_task(self._take_connection(message, socket.socket(fileno=fd)))
        elif isinstance(message, messages.OpenLink) and fd is not None:
            self.loop.create_task(self._open_link(message, socket.socket(fileno=fd)))
        elif isinstance(message, messages.MembershipUpdate):
            membership = Membership(message.version, tuple(message.members), message.split, message.initial)
            self.ownership.apply(membership, self.clock.now())
        elif isinstance(message, messages.Reload) and fd is not None:
            report_addresses(self.runtime.report, make_config(read_settings(fd), message.environ))
        elif isinstance(message, messages.Drain):
            self._drain()
        elif isinstance(message, messages.AcceptingStopped):
            self.runtime.report(events.CloseIdleRequested())
        elif isinstance(message, messages.Leave):
            self.finished.set()

    def _drain(self) -> None:
        if not self.draining:
            self.draining = self.clients.draining = True
            self.runtime.report(events.DrainRequested())

    def _on_drained(self) -> None:
        self.drained = True
        self.channel.send(messages.ReportDrained())
        if self.supervisor_lost:
            # The other workers may still delegate requests until their connections are closed.
            self.loop.call_later(0.2, self.finished.set)

    def _on_supervisor_lost(self) -> None:
        # A worker must not go on serving without a supervisor.
        if time.monotonic() - self.last_heartbeat > self.stall_after.total_seconds():
            os._exit(EXIT_FENCED)  # it had stalled: its requests are overdue
        self.supervisor_lost = True
        self.log("drain: the guardian is gone; answering what is held, then leaving")
        self._drain()
        self.runtime.report(events.CloseIdleRequested())
        self.loop.call_later(self.runtime.time_until_exit().total_seconds(), self.finished.set)
        if self.drained:
            self.finished.set()

    async def _take_connection(self, message: messages.AssignConnection, sock: socket.socket) -> None:
        sock.setblocking(False)
        slot = message.slot

        def make_handler() -> RequestHandler:
            handler = self.clients.server()
            assert isinstance(handler, WorkerRequestHandler)
            handler.slot, handler.bytes_received = slot, message.consumed
            self.client_sockets[handler] = sock
            return handler

        self.sequences[slot] = self.table.connection_record(slot).sequence
        try:
            await self.loop.connect_accepted_socket(make_handler, sock)
        except OSError:
            sock.close()
            self._on_connection_closed(slot, None)

    def _on_connection_closed(self, slot: int, handler: RequestHandler | None) -> None:
        if handler is not None:
            self.client_sockets.pop(handler, None)
        self.sequences.pop(slot, None)
        self.channel.send(messages.ConnectionClosed(slot))

    async def _open_link(self, message: messages.OpenLink, sock: socket.socket) -> None:
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            _, link = await self.loop.create_connection(
                lambda: messages.WorkerLink(
                    self._on_link_message, self._on_link_lost, message.worker, message.generation
                ),
                sock=sock,
            )
            self.links[message.worker] = link
            self.recent_answers.pop(message.worker, None)

    # --- life cycle ----------------------------------------------------------------------------------------
    async def run(self) -> None:
        """Serves until the supervisor asks it to leave, or has ended and nothing is owed any more."""
        server_on_closed = self.clients._on_disconnected

        def on_closed(handler: RequestHandler) -> None:
            server_on_closed(handler)
            if isinstance(handler, WorkerRequestHandler):
                self._on_connection_closed(handler.slot, handler)

        self.clients.server.on_disconnected = on_closed
        self.loop.set_exception_handler(
            lambda _, context: self.runtime.report_fault(
                f"{context.get('message')}: {context.get('exception')!r}"
            )
        )
        self.runtime.start()
        self.heartbeat()
        self.report_load()
        await self.runtime.list_settled.wait()
        self.channel.send(messages.ReportReady(len(self.runtime.reducer.config.known_servers)))
        await self.finished.wait()
        await asyncio.sleep(EXIT_DELAY.total_seconds())
        await self.clients.close(self.runtime.time_until_exit().total_seconds())


def read_settings(fd: int) -> dict[str, Any]:
    """Reads the settings from a descriptor that came with a message, and closes it."""
    with os.fdopen(fd, "rb") as file:
        file.seek(0)
        settings: dict[str, Any] = json.load(file)
        return settings


async def start_worker(sock: socket.socket, table_fd: int, workers: int) -> None:
    """Waits for the supervisor's `Start` message, then runs the worker."""
    loop = asyncio.get_running_loop()
    first: asyncio.Future[tuple[messages.Start, int]] = loop.create_future()

    def on_message(message: Any, fd: int | None) -> None:
        if isinstance(message, messages.Start) and fd is not None:
            channel.closed = True  # the socket is passed on to the worker's own channel
            loop.remove_reader(sock.fileno())
            first.set_result((message, fd))

    channel = messages.Channel(sock, messages.ToWorker, on_message, lambda: os._exit(0))
    start, settings_fd = await first
    environ: Mapping[str, str] = start.environ
    config = make_config(read_settings(settings_fd), environ)
    await Worker(start, config, sock, SharedTable(workers, start.slots, table_fd)).run()


def main() -> None:
    """Runs `python -m opalgauge.cores CHANNEL_FD TABLE_FD WORKERS seat=N`.

    The arguments are two descriptors and the number of workers. `seat=N` shows in process listings which
    worker this is; it is not read.
    """
    channel_fd, table_fd, workers = (int(argument) for argument in sys.argv[1:4])
    gc.freeze()
    uvloop.run(start_worker(socket.socket(fileno=channel_fd), table_fd, workers))
