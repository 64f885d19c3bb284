"""The edge of `opalgauge.leases`: between the reducer, the quota counter's calls and the peers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import datetime

from opalgauge.leases import messages
from opalgauge.leases.actions import CallCounter, LogLine, ReportUse, SendMessage, TellTotal
from opalgauge.leases.holder import Leases, Rules
from opalgauge.memory.effects import AskLeaseHolder, ReportAccount, ReportCounterResult
from opalgauge.memory.events import CounterCallRequested, Event, LeaseHolderAnswered
from opalgauge.wire.peers import PeerSocket

ROUND = 0.02  # s between steps


class Channel:
    """One ingress's leases beside its reducer."""

    def __init__(
        self,
        rules: Rules,
        wire: PeerSocket,
        secret: bytes,
        seed: int,
        report: Callable[[Event], None],
        now: Callable[[], datetime],
        log: Callable[[str], None],
    ) -> None:
        self.wire, self.secret, self.report, self.now, self.log = wire, secret, report, now, log
        started = now()
        self.leases = Leases(rules, started, int(started.timestamp() * 1000), seed)
        wire.handlers[messages.VERSION] = self._came
        # Account, window, its end and units; heard where state is replicated.
        self.spent: Callable[[int, int, datetime, float], None] = lambda *_: None
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self.timer = self.loop.call_later(ROUND, self.start)
        self.leases.tick(self.now())
        self._act()

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()

    def met(self, effect: ReportAccount) -> None:
        self.leases.met(
            effect.account, effect.plan_index, effect.account_gateways, effect.first_gateway, self.now()
        )

    def asked(self, effect: AskLeaseHolder) -> None:
        self.leases.asked(effect.name, effect.amount, effect.ttl, self.now())
        self._act()

    def counted(self, effect: ReportCounterResult) -> None:
        self.leases.counted(effect.token, effect.end, effect.total, self.now())
        self._act()

    def _came(self, data: bytes) -> bool:
        if message := messages.read(data, self.secret):
            self.leases.heard(message, self.now())
            self._act()
        return message is not None

    def _act(self) -> None:
        for action in self.leases.take():
            match action:
                case TellTotal(name, total, took, end):
                    self.report(LeaseHolderAnswered(name, total, took, end))
                case CallCounter(token, name, amount, life):
                    self.report(CounterCallRequested(token, name, amount, life))
                case SendMessage(peer, message):
                    self.wire.send(messages.write(message, self.secret), peer)
                case ReportUse(account, window, over, units):
                    self.spent(account, window, over, units)
                case LogLine(text):
                    self.log(text)

    def figures(self) -> list[str]:
        """Lines for the admin endpoint."""
        leases, now = self.leases, self.now()
        since = leases.counter.since
        away = sum(p.down for p in leases.peers.values())
        return [
            f"leases.counter={leases.counter.state(now).value}",
            f"leases.gone_for={(now - since).total_seconds() if since is not None else 0.0:.1f}",
            f"leases.asks={leases.asks}",
            f"leases.calls={leases.calls}",
            f"leases.alone={leases.alone_asks}",
            f"leases.calls_at_once={int(leases.counter.calls_at_once)}",
            f"leases.given={leases.given:.1f}",
            f"leases.taken={leases.taken:.1f}",
            f"leases.peers_without_counter={away}",
        ]
