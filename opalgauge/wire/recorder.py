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
    ev.OrderTaken: _kind(
        "request {} taken: id {}, client {}, class {}, account {:x}, waits {:.3f} s, units {:g}",
        "order", "errand.correlation", "client", "kind", "account", "time_left", "units",
    ),
    ev.ClientCame: _kind("client {} connected", "client"),
    ev.ClientLeft: _kind("client {} gone", "client"),
    ev.RequestBegun: _kind("client {}: a request begins", "client"),
    ev.BodyComing: _kind("client {}: a body comes", "client"),
    ev.LineUp: _kind("connection {} up", "line"),
    ev.LineEnded: _kind("connection {} ended by the other side, {}", "line", "reached"),
    ev.LineStale: _kind("connection {} was over before it was used", "line"),
    ev.NodeAnswered: _kind("connection {} answered: {}", "line", "end"),
    ev.AnswerFlows: _kind("connection {} answers at length", "line"),
    ev.FlowOver: _kind("request {}: long answer over, whole {}", "order", "whole"),
    ev.ProcessesSeen: _kind("{} processes of this ingress", "processes"),
    ev.OthersServing: _kind("another process of this ingress accepts clients: {}", "serving"),
    ev.NodeListAnswered: _kind("node list version {}", "version"),
    ev.DrainAsked: _kind("asked to stop, successor {}", "successor"),
    fx.OpenLine: _kind("connection {} to {} {}", "line", "party", "address"),
    fx.CloseLine: _kind("connection {} closed: {}", "line", "why"),
    fx.SendAttempt: _kind("request {} sent over connection {}, told {:.3f} s", "order", "line", "time_left"),
    fx.AnswerClient: _kind("request {} answered {}: {}, last {}", "order", "status", "why", "last"),
    fx.CloseClient: _kind("client {} closed: {}", "client", "why"),
    fx.AbortClient: _kind("client {} cut off", "client"),
    fx.StopReading: _kind("bodies that have not come are answered"),
    fx.StopAccepting: _kind("no more connections, another process takes them"),
    fx.AcceptAgain: _kind("connections are accepted again"),
    fx.CloseFront: _kind("no more connections"),
    fx.Leave: _kind("leaving"),
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
