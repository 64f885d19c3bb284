"""Drives the lease holder: steps it by a timer and connects it to the reducer, the counter and the peers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import datetime

from opalgauge.leases import messages
from opalgauge.leases.actions import AnswerCount, CallCounter, LogLine, ReportUsage, SendMessage
from opalgauge.leases.holder import LeaseConfig, LeaseHolder
from opalgauge.memory.effects import AskLeaseHolder, ReportAccount, ReportCounterResult
from opalgauge.memory.events import CounterCallRequested, Event, LeaseHolderAnswered
from opalgauge.wire.peers import PeerSocket

STEP_INTERVAL = 0.02  # seconds


class LeaseDriver:
    """Runs one ingress's lease holder beside its reducer.

    `report` takes events for the reducer. `on_usage` may be set to replicate what this ingress spends: it
    takes account, window, end of the window and units.
    """

    def __init__(
        self,
        config: LeaseConfig,
        peer_socket: PeerSocket,
        secret: bytes,
        seed: int,
        report: Callable[[Event], None],
        now: Callable[[], datetime],
        log: Callable[[str], None],
    ) -> None:
        self.peer_socket, self.secret, self.report, self.now, self.log = peer_socket, secret, report, now, log
        start_time = now()
        self.holder = LeaseHolder(config, start_time, int(start_time.timestamp() * 1000), seed)
        peer_socket.handlers[messages.VERSION] = self._on_datagram
        self.on_usage: Callable[[int, int, datetime, float], None] = lambda *_: None
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Takes a step now and every `STEP_INTERVAL` from now on."""
        self.timer = self.loop.call_later(STEP_INTERVAL, self.start)
        self.holder.tick(self.now())
        self._run_actions()

    def close(self) -> None:
        """Stops the timer."""
        if self.timer is not None:
            self.timer.cancel()

    def on_account(self, effect: ReportAccount) -> None:
        """A request of an account has arrived."""
        self.holder.add_account(
            effect.account, effect.plan_index, effect.account_gateways, effect.first_gateway, self.now()
        )

    def on_count(self, effect: AskLeaseHolder) -> None:
        """The gateway asks for a count."""
        self.holder.request_count(effect.name, effect.amount, effect.ttl, self.now())
        self._run_actions()

    def on_counter_result(self, effect: ReportCounterResult) -> None:
        """A counter call has ended."""
        self.holder.handle_counter_result(effect.token, effect.end, effect.total, self.now())
        self._run_actions()

    def _on_datagram(self, data: bytes) -> bool:
        if message := messages.decode_message(data, self.secret):
            self.holder.handle_message(message, self.now())
            self._run_actions()
        return message is not None

    def _run_actions(self) -> None:
        for action in self.holder.take_actions():
            match action:
                case AnswerCount(name, total, duration, end):
                    self.report(LeaseHolderAnswered(name, total, duration, end))
                case CallCounter(token, name, amount, ttl):
                    self.report(CounterCallRequested(token, name, amount, ttl))
                case SendMessage(peer, message):
                    self.peer_socket.send(messages.encode_message(message, self.secret), peer)
                case ReportUsage(account, window, ends_at, units):
                    self.on_usage(account, window, ends_at, units)
                case LogLine(text):
                    self.log(text)

    def figures(self) -> list[str]:
        """Lines for the admin endpoint."""
        holder, now = self.holder, self.now()
        since = holder.counter_health.trouble_since
        without_counter = sum(p.without_counter for p in holder.peers.values())
        return [
            f"leases.counter={holder.counter_health.state(now).value}",
            f"leases.gone_for={(now - since).total_seconds() if since is not None else 0.0:.1f}",
            f"leases.asks={holder.counts_asked}",
            f"leases.calls={holder.counter_calls}",
            f"leases.alone={holder.detached_counts}",
            f"leases.calls_at_once={int(holder.counter_health.calls_at_once)}",
            f"leases.given={holder.units_granted:.1f}",
            f"leases.taken={holder.units_received:.1f}",
            f"leases.peers_without_counter={without_counter}",
        ]
