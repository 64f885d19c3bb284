"""One answer in five comes spoilt, with a control character in its head: each request is owed an answer."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))
from rig import TROUBLE, Agent, CannotRun, Counter, Ingress, Node, Record, answer, ask_once, play

REQUESTS = 40
TIME_LEFT = {"stock-check": 1.2, "place-order": 3.0}  # s; also the deadlines of the classes
SPOILT = "Content-Type: text/plain; charset=\x01utf-8\r\n"


async def case(record: Record, folder: str, ingresses: list[Ingress]) -> str:
    served = 0

    async def serve(node: Node, writer: asyncio.StreamWriter, request_id: str, _: object, __: bytes) -> None:
        nonlocal served
        served += 1
        spoilt = TROUBLE and served % 5 == 0
        if spoilt:
            record(f"{node.name}: {request_id}: answers with a spoilt head")
        writer.write(answer(request_id.encode(), extra=SPOILT if spoilt else "Content-Type: text/plain\r\n"))

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
    counts: dict[str, int] = {}
    lost: list[str] = []
    for number in range(REQUESTS):
        kind = ("place-order", "stock-check")[number % 2]
        body = b"order" if kind == "place-order" else b""
        # ask_once waits for half a second longer than the request's time before it closes.
        status, _, request_id = await ask_once(ingress, kind, TIME_LEFT[kind], body, customer=number + 1)
        counts[status] = counts.get(status, 0) + 1
        if status in ("ended", "none"):
            lost.append(request_id)
        await asyncio.sleep(0.1)
    ran = {request_id for node in nodes for _, request_id in node.runs}
    record(f"requests: {counts}; without an answer {len(lost)}, of which ran {len(ran.intersection(lost))}")
    if not counts.get("200"):
        raise CannotRun("no request was served")
    return f"{len(lost)} of {REQUESTS} requests had their connection closed with no answer" if lost else ""


play(case, os.path.dirname(os.path.abspath(__file__)))
