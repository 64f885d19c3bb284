"""A stock node that takes a second to write its long answer: the ingress must not cut it off."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))
from rig import (
    TROUBLE,
    Agent,
    CannotRun,
    Client,
    Counter,
    Ingress,
    Node,
    Record,
    new_id,
    play,
    quick,
    request,
)

TIME_LEFT = 3.0  # s; also the deadline of the class
PAUSE = 1.0  # s, between the head and the body of the answer; the whole answer is there well within the time
ANSWER = b"z" * 1_000_000  # over 64 KiB; the pages allow 32 MB


async def case(record: Record, folder: str, ingresses: list[Ingress]) -> str:
    cut: list[str] = []

    async def long_answer(
        node: Node, writer: asyncio.StreamWriter, request_id: str, _: object, __: bytes
    ) -> None:
        began = time.monotonic()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(ANSWER))
        while TROUBLE and time.monotonic() < began + PAUSE:
            if writer.transport.is_closing() or node.readers[writer].at_eof():
                cut.append(request_id)
                record(f"{node.name}: {request_id}: ingress closed {time.monotonic() - began:.3f} s later")
                return
            await asyncio.sleep(0.01)
        writer.write(ANSWER)
        await writer.drain()
        record(
            f"{node.name}: {request_id}: whole answer written {time.monotonic() - began:.3f} s after the head"
        )

    nodes = [Node(f"s-{number}", record, quick) for number in range(2)]
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

    async def order(number: int) -> tuple[str, bytes, str, float]:
        request_id, client = new_id(), await Client.connect(ingress)
        began = time.monotonic()
        data = request("place-order", request_id, TIME_LEFT, b"order", customer=number)
        status, body = await client.ask(
            data, f"place-order {request_id} time-left={TIME_LEFT}", TIME_LEFT + 0.5
        )
        client.close()
        return status, body, request_id, time.monotonic() - began

    for number in range(1, 9):  # a calm beginning
        if (await order(number))[0] != "200":
            raise CannotRun("a calm order was not served")
    for node in nodes:
        node.script = long_answer
    served, failed = 0, set[str]()
    for number in range(20, 24):
        status, body, request_id, took = await order(number)
        if status == "200" and body == ANSWER:
            served += 1
        elif took < TIME_LEFT:
            failed.add(request_id)
        await asyncio.sleep(3)
    lost = len(failed.intersection(cut))
    record(f"orders: served whole {served}, cut off while node and client went on {lost}")
    if not served and not lost:
        raise CannotRun("no order reached a node")
    return (
        f"{lost} of 4 orders ran at their node, whose answer was cut off within the client's time"
        if lost
        else ""
    )


play(case, os.path.dirname(os.path.abspath(__file__)))
