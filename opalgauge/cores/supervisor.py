"""The guardian: takes clients' connections in, deals them to the workers, and keeps each one answerable.

It keeps a descriptor of every connection that it deals. When a worker ends, or stalls and is killed, what was
owed on its connections is settled from here by `takeover.course`. What it does about workers `watch` decides.
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

from opalgauge.cores import messages as sp
from opalgauge.cores import sockets
from opalgauge.cores import state_machine as w
from opalgauge.cores.ownership import Load
from opalgauge.cores.shared_table import Board
from opalgauge.cores.takeover import Course, Mark, course, settled
from opalgauge.lifecycle.clock import Clock
from opalgauge.lifecycle.config import Config, ConfigError, make_config
from opalgauge.lifecycle.logs import Log
from opalgauge.lifecycle.reload import reread
from opalgauge.lifecycle.sources import Reading, Source, told_again
from opalgauge.memory.drain import EXIT_MARGIN, DrainSchedule, kill_after
from opalgauge.wire.listener import Acceptor, bind

TICK = 0.025  # s between looks at the beats
LOADS = 1.0  # s between weighings of the accounts
BACKLOG = 512
DEALS, DEAL_PAUSE = 40, 0.01  # tries to deal a connection, and s between them
KEPT = 1.0  # s that a client has to ask again on a connection whose worker ended just after its answer
STASHED = 4096  # answers kept for connections that are about to be taken over
RETRY_MS = 200  # a client that is refused here finds another worker by then


@dataclass(slots=True)
class Client:
    """A client's connection: our descriptor of it, and which life of which worker has it."""

    sock: socket.socket
    seat: int
    life: int
    awaits: Mark | None = None  # its worker is gone, and another is at work on this request
    timer: asyncio.TimerHandle | None = None


@dataclass(slots=True)
class Life:
    """A worker's process."""

    seat: int
    number: int
    channel: sp.Channel
    process: asyncio.subprocess.Process | None = None
    ended: bool = False
    held: int = 0  # connections
    load: Load = field(default_factory=lambda: Load(0))


def memory_file(told: str) -> int:
    """A descriptor of the settings: a packet could be too short for them."""
    fd = os.memfd_create("opalgauge-settings")
    os.write(fd, told.encode())
    return fd


class Guardian:
    """One ingress on several cores, from start to exit."""

    def __init__(self, reading: Reading, config: Config, source: Source, log: Log) -> None:
        self.reading, self.config, self.source, self.log = reading, config, source, log
        self.loop = asyncio.get_running_loop()
        self.clock = Clock()
        self.kill_after = kill_after(config.house.settings.classes)  # from SIGTERM to SIGKILL, at least
        self.answer_by: datetime | None = None  # draining: every request has its answer then
        self.watch = w.Watch(self._figures(reading))
        self.slots = max(16, config.house.most_clients // 2)
        self.free = list(range(self.slots - 1, -1, -1))
        self.clients: dict[int, Client] = {}
        self.board = Board(reading.workers, self.slots)
        self.lives: dict[int, Life] = {}
        self.stash: dict[tuple[int, int], sp.OrphanAnswer] = {}
        # What each worker still holds for a life that is no more: by that life, by who tells it.
        self.told: dict[tuple[int, int], dict[int, set[tuple[int, int]]]] = {}
        self.listener: socket.socket | None = None
        self.acceptor: Acceptor | None = None
        self.over: asyncio.Future[int] = self.loop.create_future()
        self.draining = False
        self.tasks: set[asyncio.Task[None]] = set()
        self.roster: sp.RosterIs | None = None
        self.do: dict[type, Callable[[Any], None]] = {
            w.Spawn: self._spawn, w.Kill: self._kill, w.TakeOver: self._take_over, w.Join: self._join,
            w.Publish: self._publish, w.OpenDoors: self._open_doors,
            w.CloseDoors: self._close_doors, w.TellDrain: lambda _: self._all(sp.Drain()),
            w.TellLeave: lambda _: self._all(sp.Leave()), w.Quit: self._quit,
            w.Say: lambda e: self.log(e.text),
        }  # fmt: skip

    def _figures(self, reading: Reading) -> w.Figures:
        return w.Figures(
            reading.workers, reading.stall_after, reading.restart_pause, reading.restart_pause_most,
            drain_limit=self.kill_after - EXIT_MARGIN,
        )  # fmt: skip

    def step(self, event: w.Event) -> None:
        self._perform(self.watch.step(event, self.clock.now()))

    def _perform(self, effects: list[w.Effect]) -> None:
        for effect in effects:
            self.do[type(effect)](effect)

    async def serve(self) -> int:
        """Serves until it is asked to stop; the exit status."""
        self.listener = bind(*self.config.listen)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self._drain)
        self.loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._perform(self.watch.start(self.clock.now()))
        self._tick()
        self._weigh()
        code = await self.over
        if self.tasks:
            await asyncio.wait(set(self.tasks), timeout=2)
        return code

    def _tick(self) -> None:
        mono, now = time.monotonic_ns(), self.clock.now()
        beats = {
            seat: now - timedelta(microseconds=(mono - beat) // 1000)
            for seat, beat in enumerate(self.board.beats())
            if beat
        }
        self.step(w.Tick(beats))
        if not self.over.done():
            self.loop.call_later(TICK, self._tick)

    def _weigh(self) -> None:
        self.step(w.Loads({n: life.load for n, life in self.lives.items() if not life.ended}))
        for life in self.lives.values():
            life.load = Load(0)
        if not self.over.done():
            self.loop.call_later(LOADS, self._weigh)

    def _drain(self) -> None:
        if not self.draining:
            self.draining = True
            schedule = DrainSchedule.begun(self.clock.now(), self.kill_after, successor=False)
            self.answer_by = schedule.answer_all
        self.step(w.DrainAsked())

    def _reload(self) -> None:
        def take(reading: Reading) -> None:
            self.reading = reading
            self.step(w.NewFigures(self._figures(reading)))
            for life in self.lives.values():
                self._with_settings(life, sp.Reload(dict(reading.environ)))
            if reading.changed:
                self.log(f"reload: {reading.changed}")

        reread(self.source, take, self.log)

    def _all(self, message: sp.Message) -> None:
        for life in self.lives.values():
            life.channel.say(message)

    def _quit(self, effect: w.Quit) -> None:
        for life in self.lives.values():
            if life.process is not None and not life.ended:
                with contextlib.suppress(ProcessLookupError):
                    life.process.kill()
        if not self.over.done():
            self.over.set_result(effect.code)

    # --- workers -------------------------------------------------------------------------------------------
    def _spawn(self, effect: w.Spawn) -> None:
        ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        channel = sp.Channel(ours, sp.ToGuardian, lambda m, _: None, lambda: None)
        life = Life(effect.seat, effect.life, channel)
        channel.heard = lambda message, _: self._heard(life, message)
        self.lives[effect.seat] = life
        task = self.loop.create_task(self._run(life, theirs))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run(self, life: Life, theirs: socket.socket) -> None:
        how = "could not be started"
        try:
            fds = theirs.fileno(), self.board.fd
            os.set_inheritable(fds[0], True)
            life.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "opalgauge.cores", *map(str, fds), str(self.board.seats),
                f"seat={life.seat}",
                pass_fds=fds, stdin=asyncio.subprocess.DEVNULL,
            )  # fmt: skip
            theirs.close()
            start = sp.Start(
                life.seat, life.number, self.board.seats, self.slots,
                self.reading.stall_after // timedelta(microseconds=1) * 1000, dict(self.reading.environ),
                self.reading.log_form, self.draining,
            )  # fmt: skip
            self._with_settings(life, start)
            code = await life.process.wait()
            how = f"signal {-code}" if code < 0 else f"exit {code}"
        except OSError as bad:
            how = str(bad)
        finally:
            theirs.close()
        life.channel.drain()
        life.channel.close()
        life.ended = True
        if not self.over.done():
            self.step(w.Exited(life.seat, life.number, how))

    def _with_settings(self, life: Life, message: sp.Message) -> None:
        fd = memory_file(told_again(self.reading))
        try:
            if not life.channel.say(message, fd) and not life.ended:
                # Guards against a worker on old settings: one that does not read is replaced soon, and its
                # next life starts with the new ones.
                self.loop.call_later(0.05, self._once_more, life, message)
        finally:
            os.close(fd)

    def _once_more(self, life: Life, message: sp.Message) -> None:
        if not life.ended and self.lives.get(life.seat) is life:
            self._with_settings(life, message)

    def _kill(self, effect: w.Kill) -> None:
        self.board.fence(effect.seat, effect.life)
        life = self.lives.get(effect.seat)
        if life is not None and life.number == effect.life and life.process is not None and not life.ended:
            with contextlib.suppress(ProcessLookupError):
                life.process.kill()

    def _join(self, effect: w.Join) -> None:
        """Links a worker that serves now with those that do already."""
        life = self.lives[effect.seat]
        for peer in effect.peers:
            other = self.lives.get(peer)
            if other is None or other.ended:
                continue
            a, b = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
            with a, b:
                life.channel.say(sp.Link(peer, other.number), a.fileno())
                other.channel.say(sp.Link(effect.seat, life.number), b.fileno())
        if self.roster is not None:
            life.channel.say(self.roster)
        if self.draining:
            life.channel.say(sp.Drain())

    def _publish(self, effect: w.Publish) -> None:
        r = effect.roster
        self.roster = sp.RosterIs(r.version, list(r.members), dict(r.split), r.fresh)
        self._all(self.roster)

    def _heard(self, life: Life, message: Any) -> None:
        if isinstance(message, sp.Gone):
            client = self.clients.get(message.slot)
            if client is not None and (client.seat, client.life) == (life.seat, life.number):
                self._forget(message.slot)
        elif isinstance(message, sp.IsReady):
            self.step(w.Ready(life.seat, life.number))
        elif isinstance(message, sp.Took):
            both = Load(life.load.total + message.total, [*life.load.busiest, *message.busiest])
            life.load = both
        elif isinstance(message, sp.IsDone):
            self.step(w.Done(life.seat, life.number))
        elif isinstance(message, sp.OrphanAnswer):
            self._orphan_answer(message)
        elif isinstance(message, sp.Orphans):
            held = {(slot, tag) for slot, tag in message.held}
            self.told.setdefault((message.seat, message.life), {})[life.seat] = held
            for slot, client in list(self.clients.items()):
                mark = client.awaits
                if mark and (client.seat, client.life) == (message.seat, message.life):
                    if mark.owner == life.seat and (slot, mark.tag) not in held:
                        self._settle(slot)
            while len(self.told) > 4 * len(self.lives):
                del self.told[next(iter(self.told))]

    # --- clients -------------------------------------------------------------------------------------------
    def _open_doors(self, _: w.OpenDoors) -> None:
        assert self.listener is not None
        try:
            self.listener.listen(BACKLOG)
        except OSError as bad:
            # Guards against another program that took the address while the workers came up.
            self.log(f"cannot start: {bad}")
            self._quit(w.Quit(2))
            return
        self.acceptor = Acceptor(self.listener, self._accepted)
        host, port = self.config.listen
        known = len(self.config.house.known)
        workers = self.board.seats
        self.log(f"ready: {self.config.name} on {host}:{port}, {known} stock nodes known, {workers} workers")

    def _close_doors(self, _: w.CloseDoors) -> None:
        if self.acceptor is not None:
            self.acceptor.close_when_empty()
        self._all(sp.Closed())

    def _accepted(self, sock: socket.socket, _: float) -> None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if not self.free:
            sock.close()  # the workers make room as they would alone; here every place is taken
            return
        self._deal(self.free.pop(), Client(sock, -1, 0), 0)

    def _deal(self, slot: int, client: Client, consumed: int, tries: int = DEALS) -> None:
        """Gives a connection, between two requests, to the worker that holds the fewest."""
        self.clients[slot] = client
        client.awaits = None
        self.board.fresh(slot, consumed)
        ready = [self.lives[n] for n in self.watch.serving if not self.lives[n].ended]
        for life in sorted(ready, key=lambda x: (x.held, x.seat)):
            if life.channel.say(sp.Deal(slot, consumed), client.sock.fileno()):
                client.seat, client.life = life.seat, life.number
                life.held += 1
                return
        client.seat, client.life = -1, 0
        if tries > 1:
            # Guards against a burst, as after a worker's end, that fills the channel of the one that is left.
            self.loop.call_later(DEAL_PAUSE, self._deal, slot, client, consumed, tries - 1)
        else:
            self._dismiss(slot, client)

    def _forget(self, slot: int) -> None:
        """The connection has ended at its worker: our descriptor of it is the last."""
        client = self.clients.pop(slot)
        if client.timer is not None:
            client.timer.cancel()
        self._count_off(client)
        client.sock.close()
        self.free.append(slot)

    def _count_off(self, client: Client) -> None:
        life = self.lives.get(client.seat)
        if life is not None and life.number == client.life:
            life.held -= 1

    def _last(self, slot: int, data: bytes) -> None:
        """The last answer on a connection. Its place stays taken until it is closed."""
        client = self.clients.pop(slot)
        if client.timer is not None:
            client.timer.cancel()
        self._count_off(client)
        # The loop holds on to it until it is closed, which may be at once.
        sockets.Last(client.sock, data, lambda: self.free.append(slot))

    def _refuse(self, slot: int) -> None:
        self._last(slot, sockets.answer_bytes(503, retry_ms=RETRY_MS))

    def _dismiss(self, slot: int, client: Client) -> None:
        """Nobody takes the connection: what it has just asked is refused, and a quiet one closed."""
        if sockets.unread(client.sock):
            self._refuse(slot)
        else:
            self._last(slot, b"")

    # --- what a worker left behind -------------------------------------------------------------------------
    def _take_over(self, effect: w.TakeOver) -> None:
        self.board.clear(effect.seat)
        for slot, client in list(self.clients.items()):
            if client.awaits is not None:
                if client.awaits.owner == effect.seat:
                    self._settle(slot)
            elif (client.seat, client.life) == (effect.seat, effect.life):
                self._inherit(slot, client, effect.gone)

    def _inherit(self, slot: int, client: Client, gone: frozenset[int]) -> None:
        mark = self.board.mark(slot)
        now = course(mark, sockets.kernel(client.sock), gone)
        if now is Course.DEAL:
            self._deal_on(slot, client)
        elif now is Course.KEEP:
            self.loop.add_reader(client.sock.fileno(), self._asks_again, slot)
            client.timer = self.loop.call_later(KEPT, self._asks_again, slot)
        elif now is Course.AWAIT:
            client.awaits = mark
            wait = (mark.until - time.monotonic_ns()) / 1e9 - 0.01
            if self.answer_by is not None:
                wait = min(wait, (self.answer_by - self.clock.now()).total_seconds())
            client.timer = self.loop.call_later(max(0.0, wait), self._settle, slot, 504)
            told = self.told.get((client.seat, client.life), {}).get(mark.owner)
            if answer := self.stash.pop((slot, mark.tag), None):
                self._orphan_answer(answer)
            elif told is not None and (slot, mark.tag) not in told:
                self._settle(slot)
        elif now is Course.FAIL:
            self._last(slot, sockets.answer_bytes(502))
        elif now is Course.REFUSE:
            self._refuse(slot)
        else:
            self._last(slot, b"")

    def _deal_on(self, slot: int, client: Client) -> None:
        """A connection of a life that has ended, between two requests."""
        if self.draining:
            self._dismiss(slot, client)
        else:
            self._count_off(client)
            self._deal(slot, client, sockets.kernel(client.sock).consumed)

    def _asks_again(self, slot: int) -> None:
        """A connection that was left with its answer has asked again, has ended, or was quiet for long."""
        client = self.clients[slot]
        self.loop.remove_reader(client.sock.fileno())
        if client.timer is not None:
            client.timer.cancel()
            client.timer = None
        if sockets.unread(client.sock):
            self._deal_on(slot, client)
        else:
            self._last(slot, b"")

    def _settle(self, slot: int, failed: int = 502) -> None:
        """Nobody is at work on it any more, or its time is up."""
        client = self.clients.get(slot)
        if client is None or client.awaits is None:
            return
        # What its owner began since its holder ended stands on the board, not in the mark that was read then.
        mark = self.board.mark(slot)
        if settled(mark) is Course.FAIL:
            self._last(slot, sockets.answer_bytes(failed))
        else:
            self._refuse(slot)

    def _orphan_answer(self, a: sp.OrphanAnswer) -> None:
        client = self.clients.get(a.slot)
        if client is None:
            return
        if client.awaits is None:
            # Its worker's end has yet to be heard of here, or the answer had arrived there.
            self.stash[a.slot, a.tag] = a
            while len(self.stash) > STASHED:
                del self.stash[next(iter(self.stash))]
        elif client.awaits.tag == a.tag:
            self._last(a.slot, sockets.answer_bytes(a.status, a.body, a.content_type, a.retry_ms))


def raise_limit() -> None:
    """As many descriptors as the system allows: the settings say how many of them are used."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    with contextlib.suppress(ValueError, OSError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


async def serve(reading: Reading, config: Config, source: Source, log: Log) -> int:
    return await Guardian(reading, config, source, log).serve()


def run(reading: Reading, source: Source, log: Log) -> int:
    """Serves on several cores until asked to stop. Raises ConfigError and OSError where it cannot start."""
    config = make_config(reading.told, reading.environ)
    if config.house.most_clients < 2 * reading.workers * 8:
        raise ConfigError(f"sockets are too few for {reading.workers} workers")
    raise_limit()
    return uvloop.run(serve(reading, config, source, log))
