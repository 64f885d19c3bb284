"""Gossip and anti-entropy between replicas. No I/O, no clock.

A change is sent to all peers at once, or in large fleets to some that pass it on. Every round a replica sends
its branch hashes to one peer. Where they differ, the two exchange the hashes of the leaves, and then the
items of the leaves that differ. So a message that is lost, late, repeated or overtaken only costs time.

A replica that starts empty asks its peers for everything, bans first, and sends no hashes until it has caught
up.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from itertools import islice

from opalgauge.replica.messages import Message, pack_items
from opalgauge.replica.store import BAN_BRANCHES, BRANCHES, LEAVES, Change, Key, ReplicaStore

ROUND_INTERVAL = timedelta(milliseconds=300)  # mean time between two sendings of branch hashes
SUSPECT_AFTER = timedelta(seconds=5)  # without a message, after which a peer counts as gone
GONE_PEER_SHARE = 0.3  # of the rounds that gone peers would get by their number
SMALL_FLEET_SIZE, FANOUT = 12, 4  # with more ingresses, a replica passes a change on to FANOUT peers
SEND_RATE, SEND_BURST = 40.0, 40.0  # messages per second and at once: at most 80 in any second
RETRY_DELAY = timedelta(milliseconds=80)  # of hashes that differed, as the answer to them may be lost
MAX_ANSWERED_BRANCHES = 4  # per message with branch hashes
CATCH_UP_TIMEOUT = timedelta(milliseconds=1500)  # then a replica that was told nothing serves without
HELLO_INTERVAL = timedelta(milliseconds=250)  # between two hellos of an empty replica
EXPIRY_INTERVAL = timedelta(seconds=1)
MAX_QUEUED = 2000  # messages; what is dropped beyond shows by the hashes


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a peer. It may be lost."""

    peer: int
    message: Message


@dataclass(slots=True)
class Peer:
    """What is known of a peer. `agreed_at` is the last time that its hashes equalled ours."""

    incarnation: int = -1
    heard_at: datetime | None = None
    agreed_at: datetime | None = None


class Gossip:
    """Keeps one replica equal to those of its peers.

    `caught_up` says that the replica has the bans of its peers, or that it could not get them in time.
    """

    def __init__(self, store: ReplicaStore, fleet_size: int, now: datetime, seed: int) -> None:
        self.store, self.now, self.started_at = store, now, now
        self.rng = random.Random(seed)
        self.peers = {n: Peer() for n in range(fleet_size) if n != store.own_index}
        # Changed keys that still have to be sent, by peer and in the order of the changes.
        self.pending_changes: dict[int, dict[Key, None]] = {n: {} for n in self.peers}
        self.send_queue: deque[tuple[int, Message]] = deque()
        self.send_credit, self.credit_updated_at = SEND_BURST, now
        self.next_round_at = now + ROUND_INTERVAL * self.rng.random()
        self.next_hello_at = self.last_expiry_at = now
        self.caught_up = not self.peers
        self.differing_peer: int | None = None  # the last peer whose hashes differed
        self.empty_peers: set[int] = set()  # sent a hello, and no hashes since
        self.last_sequence = 0
        self.sent_count = 0
        self.outgoing: list[SendMessage] = []
        self.received_changes: list[Change] = []  # from peers, for the reducer

    def take_outputs(self) -> tuple[list[SendMessage], list[Change]]:
        """Returns the messages to send, and the changes from peers, since the last call."""
        outgoing, self.outgoing, received_changes, self.received_changes = (
            self.outgoing,
            [],
            self.received_changes,
            [],
        )
        return outgoing, received_changes

    # --- inputs --------------------------------------------------------------------------------------------
    def announce(self, change: Change | None, learned_from: int = -1) -> None:
        """Sends a change to the peers. `learned_from` is the peer that it came from; -1: this ingress."""
        if change is None:
            return
        others = [n for n in self.peers if n != learned_from]
        if len(self.peers) >= SMALL_FLEET_SIZE:
            alive = [n for n in others if self._is_alive(n)] or others
            others = self.rng.sample(alive, min(FANOUT, len(alive)))
        elif learned_from >= 0:
            return  # its source sends it to all
        for n in others:
            self.pending_changes[n][change.key] = None

    def handle_message(self, message: Message, now: datetime) -> None:
        """A peer's message has come."""
        self.now = max(self.now, now)
        peer = self.peers.get(message.sender)
        if peer is None or message.incarnation < peer.incarnation:
            return
        peer.incarnation, peer.heard_at = message.incarnation, self.now
        for key, item in message.items:
            if (change := self.store.merge(key, item, self.now)) is not None:
                self.received_changes.append(change)
                self.announce(change, message.sender)
        if message.hello:
            self.empty_peers.add(message.sender)
            self._send_everything(message.sender)
        if message.branch_hashes:
            self._compare_branches(message.sender, list(message.branch_hashes))
        if message.leaf_hashes is not None:
            self._send_differing_leaves(message.sender, *message.leaf_hashes)

    def tick(self, now: datetime) -> None:
        """Does what is due. To be called about twenty times a second."""
        self.now = max(self.now, now)
        if self.now - self.last_expiry_at >= EXPIRY_INTERVAL:
            self.last_expiry_at = self.now
            self.store.expire(self.now)
        if not self.caught_up:
            self._catch_up()
        if self.now >= self.next_round_at and self.peers and self.caught_up:
            self.next_round_at = self.now + ROUND_INTERVAL * (0.75 + self.rng.random() / 2)
            peer, self.differing_peer = (
                self._pick_peer() if self.differing_peer is None else self.differing_peer,
                None,
            )
            if peer is not None:
                self._enqueue(
                    peer,
                    Message(
                        self.store.own_index, self.store.incarnation, 0, branch_hashes=self._branch_hashes()
                    ),
                )
        for n, keys in self.pending_changes.items():
            if keys:
                items = [(key, self.store.items[key]) for key in keys if key in self.store.items]
                keys.clear()
                for batch in pack_items(items):
                    self._enqueue(
                        n, Message(self.store.own_index, self.store.incarnation, 0, items=batch), urgent=True
                    )
        self._send_queued()

    # --- anti-entropy --------------------------------------------------------------------------------------
    def _branch_hashes(self) -> tuple[bytes, ...]:
        return tuple(self.store.branch_hashes)

    def _compare_branches(self, peer: int, peer_hashes: list[bytes]) -> None:
        own_hashes = self.store.branch_hashes
        self.empty_peers.discard(peer)
        if not self.caught_up and self.store.bans_equal(peer_hashes):
            self.caught_up = True
        differing = [n for n in range(BRANCHES) if peer_hashes[n] != own_hashes[n]]
        if not differing:
            self.peers[peer].agreed_at = self.now
        elif self.caught_up:
            self.next_round_at = min(self.next_round_at, self.now + RETRY_DELAY)
            self.differing_peer = peer
        for n in differing[:MAX_ANSWERED_BRANCHES]:
            # A branch that fits one message is sent with the hashes and does not wait for the answer to them:
            # at 50% loss, each further message that has to arrive doubles the time.
            batches = list(islice(pack_items(self.store.branch_items(n)), 2))
            if len(batches) == 1:
                self._enqueue(
                    peer, Message(self.store.own_index, self.store.incarnation, 0, items=batches[0])
                )
            leaf_hashes = n, tuple(self.store.leaf_hashes[n]), False
            self._enqueue(
                peer, Message(self.store.own_index, self.store.incarnation, 0, leaf_hashes=leaf_hashes)
            )

    def _send_differing_leaves(
        self, peer: int, branch: int, peer_hashes: tuple[bytes, ...], is_answer: bool
    ) -> None:
        own_hashes = self.store.leaf_hashes[branch]
        differing = [n for n in range(LEAVES) if peer_hashes[n] != own_hashes[n]]
        for batch in pack_items(i for n in differing for i in self.store.leaf_items(branch, n)):
            self._enqueue(peer, Message(self.store.own_index, self.store.incarnation, 0, items=batch))
        if differing and not is_answer:
            self._enqueue(
                peer,
                Message(
                    self.store.own_index,
                    self.store.incarnation,
                    0,
                    leaf_hashes=(branch, tuple(own_hashes), True),
                ),
            )

    def _send_everything(self, peer: int) -> None:
        """Sends all items to an empty replica. What gets lost shows by the hashes."""
        if any(n == peer and message.items for n, message in self.send_queue):
            return  # already on the way
        everything = (i for b in range(BRANCHES) for i in self.store.branch_items(b))
        bans = (i for b in range(BAN_BRANCHES) for i in self.store.branch_items(b))
        own_index, incarnation = self.store.own_index, self.store.incarnation
        # The peer with the lowest number sends everything. All others send the bans, as messages may be lost.
        lowest = min(k for k in (own_index, *self.peers) if k != peer)
        for batch in pack_items(everything if lowest == own_index else bans):
            self._enqueue(peer, Message(own_index, incarnation, 0, items=batch))
        if self.caught_up:
            self._enqueue(peer, Message(own_index, incarnation, 0, branch_hashes=self._branch_hashes()))

    def _catch_up(self) -> None:
        # If all replicas have just started, there is nothing to catch up with.
        if self.now - self.started_at >= CATCH_UP_TIMEOUT or len(self.empty_peers) == len(self.peers):
            self.caught_up = True
        elif self.now >= self.next_hello_at:
            self.next_hello_at = self.now + HELLO_INTERVAL
            for n in self.rng.sample(sorted(self.peers), min(FANOUT, len(self.peers))):
                self._enqueue(
                    n, Message(self.store.own_index, self.store.incarnation, 0, hello=True), urgent=True
                )

    # --- peers and sending ---------------------------------------------------------------------------------
    def _is_alive(self, peer: int) -> bool:
        heard_at = self.peers[peer].heard_at
        return heard_at is not None and self.now - heard_at <= SUSPECT_AFTER

    def _pick_peer(self) -> int | None:
        alive = [n for n in self.peers if self._is_alive(n)]
        gone = [n for n in self.peers if n not in alive]
        if gone and (not alive or self.rng.random() < GONE_PEER_SHARE * len(gone) / len(self.peers)):
            return self.rng.choice(gone)
        return self.rng.choice(alive) if alive else None

    def _enqueue(self, peer: int, message: Message, urgent: bool = False) -> None:
        if len(self.send_queue) >= MAX_QUEUED:
            return  # bounds the memory; the hashes will show what is missing
        if urgent:
            self.send_queue.appendleft((peer, message))
        else:
            self.send_queue.append((peer, message))

    def _send_queued(self) -> None:
        refill = (self.now - self.credit_updated_at).total_seconds() * SEND_RATE
        self.send_credit, self.credit_updated_at = min(SEND_BURST, self.send_credit + refill), self.now
        while self.send_queue and self.send_credit >= 1:
            peer, message = self.send_queue.popleft()
            self.send_credit -= 1
            self.last_sequence += 1
            self.sent_count += 1
            self.outgoing.append(SendMessage(peer, replace(message, sequence=self.last_sequence)))

    def count_alive(self) -> int:
        """The number of live replicas, this one included."""
        return 1 + sum(self._is_alive(n) for n in self.peers)

    def count_agreeing(self) -> int:
        """The number of peers whose hashes equalled this replica's within the last few rounds."""
        since = self.now - ROUND_INTERVAL * 4 * max(1, len(self.peers))
        return sum(p.agreed_at is not None and p.agreed_at >= since for p in self.peers.values())
