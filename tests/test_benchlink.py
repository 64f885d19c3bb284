"""The simulator's adapter: frames compared byte for byte, and broken frames."""

from __future__ import annotations

import io
import struct
import subprocess
import sys

import pytest

from starlinggap import benchlink, interface

SETTINGS = """balancers=2
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


def batch(now: float, *records: bytes, tail: bytes = b"", batch_number: int = 1) -> tuple[bytes, bytes]:
    body = b"".join(r.ljust(48, b"\0") for r in records) + tail
    return struct.pack("<IIId", batch_number, len(records), len(body), now), body


def start_batch(settings: str = SETTINGS) -> tuple[bytes, bytes]:
    text = settings.encode()
    entry = struct.pack("<BBdIHBf", 0, 0, 0.0, 301, 0, 1, 1.0)
    return batch(
        5.0,
        bytes.fromhex("0c0300"),
        struct.pack("<BQII", 1, 11, 0, len(text)),
        struct.pack("<BIBII", 2, 1, 2, len(text), 1),
        tail=text + entry,
    )


def action_records(reply: bytes) -> list[bytes]:
    count = struct.unpack_from("<I", reply, 4)[0]
    return [reply[12 + n * 24 : 36 + n * 24] for n in range(count)]


def test_an_empty_batch_has_an_empty_reply() -> None:
    header = bytes.fromhex("0100000000000000000000000000000000001440")
    assert benchlink.Adapter().answer_batch(header, b"") == bytes.fromhex("010000000000000000000000")


def test_settings_are_read_and_unknown_keys_skipped() -> None:
    settings, load_names = benchlink.read_settings(SETTINGS)
    assert settings.classes[1] == interface.RequestClass(
        1.5,
        5.0,
        idempotency=interface.Idempotency.KEYED,
        dedup_scope=interface.DedupScope.CELL,
        dedup_window=3.0,
    )
    assert settings.plans == (interface.Plan(rate=2.0, burst=8.0),)
    assert (settings.gateways, settings.use_counter, settings.list_on_request) == (2, True, True)
    assert load_names == ["queue", "latency_ms", "brand_new"]


def test_a_request_is_counted_sent_and_answered() -> None:
    adapter = benchlink.Adapter()
    adapter.answer_batch(*start_batch())
    submit = struct.pack("<BQBIQdfffB", 3, 77, 0, 0, 9, 2.0, 2.0, 2.0, 0.0, 0)
    records = action_records(adapter.answer_batch(*batch(6.4, bytes.fromhex("0c0300"), submit)))
    assert records[0] == bytes.fromhex("450300").ljust(24, b"\0")
    adds = [struct.unpack_from("<Qfd", record, 1) for record in records if record[0] == 66]
    assert [(add, ttl) for _, add, ttl in adds] == [(2.0, 12.0)]
    counted = struct.pack("<BQdHf", 11, adds[0][0], 0.001, 100, 2.0)
    records = action_records(adapter.answer_batch(*batch(6.41, bytes.fromhex("0c0300"), counted)))
    while reads := [struct.unpack_from("<Qfd", record, 1) for record in records if record[0] == 66]:
        counted = struct.pack("<BQdHf", 11, reads[0][0], 0.001, 100, 0.0)
        records = action_records(adapter.answer_batch(*batch(6.42, bytes.fromhex("0c0300"), counted)))
    sends = [struct.unpack_from("<QId", record, 1) for record in records if record[0] == 76]
    assert [send[:2] for send in sends] == [(77, 301)]
    report = struct.pack("<BQHIHdBHHB4f", 5, 77, 0, 301, 100, 0.1, 1, 0, 0, 0, 0, 0, 0, 0)
    records = action_records(adapter.answer_batch(*batch(6.5, bytes.fromhex("0c0300"), report)))
    assert not [record for record in records if record[0] in (75, 76, 78)]


def test_a_restart_in_one_batch_starts_anew() -> None:
    adapter = benchlink.Adapter()
    adapter.answer_batch(*start_batch())
    submit = struct.pack("<BQBIQdfffB", 3, 77, 0, 0, 9, 2.0, 2.0, 2.0, 0.0, 0)
    text = SETTINGS.encode()
    header, body = batch(7.0, bytes.fromhex("0c0300"), submit, b"\x0a",
                         struct.pack("<BQII", 1, 12, 0, len(text)), struct.pack("<BIBII", 2, 1, 2, 0, 0),
                         tail=text)  # fmt: skip
    assert not [record for record in action_records(adapter.answer_batch(header, body)) if record[0] == 66]


@pytest.mark.parametrize(
    ("frame", "message"),
    [
        (b"\x01\x00", "inside a header"),
        (struct.pack("<IIId", 1, 1, 48, 0.0) + b"\x0c", "inside a batch"),
        (b"".join(batch(1.0, b"\xc8")), "unknown event code 200"),
        (b"".join(batch(1.0, b"\x07")), "before any instance"),
        (b"".join(batch(1.0, b"\x0c\x03\x00", b"\x07")), "has not started"),
        (b"".join(start_batch(SETTINGS.replace("effect=dedup", "effect=maybe"))), "classes.1.effect"),
        (b"".join(start_batch(SETTINGS.replace("quota_rate=2.0", "quota_rate=-2.0"))), "plans[0].rate"),
        (b"".join(start_batch("balancers=2\n")), "classes"),
    ],
)
def test_broken_frames_end_with_a_plain_message(frame: bytes, message: str) -> None:
    run = subprocess.run(
        [sys.executable, "-m", "starlinggap.benchlink"], input=frame, capture_output=True, check=False
    )
    assert run.returncode != 0
    assert message in run.stderr.decode()
    assert "Traceback" not in run.stderr.decode()


def test_serve_answers_until_the_input_ends() -> None:
    sink = io.BytesIO()
    benchlink.serve(io.BytesIO(b"".join(start_batch()) + b"".join(batch(6.0, batch_number=2))), sink)
    assert sink.getvalue().endswith(bytes.fromhex("020000000000000000000000"))
