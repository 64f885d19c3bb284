"""The ingress processes of a run: starts, upgrades, signals, and SIGKILL at the earliest allowed time."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tests.soak.checker import kill_delay
from tests.soak.deployment import Deployment
from tests.soak.records import ProcessRecord
from tests.soak.stand_ins import Discovery

ROOT = Path(__file__).parent.parent.parent
SAMPLE_INTERVAL = 0.25  # s between samples of a process's descriptors and memory
READY_TIMEOUT = 15.0  # s
SIGNAL_INTERVAL = 0.1  # s between SIGTERM and the signals that follow it
SUSPEND_DURATION = 0.12  # s between SIGSTOP and SIGCONT
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1e6


class Process:
    """An ingress process; fills its record from its log and from /proc."""

    def __init__(
        self, record: ProcessRecord, handle: asyncio.subprocess.Process, now: Callable[[], float]
    ) -> None:
        self.record, self.handle, self.now = record, handle, now
        self.ready = asyncio.Event()
        self.log_lines: list[str] = []
        self.tasks = [asyncio.create_task(self._read_log()), asyncio.create_task(self._sample_resources())]

    async def _read_log(self) -> None:
        assert self.handle.stderr is not None
        while line := await self.handle.stderr.readline():
            text = line.decode(errors="replace").rstrip()
            self.log_lines.append(text)
            if "ready:" in text:
                self.record.ready = self.now()
                self.ready.set()
            self.record.faults += "fault:" in text or "Traceback" in text
        self.record.code = await self.handle.wait()
        self.record.ended = self.now()
        self.ready.set()

    async def _sample_resources(self) -> None:
        """Records the most descriptors and memory that the process holds."""
        folder = Path(f"/proc/{self.handle.pid}")
        while self.handle.returncode is None:
            with contextlib.suppress(OSError, IndexError, ValueError):
                self.record.descriptors = max(self.record.descriptors, len(list((folder / "fd").iterdir())))
                pages = int((folder / "statm").read_text().split()[1])
                self.record.memory_mb = max(self.record.memory_mb, pages * PAGE_MB)
            await asyncio.sleep(SAMPLE_INTERVAL)

    def send_signal(self, number: int) -> None:
        """Sends a signal, unless the process has ended."""
        if self.handle.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.handle.send_signal(number)

    async def crash(self) -> None:
        """Sends SIGKILL without asking the process to stop, and waits for its end."""
        self.record.crashed = True
        await self.kill()

    async def stop(self, longest_deadline: float, more_signals: tuple[int, ...] = ()) -> None:
        """Sends SIGTERM and further signals, and SIGKILL as early as the platform may; waits for the end."""
        self.record.asked = self.now()
        self.send_signal(signal.SIGTERM)
        for number in more_signals:
            asyncio.get_running_loop().call_later(SIGNAL_INTERVAL, self.send_signal, number)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.handle.wait(), kill_delay(longest_deadline))
        await self.kill()

    async def kill(self) -> None:
        """Sends SIGKILL, unless the process has ended, and waits for its end."""
        if self.handle.returncode is None:
            self.record.killed = self.now()
            self.send_signal(signal.SIGKILL)
        await self.handle.wait()
        await self.tasks[0]
        self.tasks[1].cancel()

    async def suspend(self) -> None:
        """Stops the process for SUSPEND_DURATION."""
        self.send_signal(signal.SIGSTOP)
        await asyncio.sleep(SUSPEND_DURATION)
        self.send_signal(signal.SIGCONT)


class Instance:
    """An ingress and its successive processes."""

    def __init__(
        self,
        deployment: Deployment,
        number: int,
        folder: Path,
        records: list[ProcessRecord],
        now: Callable[[], float],
        before_start: Callable[[int], dict[str, str]],
    ) -> None:
        self.deployment, self.number, self.folder = deployment, number, folder
        # `before_start` is called with the instance's number; it returns the environment of the new process.
        self.records, self.now, self.before_start = records, now, before_start
        self.listener: socket.socket | None = None
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind(("127.0.0.1", 0))
        self.address: tuple[str, int] = reserved.getsockname()
        if deployment.rolling_upgrades:
            reserved.listen(512)
            self.listener = reserved
        else:
            reserved.close()
        self.config: dict[str, Any] = {}
        self.agent: Discovery | None = None
        self.current: Process | None = None
        self.log_lines: list[str] = []

    def configure(self, agent: Discovery, counter: str) -> None:
        """Prepares the configuration; `counter` is the address of the quota counter."""
        limits, self.agent = self.deployment.limits, agent
        self.config = {
            "name": f"n{self.number}", "listen": f"127.0.0.1:{self.address[1]}", "discovery": agent.address,
            "seed": f"{self.deployment.seed * 31 + self.number:016x}", "counter": counter,
            "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.descriptors},
            "settings": self.deployment.settings(self.number),
        }  # fmt: skip
        self.folder.mkdir(exist_ok=True)

    async def start(self) -> Process:
        """Starts a process and waits until it is ready, for READY_TIMEOUT at most."""
        process = await self._spawn()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(process.ready.wait(), READY_TIMEOUT)
        return process

    async def _spawn(self) -> Process:
        assert self.agent is not None
        config = {**self.config, "known": self.agent.server_list()}
        (self.folder / "config.json").write_text(json.dumps(config))
        environ = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")}
        environ |= {
            "BALANCER_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(self.folder),
            **self.before_start(self.number),
        }  # fmt: skip
        fds: tuple[int, ...] = ()
        if self.listener is not None:
            environ["BALANCER_LISTEN_FD"] = str(self.listener.fileno())
            fds = (self.listener.fileno(),)
        record = ProcessRecord(self.number, self.now())
        self.records.append(record)
        handle = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "opalgauge", cwd=ROOT, env=environ, pass_fds=fds,
            stderr=asyncio.subprocess.PIPE, stdin=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        return Process(record, handle, self.now)

    async def start_first(self) -> None:
        """Starts the instance's first process."""
        self.current = await self.start()

    async def upgrade(self) -> None:
        """Starts a new process beside the old one, and stops the old one once the new one is ready."""
        old, new = self.current, await self.start()
        self.current = new
        if old is not None:
            await old.stop(self.deployment.limits.longest_deadline)
            self.log_lines += old.log_lines

    async def failed_upgrade(self, delay: float) -> None:
        """Starts a new process and kills it `delay` s later; the old one serves on.

        A new process that is ready by then may hold requests, so it is stopped with SIGTERM instead.
        """
        new = await self._spawn()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(new.ready.wait(), delay)
        if new.ready.is_set():
            await new.stop(self.deployment.limits.longest_deadline)
        else:
            await new.kill()

    async def abandoned_upgrade(self, delay: float, on_all_stopping: Callable[[], None]) -> None:
        """Starts a new process, stops the old one and `delay` s later the new one, and starts a third.

        `on_all_stopping` is called when no process is left that was not told to stop.
        """
        old, new = self.current, await self.start()
        longest_deadline = self.deployment.limits.longest_deadline
        stopping = [asyncio.create_task(old.stop(longest_deadline))] if old is not None else []
        await asyncio.sleep(delay)
        stopping.append(asyncio.create_task(new.stop(longest_deadline)))
        on_all_stopping()
        self.current = await self.start()
        await asyncio.gather(*stopping)
        for process in (old, new):
            self.log_lines += process.log_lines if process is not None else []

    async def restart(self, more_signals: tuple[int, ...] = ()) -> None:
        """Stops the process, and starts a new one after its end."""
        old = self.current
        if old is not None:
            await old.stop(self.deployment.limits.longest_deadline, more_signals)
            self.log_lines += old.log_lines
        self.current = await self.start()

    async def crash(self) -> None:
        """Kills the process without asking it to stop, and starts a new one after its end."""
        old, self.current = self.current, None
        if old is not None:
            await old.crash()
            self.log_lines += old.log_lines
        self.current = await self.start()

    async def shut_down(self) -> None:
        """Stops the current process and closes the listening socket."""
        if self.current is not None:
            await self.current.stop(self.deployment.limits.longest_deadline)
            self.log_lines += self.current.log_lines
        if self.listener is not None:
            self.listener.close()
