"""The edge of `opalgauge.replica`: between the reducer, its decisions' judgements and the other copies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import UTC, datetime

from opalgauge.memory.effects import ReplicateBan
from opalgauge.memory.events import BansReceived, BanStatus, EjectionsReceived, Event
from opalgauge.replica import messages
from opalgauge.replica.clock import EPOCH, MICROSECOND, when
from opalgauge.replica.crdt import Parts, Register
from opalgauge.replica.gossip import Gossip
from opalgauge.replica.store import Change, Kind, Store
from opalgauge.wire.peers import PeerSocket
from opalgauge.wire.server_list import server_id_for

ROUND = 0.05  # s between steps
QUORUM = 2  # other ingresses that have ejected a stock node: one may be cut off from it
READY_ROUND = 0.01  # s
TENTHS = 10  # of a unit

Ejection = tuple[int, float, int, float]  # stock node, its start, kind of request, until when (Unix s)


class Channel:
    """One ingress's copy beside its reducer. `ejections`: what its own decisions have ejected now."""

    def __init__(
        self,
        me: int,
        ingresses: int,
        wire: PeerSocket,
        secret: bytes,
        seed: int,
        report: Callable[[Event], None],
        now: Callable[[], datetime],
        ejections: Callable[[], list[Ejection]],
    ) -> None:
        self.wire, self.secret, self.report, self.now, self.ejections = wire, secret, report, now, ejections
        started = now()
        self.store = Store(me, int(started.timestamp() * 1000))
        self.gossip = Gossip(self.store, ingresses, started, seed)
        self.said: dict[str, float] = {}  # what this ingress has told of itself, and until when
        self.quorum = min(QUORUM, max(1, ingresses - 1))
        wire.handlers[messages.VERSION] = self._came
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self.timer = self.loop.call_later(ROUND, self.start)
        self._judge()
        self.gossip.tick(self.now())
        self._act()

    async def ready(self) -> None:
        """Waits until the bans that the others know are known here; no longer than a start can bear."""
        while not self.gossip.caught_up:
            await asyncio.sleep(READY_ROUND)

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()

    def marked(self, effect: ReplicateBan) -> None:
        mark = effect.ban
        self.gossip.changed(self.store.set_ban(mark.name, mark.banned, self.now(), mark.at))

    def spent(self, account: int, window: int, over: datetime, units: float) -> None:
        """This ingress has spent so much more of an account's window that ends then."""
        what = self._account(account, window, over)
        self.gossip.changed(self.store.count(what, round(units * TENTHS), self.now()))

    def heard_of(self, account: int, window: int, over: datetime) -> float | None:
        """Units that all ingresses have told of an account's window; None where none has."""
        item = self.store.items.get((Kind.COUNT, self._account(account, window, over)))
        return item.total / TENTHS if isinstance(item, Parts) else None

    @staticmethod
    def _account(account: int, window: int, over: datetime) -> str:
        return f"{account}:{window}@{(over - EPOCH) // MICROSECOND}"

    def _came(self, data: bytes) -> bool:
        if message := messages.read(data, self.secret):
            self.gossip.heard(message, self.now())
            self._act()
        return message is not None

    def _judge(self) -> None:
        """What the decisions have ejected, or taken back by a good answer, since the last look."""
        now, held = self.now(), set()
        for node, started, kind, until in self.ejections():
            what = f"{node}:{round(started * 1000)}:{kind}"
            held.add(what)
            own = self.said.get(what)
            if own is None and len(self.store.judged(what, now)) >= self.quorum:
                continue  # heard of others, and not seen here
            if own is None or until > own:
                self.said[what] = until
                at = datetime.fromtimestamp(until, UTC)
                self.gossip.changed(self.store.judge(what, at, now))
        for what in [w for w, until in self.said.items() if w not in held]:
            if self.said.pop(what) > now.timestamp():
                self.gossip.changed(self.store.acquit(what, now))

    def _act(self) -> None:
        said, news = self.gossip.take()
        for say in said:
            self.wire.send(messages.write(say.message, self.secret), say.peer)
        marks, found = [], []
        for change in news:
            kind, name = change.key
            if kind == Kind.BAN and isinstance(change.item, Register):
                out, at = bool(change.item.value), when(change.item.stamp)
                marks.append(BanStatus(name, server_id_for(name), out, at))
            elif kind == Kind.JUDGEMENT:
                found += self._found(change)
        if marks:
            self.report(BansReceived(tuple(marks), persist=True))
        if found:
            self.report(EjectionsReceived(tuple(found)))

    def _found(self, change: Change) -> list[Ejection]:
        held = self.store.judged(change.key[1], self.now())
        held.pop(self.store.me, None)
        if len(held) < self.quorum:
            return []
        node, started, kind = (int(part) for part in change.key[1].split(":"))
        until = sorted(held.values())[-self.quorum]
        return [(node, started / 1000, kind, when(until).timestamp())]

    def figures(self) -> list[str]:
        """Lines for the admin endpoint."""
        kinds = [key[0] for key in self.store.items]
        return [
            f"replica.digest={self.store.digest()}",
            f"replica.caught_up={int(self.gossip.caught_up)}",
            f"replica.copies_alive={self.gossip.alive()}",
            f"replica.copies_agreeing={self.gossip.agreeing()}",
            f"replica.bans={kinds.count(Kind.BAN)}",
            f"replica.judgements={kinds.count(Kind.JUDGEMENT)}",
            f"replica.counts={kinds.count(Kind.COUNT)}",
            f"replica.words_said={self.gossip.said}",
            f"replica.words_waiting={len(self.gossip.queue)}",
            f"replica.items_refused={self.store.refused}",
        ]
