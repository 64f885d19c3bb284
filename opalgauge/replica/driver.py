"""Drives a replica: steps its gossip by a timer and connects it to the reducer, the gateway and the peers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import UTC, datetime

from opalgauge.memory.effects import ReplicateBan
from opalgauge.memory.events import BansReceived, BanStatus, EjectionsReceived, Event
from opalgauge.replica import messages
from opalgauge.replica.clock import MICROSECOND, UNIX_EPOCH, to_datetime
from opalgauge.replica.crdt import GrowOnlyCounter, LwwRegister
from opalgauge.replica.gossip import Gossip
from opalgauge.replica.store import Change, ItemKind, ReplicaStore
from opalgauge.wire.peers import PeerSocket
from opalgauge.wire.server_list import server_id_for

STEP_INTERVAL = 0.05  # seconds
EJECTION_QUORUM = 2  # peers that have ejected a server; a single one may be cut off from it
READY_POLL_INTERVAL = 0.01  # seconds
TENTHS_PER_UNIT = 10

Ejection = tuple[int, float, int, float]  # server, its start (s), request class, end (Unix s)


class ReplicaDriver:
    """Runs one ingress's replica beside its reducer.

    `report` takes events for the reducer. `ejections` returns the gateway's active ejections.
    """

    def __init__(
        self,
        own_index: int,
        fleet_size: int,
        peer_socket: PeerSocket,
        secret: bytes,
        seed: int,
        report: Callable[[Event], None],
        now: Callable[[], datetime],
        ejections: Callable[[], list[Ejection]],
    ) -> None:
        self.peer_socket, self.secret, self.report, self.now, self.ejections = (
            peer_socket,
            secret,
            report,
            now,
            ejections,
        )
        start_time = now()
        self.store = ReplicaStore(own_index, int(start_time.timestamp() * 1000))
        self.gossip = Gossip(self.store, fleet_size, start_time, seed)
        self.published: dict[str, float] = {}  # own ejections and their end (Unix s)
        self.ejection_quorum = min(EJECTION_QUORUM, max(1, fleet_size - 1))
        peer_socket.handlers[messages.VERSION] = self._on_datagram
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Takes a step now and every `STEP_INTERVAL` from now on."""
        self.timer = self.loop.call_later(STEP_INTERVAL, self.start)
        self._publish_ejections()
        self.gossip.tick(self.now())
        self._run_outputs()

    async def wait_caught_up(self) -> None:
        """Waits for the bans of the peers, at most for `CATCH_UP_TIMEOUT` of the gossip."""
        while not self.gossip.caught_up:
            await asyncio.sleep(READY_POLL_INTERVAL)

    def close(self) -> None:
        """Stops the timer."""
        if self.timer is not None:
            self.timer.cancel()

    def on_ban(self, effect: ReplicateBan) -> None:
        """Staff have banned a server or lifted its ban at this ingress."""
        ban = effect.ban
        self.gossip.announce(self.store.set_ban(ban.name, ban.banned, self.now(), ban.at))

    def add_usage(self, account: int, window: int, ends_at: datetime, units: float) -> None:
        """This ingress has spent further units of an account's window."""
        name = self._usage_name(account, window, ends_at)
        self.gossip.announce(self.store.add_usage(name, round(units * TENTHS_PER_UNIT), self.now()))

    def usage(self, account: int, window: int, ends_at: datetime) -> float | None:
        """Units of an account's window that all ingresses have reported; None if none has."""
        item = self.store.items.get((ItemKind.COUNT, self._usage_name(account, window, ends_at)))
        return item.total / TENTHS_PER_UNIT if isinstance(item, GrowOnlyCounter) else None

    @staticmethod
    def _usage_name(account: int, window: int, ends_at: datetime) -> str:
        return f"{account}:{window}@{(ends_at - UNIX_EPOCH) // MICROSECOND}"

    def _on_datagram(self, data: bytes) -> bool:
        if message := messages.decode_message(data, self.secret):
            self.gossip.handle_message(message, self.now())
            self._run_outputs()
        return message is not None

    def _publish_ejections(self) -> None:
        """Publishes what the gateway has ejected, or taken back after a good answer, since the last step."""
        now, held = self.now(), set()
        for server_id, server_start, class_index, until in self.ejections():
            name = f"{server_id}:{round(server_start * 1000)}:{class_index}"
            held.add(name)
            own = self.published.get(name)
            if own is None and len(self.store.ejected_by(name, now)) >= self.ejection_quorum:
                continue  # learned from peers, not seen here
            if own is None or until > own:
                self.published[name] = until
                at = datetime.fromtimestamp(until, UTC)
                self.gossip.announce(self.store.add_ejection(name, at, now))
        for name in [n for n, until in self.published.items() if n not in held]:
            if self.published.pop(name) > now.timestamp():
                self.gossip.announce(self.store.clear_ejection(name, now))

    def _run_outputs(self) -> None:
        outgoing, changes = self.gossip.take_outputs()
        for sent in outgoing:
            self.peer_socket.send(messages.encode_message(sent.message, self.secret), sent.peer)
        bans, ejections = [], []
        for change in changes:
            kind, name = change.key
            if kind == ItemKind.BAN and isinstance(change.item, LwwRegister):
                banned, at = bool(change.item.value), to_datetime(change.item.stamp)
                bans.append(BanStatus(name, server_id_for(name), banned, at))
            elif kind == ItemKind.EJECTION:
                ejections += self._confirmed_ejections(change)
        if bans:
            self.report(BansReceived(tuple(bans), persist=True))
        if ejections:
            self.report(EjectionsReceived(tuple(ejections)))

    def _confirmed_ejections(self, change: Change) -> list[Ejection]:
        held = self.store.ejected_by(change.key[1], self.now())
        held.pop(self.store.own_index, None)
        if len(held) < self.ejection_quorum:
            return []
        server_id, server_start, class_index = (int(part) for part in change.key[1].split(":"))
        until = sorted(held.values())[-self.ejection_quorum]
        return [(server_id, server_start / 1000, class_index, to_datetime(until).timestamp())]

    def figures(self) -> list[str]:
        """Lines for the admin endpoint."""
        kinds = [key[0] for key in self.store.items]
        return [
            f"replica.digest={self.store.digest()}",
            f"replica.caught_up={int(self.gossip.caught_up)}",
            f"replica.copies_alive={self.gossip.count_alive()}",
            f"replica.copies_agreeing={self.gossip.count_agreeing()}",
            f"replica.bans={kinds.count(ItemKind.BAN)}",
            f"replica.judgements={kinds.count(ItemKind.EJECTION)}",
            f"replica.counts={kinds.count(ItemKind.COUNT)}",
            f"replica.words_said={self.gossip.sent_count}",
            f"replica.words_waiting={len(self.gossip.send_queue)}",
            f"replica.items_refused={self.store.refused}",
        ]
