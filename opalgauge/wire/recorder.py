"""A bounded record of what a process did last, for whoever looks into an incident.

Events and effects go in as they pass between the reducer and the sockets, a few plain values each. They are
put into words only when somebody asks: the admin endpoint, SIGUSR1, or a process that ends and owes answers.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from datetime import datetime, timedelta
from enum import Enum
from operator import attrgetter
from pathlib import Path
from typing import Any, NamedTuple

from opalgauge.memory import effects as fx
from opalgauge.memory import events as ev

MOST = 4000  # entries: some hundred requests


class Kind(NamedTuple):
    """How one kind of event or effect is taken down: cheaply when it passes, in words when somebody asks.

    `values` takes what the words need and nothing that is large, as a body is.
    """

    text: str
    values: Callable[[Any], tuple[Any, ...]]


def _kind(text: str, *fields: str) -> Kind:
    if len(fields) > 1:
        return Kind(text, attrgetter(*fields))
    if not fields:
        return Kind(text, lambda _: ())
    one = attrgetter(fields[0])
    return Kind(text, lambda what: (one(what),))


KINDS: dict[type, Kind] = {
    ev.RequestReceived: _kind(
        "request {} taken: id {}, client {}, class {}, account {:x}, waits {:.3f} s, units {:g}",
        "request_id", "http_request.correlation_id", "client_id", "class_index", "account", "time_left",
        "units",
    ),
    ev.ClientConnected: _kind("client {} connected", "client_id"),
    ev.ClientDisconnected: _kind("client {} gone", "client_id"),
    ev.RequestHeadStarted: _kind("client {}: a request begins", "client_id"),
    ev.RequestBodyStarted: _kind("client {}: a body comes", "client_id"),
    ev.ConnectionOpened: _kind("connection {} up", "connection_id"),
    ev.ConnectionLost: _kind("connection {} ended by the other side, {}", "connection_id", "progress"),
    ev.ConnectionStale: _kind("connection {} was over before it was used", "connection_id"),
    ev.ServerAnswered: _kind("connection {} answered: {}", "connection_id", "end"),
    ev.StreamedAnswerStarted: _kind("connection {} answers at length", "connection_id"),
    ev.StreamedAnswerEnded: _kind("request {}: long answer over, whole {}", "request_id", "complete"),
    ev.ProcessCountChanged: _kind("{} processes of this ingress", "process_count"),
    ev.OtherProcessAccepting: _kind("another process of this ingress accepts clients: {}", "accepting"),
    ev.ServerListAnswered: _kind("node list version {}", "version"),
    ev.DrainRequested: _kind("asked to stop, successor {}", "has_successor"),
    fx.OpenConnection: _kind("connection {} to {} {}", "connection_id", "destination", "address"),
    fx.CloseConnection: _kind("connection {} closed: {}", "connection_id", "reason"),
    fx.SendAttempt: _kind(
        "request {} sent over connection {}, told {:.3f} s", "request_id", "connection_id", "time_left",
    ),
    fx.AnswerClient: _kind(
        "request {} answered {}: {}, last {}", "request_id", "status", "reason", "close_connection",
    ),
    fx.CloseClient: _kind("client {} closed: {}", "client_id", "reason"),
    fx.AbortClient: _kind("client {} cut off", "client_id"),
    fx.StopReadingBodies: _kind("bodies that have not come are answered"),
    fx.StopAccepting: _kind("no more connections, another process takes them"),
    fx.ResumeAccepting: _kind("connections are accepted again"),
    fx.StopListening: _kind("no more connections"),
    fx.Exit: _kind("leaving"),
}  # fmt: skip


def _plain(value: Any) -> Any:
    """A value as the words show it: seconds of a span, the name of a choice."""
    if isinstance(value, timedelta):
        return value.total_seconds()
    if isinstance(value, Enum):
        return value.value if isinstance(value.value, str) else value.name
    return value


class Recorder:
    """The last entries, the oldest first."""

    def __init__(self) -> None:
        self.entries: deque[tuple[datetime, str, tuple[Any, ...]]] = deque(maxlen=MOST)

    def note(self, what: Any, at: datetime) -> None:
        """Takes an event or an effect down, if it is of a kind that tells something."""
        if (kind := KINDS.get(type(what))) is not None:
            text, values = kind
            self.entries.append((at, text, values(what)))

    def lines(self) -> list[str]:
        """All of it as text, a line an entry, with the time of day in UTC."""
        return [f"{at:%H:%M:%S.%f} {text.format(*map(_plain, values))}" for at, text, values in self.entries]

    def write(self, folder: str, name: str, log: Callable[[str], None]) -> None:
        """Writes all of it to a file, or says in the log why not."""
        path = Path(folder or ".") / f"opalgauge.{name}.record"
        try:
            path.write_text("\n".join(self.lines()) + "\n")
        except OSError as bad:
            log(f"record: cannot be written: {bad}")
        else:
            log(f"record: {len(self.entries)} entries in {path}")
