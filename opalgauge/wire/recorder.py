"""A bounded record of the last events and effects of a process, to investigate an incident.

Events and effects are recorded as they pass between the reducer and the sockets, as a few plain values each.
They are formatted only on demand: at the admin endpoint, on SIGUSR1, and when a process exits with requests
still unanswered.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from datetime import datetime, timedelta
from enum import Enum
from operator import attrgetter
from pathlib import Path
from typing import Any, NamedTuple

from opalgauge.memory import effects, events

MAX_ENTRIES = 4000  # a few hundred requests


class EntryFormat(NamedTuple):
    """How a type of event or effect is recorded: `values` extracts what the `template` shows.

    `values` is called for each event or effect, so it is cheap and leaves out anything large, such as bodies.
    """

    template: str
    values: Callable[[Any], tuple[Any, ...]]


def _format(template: str, *fields: str) -> EntryFormat:
    if len(fields) > 1:
        return EntryFormat(template, attrgetter(*fields))
    if not fields:
        return EntryFormat(template, lambda _: ())
    get_value = attrgetter(fields[0])
    return EntryFormat(template, lambda item: (get_value(item),))


ENTRY_FORMATS: dict[type, EntryFormat] = {
    events.RequestReceived: _format(
        "request {} taken: id {}, client {}, class {}, account {:x}, waits {:.3f} s, units {:g}",
        "request_id", "http_request.correlation_id", "client_id", "class_index", "account", "time_left",
        "units",
    ),
    events.IdClaimed: _format("request {}: its id is {}", "request_id", "claim"),
    events.ClientConnected: _format("client {} connected", "client_id"),
    events.ClientDisconnected: _format("client {} gone", "client_id"),
    events.NothingUnread: _format("client {}: nothing unread", "client_id"),
    events.RequestHeadStarted: _format("client {}: a request begins", "client_id"),
    events.RequestBodyStarted: _format("client {}: a body comes, {} bytes at most", "client_id", "memory"),
    events.RequestBodyBlocked: _format(
        "request {}: its server does not read, {} bytes left", "request_id", "remaining"
    ),
    events.RequestBodyStalled: _format("request {}: its body stalled", "request_id"),
    events.RequestDiscarded: _format("client {}: a request was answered unread", "client_id"),
    events.AnswerBlocked: _format("client {}: does not read, {} bytes wait", "client_id", "size"),
    events.AnswerWritten: _format("client {}: has read its answer", "client_id"),
    events.AnswerPartReceived: _format(
        "connection {} answers in parts, head whole {}", "connection_id", "head_complete"
    ),
    events.MemoryMeasured: _format("memory: {} bytes for clients", "limits.requests"),
    events.SocketLimitsChanged: _format("sockets: {} clients", "limits.max_clients"),
    events.ConnectionOpened: _format("connection {} up", "connection_id"),
    events.ConnectionLost: _format("connection {} ended by the other side, {}", "connection_id", "progress"),
    events.ConnectionStale: _format("connection {} was over before it was used", "connection_id"),
    events.ServerAnswered: _format("connection {} answered: {}", "connection_id", "end"),
    events.StreamedAnswerStarted: _format("connection {} answers at length", "connection_id"),
    events.StreamedAnswerEnded: _format("request {}: long answer over, whole {}", "request_id", "complete"),
    events.ProcessCountChanged: _format("{} processes of this ingress", "process_count"),
    events.OtherProcessAccepting: _format("another process of this ingress accepts clients: {}", "accepting"),
    events.ServerListAnswered: _format(
        "connection {}: node list version {}, {}, refused {}",
        "connection_id", "version", "list_kind", "refused",
    ),
    events.ListReceived: _format("node list version {} from the other process", "told.version"),
    events.DrainRequested: _format("asked to stop, successor {}", "has_successor"),
    effects.OpenConnection: _format("connection {} to {} {}", "connection_id", "destination", "address"),
    effects.CloseConnection: _format("connection {} closed: {}", "connection_id", "reason"),
    effects.SendAttempt: _format(
        "request {} sent over connection {}, told {:.3f} s", "request_id", "connection_id", "time_left",
    ),
    effects.AskServerList: _format(
        "connection {} asks for the list since {}", "connection_id", "since_version",
    ),
    effects.ServerListSettled: _format("serving may begin, agent heard: {}", "heard"),
    effects.AnswerClient: _format(
        "request {} answered {}: {}, last {}", "request_id", "status", "reason", "close_connection",
    ),
    effects.AbandonId: _format("id {} stays refused", "correlation_id"),
    effects.RefuseIncomplete: _format("client {} refused, no memory", "client_id"),
    effects.DropUnreadBytes: _format("client {}: what it sent behind its request is dropped", "client_id"),
    effects.StreamAnswer: _format("connection {}: its late answer is passed on", "connection_id"),
    effects.CloseClient: _format("client {} closed: {}", "client_id", "reason"),
    effects.AbortClient: _format("client {} cut off", "client_id"),
    effects.StopReadingBodies: _format("bodies that have not come are answered"),
    effects.StopAccepting: _format("no more connections, another process takes them"),
    effects.ResumeAccepting: _format("connections are accepted again"),
    effects.StopListening: _format("no more connections"),
    effects.Exit: _format("leaving"),
}  # fmt: skip


def _to_plain(value: Any) -> Any:
    """Converts a value for the template: durations to seconds, enum members to their value or name."""
    if isinstance(value, timedelta):
        return value.total_seconds()
    if isinstance(value, Enum):
        return value.value if isinstance(value.value, str) else value.name
    return value


class Recorder:
    """The last MAX_ENTRIES entries, the oldest first."""

    def __init__(self) -> None:
        self.entries: deque[tuple[datetime, str, tuple[Any, ...]]] = deque(maxlen=MAX_ENTRIES)

    def record(self, item: Any, at: datetime) -> None:
        """Records an event or effect if its type has a format."""
        if (entry_format := ENTRY_FORMATS.get(type(item))) is not None:
            template, values = entry_format
            self.entries.append((at, template, values(item)))

    def lines(self) -> list[str]:
        """Formats the entries, one line each, with the time of day in UTC."""
        return [
            f"{at:%H:%M:%S.%f} {template.format(*map(_to_plain, values))}"
            for at, template, values in self.entries
        ]

    def write(self, folder: str, name: str, log: Callable[[str], None]) -> None:
        """Writes the entries to `opalgauge.NAME.record` in the folder; logs the result or the error."""
        path = Path(folder or ".") / f"opalgauge.{name}.record"
        try:
            path.write_text("\n".join(self.lines()) + "\n")
        except OSError as error:
            log(f"record: cannot be written: {error}")
        else:
            log(f"record: {len(self.entries)} entries in {path}")
