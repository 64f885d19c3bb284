"""Orders with long bodies, while one stock node of four hangs: each order is owed its answer in its time."""

import asyncio
import os
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))
from rig import (
    TROUBLE,
    Agent,
    CannotRun,
    Counter,
    Ingress,
    NodeProcess,
    Record,
    ask_once,
    new_id,
    play,
    request,
)

TIME_LEFT = 3.0  # s; also the deadline of the class
GRACE = 0.55  # s: half a second after its time it only earns nothing; time limits on sockets are 50 ms longer
SIZES = (4_000_000, 5_000_000, 6_000_000, 7_000_000)  # bytes; the pages allow 32 MB
ORDERS = 40


async def case(record: Record, folder: str, ingresses: list[Ingress]) -> str:
    nodes = [NodeProcess(f"s-{number}", record, None) for number in range(4)]
    try:
        return await play_orders(record, folder, ingresses, nodes)
    finally:
        for node in nodes:
            node.stop()
            await node.process.wait()


async def play_orders(record: Record, folder: str, ingresses: list[Ingress], nodes: list[NodeProcess]) -> str:
    for node in nodes:
        await node.start()
    counter, agent = Counter(), Agent(record)
    await counter.start()
    await agent.start()
    agent.tell(*[node.listed() for node in nodes])
    known = {"seq": agent.seq, "whole": True, "hosts": [node.listed() for node in nodes]}
    ingress = Ingress(record, folder, counter=counter.address, discovery=agent.address, known=known)
    ingresses.append(ingress)
    await ingress.start()
    await ingress.wait_ready()
    for number in range(8):  # a calm beginning
        status, _, __ = await ask_once(ingress, "place-order", TIME_LEFT, b"order", customer=number + 1)
        if status != "200":
            raise CannotRun("a calm order was not served")
    if TROUBLE:
        nodes[1].signal(signal.SIGSTOP)
    loop = asyncio.get_running_loop()
    late: list[str] = []
    counts: dict[str, int] = {}

    async def order(number: int) -> None:
        request_id, size = new_id(), SIZES[number % len(SIZES)]
        with socket.socket() as sock:
            sock.setblocking(False)
            await loop.sock_connect(sock, ("127.0.0.1", ingress.port))
            began = time.monotonic()
            reading = asyncio.create_task(loop.sock_recv(sock, 4096))
            sending = asyncio.create_task(
                loop.sock_sendall(
                    sock, request("place-order", request_id, TIME_LEFT, b"x" * size, customer=100 + number)
                )
            )
            record(f"client: sends place-order {request_id}, {size} bytes, time-left={TIME_LEFT}")
            await asyncio.wait({reading, sending}, return_when=asyncio.FIRST_COMPLETED, timeout=TIME_LEFT)
            if not sending.done() or sending.exception():
                result = (
                    "answered before its last byte"
                    if reading.done()
                    else "last byte never written: not taken"
                )
            else:
                written = time.monotonic()
                record(f"client: {request_id}: last byte written after {written - began:.3f} s")
                await asyncio.wait({reading}, timeout=TIME_LEFT + GRACE)
                if reading.done() and not reading.exception() and reading.result():
                    result = "answered " + reading.result()[9:12].decode()
                    record(f"client: {request_id}: {result} after {time.monotonic() - written:.3f} s")
                else:
                    result = "NO ANSWER IN ITS TIME"
                    late.append(request_id)
                    # Waits on only to record when an answer would have come.
                    await asyncio.wait({reading}, timeout=5)
                    seen = (
                        reading.result()[9:12].decode()
                        if reading.done() and not reading.exception()
                        else "none"
                    )
                    record(
                        f"client: {request_id}: {result}; later: {seen} ({time.monotonic() - written:.3f} s)"
                    )
            counts[result] = counts.get(result, 0) + 1
            for task in (reading, sending):
                task.cancel()
            await asyncio.gather(reading, sending, return_exceptions=True)

    tasks = []
    for number in range(ORDERS):
        tasks.append(asyncio.create_task(order(number)))
        await asyncio.sleep(0.25)
    await asyncio.gather(*tasks)
    ran = {request_id for node in nodes for _, request_id in node.runs}
    record(f"orders: {counts}; unanswered and run at a node: {len(ran.intersection(late))}")
    if not counts.get("answered 200"):
        raise CannotRun("no long order was served")
    return (
        f"{len(late)} of {ORDERS} orders had no answer {TIME_LEFT + GRACE:.2f} s after their last byte"
        if late
        else ""
    )


play(case, os.path.dirname(os.path.abspath(__file__)))
