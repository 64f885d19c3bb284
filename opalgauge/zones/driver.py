"""Drives the zone watch: steps it by a timer and connects it to the reducer and the peers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import datetime

from opalgauge.memory.effects import ReportAttempt, ReportServers
from opalgauge.memory.events import Event, ZoneShareChanged
from opalgauge.wire.peers import PeerSocket
from opalgauge.zones import messages
from opalgauge.zones.watch import ChangeShare, LogLine, SendMessage, ZoneConfig, ZoneWatch

STEP_INTERVAL = 0.05  # seconds


class ZoneDriver:
    """Runs one ingress's zone watch beside its reducer. `report` takes events for the reducer.

    Without `enforce` in the settings it only logs and shows what it would do, and all zones keep their share.
    """

    def __init__(
        self,
        config: ZoneConfig,
        peer_socket: PeerSocket,
        secret: bytes,
        seed: int,
        report: Callable[[Event], None],
        now: Callable[[], datetime],
        log: Callable[[str], None],
    ) -> None:
        self.peer_socket, self.secret, self.enforce = peer_socket, secret, config.enforce
        self.report, self.now, self.log = report, now, log
        start_time = now()
        incarnation = int(start_time.timestamp() * 1000)
        self.watch = ZoneWatch(config, start_time, incarnation, seed)
        peer_socket.handlers[messages.VERSION] = self._on_datagram
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Takes a step now and every `STEP_INTERVAL` from now on."""
        self._step()

    def close(self) -> None:
        """Stops the timer."""
        if self.timer is not None:
            self.timer.cancel()

    def on_attempt(self, effect: ReportAttempt) -> None:
        """An attempt or a trial has begun or ended."""
        self.watch.record_attempt(effect, self.now())

    def on_servers(self, effect: ReportServers) -> None:
        """The server list has changed."""
        self.watch.update_servers(effect.entries)

    def _on_datagram(self, data: bytes) -> bool:
        if message := messages.decode_message(data, self.secret):
            self.watch.handle_message(message, self.now())
        return message is not None

    def _step(self) -> None:
        self.timer = self.loop.call_later(STEP_INTERVAL, self._step)
        for action in self.watch.tick(self.now()):
            match action:
                case ChangeShare(zone, share, trial_server):
                    if self.enforce:
                        self.report(ZoneShareChanged(zone, share, trial_server))
                case SendMessage(peers, message):
                    data = messages.encode_message(message, self.secret)
                    for peer in peers:
                        self.peer_socket.send(data, peer)
                case LogLine(text):
                    self.log(text if self.enforce else f"{text} (watching only)")

    @staticmethod
    def _seconds_since(when: datetime | None, now: datetime) -> str:
        return "-" if when is None else f"{(now - when).total_seconds():.2f}"

    def figures(self) -> list[str]:
        """Lines for the admin endpoint: of each zone state, its age (s), share and reason; of the peers."""
        now, lines = self.now(), []
        for status in self.watch.zones:
            lines += [
                f"zone.{status.name}.state={status.state.name.lower()}",
                f"zone.{status.name}.since={(now - status.since).total_seconds():.1f}",
                f"zone.{status.name}.share={status.share:.2f}",
                f"zone.{status.name}.why={status.reason.replace(' ', '_')}",
                f"zone.{status.name}.last_try={self._seconds_since(status.last_attempt_at, now)}",
                f"zone.{status.name}.first_failed={self._seconds_since(status.no_success_since, now)}",
            ]
        return [
            *lines,
            f"peers.alive={self.watch.fleet.count_alive(now)}",
            f"peers.cut_off={int(self.watch.fleet.is_cut_off(now))}",
        ]
