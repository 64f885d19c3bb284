"""The adapter on golden frames, byte for byte, and on frames that are broken."""

from __future__ import annotations

import io
import struct
import subprocess
import sys

import pytest

from starlinggap import benchlink as link
from starlinggap import interface as i

ENV = """balancers=2
classes.count=2
classes.0.aim=0.8
classes.0.deadline=2.0
classes.0.effect=retryable
classes.1.aim=1.5
classes.1.deadline=5.0
classes.1.effect=dedup
classes.1.group=cell
classes.1.window=3.0
domain.shared_counter=true
domain.counter_timeout=0.03
load_info.fields=pending,svc_ms,brand_new
tiers_of_service.count=1
tiers_of_service.0.quota_rate=2.0
tiers_of_service.0.most_at_once=8.0
a_key_nobody_knows=7
discovery=on_request
"""


def batch(now: float, *records: bytes, tail: bytes = b"", number: int = 1) -> tuple[bytes, bytes]:
    body = b"".join(r.ljust(48, b"\0") for r in records) + tail
    return struct.pack("<IIId", number, len(records), len(body), now), body


def start(env: str = ENV) -> tuple[bytes, bytes]:
    text = env.encode()
    line = struct.pack("<BBdIHBf", 0, 0, 0.0, 301, 0, 1, 1.0)
    return batch(
        5.0,
        bytes.fromhex("0c0300"),
        struct.pack("<BQII", 1, 11, 0, len(text)),
        struct.pack("<BIBII", 2, 1, 2, len(text), 1),
        tail=text + line,
    )


def actions(reply: bytes) -> list[bytes]:
    count = struct.unpack_from("<I", reply, 4)[0]
    return [reply[12 + n * 24 : 36 + n * 24] for n in range(count)]


def test_an_empty_batch_has_an_empty_reply() -> None:
    header = bytes.fromhex("0100000000000000000000000000000000001440")
    assert link.Link().answer(header, b"") == bytes.fromhex("010000000000000000000000")


def test_settings_are_read_and_unknown_keys_skipped() -> None:
    settings, loads = link.read_settings(ENV)
    assert settings.classes[1] == i.RequestClass(
        1.5, 5.0, idempotency=i.Idempotency.KEYED, dedup_scope=i.DedupScope.CELL, dedup_window=3.0
    )
    assert settings.plans == (i.Plan(rate=2.0, burst=8.0),)
    assert (settings.gateways, settings.use_counter, settings.list_on_request) == (2, True, True)
    assert loads == ["queue", "latency_ms", "brand_new"]


def test_a_request_is_counted_sent_and_answered() -> None:
    server = link.Link()
    server.answer(*start())
    submit = struct.pack("<BQBIQdfffB", 3, 77, 0, 0, 9, 2.0, 2.0, 2.0, 0.0, 0)
    out = actions(server.answer(*batch(6.4, bytes.fromhex("0c0300"), submit)))
    assert out[0] == bytes.fromhex("450300").ljust(24, b"\0")
    adds = [struct.unpack_from("<Qfd", a, 1) for a in out if a[0] == 66]
    assert [(add, ttl) for _, add, ttl in adds] == [(2.0, 12.0)]
    counted = struct.pack("<BQdHf", 11, adds[0][0], 0.001, 100, 2.0)
    out = actions(server.answer(*batch(6.41, bytes.fromhex("0c0300"), counted)))
    while reads := [struct.unpack_from("<Qfd", a, 1) for a in out if a[0] == 66]:
        counted = struct.pack("<BQdHf", 11, reads[0][0], 0.001, 100, 0.0)
        out = actions(server.answer(*batch(6.42, bytes.fromhex("0c0300"), counted)))
    sends = [struct.unpack_from("<QId", a, 1) for a in out if a[0] == 76]
    assert [s[:2] for s in sends] == [(77, 301)]
    report = struct.pack("<BQHIHdBHHB4f", 5, 77, 0, 301, 100, 0.1, 1, 0, 0, 0, 0, 0, 0, 0)
    out = actions(server.answer(*batch(6.5, bytes.fromhex("0c0300"), report)))
    assert not [a for a in out if a[0] in (75, 76, 78)]


def test_a_restart_in_one_batch_starts_anew() -> None:
    server = link.Link()
    server.answer(*start())
    submit = struct.pack("<BQBIQdfffB", 3, 77, 0, 0, 9, 2.0, 2.0, 2.0, 0.0, 0)
    text = ENV.encode()
    header, body = batch(7.0, bytes.fromhex("0c0300"), submit, b"\x0a",
                         struct.pack("<BQII", 1, 12, 0, len(text)), struct.pack("<BIBII", 2, 1, 2, 0, 0),
                         tail=text)  # fmt: skip
    assert not [a for a in actions(server.answer(header, body)) if a[0] == 66]


@pytest.mark.parametrize(
    ("frame", "says"),
    [
        (b"\x01\x00", "inside a header"),
        (struct.pack("<IIId", 1, 1, 48, 0.0) + b"\x0c", "inside a batch"),
        (b"".join(batch(1.0, b"\xc8")), "unknown event code 200"),
        (b"".join(batch(1.0, b"\x07")), "before any instance"),
        (b"".join(batch(1.0, b"\x0c\x03\x00", b"\x07")), "has not started"),
        (b"".join(start(ENV.replace("effect=dedup", "effect=maybe"))), "classes.1.effect"),
        (b"".join(start(ENV.replace("quota_rate=2.0", "quota_rate=-2.0"))), "plans[0].rate"),
        (b"".join(start("balancers=2\n")), "classes"),
    ],
)
def test_broken_frames_end_with_a_plain_message(frame: bytes, says: str) -> None:
    run = subprocess.run(
        [sys.executable, "-m", "starlinggap.benchlink"], input=frame, capture_output=True, check=False
    )
    assert run.returncode != 0
    assert says in run.stderr.decode()
    assert "Traceback" not in run.stderr.decode()


def test_serve_answers_until_the_input_ends() -> None:
    sink = io.BytesIO()
    link.serve(io.BytesIO(b"".join(start()) + b"".join(batch(6.0, number=2))), sink)
    assert sink.getvalue().endswith(bytes.fromhex("020000000000000000000000"))
