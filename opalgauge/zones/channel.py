"""The edge of `opalgauge.zones`: steps the watch by a timer, carries its messages, reports what it judges."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import datetime

from opalgauge.memory.effects import ReportAttempt, ReportServers
from opalgauge.memory.events import Event, ZoneShareChanged
from opalgauge.wire.peers import PeerSocket
from opalgauge.zones import messages
from opalgauge.zones.watch import Judged, Note, Rules, Say, Watch

ROUND = 0.05  # s between steps


class Channel:
    """What one ingress judges of zones, beside its reducer. `wire`: to the other ingresses.

    Where it does not act, it judges and shows what it would do, and every zone keeps its whole share.
    """

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
        self.wire, self.secret, self.acts = wire, secret, rules.acts
        self.report, self.now, self.log = report, now, log
        started = now()
        life = int(started.timestamp() * 1000)
        self.watch = Watch(rules, started, life, seed)
        wire.handlers[messages.VERSION] = self._came
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self._round()

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()

    def seen(self, effect: ReportAttempt) -> None:
        self.watch.seen(effect, self.now())

    def listed(self, effect: ReportServers) -> None:
        self.watch.listed(effect.entries)

    def _came(self, data: bytes) -> bool:
        if message := messages.read(data, self.secret):
            self.watch.heard(message, self.now())
        return message is not None

    def _round(self) -> None:
        self.timer = self.loop.call_later(ROUND, self._round)
        for action in self.watch.tick(self.now()):
            match action:
                case Judged(zone, share, trial):
                    if self.acts:
                        self.report(ZoneShareChanged(zone, share, trial))
                case Say(peers, message):
                    data = messages.write(message, self.secret)
                    for peer in peers:
                        self.wire.send(data, peer)
                case Note(text):
                    self.log(text if self.acts else f"{text} (watching only)")

    @staticmethod
    def _ago(when: datetime | None, now: datetime) -> str:
        return "-" if when is None else f"{(now - when).total_seconds():.2f}"

    def figures(self) -> list[str]:
        """Lines for the admin endpoint: each zone's state, since when (s), its share and why; the peers."""
        now, lines = self.now(), []
        for place in self.watch.places:
            lines += [
                f"zone.{place.name}.state={place.state.name.lower()}",
                f"zone.{place.name}.since={(now - place.since).total_seconds():.1f}",
                f"zone.{place.name}.share={place.share:.2f}",
                f"zone.{place.name}.why={place.why.replace(' ', '_')}",
                f"zone.{place.name}.last_try={self._ago(place.last_try, now)}",
                f"zone.{place.name}.first_failed={self._ago(place.first_failed, now)}",
            ]
        return [
            *lines,
            f"peers.alive={self.watch.fleet.alive(now)}",
            f"peers.cut_off={int(self.watch.fleet.cut_off(now))}",
        ]
