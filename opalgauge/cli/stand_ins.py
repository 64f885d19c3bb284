"""`opalgauge stand-ins`: a quota counter and servers on loopback, to try an ingress by hand."""

from __future__ import annotations

import asyncio
import signal
import sys
from functools import partial
from pathlib import Path
from typing import Any

import click

LOOPBACK_PREFIXES = ("127.", "localhost:", "[::1]:")


def example_command(platform_config: dict[str, Any]) -> str:
    """Returns a curl command with a request that an ingress with these settings accepts."""
    platform_settings = platform_config["settings"]
    request_class, plan = platform_settings["classes"][0], platform_settings["tiers_of_service"][0]["name"]
    method = "" if request_class.get("effect") == "retryable" else "-X POST "
    headers = (
        f"X-Tier: {plan}",
        "Cookie: customer=7",
        "X-Time-Left: 1.0",
        "X-Call-Terms: units=1,spread=1,first=0",
        "X-Correlation-Id: try-1",
    )
    header_options = " ".join(f"-H '{header}'" for header in headers)
    return f"curl -i {method}{header_options} http://{platform_config['listen']}/{request_class['name']}"


async def run(counter_address: str, server_addresses: list[str], delay: float) -> None:
    """Runs the stand-ins until SIGINT or SIGTERM. `delay` is the servers' answer time in s."""
    from opalgauge.lab.stand_ins import HttpConnection, StandInCounter, StandInServers

    loop = asyncio.get_running_loop()
    counter_stand_in, servers_stand_in = StandInCounter(), StandInServers(delay)
    stopped = asyncio.Event()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stopped.set)
    listeners = []
    for address in (counter_address, *server_addresses):
        host, _, port = address.rpartition(":")
        handle = counter_stand_in.handle if address == counter_address else servers_stand_in.handle
        listeners.append(
            await loop.create_server(partial(HttpConnection, handle), host.strip("[]"), int(port))
        )
    click.echo(
        f"up: a quota counter at {counter_address}, {len(server_addresses)} stock nodes; SIGINT ends them"
    )
    await stopped.wait()
    for server in listeners:
        server.close()
    click.echo(f"seen: {servers_stand_in.requests} requests, {counter_stand_in.calls} calls of the counter")


@click.command("stand-ins")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--delay", default=0.02, show_default=True, help="Seconds that a stock node takes to answer.")
def command(file: Path, delay: float) -> None:
    """Stand in for the quota counter and the servers that FILE names, at their loopback addresses.

    Exit status 2 if FILE cannot be used or names other machines, or if an address is in use.
    """
    from opalgauge.lifecycle.config import ConfigError, make_config
    from opalgauge.lifecycle.sources import FileSource

    try:
        reading = FileSource(str(file)).read()
        ingress = make_config(reading.platform_config, reading.environ).ingress
        counter_address, server_addresses = (
            ingress.counter_address,
            [server.address for server in ingress.known_servers],
        )
        not_loopback = [
            address
            for address in (counter_address, *server_addresses)
            if not address.startswith(LOOPBACK_PREFIXES)
        ]
        if not_loopback or not server_addresses:
            raise ConfigError(f"{file}: not on loopback: {', '.join(not_loopback) or 'no stock node'}")
        click.echo(example_command(reading.platform_config))
        asyncio.run(run(counter_address, server_addresses, delay))
    except (ConfigError, OSError) as error:
        click.echo(f"cannot start: {error}", err=True)
        sys.exit(2)
