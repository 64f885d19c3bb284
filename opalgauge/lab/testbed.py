"""Starts an ingress with stand-ins for its servers and counter, each a process on loopback, to measure it."""

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

NEGOCE_DIRECTIVE = "tariff negoce rate=100000/s burst=1000000 price=1.6"
ENTREPRISE_DIRECTIVE = (
    "tariff entreprise rate=60/s burst=120 price=1.3 ceiling-rate=120/s ceiling-burst=240 ceiling-slack=24"
)
CEILING = 120.0, 240.0, 24.0  # rate (units a second), burst and slack of entreprise
WINDOWS = {"negoce": 10.0, "entreprise": 2.0}  # s, the counting window of each plan


def start_module(module: str, *arguments: str) -> subprocess.Popen[str]:
    """Starts a module as a process whose standard output can be read."""
    return subprocess.Popen(
        [sys.executable, "-m", module, *arguments],
        stdout=subprocess.PIPE,
        text=True,
        stdin=subprocess.DEVNULL,
    )


def settings_text(port: int, workers: int, counter: str, servers: Sequence[str], extra: str = "") -> str:
    """Returns the settings file of the ingress. `extra`: further directives."""
    server_lines = [f"stock-node s-{index} {address}" for index, address in enumerate(servers)]
    return "\n".join([
        f"listen 127.0.0.1:{port}", f"workers {workers}", f"counter {counter}", "most-units 4",
        "sockets 16384",
        "kind stock-check repeat=safe aim=400ms deadline=1200ms worth=2",
        "kind place-order repeat=never aim=800ms deadline=3s worth=5",
        NEGOCE_DIRECTIVE, ENTREPRISE_DIRECTIVE, *server_lines, extra, "",
    ])  # fmt: skip


@dataclass
class Testbed:
    """An ingress under test and its stand-ins.

    `ingress` is its first process, `log` its log lines so far. `reports` is filled by `close`: what the
    stand-ins reported, by their names.
    """

    address: str
    ingress: subprocess.Popen[str]
    stand_ins: dict[str, list[subprocess.Popen[str]]]
    log: list[str] = field(default_factory=list)
    reports: dict[str, list[dict[str, Any]]] = field(default_factory=dict)

    def processes(self) -> list[psutil.Process]:
        """Returns all processes of the ingress."""
        first = psutil.Process(self.ingress.pid)
        return [first, *first.children(recursive=True)]

    def worker_process(self, number: int) -> psutil.Process:
        """Returns the process of a worker. Raises StopIteration if there is none."""
        return next(process for process in self.processes() if f"seat={number}" in process.cmdline())

    def resource_usage(self) -> tuple[float, float]:
        """Returns CPU seconds so far and resident MiB, summed over the processes of the ingress."""
        cpu = memory = 0.0
        for process in self.processes():
            with contextlib.suppress(psutil.Error):
                times = process.cpu_times()
                cpu += times.user + times.system
                memory += process.memory_info().rss / 2**20
        return cpu, memory

    def close(self) -> None:
        """Stops the ingress, then the stand-ins, and reads their reports."""
        _stop(self.ingress)
        for name, processes in self.stand_ins.items():
            self.reports[name] = []
            for process in processes:
                process.terminate()
                out, _ = process.communicate(timeout=20)
                self.reports[name].append(json.loads(out.strip().splitlines()[-1]))


def _stop(process: subprocess.Popen[str]) -> None:
    if process.poll() is None:
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(10)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def _read(stream: IO[str], log: list[str]) -> None:
    for line in iter(stream.readline, ""):
        log.append(line.rstrip())  # line by line: the list is read while more lines come


@contextlib.contextmanager
def testbed(
    workers: int, servers: int = 4, server_processes: int = 2, delay: float = 0.0, extra_settings: str = ""
) -> Iterator[Testbed]:
    """Starts stand-ins and an ingress, waits until it is ready, and stops all of them at the end.

    `delay`: seconds that the servers take to answer. Raises RuntimeError if a process does not come up.
    """
    ports = free_ports(servers + 2)
    port, counter_port, *server_ports = ports
    addresses = [f"127.0.0.1:{process}" for process in server_ports]
    stand_ins = {
        "counter": [start_module("opalgauge.lab.stand_ins", "counter", f"127.0.0.1:{counter_port}")],
        "node": [
            start_module(
                "opalgauge.lab.stand_ins", "node", *addresses[first::server_processes], f"delay={delay}"
            )
            for first in range(min(servers, server_processes))
        ],
    }
    stand_in_processes = [process for processes in stand_ins.values() for process in processes]
    ingress = None
    try:
        for process in stand_in_processes:
            assert process.stdout is not None
            if process.stdout.readline().strip() != "up":
                raise RuntimeError("a stand-in did not come up")
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "bench.conf"
            path.write_text(
                settings_text(port, workers, f"127.0.0.1:{counter_port}", addresses, extra_settings)
            )
            ingress = subprocess.Popen(
                [sys.executable, "-m", "opalgauge.cli.main", "serve", "--settings", str(path)],
                stderr=subprocess.PIPE, text=True, stdin=subprocess.DEVNULL,
                env={k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")},
            )  # fmt: skip
            bed = Testbed(f"127.0.0.1:{port}", ingress, stand_ins)
            assert ingress.stderr is not None
            reader = threading.Thread(target=_read, args=(ingress.stderr, bed.log), daemon=True)
            first_line = ingress.stderr.readline()
            bed.log.append(first_line.rstrip())
            if "ready:" not in first_line:
                raise RuntimeError(f"the ingress did not start: {first_line}")
            reader.start()
            yield bed
    finally:
        for process in [*([ingress] if ingress else []), *stand_in_processes]:
            _stop(process)


def start_load_generators(specs: Sequence[dict[str, Any]]) -> list[subprocess.Popen[str]]:
    """Starts a load generator for each spec; see `opalgauge.lab.load_generator`."""
    return [start_module("opalgauge.lab.load_generator", json.dumps(spec)) for spec in specs]


def load_results(processes: Sequence[subprocess.Popen[str]], timeout: float) -> list[dict[str, Any]]:
    """Returns the reports of load generators; kills them all if one takes longer than `timeout` seconds."""
    reports = []
    deadline = time.monotonic() + timeout
    try:
        for process in processes:
            output, _ = process.communicate(timeout=max(1.0, deadline - time.monotonic()))
            reports.append(json.loads(output.strip().splitlines()[-1]))
    finally:
        for process in processes:
            if process.poll() is None:
                process.kill()
                process.wait()
    return reports
