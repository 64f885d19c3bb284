"""The simulator's adapter: translates its binary protocol on stdin and stdout to the types of interface.py.

The simulator runs many instances of the gateway in this process. It sends batches; a batch has a header,
event records of a fixed size and a tail with data of varying length, which records refer to by offset. The
reply to a batch has a header and action records of a fixed size. DIALECT holds every code, layout and key of
the protocol, so another version of the protocol needs another table and no other code.
"""

from __future__ import annotations

import struct
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, BinaryIO

from starlinggap import interface
from starlinggap.brain import Gateway


class WireError(Exception):
    """A frame or a setting cannot be decoded."""


@dataclass(frozen=True)
class Dialect:
    """Codes, layouts and keys of one version of the protocol. Layouts are formats of the struct module."""

    batch_format: str  # header of a batch: number, count of events, bytes after the header, time (s)
    reply_format: str  # header of a reply: number of the batch, count of actions, bytes after the header
    event_size: int  # bytes of an event record
    action_size: int  # bytes of an action record
    entry_format: str  # a server in a server list
    events: dict[int, tuple[str, str]]  # by the record's first byte: name, layout of the bytes after it
    actions: dict[str, tuple[int, str]]  # by name of the action's class: code, layout of the whole record
    ends: dict[int, interface.End]
    healths: dict[int, interface.Health]
    list_kinds: dict[int, interface.ListKind]
    idempotencies: dict[str, interface.Idempotency]
    dedup_scopes: dict[str, interface.DedupScope]
    retry_bit: int  # of a request's flags: the client repeats a request
    load_names: dict[str, str]  # names of values in a load report: the protocol's, ours
    load_fields_key: str  # setting that lists the values of a load report in their order
    settings: dict[str, tuple[str, str]]  # by field of Settings: key, type
    tables: dict[str, tuple[str, dict[str, tuple[str, str]]]]  # by field of Settings: key, fields of a row


DIALECT = Dialect(
    batch_format="<IIId",
    reply_format="<III",
    event_size=48,
    action_size=24,
    entry_format="<BBdIHBf",
    events={
        12: ("to", "<H"),  # the records after it are for this instance
        1: ("provision", "<QII"),  # start it anew: seed, offset and length of its settings
        2: ("registry", "<IBII"),  # server list
        3: ("submit", "<QBIQdfffB"),  # request
        4: ("head", "<QHdI"),  # first bytes of an answer
        8: ("check", "<IHdB4f"),  # outcome of a probe
        7: ("elapsed", "<Q"),  # timer
        5: ("report", "<QHIHdBHHB4f"),  # outcome of an attempt
        9: ("peer", "<III"),  # sender, offset and length of its message
        10: ("shutdown", "<"),  # stop this instance
        11: ("sum", "<QdHf"),  # outcome of a counter call
        6: ("client_gone", "<Q"),
    },
    actions={
        "for": (69, "<BH21x"),  # the records after it are of this instance
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
        100: interface.End.OK,
        301: interface.End.ERROR,
        302: interface.End.REJECTED,
        303: interface.End.TIMEOUT,
        304: interface.End.CONNECT_FAILED,
        305: interface.End.RESET,
        306: interface.End.CANCELLED,
        307: interface.End.NOT_SENT,
    },
    healths={1: interface.Health.READY, 2: interface.Health.DRAINING, 0: interface.Health.GONE},
    list_kinds={
        0: interface.ListKind.CHANGES,
        1: interface.ListKind.COMPLETE,
        2: interface.ListKind.CACHED,
        3: interface.ListKind.FAILED,
    },
    idempotencies={
        "retryable": interface.Idempotency.SAFE,
        "dedup": interface.Idempotency.KEYED,
        "fragile": interface.Idempotency.UNSAFE,
    },
    dedup_scopes={
        "all": interface.DedupScope.ALL,
        "zone": interface.DedupScope.ZONE,
        "cell": interface.DedupScope.CELL,
    },
    retry_bit=2,
    load_names={
        "busy_reqs": "inflight",
        "pending": "queue",
        "cpu_share": "util",
        "svc_ms": "latency_ms",
        "served_ps": "qps",
        "failed_ps": "eps",
    },
    load_fields_key="load_info.fields",
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
    tables={
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


def _parse_value(dialect: Dialect, type_name: str, key: str, text: str) -> Any:
    parsers: dict[str, Callable[[str], Any]] = {
        "int": lambda word: int(float(word)),
        "float": float,
        "bool": lambda word: word.lower() == "true",
        "effect": dialect.idempotencies.__getitem__,
        "group": dialect.dedup_scopes.__getitem__,
        "on_request": lambda word: word == "on_request",
    }
    try:
        return parsers[type_name](text)
    except (KeyError, ValueError, OverflowError):
        raise WireError(f"setting {key} has an unreadable value: {text!r}") from None


def read_settings(text: str, dialect: Dialect = DIALECT) -> tuple[interface.Settings, list[str]]:
    """Reads `key=value` lines into an instance's settings and the names of its load report's values.

    Unknown keys are skipped; missing ones have the defaults of interface.py. Raises WireError for a value
    that cannot be read, and where a setting without a default is missing.
    """
    values = dict(line.split("=", 1) for line in text.splitlines() if "=" in line)

    def read_fields(keys: dict[str, tuple[str, str]], prefix: str = "") -> dict[str, Any]:
        return {
            field_name: _parse_value(dialect, type_name, prefix + key, values[prefix + key])
            for field_name, (key, type_name) in keys.items()
            if prefix + key in values
        }

    def read_table(name: str, row_type: Callable[..., Any]) -> tuple[Any, ...]:
        key, keys = dialect.tables[name]
        count = _parse_value(dialect, "int", key + ".count", values.get(key + ".count", "0"))
        return tuple(row_type(**read_fields(keys, f"{key}.{index}.")) for index in range(count))

    try:
        settings = interface.Settings(
            classes=read_table("classes", interface.RequestClass),
            plans=read_table("plans", interface.Plan),
            **read_fields(dialect.settings),
        )
    except TypeError as error:
        raise WireError(f"settings are incomplete: {error}") from None
    load_names = [name for name in values.get(dialect.load_fields_key, "").split(",") if name]
    return settings, [dialect.load_names.get(name, name) for name in load_names]


class Adapter:
    """Holds the gateways of all instances in this process, by their number, and answers batches."""

    def __init__(self, dialect: Dialect = DIALECT) -> None:
        self.dialect = dialect
        self.gateways: dict[int, Gateway] = {}
        self.load_names: dict[int, list[str]] = {}  # by instance: of the values in a load report, in order

    def _slice(self, tail: memoryview, offset: int, size: int) -> memoryview:
        if offset + size > len(tail):
            raise WireError("a field points past the end of the batch")
        return tail[offset : offset + size]

    def _decode_end(self, code: int) -> interface.End:
        if code not in self.dialect.ends:
            raise WireError(f"unknown outcome code {code}")
        return self.dialect.ends[code]

    def _load_report(self, instance: int, count: int, values: tuple[float, ...]) -> dict[str, float]:
        return dict(zip(self.load_names.get(instance, []), values[: min(count, 4)], strict=False))

    def _decode_event(
        self, instance: int, name: str, fields: tuple[Any, ...], tail: memoryview
    ) -> interface.Event:
        if name == "submit":
            return interface.Request(
                fields[0],
                fields[1],
                fields[2],
                fields[3],
                fields[4],
                fields[5],
                int(fields[6]),
                int(fields[7]),
                bool(fields[8] & self.dialect.retry_bit),
            )
        if name == "report":
            return interface.Outcome(
                fields[0],
                fields[1],
                fields[2],
                self._decode_end(fields[3]),
                fields[4],
                bool(fields[5]),
                (fields[6] - 1) / 100 if fields[6] else None,
                float(fields[7]) if fields[7] else None,
                self._load_report(instance, fields[8], fields[9:]),
            )
        if name == "sum":
            return interface.CountOutcome(fields[0], fields[1], self._decode_end(fields[2]), fields[3])
        if name == "elapsed":
            return interface.TimerFired(fields[0])
        if name == "client_gone":
            return interface.ClientGone(fields[0])
        if name == "head":
            return interface.StreamStarted(fields[0], fields[1], fields[3], fields[2])
        if name == "check":
            return interface.ProbeOutcome(
                fields[0],
                self._decode_end(fields[1]),
                fields[2],
                self._load_report(instance, fields[3], fields[4:]),
            )
        if name == "peer":
            return interface.PeerMessage(fields[0], bytes(self._slice(tail, fields[1], fields[2])))
        entry_size = struct.calcsize(self.dialect.entry_format)
        entry_records = self._slice(tail, fields[2], fields[3] * entry_size)
        entries = []
        for zone, _, started, server, cell, health, weight in struct.iter_unpack(
            self.dialect.entry_format, entry_records
        ):
            if health not in self.dialect.healths:
                raise WireError(f"unknown health code {health}")
            entries.append(
                interface.ServerEntry(server, self.dialect.healths[health], zone, cell, started, weight)
            )
        if fields[1] not in self.dialect.list_kinds:
            raise WireError(f"unknown list mode {fields[1]}")
        return interface.ServerList(self.dialect.list_kinds[fields[1]], tuple(entries))

    def _encode_action(self, action: interface.Action) -> bytes:
        code, layout = self.dialect.actions[type(action).__name__]
        if isinstance(action, interface.Send):
            return struct.pack(layout, code, action.request, action.server, action.deadline)
        if isinstance(action, interface.Count):
            return struct.pack(layout, code, action.name, action.amount, action.ttl)
        if isinstance(action, interface.Timer):
            return struct.pack(layout, code, action.at, action.token)
        if isinstance(action, interface.Refuse):
            return struct.pack(layout, code, action.request, action.retry_after)
        if isinstance(action, interface.Cancel):
            return struct.pack(layout, code, action.request, action.attempt)
        if isinstance(action, interface.Fail):
            return struct.pack(layout, code, action.request)
        if isinstance(action, interface.Probe | interface.Close):
            return struct.pack(layout, code, action.server)
        return struct.pack(layout, code, 1)

    def answer_batch(self, header: bytes, body: bytes) -> bytes:
        """Handles one batch and returns the reply. Raises WireError where the batch cannot be decoded."""
        batch_number, count, _, now = struct.unpack(self.dialect.batch_format, header)
        if count * self.dialect.event_size > len(body):
            raise WireError("a batch is shorter than its records")
        view = memoryview(body)
        tail = view[count * self.dialect.event_size :]
        records: list[bytes] = []
        instance: int | None = None
        events: list[interface.Event] = []

        def flush() -> None:
            if instance is None or not events:
                return
            if instance not in self.gateways:
                raise WireError(f"an event for instance {instance}, which has not started")
            actions = self.gateways[instance].handle(now, events)
            events.clear()
            if actions:
                code, layout = self.dialect.actions["for"]
                records.append(struct.pack(layout, code, instance))
                records.extend(self._encode_action(action) for action in actions)

        for offset in range(0, count * self.dialect.event_size, self.dialect.event_size):
            code = view[offset]
            if code not in self.dialect.events:
                raise WireError(f"unknown event code {code}")
            name, layout = self.dialect.events[code]
            fields = struct.unpack_from(layout, view, offset + 1)
            if name == "to":
                flush()
                instance = fields[0]
                continue
            if instance is None:
                raise WireError("an event before any instance was named")
            if name == "provision":
                flush()
                text = bytes(self._slice(tail, fields[1], fields[2])).decode("utf-8", "replace")
                settings, self.load_names[instance] = read_settings(text, self.dialect)
                self.gateways[instance] = Gateway(settings, fields[0])
            elif name == "shutdown":
                events.clear()
                self.gateways.pop(instance, None)
            elif instance in self.gateways:
                events.append(self._decode_event(instance, name, fields, tail))
            else:
                raise WireError(f"an event for instance {instance}, which has not started")
        flush()
        payload = b"".join(records)
        action_count = len(payload) // self.dialect.action_size
        return struct.pack(self.dialect.reply_format, batch_number, action_count, len(payload)) + payload


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches until the source ends. Raises WireError where it ends within a batch."""
    adapter = Adapter()
    size = struct.calcsize(DIALECT.batch_format)
    while header := source.read(size):
        if len(header) < size:
            raise WireError("the input ends inside a header")
        length = struct.unpack(DIALECT.batch_format, header)[2]
        body = source.read(length)
        if len(body) < length:
            raise WireError("the input ends inside a batch")
        sink.write(adapter.answer_batch(header, body))
        sink.flush()


def main() -> int:
    """Serves on stdin and stdout and returns the exit status; an error is one line on stderr."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, interface.SettingsError) as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
