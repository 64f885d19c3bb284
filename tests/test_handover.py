"""Two processes on one listening socket: nothing is turned back, and what staff said holds over both."""

from __future__ import annotations

import asyncio
import signal
import socket
import tempfile

from opalgauge.memory import effects as fx
from opalgauge.memory import events as ev
from starlinggap import interface as i
from tests import town
from tests.desk import CHECK, Desk


def test_a_process_with_a_successor_leaves_once_its_clients_have_their_last_answers() -> None:
    desk = Desk()
    for client in (1, 2):
        desk.step(ev.ClientCame(client))
    desk.admit(CHECK)
    line = desk.attempt().line
    desk.step(ev.DrainAsked(successor=True))
    assert fx.StopAccepting() in desk.out and fx.CloseFront() not in desk.out
    desk.step(ev.NodeAnswered(line, i.End.OK, True, b""))
    assert desk.answers[-1].last
    desk.step(ev.ClientLeft(1))
    assert fx.Leave() not in desk.out  # the other client may still ask
    desk.step(ev.ClientLeft(2))
    assert fx.Leave() in desk.out


def test_an_upgrade_under_load_turns_nothing_back_and_keeps_what_staff_said() -> None:
    async def scene() -> None:
        async def slow(_: bytes, __: asyncio.StreamWriter) -> bytes:
            await asyncio.sleep(0.02)
            return town.OK

        with socket.socket() as listener, tempfile.TemporaryDirectory() as scratch:
            listener.bind(("127.0.0.1", 0))
            listener.listen(64)
            async with (
                town.party(slow) as (node_at, _),
                town.party(town.counter()) as (quota_at, _),
                town.party(town.silent) as (list_at, _),
                town.ingress(node_at, quota_at, list_at, listener, scratch) as old,
            ):
                over = False
                answers: list[bytes] = []

                async def client(me: int) -> None:
                    """Asks over a kept connection, as long as that is left open."""
                    n, reader, writer = 0, None, None
                    while not over:
                        if writer is None:
                            reader, writer = await asyncio.open_connection(*old.address)
                        assert reader is not None
                        n += 1
                        writer.write(town.request("GET", "/stock-check", name=f"{me}-{n}"))
                        answers.append(await town.read_request(reader))
                        if b"connection: close" in answers[-1].lower():
                            writer.close()
                            writer = None
                    if writer is not None:
                        writer.close()

                asking = [asyncio.create_task(client(me)) for me in range(6)]
                assert (await old.call(b"maint-on s-1\n")).startswith(b"200")
                async with town.ingress(node_at, quota_at, list_at, listener, scratch) as new:
                    assert (await new.call(b"stats\n")).find(b"skipped_backends=1") > 0
                    old.process.send_signal(signal.SIGTERM)
                    assert (await new.call(b"maint-off s-1\n")).startswith(b"200")
                    assert await asyncio.wait_for(old.process.wait(), 20) == 0
                    await asyncio.sleep(0.3)
                    over = True
                    await asyncio.gather(*asking)
                    assert (await new.call(b"status\n")).startswith(b"200")
                    codes = {answer.split(b" ")[1] for answer in answers}
                    assert codes == {b"200", b"429"}

    asyncio.run(scene())
