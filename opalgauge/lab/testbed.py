"""An ingress of its own between stand-ins, each a process, for a measurement. Everything is on loopback."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any

import psutil

from opalgauge.lab.ports import free_ports

NEGOCE = "tariff negoce rate=100000/s burst=1000000 price=1.6"
ENTREPRISE = (
    "tariff entreprise rate=60/s burst=120 price=1.3 ceiling-rate=120/s ceiling-burst=240 ceiling-slack=24"
)
CEILING = 120.0, 240.0, 24.0  # units a second, depth, slack of it
WINDOW = {"negoce": 10.0, "entreprise": 2.0}  # s


def start(module: str, *words: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", module, *words], stdout=subprocess.PIPE, text=True, stdin=subprocess.DEVNULL
    )


def settings_text(port: int, workers: int, counter: str, nodes: Sequence[str], more: str = "") -> str:
    rows = [f"stock-node s-{n} {address}" for n, address in enumerate(nodes)]
    return "\n".join([
        f"listen 127.0.0.1:{port}", f"workers {workers}", f"counter {counter}", "most-units 4",
        "sockets 16384",
        "kind stock-check repeat=safe aim=400ms deadline=1200ms worth=2",
        "kind place-order repeat=never aim=800ms deadline=3s worth=5", NEGOCE, ENTREPRISE, *rows, more, "",
    ])  # fmt: skip


@dataclass
class Testbed:
    """`ingress` is its first process. `lines` is its log."""

    address: str
    ingress: subprocess.Popen[str]
    parts: dict[str, list[subprocess.Popen[str]]]
    lines: list[str] = field(default_factory=list)
    seen: dict[str, list[dict[str, Any]]] = field(default_factory=dict)

    def processes(self) -> list[psutil.Process]:
        first = psutil.Process(self.ingress.pid)
        return [first, *first.children(recursive=True)]

    def seat(self, number: int) -> psutil.Process:
        return next(p for p in self.processes() if f"seat={number}" in p.cmdline())

    def cost(self) -> tuple[float, float]:
        """CPU seconds so far and resident MB of the ingress, all its processes together."""
        cpu = memory = 0.0
        for process in self.processes():
            with contextlib.suppress(psutil.Error):
                times = process.cpu_times()
                cpu += times.user + times.system
                memory += process.memory_info().rss / 2**20
        return cpu, memory

    def close(self) -> None:
        """Stops the ingress, then the stand-ins, and reads what these saw."""
        _stop(self.ingress)
        for kind, processes in self.parts.items():
            self.seen[kind] = []
            for process in processes:
                process.terminate()
                out, _ = process.communicate(timeout=20)
                self.seen[kind].append(json.loads(out.strip().splitlines()[-1]))


def _stop(process: subprocess.Popen[str]) -> None:
    if process.poll() is None:
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(10)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def _read(stream: IO[str], lines: list[str]) -> None:
    for line in iter(stream.readline, ""):
        lines.append(line.rstrip())  # one at a time: it is looked at while more come


@contextlib.contextmanager
def testbed(
    workers: int, nodes: int = 4, node_processes: int = 2, delay: float = 0.0, more: str = ""
) -> Iterator[Testbed]:
    ports = free_ports(nodes + 2)
    port, quota, *rest = ports
    addresses = [f"127.0.0.1:{p}" for p in rest]
    parts = {
        "counter": [start("opalgauge.lab.stand_ins", "counter", f"127.0.0.1:{quota}")],
        "node": [
            start("opalgauge.lab.stand_ins", "node", *addresses[n::node_processes], f"delay={delay}")
            for n in range(min(nodes, node_processes))
        ],
    }
    every = [p for many in parts.values() for p in many]
    ingress = None
    try:
        for process in every:
            assert process.stdout is not None
            if process.stdout.readline().strip() != "up":
                raise RuntimeError("a stand-in did not come up")
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "bench.conf"
            path.write_text(settings_text(port, workers, f"127.0.0.1:{quota}", addresses, more))
            ingress = subprocess.Popen(
                [sys.executable, "-m", "opalgauge.cli.main", "serve", "--settings", str(path)],
                stderr=subprocess.PIPE, text=True, stdin=subprocess.DEVNULL,
                env={k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")},
            )  # fmt: skip
            made = Testbed(f"127.0.0.1:{port}", ingress, parts)
            assert ingress.stderr is not None
            reader = threading.Thread(target=_read, args=(ingress.stderr, made.lines), daemon=True)
            first = ingress.stderr.readline()
            made.lines.append(first.rstrip())
            if "ready:" not in first:
                raise RuntimeError(f"the ingress did not start: {first}")
            reader.start()
            yield made
    finally:
        for process in [*([ingress] if ingress else []), *every]:
            _stop(process)


def loads(specs: Sequence[dict[str, Any]]) -> list[subprocess.Popen[str]]:
    return [start("opalgauge.lab.load_generator", json.dumps(spec)) for spec in specs]


def results(processes: Sequence[subprocess.Popen[str]], limit: float) -> list[dict[str, Any]]:
    told = []
    until = time.monotonic() + limit
    try:
        for process in processes:
            out, _ = process.communicate(timeout=max(1.0, until - time.monotonic()))
            told.append(json.loads(out.strip().splitlines()[-1]))
    finally:
        for process in processes:
            if process.poll() is None:
                process.kill()
                process.wait()
    return told
