"""Trying an ingress by hand: `stand-ins` and `serve` with one settings file answer up to the quota."""

from __future__ import annotations

import http.client
import shlex
import subprocess
import sys
from pathlib import Path

from opalgauge.lab.ports import free_ports

OPALGAUGE = [sys.executable, "-m", "opalgauge.cli.main"]


def settings(folder: Path, server_host: str = "127.0.0.1") -> tuple[Path, int]:
    """Writes the example settings with free ports; returns the file and the ingress's port."""
    listen, counter, first_server, second_server = free_ports(4)
    text = Path("deploy/opalgauge.conf").read_text()
    for old, new in (
        ("127.0.0.1:5000", f"127.0.0.1:{listen}"), ("127.0.0.1:6400", f"127.0.0.1:{counter}"),
        ("127.0.0.1:7001", f"{server_host}:{first_server}"), ("127.0.0.1:7002", f"127.0.0.1:{second_server}"),
        ("workers       4\n", ""), ("stock-node    s-3  127.0.0.1:7003  site=bat-b\n", ""),
    ):  # fmt: skip
        assert old in text
        text = text.replace(old, new)
    file = folder / "try.conf"
    file.write_text(text)
    return file, listen


def test_stand_ins_and_serve_answer_requests_up_to_the_quota(tmp_path: Path) -> None:
    file, listen = settings(tmp_path)
    stand_ins = subprocess.Popen([*OPALGAUGE, "stand-ins", str(file)], stdout=subprocess.PIPE, text=True)
    ingress = subprocess.Popen(
        [*OPALGAUGE, "serve", "--settings", str(file)], stderr=subprocess.PIPE, text=True
    )  # fmt: skip
    try:
        assert stand_ins.stdout is not None and ingress.stderr is not None
        curl_words = shlex.split(stand_ins.stdout.readline())
        assert stand_ins.stdout.readline().startswith("up: ")
        assert "ready:" in ingress.stderr.readline()
        header_fields = [
            word.split(": ", 1)
            for flag, word in zip(curl_words, curl_words[1:], strict=False)
            if flag == "-H"
        ]
        answers: list[tuple[int, str | None]] = []
        while not answers or answers[-1][0] == 200 and len(answers) < 500:
            connection = http.client.HTTPConnection("127.0.0.1", listen, timeout=20)
            headers = {name: value for name, value in header_fields} | {
                "X-Correlation-Id": f"try-{len(answers)}"
            }
            connection.request("GET", f"/{curl_words[-1].rsplit('/', 1)[1]}", headers=headers)
            answer = connection.getresponse()
            answers.append((answer.status, answer.getheader("Retry-After")))
            connection.close()
        assert [status for status, _ in answers] == [200] * (len(answers) - 1) + [429] and len(answers) > 4
        assert float(answers[-1][1] or 0) > 0 and answers[0][1] is None
    finally:
        for process in (ingress, stand_ins):
            process.terminate()
            process.wait(20)
    assert f"seen: {len(answers) - 1} requests" in stand_ins.stdout.read()


def test_stand_ins_refuse_addresses_that_are_not_on_loopback(tmp_path: Path) -> None:
    file, _ = settings(tmp_path, server_host="192.0.2.1")
    result = subprocess.run([*OPALGAUGE, "stand-ins", str(file)], capture_output=True, text=True, check=False)
    assert result.returncode == 2 and "not on loopback: 192.0.2.1" in result.stderr
    assert len(result.stderr.splitlines()) == 1
