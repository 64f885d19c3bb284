"""A bounded record of what a process did last, for whoever looks into an incident.

Events and effects go in as they pass between the reducer and the sockets, a few plain values each. They are
put into words only when somebody asks: the admin endpoint, SIGUSR1, or a process that ends and owes answers.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from datetime import datetime
from pathlib import Path
from typing import Any

from opalgauge.memory import effects as fx
from opalgauge.memory import events as ev

MOST = 4000  # entries: some hundred requests

Entry = tuple[datetime, str, tuple[Any, ...]]

NOTED: dict[type, Callable[[Any], tuple[str, tuple[Any, ...]]]] = {
    ev.OrderTaken: lambda e: (
        "request {} taken: id {}, client {}, class {}, account {:x}, waits {:.3f} s, units {:g}",
        (e.order, e.errand.correlation, e.client, e.kind, e.account, e.time_left.total_seconds(), e.units),
    ),
    ev.ClientCame: lambda e: ("client {} connected", (e.client,)),
    ev.ClientLeft: lambda e: ("client {} gone", (e.client,)),
    ev.RequestBegun: lambda e: ("client {}: a request begins", (e.client,)),
    ev.BodyComing: lambda e: ("client {}: a body comes", (e.client,)),
    ev.LineUp: lambda e: ("connection {} up", (e.line,)),
    ev.LineEnded: lambda e: ("connection {} ended by the other side, {}", (e.line, e.reached.value)),
    ev.LineStale: lambda e: ("connection {} was over before it was used", (e.line,)),
    ev.NodeAnswered: lambda e: ("connection {} answered: {}", (e.line, e.end.name)),
    ev.AnswerFlows: lambda e: ("connection {} answers at length", (e.line,)),
    ev.FlowOver: lambda e: ("request {}: long answer over, whole {}", (e.order, e.whole)),
    ev.ProcessesSeen: lambda e: ("{} processes of this ingress", (e.processes,)),
    ev.NodeListAnswered: lambda e: ("node list version {}", (e.version,)),
    ev.DrainAsked: lambda e: ("asked to stop, successor {}", (e.successor,)),
    fx.OpenLine: lambda e: ("connection {} to {} {}", (e.line, e.party.value, e.address)),
    fx.CloseLine: lambda e: ("connection {} closed: {}", (e.line, e.why.value)),
    fx.SendAttempt: lambda e: (
        "request {} sent over connection {}, told {:.3f} s", (e.order, e.line, e.time_left.total_seconds())
    ),
    fx.AnswerClient: lambda e: (
        "request {} answered {}: {}, last {}", (e.order, e.status, e.why.value, e.last)
    ),
    fx.CloseClient: lambda e: ("client {} closed: {}", (e.client, e.why.value)),
    fx.AbortClient: lambda e: ("client {} cut off", (e.client,)),
    fx.StopReading: lambda e: ("bodies that have not come are answered", ()),
    fx.StopAccepting: lambda e: ("no more connections, another process takes them", ()),
    fx.CloseFront: lambda e: ("no more connections", ()),
    fx.Leave: lambda e: ("leaving", ()),
}  # fmt: skip


class Recorder:
    """The last entries, the oldest first."""

    def __init__(self) -> None:
        self.entries: deque[Entry] = deque(maxlen=MOST)

    def note(self, what: Any, at: datetime) -> None:
        """Takes an event or an effect down, if it is of a kind that tells something."""
        if (words := NOTED.get(type(what))) is not None:
            self.entries.append((at, *words(what)))

    def lines(self) -> list[str]:
        """All of it as text, a line an entry, with the time of day in UTC."""
        return [f"{at:%H:%M:%S.%f} {text.format(*values)}" for at, text, values in self.entries]

    def write(self, folder: str, name: str, log: Callable[[str], None]) -> None:
        """Writes all of it to a file, or says in the log why not."""
        path = Path(folder or ".") / f"opalgauge.{name}.record"
        try:
            path.write_text("\n".join(self.lines()) + "\n")
        except OSError as bad:
            log(f"record: cannot be written: {bad}")
        else:
            log(f"record: {len(self.entries)} entries in {path}")
