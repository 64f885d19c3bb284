"""A node list agent whose answers come in two pieces 0.2 s apart, while a stock node drains and then ends."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))
from rig import TROUBLE, Agent, CannotRun, Counter, Ingress, Node, Record, answer, ask_once, play

PIECE_PAUSE = 0.2  # s between the two pieces of each of the agent's answers
TOLD_AT_LATEST = 6.0  # s: the change counts as told by then, whether it arrived or not
GRACE = 2.05  # s: `stop_sending_within`; time limits on sockets are 50 ms longer
DRAIN = 12.0  # s from the change until the draining node ends
WORK = 0.15  # s that a node takes for an order


async def case(record: Record, folder: str, ingresses: list[Ingress]) -> str:
    async def serve(_: Node, writer: asyncio.StreamWriter, request_id: str, __: object, ___: bytes) -> None:
        await asyncio.sleep(WORK)
        writer.write(answer(request_id.encode()))

    async def in_pieces(writer: asyncio.StreamWriter, data: bytes) -> None:
        middle = len(data) // 2
        writer.write(data[:middle])
        await asyncio.sleep(PIECE_PAUSE)
        if not writer.transport.is_closing():
            writer.write(data[middle:])

    nodes = [Node(f"s-{number}", record, serve) for number in range(4)]
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
    orders: dict[str, tuple[float, str]] = {}  # when it was sent, and its status
    until = float("inf")

    async def client(number: int) -> None:
        customer = number * 100_000
        while time.monotonic() < until:
            sent, customer = time.monotonic(), customer + 1
            status, _, request_id = await ask_once(ingress, "place-order", 3.0, b"order", customer=customer)
            orders[request_id] = sent, status
            await asyncio.sleep(0.05)

    clients = [asyncio.create_task(client(number + 1)) for number in range(16)]
    await asyncio.sleep(2)  # a calm beginning
    if TROUBLE:
        agent.write = in_pieces
        await asyncio.sleep(2)
    leaving = max(nodes, key=lambda node: len(node.runs))
    if not leaving.runs:
        raise CannotRun("no order was served")
    agent.tell(leaving.listed("terminating"))
    changed = time.monotonic()
    record(f"{leaving.name}: drains from now on")
    await asyncio.sleep(DRAIN)
    record(f"{leaving.name}: has drained and ends")
    leaving.stop()
    agent.tell(leaving.listed("terminated"))
    until = time.monotonic() + 1
    await asyncio.gather(*clients)
    sends = [(at - changed, request_id) for at, request_id in leaving.runs]
    late = [(after, request_id) for after, request_id in sends if after > TOLD_AT_LATEST + GRACE]
    lost = [request_id for _, request_id in late if orders.get(request_id, (0.0, ""))[1] != "200"]
    record(
        f"{leaving.name}: last order {max(after for after, _ in sends):.2f} s after the change; "
        f"{len(late)} orders later than {TOLD_AT_LATEST + GRACE:.2f} s, {len(lost)} of them lost at its end; "
        f"the agent was asked {agent.asked} times"
    )
    return (
        f"{len(late)} orders were sent to a draining node after the time allowed, {len(lost)} of them lost"
        if late
        else ""
    )


play(case, os.path.dirname(os.path.abspath(__file__)))
