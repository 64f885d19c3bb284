"""A worker: an ingress's whole program on one core, which decides for its part of the trade accounts.

The guardian deals it clients' connections. Each request that it reads goes to the worker that owns its
account, often itself; the answer comes back the same way. What it is about to do it first writes on the
board, so that its end, at any instant, leaves nothing unknown that a rule depends on.
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
from opalgauge.lifecycle.reload import LINGER, readdress
from opalgauge.memory import effects, events
from opalgauge.memory.reducer import Reducer
from opalgauge.memory.state import IngressConfig
from opalgauge.wire.clients import Clients, Front
from opalgauge.wire.exchange import Exchange
from opalgauge.wire.node_list import NodeListReader

HEARTBEAT_INTERVAL = 0.02  # s between beats
LOAD_REPORT_INTERVAL = 0.5  # s between words on what was taken in
MAX_REPORTED_ACCOUNTS = 8  # accounts named in one
MAX_COUNTED_ACCOUNTS = 4096  # accounts counted between two
MAX_RECENT_ANSWERS = 256  # answers kept for a holder that may not have read them
EXIT_FENCED = 3  # exit status of a life that found itself replaced
COUNTER_CONNECTIONS = 16  # of an ingress, all its workers together


def settle_time(stall_after: timedelta) -> timedelta:
    """Nobody who still lives is further behind with a roster: the guardian would have replaced it."""
    return stall_after * 1.5 + timedelta(milliseconds=100)


def worker_share(house: IngressConfig, workers: int) -> IngressConfig:
    """A worker's part of what the ingress may hold. A client's connection takes two descriptors: the
    guardian keeps one as well, to answer on it should the worker end."""
    clients = max(16, house.max_clients // (2 * workers))
    return replace(
        house,
        max_server_connections=max(16, house.max_server_connections // workers),
        max_requests=max(16, min(house.max_requests // workers, clients)),
        max_clients=clients,
        keep_alive_limit=max(4, house.keep_alive_limit // (2 * workers)),
        counter_connections=max(1, COUNTER_CONNECTIONS // workers),
    )


class WorkerRequestHandler(RequestHandler):
    """aiohttp's connection handler, which also counts what came in and tells when an answer has gone out."""

    __slots__ = ("bytes_received", "worker", "slot", "request_recorded")

    def __init__(self, *args: Any, worker: Worker, **options: Any) -> None:
        super().__init__(*args, **options)
        self.bytes_received, self.worker, self.slot, self.request_recorded = 0, worker, -1, False

    def data_received(self, data: bytes) -> None:
        self.bytes_received += len(data)
        super().data_received(data)

    async def finish_response(self, request: Any, resp: Any, start_time: float | None) -> Any:
        result = await super().finish_response(request, resp, start_time)
        # An order's own bytes were counted when it was taken; more may have come behind it since.
        self.worker.table.record_answer(self.slot, None if self.request_recorded else self.bytes_received)
        self.request_recorded = False
        return result


class WorkerFront(Front):
    """A front without a listener: its connections are dealt to it."""

    worker: Worker

    def __call__(self) -> RequestHandler:
        return WorkerRequestHandler(self, loop=self._loop, worker=self.worker, **self._kwargs)


class Worker:
    """One life of a worker."""

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
        seed = config.house.seed + self.number * 7919 + self.generation  # no two lives draw alike
        house = worker_share(replace(config.house, seed=seed), start.workers)
        self.plans = house.settings.plans
        self.max_units = house.settings.max_units
        self.repeatable = [
            request_class.idempotency.value == "safe" for request_class in house.settings.classes
        ]
        self.exchange = Exchange(
            Reducer(house), self.now, NodeListReader(config.zones), self.log, self._on_drained
        )
        self.exchange.do |= {
            effects.AnswerClient: self._answer,
            effects.SendAttempt: self._send_attempt,
            effects.DelegateRequest: self._forward,
            effects.WithdrawRequest: self._cancel_forwarded,
        }
        self.clients = Clients(config.trade, self._on_event, lambda: not self.draining, WorkerFront)
        self.exchange.flows = self.clients.long = False  # a long body would have to pass between workers
        self.clients.server.worker = self  # type: ignore[attr-defined]
        self.clients.over = self._on_request_over
        self.exchange.clients = self.clients
        self.links: dict[int, messages.WorkerLink] = {}
        self.client_sockets: dict[RequestHandler, socket.socket] = {}
        self.sequences: dict[int, int] = {}  # by slot: requests that came over it
        self.claimed_ids: dict[int, int] = {}  # by order held here: its id's place on the board
        self.record_keys: dict[int, tuple[int, int]] = {}  # by order decided here: slot and tag
        self.forwarded: dict[int, tuple[int, int, int]] = {}  # by order passed on: worker, slot and tag
        # By order of another: its link, its number there.
        self.remote_requests: dict[int, tuple[messages.WorkerLink, int]] = {}
        self.remote_numbers: dict[tuple[int, int, int], int] = {}  # and back: worker, life, number there
        self.recent_answers: dict[int, deque[messages.OrphanAnswer]] = {}  # by worker: answers to its orders
        self.remote_count = 0
        self.requests_taken, self.account_counts = 0, dict[tuple[int, int, int], int]()
        self.last_heartbeat = time.monotonic()
        self.channel = messages.Channel(
            channel_sock, messages.ToWorker, self._on_message, self._on_supervisor_lost
        )

    # --- time ----------------------------------------------------------------------------------------------
    def now(self) -> datetime:
        """The time of an event. Guards what is done about it against a life that was replaced."""
        if self.table.is_fenced(self.number, self.generation):
            os._exit(EXIT_FENCED)
        return self.clock.now()

    def heartbeat(self) -> None:
        self.now()
        self.last_heartbeat = time.monotonic()
        self.table.record_heartbeat(self.number)
        self.loop.call_later(HEARTBEAT_INTERVAL, self.heartbeat)

    def report_load(self) -> None:
        busiest = sorted(self.account_counts.items(), key=lambda kv: (-kv[1], kv[0]))[:MAX_REPORTED_ACCOUNTS]
        accounts = [
            (account, requests, self._max_parts(plan, spread))
            for (account, plan, spread), requests in busiest
        ]
        self.channel.send(messages.ReportLoad(self.requests_taken, accounts))
        self.requests_taken, self.account_counts = 0, {}
        self.loop.call_later(LOAD_REPORT_INTERVAL, self.report_load)

    def _max_parts(self, plan: int, spread: int) -> int:
        """So many cores can share an account that each part of its ceiling still holds two requests."""
        limits = self.plans[plan]
        if not limits.ceiling_rate:
            return 1 << 16
        return max(1, int(limits.ceiling_burst / (2 * self.max_units * max(1, spread))))

    # --- what the clients ask ------------------------------------------------------------------------------
    def _on_event(self, event: events.Event) -> None:
        if type(event) is not events.RequestReceived:
            self.exchange.report(event)
            return
        handler = self.clients.connections.get(event.client_id)
        entry = self.table.claim_id(self.number, id_hash(event.http_request.correlation_id))
        if entry is None or not isinstance(handler, WorkerRequestHandler):
            self.exchange.report(events.DuplicateRequestId(event.request_id, event.client_id))
            return
        self.claimed_ids[event.request_id] = entry
        slot = handler.slot
        sequence = self.sequences[slot] = self.sequences[slot] + 1
        owner = self.ownership.worker_for(event.account)
        if owner != self.number and owner not in self.links:
            # Guards an order against an owner that has just gone; its part here is small.
            owner = self.number
        self.requests_taken += 1
        if len(self.account_counts) < MAX_COUNTED_ACCOUNTS:
            key = event.account, event.plan_index, event.spread
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
            self.exchange.report(event)
        else:
            self.forwarded[event.request_id] = owner, slot, sequence
            self.exchange.report(events.RequestDelegated(event, owner))

    def _set_account_share(self, event: events.RequestReceived) -> None:
        now = self.clock.now()
        exclusive_for = self.ownership.exclusive_for(event.account, now)
        event.exclusive_seconds = math.inf if exclusive_for is None else exclusive_for.total_seconds()
        event.deciding_workers = self.ownership.parts(event.account, now)

    def _on_request_over(self, request: int) -> None:
        """No client waits for it: it was answered, or its client left."""
        self.record_keys.pop(request, None)
        self.forwarded.pop(request, None)
        if (entry := self.claimed_ids.pop(request, None)) is not None:
            self.table.release_id(entry)

    def _send_attempt(self, effect: effects.SendAttempt) -> None:
        if record_key := self.record_keys.get(effect.request_id):
            self.table.record_attempt(*record_key)
        self.exchange.send(effect)

    # --- orders between workers ----------------------------------------------------------------------------
    def _forward(self, effect: effects.DelegateRequest) -> None:
        taken, content = effect.received, effect.received.http_request
        forwarded = self.forwarded.get(taken.request_id)
        link = self.links.get(effect.worker)
        if forwarded is None or link is None:
            self.exchange.report(events.WorkerLost(effect.worker, frozenset()))
            return
        deadline_ns = time.monotonic_ns() + taken.time_left // timedelta(microseconds=1) * 1000
        link.send(
            messages.ForwardRequest(
                taken.request_id, forwarded[1], forwarded[2], deadline_ns, content.method, content.target,
                content.correlation_id,
                list(content.headers), content.body, taken.class_index, taken.plan_index,
                taken.account, taken.units, taken.spread, taken.first, taken.is_retry,
            )
        )  # fmt: skip

    def _cancel_forwarded(self, effect: effects.WithdrawRequest) -> None:
        if link := self.links.get(effect.worker):
            link.send(messages.CancelRequest(effect.request_id))

    def _on_link_message(self, link: messages.WorkerLink, message: Any) -> None:
        if isinstance(message, messages.ForwardRequest):
            self._on_forwarded_request(link, message)
        elif isinstance(message, messages.ForwardedAnswer):
            retry = timedelta(milliseconds=message.retry_ms) if message.retry_ms >= 0 else None
            self.exchange.report(
                events.DelegatedRequestAnswered(
                    message.request, message.status, message.body, message.content_type, retry
                )
            )
        elif isinstance(message, messages.CancelRequest):
            number = self.remote_numbers.get((link.worker, link.generation, message.request))
            if number is not None:
                self._remove_remote(number)
                self.exchange.report(events.ClientDisconnected(number))

    def _on_forwarded_request(self, link: messages.WorkerLink, message: messages.ForwardRequest) -> None:
        self.remote_count += 1
        number = -self.remote_count  # a client and an order of its own, never one of this worker's
        time_left = timedelta(microseconds=(message.deadline_ns - time.monotonic_ns()) // 1000)
        self.remote_requests[number] = link, message.request
        self.remote_numbers[link.worker, link.generation, message.request] = number
        self.record_keys[number] = message.slot, message.sequence
        headers = tuple((name, value) for name, value in message.headers)
        content = events.HttpRequest(
            message.method, message.target, message.correlation, headers, message.body
        )
        event = events.RequestReceived(
            number, content, message.request_class, message.plan, message.account,
            max(time_left, timedelta(milliseconds=1)), message.units, message.spread, message.first,
            message.repeat, number,
        )  # fmt: skip
        self._set_account_share(event)
        self.exchange.report(event)

    def _remove_remote(self, number: int) -> tuple[messages.WorkerLink, int] | None:
        self.record_keys.pop(number, None)
        remote = self.remote_requests.pop(number, None)
        if remote is not None:
            self.remote_numbers.pop((remote[0].worker, remote[0].generation, remote[1]), None)
        return remote

    def _answer(self, effect: effects.AnswerClient) -> None:
        if effect.request_id >= 0:
            self.clients.answer(effect)  # never one that is passed on while it comes
            return
        slot, sequence = self.record_keys.get(effect.request_id, (-1, 0))
        remote = self._remove_remote(effect.request_id)
        if remote is None:
            return
        link, request = remote
        retry_ms = -1 if effect.retry_after is None else effect.retry_after // timedelta(milliseconds=1)
        orphan = messages.OrphanAnswer(
            slot, sequence, effect.status, effect.body, effect.content_type, retry_ms
        )
        if link.transport is not None:
            link.send(
                messages.ForwardedAnswer(request, effect.status, effect.body, effect.content_type, retry_ms)
            )
            self.recent_answers.setdefault(link.worker, deque(maxlen=MAX_RECENT_ANSWERS)).append(orphan)
        else:
            self.channel.send(orphan)
        self.exchange.report(events.ClientDisconnected(effect.request_id))

    def _on_link_lost(self, link: messages.WorkerLink) -> None:
        """Another worker is no more. What it decided for us is settled here; what we decide for it goes to
        the guardian, which has its clients' connections."""
        if self.links.get(link.worker) is link:
            del self.links[link.worker]
        forwarded = {
            request: (slot, sequence)
            for request, (owner, slot, sequence) in self.forwarded.items()
            if owner == link.worker
        }
        attempted = frozenset(
            request
            for request, (slot, sequence) in forwarded.items()
            if self.table.connection_record(slot).attempted == sequence
        )
        if forwarded:
            self.exchange.report(events.WorkerLost(link.worker, attempted))
        held = [
            self.record_keys[number]
            for number, (origin, _) in self.remote_requests.items()
            if origin is link and number in self.record_keys
        ]
        for answer in self.recent_answers.pop(link.worker, ()):
            self.channel.send(answer)
        self.channel.send(messages.OrphansHeld(link.worker, link.generation, held))

    # --- what the guardian says ----------------------------------------------------------------------------
    def _on_message(self, message: Any, fd: int | None) -> None:
        if isinstance(message, messages.AssignConnection) and fd is not None:
            self.loop.create_task(self._take_connection(message, socket.socket(fileno=fd)))
        elif isinstance(message, messages.OpenLink) and fd is not None:
            self.loop.create_task(self._open_link(message, socket.socket(fileno=fd)))
        elif isinstance(message, messages.MembershipUpdate):
            membership = Membership(message.version, tuple(message.members), message.split, message.initial)
            self.ownership.apply(membership, self.clock.now())
        elif isinstance(message, messages.Reload) and fd is not None:
            readdress(self.exchange.report, make_config(read_settings(fd), message.environ))
        elif isinstance(message, messages.Drain):
            self._drain()
        elif isinstance(message, messages.AcceptingStopped):
            self.exchange.report(events.CloseIdleRequested())
        elif isinstance(message, messages.Leave):
            self.finished.set()

    def _drain(self) -> None:
        if not self.draining:
            self.draining = self.clients.last = True
            self.exchange.report(events.DrainRequested())

    def _on_drained(self) -> None:
        self.drained = True
        self.channel.send(messages.ReportDrained())
        if self.supervisor_lost:
            # Others may still pass an order on for as long as their connections take to close.
            self.loop.call_later(0.2, self.finished.set)

    def _on_supervisor_lost(self) -> None:
        # Guards against a worker that serves on when nobody watches it any more.
        if time.monotonic() - self.last_heartbeat > self.stall_after.total_seconds():
            os._exit(EXIT_FENCED)  # it had stalled: what it holds is long overdue
        self.supervisor_lost = True
        self.log("drain: the guardian is gone; answering what is held, then leaving")
        self._drain()
        self.exchange.report(events.CloseIdleRequested())
        self.loop.call_later(self.exchange.time_to_kill().total_seconds(), self.finished.set)
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

    # --- a life --------------------------------------------------------------------------------------------
    async def run(self) -> None:
        front_on_closed = self.clients._went

        def on_closed(handler: RequestHandler) -> None:
            front_on_closed(handler)
            if isinstance(handler, WorkerRequestHandler):
                self._on_connection_closed(handler.slot, handler)

        self.clients.server.went = on_closed
        self.loop.set_exception_handler(
            lambda _, context: self.exchange.fault(f"{context.get('message')}: {context.get('exception')!r}")
        )
        self.exchange.start()
        self.heartbeat()
        self.report_load()
        self.channel.send(messages.ReportReady(len(self.exchange.reducer.config.known_servers)))
        await self.finished.wait()
        await asyncio.sleep(LINGER.total_seconds())
        await self.clients.close(self.exchange.time_to_kill().total_seconds())


def read_settings(fd: int) -> dict[str, Any]:
    with os.fdopen(fd, "rb") as file:
        file.seek(0)
        settings: dict[str, Any] = json.load(file)
        return settings


async def start_worker(sock: socket.socket, table_fd: int, workers: int) -> None:
    """Waits for the guardian's first word, then lives by it."""
    loop = asyncio.get_running_loop()
    first: asyncio.Future[tuple[messages.Start, int]] = loop.create_future()

    def on_message(message: Any, fd: int | None) -> None:
        if isinstance(message, messages.Start) and fd is not None:
            channel.closed = True  # its descriptor goes on in the life's own channel
            loop.remove_reader(sock.fileno())
            first.set_result((message, fd))

    channel = messages.Channel(sock, messages.ToWorker, on_message, lambda: os._exit(0))
    start, settings_fd = await first
    environ: Mapping[str, str] = start.environ
    config = make_config(read_settings(settings_fd), environ)
    await Worker(start, config, sock, SharedTable(workers, start.slots, table_fd)).run()


def main() -> None:
    """`python -m opalgauge.cores CHANNEL BOARD SEATS seat=N`: descriptors, how many workers there
    are, and which this is, for people who look at processes."""
    channel_fd, table_fd, workers = (int(argument) for argument in sys.argv[1:4])
    gc.freeze()
    uvloop.run(start_worker(socket.socket(fileno=channel_fd), table_fd, workers))
