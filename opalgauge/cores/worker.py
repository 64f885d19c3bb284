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

from opalgauge.cores import messages as sp
from opalgauge.cores import sockets
from opalgauge.cores.ownership import Roster, Shares
from opalgauge.cores.shared_table import Board, id_hash
from opalgauge.cores.takeover import UNSURE
from opalgauge.lifecycle.clock import Clock
from opalgauge.lifecycle.config import Config, make_config
from opalgauge.lifecycle.logs import make_log
from opalgauge.lifecycle.reload import LINGER, readdress
from opalgauge.memory import effects as fx
from opalgauge.memory import events as ev
from opalgauge.memory.reducer import Reducer
from opalgauge.memory.state import House
from opalgauge.wire.clients import Clients, Front
from opalgauge.wire.exchange import Exchange
from opalgauge.wire.node_list import NodeListReader

BEAT = 0.02  # s between beats
ROUND = 0.5  # s between words on what was taken in
BUSIEST = 8  # accounts named in one
MOST_COUNTED = 4096  # accounts counted between two
LATELY = 256  # answers kept for a holder that may not have read them
FENCED = 3  # exit status of a life that found itself replaced
COUNTER_LINES = 16  # of an ingress, all its workers together


def settle_time(stall: timedelta) -> timedelta:
    """Nobody who still lives is further behind with a roster: the guardian would have replaced it."""
    return stall * 1.5 + timedelta(milliseconds=100)


def part_of(house: House, workers: int) -> House:
    """A worker's part of what the ingress may hold. A client's connection takes two descriptors: the
    guardian keeps one as well, to answer on it should the worker end."""
    clients = max(16, house.most_clients // (2 * workers))
    return replace(
        house,
        most_lines=max(16, house.most_lines // workers),
        most_orders=max(16, min(house.most_orders // workers, clients)),
        most_clients=clients,
        crowd=max(4, house.crowd // (2 * workers)),
        counter_lines=max(1, COUNTER_LINES // workers),
    )


class Counted(RequestHandler):
    """aiohttp's connection handler, which also counts what came in and tells when an answer has gone out."""

    __slots__ = ("came_in", "core", "slot", "ordered")

    def __init__(self, *args: Any, core: Core, **more: Any) -> None:
        super().__init__(*args, **more)
        self.came_in, self.core, self.slot, self.ordered = 0, core, -1, False

    def data_received(self, data: bytes) -> None:
        self.came_in += len(data)
        super().data_received(data)

    async def finish_response(self, request: Any, resp: Any, start_time: float | None) -> Any:
        done = await super().finish_response(request, resp, start_time)
        # An order's own bytes were counted when it was taken; more may have come behind it since.
        self.core.board.answered(self.slot, None if self.ordered else self.came_in)
        self.ordered = False
        return done


class CoreFront(Front):
    """A front without a listener: its connections are dealt to it."""

    core: Core

    def __call__(self) -> RequestHandler:
        return Counted(self, loop=self._loop, core=self.core, **self._kwargs)


class Core:
    """One life of a worker."""

    def __init__(self, start: sp.Start, config: Config, channel_sock: socket.socket, board: Board) -> None:
        self.me, self.life, self.board = start.seat, start.life, board
        self.loop = asyncio.get_running_loop()
        self.clock = Clock()
        self.stall = timedelta(microseconds=start.stall_ns // 1000)
        self.shares = Shares(self.me, settle_time(self.stall))
        self.over = asyncio.Event()
        self.draining = self.alone = self.leaving = False
        log = make_log(start.log, ingress=config.name, worker=self.me)
        self.log = log if start.log != "plain" else (lambda text: log(f"worker {self.me}: {text}"))
        seed = config.house.seed + self.me * 7919 + self.life  # no two lives draw alike
        house = part_of(replace(config.house, seed=seed), start.workers)
        self.tariffs = house.settings.plans
        self.units = house.settings.most_units
        self.harmless = [c.effect.value == "safe" for c in house.settings.classes]
        self.exchange = Exchange(
            Reducer(house), self.now, NodeListReader(config.zones), self.log, self._nothing_owed
        )
        self.exchange.do |= {
            fx.AnswerClient: self._answer,
            fx.SendAttempt: self._attempt,
            fx.PassOrder: self._pass,
            fx.RecallOrder: self._recall,
        }
        self.clients = Clients(config.trade, self._taken, lambda: not self.draining, CoreFront)
        self.exchange.flows = self.clients.long = False  # a long body would have to pass between workers
        self.clients.server.core = self  # type: ignore[attr-defined]
        self.clients.over = self._order_over
        self.exchange.clients = self.clients
        self.links: dict[int, sp.Stream] = {}
        self.socks: dict[RequestHandler, socket.socket] = {}
        self.tags: dict[int, int] = {}  # by slot: requests that came over it
        self.claims: dict[int, int] = {}  # by order held here: its id's place on the board
        self.marks: dict[int, tuple[int, int]] = {}  # by order decided here: slot and tag
        self.passed: dict[int, tuple[int, int, int]] = {}  # by order passed on: worker, slot and tag
        self.foreign: dict[int, tuple[sp.Stream, int]] = {}  # by order of another: its link, its number there
        self.by_link: dict[tuple[int, int, int], int] = {}  # and back: worker, life, number there
        self.lately: dict[int, deque[sp.OrphanAnswer]] = {}  # by worker: answers to its orders
        self.foreigners = 0
        self.total, self.counts = 0, dict[tuple[int, int, int], int]()
        self.last_beat = time.monotonic()
        self.channel = sp.Channel(channel_sock, sp.ToWorker, self._told, self._guardian_gone)

    # --- time ----------------------------------------------------------------------------------------------
    def now(self) -> datetime:
        """The time of an event. Guards what is done about it against a life that was replaced."""
        if self.board.fenced(self.me, self.life):
            os._exit(FENCED)
        return self.clock.now()

    def beat(self) -> None:
        self.now()
        self.last_beat = time.monotonic()
        self.board.beat(self.me)
        self.loop.call_later(BEAT, self.beat)

    def count_round(self) -> None:
        busiest = sorted(self.counts.items(), key=lambda kv: (-kv[1], kv[0]))[:BUSIEST]
        told = [(account, n, self._most_parts(tariff, spread)) for (account, tariff, spread), n in busiest]
        self.channel.say(sp.Took(self.total, told))
        self.total, self.counts = 0, {}
        self.loop.call_later(ROUND, self.count_round)

    def _most_parts(self, tariff: int, spread: int) -> int:
        """So many cores can share an account that each part of its ceiling still holds two requests."""
        plan = self.tariffs[tariff]
        if not plan.ceiling_rate:
            return 1 << 16
        return max(1, int(plan.ceiling_burst / (2 * self.units * max(1, spread))))

    # --- what the clients ask ------------------------------------------------------------------------------
    def _taken(self, event: ev.Event) -> None:
        if type(event) is not ev.OrderTaken:
            self.exchange.report(event)
            return
        handler = self.clients.connections.get(event.client)
        place = self.board.claim(self.me, id_hash(event.errand.correlation))
        if place is None or not isinstance(handler, Counted):
            self.exchange.report(ev.OrderClashes(event.order, event.client))
            return
        self.claims[event.order] = place
        slot = handler.slot
        tag = self.tags[slot] = self.tags[slot] + 1
        core = self.shares.core(event.account)
        if core != self.me and core not in self.links:
            core = self.me  # guards an order against an owner that has just gone; its part here is small
        self.total += 1
        if len(self.counts) < MOST_COUNTED:
            key = event.account, event.tariff, event.spread
            self.counts[key] = self.counts.get(key, 0) + 1
        handler.ordered = True
        consumed = UNSURE if handler._messages else handler.came_in
        written = sockets.written(self.socks[handler])
        until = time.monotonic_ns() + event.time_left // timedelta(microseconds=1) * 1000
        self.board.opened(slot, tag, core, self.harmless[event.kind], consumed, written, until)
        if core == self.me:
            self.marks[event.order] = slot, tag
            self._own_part(event)
            self.exchange.report(event)
        else:
            self.passed[event.order] = core, slot, tag
            self.exchange.report(ev.OrderPassed(event, core))

    def _own_part(self, event: ev.OrderTaken) -> None:
        now = self.clock.now()
        held = self.shares.held(event.account, now)
        event.held = math.inf if held is None else held.total_seconds()
        event.parts = self.shares.parts(event.account, now)

    def _order_over(self, order: int) -> None:
        """No client waits for it: it was answered, or its client left."""
        self.marks.pop(order, None)
        self.passed.pop(order, None)
        if (place := self.claims.pop(order, None)) is not None:
            self.board.release(place)

    def _attempt(self, effect: fx.SendAttempt) -> None:
        if mark := self.marks.get(effect.order):
            self.board.ran(*mark)
        self.exchange.send(effect)

    # --- orders between workers ----------------------------------------------------------------------------
    def _pass(self, effect: fx.PassOrder) -> None:
        t, e = effect.taken, effect.taken.errand
        place = self.passed.get(t.order)
        link = self.links.get(effect.core)
        if place is None or link is None:
            self.exchange.report(ev.CoreLost(effect.core, frozenset()))
            return
        until = time.monotonic_ns() + t.time_left // timedelta(microseconds=1) * 1000
        link.say(
            sp.Pass(
                t.order, place[1], place[2], until, e.method, e.target, e.correlation, list(e.passed),
                e.body, t.kind, t.tariff, t.account, t.units, t.spread, t.first, t.repeat,
            )
        )  # fmt: skip

    def _recall(self, effect: fx.RecallOrder) -> None:
        if link := self.links.get(effect.core):
            link.say(sp.Recall(effect.order))

    def _heard(self, link: sp.Stream, message: Any) -> None:
        if isinstance(message, sp.Pass):
            self._order_came(link, message)
        elif isinstance(message, sp.Back):
            retry = timedelta(milliseconds=message.retry_ms) if message.retry_ms >= 0 else None
            self.exchange.report(
                ev.OrderReturned(message.order, message.status, message.body, message.content_type, retry)
            )
        elif isinstance(message, sp.Recall):
            number = self.by_link.get((link.peer, link.life, message.order))
            if number is not None:
                self._foreign_over(number)
                self.exchange.report(ev.ClientLeft(number))

    def _order_came(self, link: sp.Stream, p: sp.Pass) -> None:
        self.foreigners += 1
        number = -self.foreigners  # a client and an order of its own, never one of this worker's
        left = timedelta(microseconds=(p.until - time.monotonic_ns()) // 1000)
        self.foreign[number] = link, p.order
        self.by_link[link.peer, link.life, p.order] = number
        self.marks[number] = p.slot, p.tag
        passed = tuple((name, value) for name, value in p.content)
        errand = ev.Errand(p.method, p.target, p.correlation, passed, p.body)
        event = ev.OrderTaken(
            number, errand, p.kind, p.tariff, p.account, max(left, timedelta(milliseconds=1)), p.units,
            p.spread, p.first, p.repeat, number,
        )  # fmt: skip
        self._own_part(event)
        self.exchange.report(event)

    def _foreign_over(self, number: int) -> tuple[sp.Stream, int] | None:
        self.marks.pop(number, None)
        found = self.foreign.pop(number, None)
        if found is not None:
            self.by_link.pop((found[0].peer, found[0].life, found[1]), None)
        return found

    def _answer(self, effect: fx.AnswerClient) -> None:
        if effect.order >= 0:
            self.clients.answer(effect)  # never one that is passed on while it comes
            return
        slot, tag = self.marks.get(effect.order, (-1, 0))
        found = self._foreign_over(effect.order)
        if found is None:
            return
        link, order = found
        retry = -1 if effect.retry_after is None else effect.retry_after // timedelta(milliseconds=1)
        orphan = sp.OrphanAnswer(slot, tag, effect.status, effect.body, effect.content_type, retry)
        if link.transport is not None:
            link.say(sp.Back(order, effect.status, effect.body, effect.content_type, retry))
            self.lately.setdefault(link.peer, deque(maxlen=LATELY)).append(orphan)
        else:
            self.channel.say(orphan)
        self.exchange.report(ev.ClientLeft(effect.order))

    def _link_gone(self, link: sp.Stream) -> None:
        """Another worker is no more. What it decided for us is settled here; what we decide for it goes to
        the guardian, which has its clients' connections."""
        if self.links.get(link.peer) is link:
            del self.links[link.peer]
        mine = {o: (slot, tag) for o, (core, slot, tag) in self.passed.items() if core == link.peer}
        ran = frozenset(o for o, (slot, tag) in mine.items() if self.board.mark(slot).ran == tag)
        if mine:
            self.exchange.report(ev.CoreLost(link.peer, ran))
        held = [self.marks[n] for n, (of, _) in self.foreign.items() if of is link and n in self.marks]
        for orphan in self.lately.pop(link.peer, ()):
            self.channel.say(orphan)
        self.channel.say(sp.Orphans(link.peer, link.life, held))

    # --- what the guardian says ----------------------------------------------------------------------------
    def _told(self, message: Any, fd: int | None) -> None:
        if isinstance(message, sp.Deal) and fd is not None:
            self.loop.create_task(self._deal(message, socket.socket(fileno=fd)))
        elif isinstance(message, sp.Link) and fd is not None:
            self.loop.create_task(self._join(message, socket.socket(fileno=fd)))
        elif isinstance(message, sp.RosterIs):
            roster = Roster(message.version, tuple(message.members), message.split, message.fresh)
            self.shares.take(roster, self.clock.now())
        elif isinstance(message, sp.Reload) and fd is not None:
            readdress(self.exchange.report, make_config(read_told(fd), message.environ))
        elif isinstance(message, sp.Drain):
            self._drain()
        elif isinstance(message, sp.Closed):
            self.exchange.report(ev.CloseIdleAsked())
        elif isinstance(message, sp.Leave):
            self.over.set()

    def _drain(self) -> None:
        if not self.draining:
            self.draining = self.clients.last = True
            self.exchange.report(ev.DrainAsked())

    def _nothing_owed(self) -> None:
        self.leaving = True
        self.channel.say(sp.IsDone())
        if self.alone:
            # Others may still pass an order on for as long as their connections take to close.
            self.loop.call_later(0.2, self.over.set)

    def _guardian_gone(self) -> None:
        # Guards against a worker that serves on when nobody watches it any more.
        if time.monotonic() - self.last_beat > self.stall.total_seconds():
            os._exit(FENCED)  # it had stalled: what it holds is long overdue
        self.alone = True
        self.log("drain: the guardian is gone; answering what is held, then leaving")
        self._drain()
        self.exchange.report(ev.CloseIdleAsked())
        self.loop.call_later(self.exchange.time_to_kill().total_seconds(), self.over.set)
        if self.leaving:
            self.over.set()

    async def _deal(self, message: sp.Deal, sock: socket.socket) -> None:
        sock.setblocking(False)
        slot = message.slot

        def make() -> RequestHandler:
            handler = self.clients.server()
            assert isinstance(handler, Counted)
            handler.slot, handler.came_in = slot, message.consumed
            self.socks[handler] = sock
            return handler

        self.tags[slot] = self.board.mark(slot).tag
        try:
            await self.loop.connect_accepted_socket(make, sock)
        except OSError:
            sock.close()
            self._went(slot, None)

    def _went(self, slot: int, handler: RequestHandler | None) -> None:
        if handler is not None:
            self.socks.pop(handler, None)
        self.tags.pop(slot, None)
        self.channel.say(sp.Gone(slot))

    async def _join(self, message: sp.Link, sock: socket.socket) -> None:
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            _, link = await self.loop.create_connection(
                lambda: sp.Stream(self._heard, self._link_gone, message.peer, message.life), sock=sock
            )
            self.links[message.peer] = link
            self.lately.pop(message.peer, None)

    # --- a life --------------------------------------------------------------------------------------------
    async def live(self) -> None:
        front_went = self.clients._went

        def went(handler: RequestHandler) -> None:
            front_went(handler)
            if isinstance(handler, Counted):
                self._went(handler.slot, handler)

        self.clients.server.went = went
        self.loop.set_exception_handler(
            lambda _, what: self.exchange.fault(f"{what.get('message')}: {what.get('exception')!r}")
        )
        self.exchange.start()
        self.beat()
        self.count_round()
        self.channel.say(sp.IsReady(len(self.exchange.reducer.house.known)))
        await self.over.wait()
        await asyncio.sleep(LINGER.total_seconds())
        await self.clients.close(self.exchange.time_to_kill().total_seconds())


def read_told(fd: int) -> dict[str, Any]:
    with os.fdopen(fd, "rb") as file:
        file.seek(0)
        told: dict[str, Any] = json.load(file)
        return told


async def begin(sock: socket.socket, board_fd: int, seats: int) -> None:
    """Waits for the guardian's first word, then lives by it."""
    loop = asyncio.get_running_loop()
    first: asyncio.Future[tuple[sp.Start, int]] = loop.create_future()

    def heard(message: Any, fd: int | None) -> None:
        if isinstance(message, sp.Start) and fd is not None:
            channel.over = True  # its descriptor goes on in the life's own channel
            loop.remove_reader(sock.fileno())
            first.set_result((message, fd))

    channel = sp.Channel(sock, sp.ToWorker, heard, lambda: os._exit(0))
    start, told = await first
    environ: Mapping[str, str] = start.environ
    config = make_config(read_told(told), environ)
    await Core(start, config, sock, Board(seats, start.slots, board_fd)).live()


def main() -> None:
    """`python -m opalgauge.cores CHANNEL BOARD SEATS seat=N`: descriptors, how many workers there
    are, and which this is, for people who look at processes."""
    channel, board, seats = (int(word) for word in sys.argv[1:4])
    gc.freeze()
    uvloop.run(begin(socket.socket(fileno=channel), board, seats))
