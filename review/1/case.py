"""Clients that take seconds to read long answers, while the platform watches the memory of the ingress."""

import asyncio
import os
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))
from rig import TROUBLE, Agent, CannotRun, Counter, Ingress, Node, Record, new_id, play, request

MEMORY_MB = 192  # `limits.memory_mb` in the configuration: the most that the pages give
CLIENTS = 200  # at once; the pages allow a third of 1,024 descriptors
CLIENTS_PER_S = 40.0  # the pages: an ingress gets up to 140 requests a second
ANSWER_BYTES = 8 << 20  # the pages: up to 32 MB
PIECE, PAUSE = 32 << 10, 1.0  # what a slow client reads at a time, and the seconds between
SLOW_FOR = 9.0  # s; then all clients read at full speed
BLOCK = b"y" * 65536


async def long_answer(_: Node, writer: asyncio.StreamWriter, __: str, ___: object, ____: bytes) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % ANSWER_BYTES)
    for _block in range(ANSWER_BYTES // len(BLOCK)):
        writer.write(BLOCK)
        await writer.drain()


def processes_of(pid: int) -> list[int]:
    """The process and all that it has started."""
    found = [pid]
    for path in Path("/proc").glob("[0-9]*/stat"):
        try:
            if int(path.read_text().rpartition(")")[2].split()[1]) == pid:
                found += processes_of(int(path.parent.name))
        except OSError:
            continue
    return found


def memory_mb(pid: int) -> tuple[float, float]:
    """Anonymous memory alone, and all resident memory, of the ingress (MB)."""
    anonymous = resident = 0
    for process in processes_of(pid):
        try:
            lines = Path(f"/proc/{process}/status").read_text().splitlines()
        except OSError:
            continue
        values = {
            line.split(":")[0]: int(line.split()[1])
            for line in lines
            if line.startswith(("VmRSS", "RssAnon"))
        }
        anonymous += values.get("RssAnon", 0)
        resident += values.get("VmRSS", 0)
    return anonymous / 1024, resident / 1024


async def case(record: Record, folder: str, ingresses: list[Ingress]) -> str:
    nodes = [Node(f"s-{number}", record, long_answer) for number in range(8)]
    for node in nodes:
        await node.start()
    counter, agent = Counter(), Agent(record)
    await counter.start()
    await agent.start()
    agent.tell(*[node.listed() for node in nodes])
    known = {"seq": agent.seq, "whole": True, "hosts": [node.listed() for node in nodes]}
    ingress = Ingress(record, folder, counter=counter.address, discovery=agent.address, known=known,
                      limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024})  # fmt: skip
    ingresses.append(ingress)
    await ingress.start()
    await ingress.wait_ready()
    assert ingress.process
    loop = asyncio.get_running_loop()
    results: dict[str, int] = {}
    slow_until = time.monotonic() + SLOW_FOR

    async def ask(number: int) -> None:
        request_id, got, first = new_id(), 0, b""
        with socket.socket() as sock:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 << 10)
            try:
                await loop.sock_connect(sock, ("127.0.0.1", ingress.port))
                await loop.sock_sendall(sock, request("stock-check", request_id, 1.2, customer=number + 1))
                record(f"client {number}: sent stock-check {request_id}")
                while got < ANSWER_BYTES:
                    slow = TROUBLE and time.monotonic() < slow_until
                    data = await loop.sock_recv(sock, PIECE if slow else 1 << 20)
                    first, got = first or data, got + len(data)
                    if not data or first[9:12] != b"200":
                        break
                    if slow:
                        await asyncio.sleep(PAUSE)
            except OSError as error:
                record(f"client {number}: {type(error).__name__}")
        result = f"{first[9:12].decode() or 'nothing'}, {'whole' if got >= ANSWER_BYTES else 'not whole'}"
        results[result] = results.get(result, 0) + 1
        record(f"client {number}: {request_id}: {result}, {got} bytes")

    most, broken = (0.0, 0.0), ""

    async def platform() -> None:
        """Kills the ingress once it is over its memory limit, as the deployment page says."""
        nonlocal most, broken
        while ingress.process and ingress.process.returncode is None:
            now = memory_mb(ingress.process.pid)
            most = max(most, now)
            if now[0] > MEMORY_MB:
                broken = f"the ingress went over its limit of {MEMORY_MB} MB and was killed"
                record(f"platform: anonymous memory {now[0]:.0f} MB, resident {now[1]:.0f} MB; SIGKILL")
                ingress.process.kill()
                return
            await asyncio.sleep(0.1)

    watch = asyncio.create_task(platform())
    tasks = []
    for number in range(CLIENTS):
        tasks.append(asyncio.create_task(ask(number)))
        await asyncio.sleep(1 / CLIENTS_PER_S)
    done, open_tasks = await asyncio.wait(tasks, timeout=45)
    for task in open_tasks:
        task.cancel()
    ended = ingress.process.returncode
    watch.cancel()
    record(f"clients: {results}, open {len(open_tasks)}; "
           f"most memory: anonymous {most[0]:.0f} MB, resident {most[1]:.0f} MB")  # fmt: skip
    if not broken and ended is not None:
        broken = f"the ingress ended with {ended}"
    if not broken and not any(key.startswith("200") for key in results):
        raise CannotRun("no answer came")
    return broken and f"{broken}; {results}"


play(case, os.path.dirname(os.path.abspath(__file__)))
