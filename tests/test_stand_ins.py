"""An ingress tried by hand: two commands, and requests are answered, within the quota and beyond it."""

from __future__ import annotations

import http.client
import shlex
import subprocess
import sys
from pathlib import Path

from opalgauge.lab.ports import free_ports

MAIN = [sys.executable, "-m", "opalgauge.cli.main"]


def settings(folder: Path, node: str = "127.0.0.1") -> tuple[Path, int]:
    listen, counter, first, second = free_ports(4)
    text = Path("deploy/opalgauge.conf").read_text()
    for old, new in (
        ("127.0.0.1:5000", f"127.0.0.1:{listen}"), ("127.0.0.1:6400", f"127.0.0.1:{counter}"),
        ("127.0.0.1:7001", f"{node}:{first}"), ("127.0.0.1:7002", f"127.0.0.1:{second}"),
        ("workers       4\n", ""), ("stock-node    s-3  127.0.0.1:7003  site=bat-b\n", ""),
    ):  # fmt: skip
        assert old in text
        text = text.replace(old, new)
    file = folder / "try.conf"
    file.write_text(text)
    return file, listen


def test_two_commands_and_requests_are_answered(tmp_path: Path) -> None:
    file, listen = settings(tmp_path)
    round_it = subprocess.Popen([*MAIN, "stand-ins", str(file)], stdout=subprocess.PIPE, text=True)
    ingress = subprocess.Popen(
        [*MAIN, "serve", "--settings", str(file)], stderr=subprocess.PIPE, text=True
    )  # fmt: skip
    try:
        assert round_it.stdout is not None and ingress.stderr is not None
        words = shlex.split(round_it.stdout.readline())
        assert round_it.stdout.readline().startswith("up: ")
        assert "ready:" in ingress.stderr.readline()
        told = [word.split(": ", 1) for before, word in zip(words, words[1:], strict=False) if before == "-H"]
        answers: list[tuple[int, str | None]] = []
        while not answers or answers[-1][0] == 200 and len(answers) < 500:
            asked = http.client.HTTPConnection("127.0.0.1", listen, timeout=20)
            headers = {name: value for name, value in told} | {"X-Correlation-Id": f"try-{len(answers)}"}
            asked.request("GET", f"/{words[-1].rsplit('/', 1)[1]}", headers=headers)
            answer = asked.getresponse()
            answers.append((answer.status, answer.getheader("Retry-After")))
            asked.close()
        assert [status for status, _ in answers] == [200] * (len(answers) - 1) + [429] and len(answers) > 4
        assert float(answers[-1][1] or 0) > 0 and answers[0][1] is None
    finally:
        for process in (ingress, round_it):
            process.terminate()
            process.wait(20)
    assert f"seen: {len(answers) - 1} requests" in round_it.stdout.read()


def test_what_is_not_on_loopback_is_not_stood_in_for(tmp_path: Path) -> None:
    file, _ = settings(tmp_path, node="192.0.2.1")
    said = subprocess.run([*MAIN, "stand-ins", str(file)], capture_output=True, text=True, check=False)
    assert said.returncode == 2 and "not on loopback: 192.0.2.1" in said.stderr
    assert len(said.stderr.splitlines()) == 1
