"""`opalgauge stand-ins`: what an ingress needs round it, on loopback, to try it by hand."""

from __future__ import annotations

import asyncio
import signal
import sys
from functools import partial
from pathlib import Path
from typing import Any

import click

LOOPBACK = ("127.", "localhost:", "[::1]:")


def request_line(told: dict[str, Any]) -> str:
    """A request that the ingress of these settings takes, as a command for a shell."""
    told_settings = told["settings"]
    kind, tariff = told_settings["classes"][0], told_settings["tiers_of_service"][0]["name"]
    post = "" if kind.get("effect") == "retryable" else "-X POST "
    headers = (
        f"X-Tier: {tariff}", "Cookie: customer=7", "X-Time-Left: 1.0",
        "X-Call-Terms: units=1,spread=1,first=0", "X-Correlation-Id: try-1",
    )  # fmt: skip
    words = " ".join(f"-H '{header}'" for header in headers)
    return f"curl -i {post}{words} http://{told['listen']}/{kind['name']}"


async def run(counter: str, nodes: list[str], delay: float) -> None:
    from opalgauge.lab.stand_ins import HttpConnection, StandInCounter, StandInServers

    loop = asyncio.get_running_loop()
    total, work = StandInCounter(), StandInServers(delay)
    over = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, over.set)
    servers = []
    for address in (counter, *nodes):
        host, _, port = address.rpartition(":")
        take = total.handle if address == counter else work.handle
        servers.append(await loop.create_server(partial(HttpConnection, take), host.strip("[]"), int(port)))
    click.echo(f"up: a quota counter at {counter}, {len(nodes)} stock nodes; SIGINT ends them")
    await over.wait()
    for server in servers:
        server.close()
    click.echo(f"seen: {work.requests} requests, {total.calls} calls of the counter")


@click.command("stand-ins")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--delay", default=0.02, show_default=True, help="Seconds that a stock node takes to answer.")
def command(file: Path, delay: float) -> None:
    """Stand in for the quota counter and the stock nodes that FILE names, at their addresses on loopback.

    Exit status 2: FILE cannot be used, names other machines, or an address is taken.
    """
    from opalgauge.lifecycle.config import ConfigError, make_config
    from opalgauge.lifecycle.sources import FileSource

    try:
        reading = FileSource(str(file)).read()
        house = make_config(reading.told, reading.environ).house
        counter, nodes = house.counter_address, [node.address for node in house.known_servers]
        away = [where for where in (counter, *nodes) if not where.startswith(LOOPBACK)]
        if away or not nodes:
            raise ConfigError(f"{file}: not on loopback: {', '.join(away) or 'no stock node'}")
        click.echo(request_line(reading.told))
        asyncio.run(run(counter, nodes, delay))
    except (ConfigError, OSError) as bad:
        click.echo(f"cannot start: {bad}", err=True)
        sys.exit(2)
