"""`opalgauge bench …`: benchmarks against stand-ins on loopback."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click


@click.group("bench")
def command() -> None:
    """Measure the ingress against stand-ins on this machine's loopback."""


def _parse_core_counts(_: click.Context, __: click.Parameter, text: str) -> list[int]:
    try:
        counts = [int(word) for word in text.split(",")]
    except ValueError:
        raise click.BadParameter("whole numbers separated by commas, such as 1,2,4") from None
    if not counts or any(n < 1 or n > 64 for n in counts):
        raise click.BadParameter("core counts must be from 1 to 64")
    return counts


def write_json(path: Path | None, figures: dict[str, Any]) -> None:
    """Writes the figures to the file, if one is given."""
    if path is not None:
        path.write_text(json.dumps(figures, indent=1) + "\n")


@command.command("cores")
@click.option(
    "--cores",
    default="1,2,4,8",
    callback=_parse_core_counts,
    help="Core counts to measure.",
    show_default=True,
)
@click.option(
    "--seconds", default=8.0, type=click.FloatRange(1, 600), help="Duration of each load.", show_default=True
)
@click.option("--json", "path", type=click.Path(path_type=Path, dir_okay=False), help="File for all figures.")
@click.option(
    "--rounds",
    default=1,
    type=click.IntRange(1, 50),
    help="Rounds; the median is reported.",
    show_default=True,
)
def cores(cores: list[int], seconds: float, path: Path | None, rounds: int) -> None:
    """Measure throughput, latency, CPU cost and drift by core count, then a stalled and a killed worker."""
    from opalgauge.lab.bench_cores import bench

    write_json(path, bench(cores, seconds, rounds, click.echo))


@command.command("request")
@click.option("--rounds", default=3, type=click.IntRange(1, 50), show_default=True)
@click.option(
    "--seconds", default=3.0, type=click.FloatRange(1, 600), help="Duration of each load.", show_default=True
)
@click.option("--json", "path", type=click.Path(path_type=Path, dir_okay=False), help="File for all figures.")
def request(rounds: int, seconds: float, path: Path | None) -> None:
    """Measure the CPU cost of one request on one core, by part and in total."""
    from opalgauge.lifecycle.native import use_compiled_modules

    if use_compiled_modules():
        click.echo("with the compiled modules")
    from opalgauge.lab.bench_request import bench

    write_json(path, bench(rounds, seconds, click.echo))
