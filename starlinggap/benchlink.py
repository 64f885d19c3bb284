"""The bench's wire on one side, interface.py on the other. It moves values and decides nothing.

DIALECT holds every code, offset and key of the wire; another dialect is another table.
"""

from __future__ import annotations

import struct
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, BinaryIO

from starlinggap import interface as i
from starlinggap.brain import Gateway


class WireError(Exception):
    """A frame or a setting that cannot be read."""


@dataclass(frozen=True)
class Dialect:
    """One wire dialect: layouts are struct formats read at the byte after a record's code."""

    batch: str
    reply: str
    event_size: int
    action_size: int
    entry: str
    events: dict[int, tuple[str, str]]
    actions: dict[str, tuple[int, str]]
    ends: dict[int, i.End]
    healths: dict[int, i.Health]
    lists: dict[int, i.ListKind]
    effects: dict[str, i.Idempotency]
    groups: dict[str, i.DedupScope]
    retry_bit: int
    loads: dict[str, str]
    load_fields: str
    settings: dict[str, tuple[str, str]]
    rows: dict[str, tuple[str, dict[str, tuple[str, str]]]]


DIALECT = Dialect(
    batch="<IIId",
    reply="<III",
    event_size=48,
    action_size=24,
    entry="<BBdIHBf",
    events={
        12: ("to", "<H"),
        1: ("provision", "<QII"),
        2: ("registry", "<IBII"),
        3: ("submit", "<QBIQdfffB"),
        4: ("head", "<QHdI"),
        8: ("check", "<IHdB4f"),
        7: ("elapsed", "<Q"),
        5: ("report", "<QHIHdBHHB4f"),
        9: ("peer", "<III"),
        10: ("shutdown", "<"),
        11: ("sum", "<QdHf"),
        6: ("client_gone", "<Q"),
    },
    actions={
        "for": (69, "<BH21x"),
        "Send": (76, "<BQId3x"),
        "Refuse": (75, "<BQd7x"),
        "Fail": (78, "<BQ15x"),
        "Cancel": (67, "<BQH13x"),
        "Close": (72, "<BI19x"),
        "Probe": (71, "<BI19x"),
        "Count": (66, "<BQfd3x"),
        "Timer": (65, "<BdQ7x"),
        "WatchList": (73, "<BB22x"),
    },
    ends={
        100: i.End.OK,
        301: i.End.ERROR,
        302: i.End.REJECTED,
        303: i.End.TIMEOUT,
        304: i.End.CONNECT_FAILED,
        305: i.End.RESET,
        306: i.End.CANCELLED,
        307: i.End.NOT_SENT,
    },
    healths={1: i.Health.READY, 2: i.Health.DRAINING, 0: i.Health.GONE},
    lists={0: i.ListKind.CHANGES, 1: i.ListKind.COMPLETE, 2: i.ListKind.CACHED, 3: i.ListKind.FAILED},
    effects={"retryable": i.Idempotency.SAFE, "dedup": i.Idempotency.KEYED, "fragile": i.Idempotency.UNSAFE},
    groups={"all": i.DedupScope.ALL, "zone": i.DedupScope.ZONE, "cell": i.DedupScope.CELL},
    retry_bit=2,
    loads={
        "busy_reqs": "inflight",
        "pending": "queue",
        "cpu_share": "util",
        "svc_ms": "latency_ms",
        "served_ps": "qps",
        "failed_ps": "eps",
    },
    load_fields="load_info.fields",
    settings={
        "gateways": ("balancers", "int"),
        "gateway_index": ("me", "int"),
        "zone": ("zone", "int"),
        "tick": ("tick", "float"),
        "max_units": ("domain.units_top", "float"),
        "charge_true_units": ("domain.trued_up", "bool"),
        "use_counter": ("domain.shared_counter", "bool"),
        "counter_timeout": ("domain.counter_timeout", "float"),
        "meter_period": ("domain.meter_period", "float"),
        "max_attempts": ("ceilings.try_limit", "int"),
        "allow_parallel": ("ceilings.parallel_tries", "bool"),
        "allow_cancel": ("ceilings.cancelling", "bool"),
        "allow_probes": ("ceilings.probes", "bool"),
        "idle_timeout": ("ceilings.conn_idle", "float"),
        "max_retry_after": ("ceilings.max_retry_after", "float"),
        "list_on_request": ("discovery", "on_request"),
        "max_watch_interval": ("invariants.ask_within", "float"),
        "slow_start_duration": ("invariants.cold", "float"),
        "slow_start_share": ("invariants.cold_from", "float"),
        "collapse_time": ("invariants.fall", "float"),
        "collapse_ratio": ("invariants.fall_multiple", "float"),
        "cross_zone_price": ("prices.cross_zone", "float"),
    },
    rows={
        "classes": (
            "classes",
            {
                "aim": ("aim", "float"),
                "deadline": ("deadline", "float"),
                "worth": ("credit", "float"),
                "late_worth": ("late_value", "float"),
                "idempotency": ("effect", "effect"),
                "dedup_scope": ("group", "group"),
                "dedup_window": ("window", "float"),
                "stream": ("stream", "bool"),
            },
        ),
        "plans": (
            "tiers_of_service",
            {
                "rate": ("quota_rate", "float"),
                "burst": ("most_at_once", "float"),
                "open": ("at_once", "int"),
                "price": ("pays", "float"),
                "over_worth": ("extra_worth", "float"),
                "over_cost": ("excess_cost", "float"),
                "ceiling_rate": ("cap_rate", "float"),
                "ceiling_burst": ("never_over_depth", "float"),
                "ceiling_slack": ("hard_slack", "float"),
            },
        ),
    },
)


def _value(dialect: Dialect, kind: str, key: str, text: str) -> Any:
    readers: dict[str, Callable[[str], Any]] = {
        "int": lambda t: int(float(t)),
        "float": float,
        "bool": lambda t: t.lower() == "true",
        "effect": dialect.effects.__getitem__,
        "group": dialect.groups.__getitem__,
        "on_request": lambda t: t == "on_request",
    }
    try:
        return readers[kind](text)
    except (KeyError, ValueError, OverflowError):
        raise WireError(f"setting {key} has an unreadable value: {text!r}") from None


def read_settings(text: str, dialect: Dialect = DIALECT) -> tuple[i.Settings, list[str]]:
    """The settings of an instance and the names of its load report's values; unknown keys are skipped."""
    pairs = dict(line.split("=", 1) for line in text.splitlines() if "=" in line)

    def fields(names: dict[str, tuple[str, str]], prefix: str = "") -> dict[str, Any]:
        return {
            ours: _value(dialect, kind, prefix + key, pairs[prefix + key])
            for ours, (key, kind) in names.items()
            if prefix + key in pairs
        }

    def rows(name: str, make: Callable[..., Any]) -> tuple[Any, ...]:
        key, names = dialect.rows[name]
        many = _value(dialect, "int", key + ".count", pairs.get(key + ".count", "0"))
        return tuple(make(**fields(names, f"{key}.{n}.")) for n in range(many))

    try:
        settings = i.Settings(
            classes=rows("classes", i.RequestClass), plans=rows("plans", i.Plan), **fields(dialect.settings)
        )
    except TypeError as error:
        raise WireError(f"settings are incomplete: {error}") from None
    names = [n for n in pairs.get(dialect.load_fields, "").split(",") if n]
    return settings, [dialect.loads.get(n, n) for n in names]


class Link:
    """Hosts the instances of one process and answers batches."""

    def __init__(self, dialect: Dialect = DIALECT) -> None:
        self.d = dialect
        self.gateways: dict[int, Gateway] = {}
        self.loads: dict[int, list[str]] = {}

    def _span(self, tail: memoryview, at: int, size: int) -> memoryview:
        if at + size > len(tail):
            raise WireError("a field points past the tail")
        return tail[at : at + size]

    def _end(self, code: int) -> i.End:
        if code not in self.d.ends:
            raise WireError(f"unknown outcome code {code}")
        return self.d.ends[code]

    def _load(self, who: int, count: int, values: tuple[float, ...]) -> dict[str, float]:
        return dict(zip(self.loads.get(who, []), values[: min(count, 4)], strict=False))

    def _event(self, who: int, kind: str, f: tuple[Any, ...], tail: memoryview) -> i.Event:
        if kind == "submit":
            return i.Request(
                f[0], f[1], f[2], f[3], f[4], f[5], int(f[6]), int(f[7]), bool(f[8] & self.d.retry_bit)
            )
        if kind == "report":
            return i.Outcome(
                f[0],
                f[1],
                f[2],
                self._end(f[3]),
                f[4],
                bool(f[5]),
                (f[6] - 1) / 100 if f[6] else None,
                float(f[7]) if f[7] else None,
                self._load(who, f[8], f[9:]),
            )
        if kind == "sum":
            return i.CountOutcome(f[0], f[1], self._end(f[2]), f[3])
        if kind == "elapsed":
            return i.TimerFired(f[0])
        if kind == "client_gone":
            return i.ClientGone(f[0])
        if kind == "head":
            return i.StreamStarted(f[0], f[1], f[3], f[2])
        if kind == "check":
            return i.ProbeOutcome(f[0], self._end(f[1]), f[2], self._load(who, f[3], f[4:]))
        if kind == "peer":
            return i.PeerMessage(f[0], bytes(self._span(tail, f[1], f[2])))
        size = struct.calcsize(self.d.entry)
        span = self._span(tail, f[2], f[3] * size)
        entries = []
        for zone, _, started, server, cell, health, weight in struct.iter_unpack(self.d.entry, span):
            if health not in self.d.healths:
                raise WireError(f"unknown health code {health}")
            entries.append(i.ServerEntry(server, self.d.healths[health], zone, cell, started, weight))
        if f[1] not in self.d.lists:
            raise WireError(f"unknown list mode {f[1]}")
        return i.ServerList(self.d.lists[f[1]], tuple(entries))

    def _action(self, a: i.Action) -> bytes:
        code, form = self.d.actions[type(a).__name__]
        if isinstance(a, i.Send):
            return struct.pack(form, code, a.request, a.server, a.deadline)
        if isinstance(a, i.Count):
            return struct.pack(form, code, a.name, a.amount, a.ttl)
        if isinstance(a, i.Timer):
            return struct.pack(form, code, a.at, a.token)
        if isinstance(a, i.Refuse):
            return struct.pack(form, code, a.request, a.retry_after)
        if isinstance(a, i.Cancel):
            return struct.pack(form, code, a.request, a.attempt)
        if isinstance(a, i.Fail):
            return struct.pack(form, code, a.request)
        if isinstance(a, i.Probe | i.Close):
            return struct.pack(form, code, a.server)
        return struct.pack(form, code, 1)

    def answer(self, header: bytes, body: bytes) -> bytes:
        """The reply to one batch."""
        number, count, _, now = struct.unpack(self.d.batch, header)
        if count * self.d.event_size > len(body):
            raise WireError("a batch is shorter than its records")
        view = memoryview(body)
        tail = view[count * self.d.event_size :]
        out: list[bytes] = []
        who: int | None = None
        events: list[i.Event] = []

        def flush() -> None:
            if who is None or not events:
                return
            if who not in self.gateways:
                raise WireError(f"an event for instance {who}, which has not started")
            actions = self.gateways[who].handle(now, events)
            events.clear()
            if actions:
                code, form = self.d.actions["for"]
                out.append(struct.pack(form, code, who))
                out.extend(self._action(a) for a in actions)

        for at in range(0, count * self.d.event_size, self.d.event_size):
            code = view[at]
            if code not in self.d.events:
                raise WireError(f"unknown event code {code}")
            kind, form = self.d.events[code]
            f = struct.unpack_from(form, view, at + 1)
            if kind == "to":
                flush()
                who = f[0]
                continue
            if who is None:
                raise WireError("an event before any instance was named")
            if kind == "provision":
                flush()
                text = bytes(self._span(tail, f[1], f[2])).decode("utf-8", "replace")
                settings, self.loads[who] = read_settings(text, self.d)
                self.gateways[who] = Gateway(settings, f[0])
            elif kind == "shutdown":
                events.clear()
                self.gateways.pop(who, None)
            elif who in self.gateways:
                events.append(self._event(who, kind, f, tail))
            else:
                raise WireError(f"an event for instance {who}, which has not started")
        flush()
        records = b"".join(out)
        many = len(records) // self.d.action_size
        return struct.pack(self.d.reply, number, many, len(records)) + records


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches until the source ends."""
    link = Link()
    size = struct.calcsize(DIALECT.batch)
    while header := source.read(size):
        if len(header) < size:
            raise WireError("the input ends inside a header")
        length = struct.unpack(DIALECT.batch, header)[2]
        body = source.read(length)
        if len(body) < length:
            raise WireError("the input ends inside a batch")
        sink.write(link.answer(header, body))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, i.SettingsError) as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
