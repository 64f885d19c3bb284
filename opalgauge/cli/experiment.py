"""`opalgauge experiment …`: compares a fleet with and without a feature, under scripted faults."""

from __future__ import annotations

from pathlib import Path

import click

from opalgauge.cli.bench import write_json


@click.group("experiment")
def command() -> None:
    """Run several ingresses under scripted faults, with a feature on and off."""


@command.command("zone-leave")
@click.option("--seed", default=4711, type=click.IntRange(0, 2**31), show_default=True)
@click.option("--json", "path", type=click.Path(path_type=Path, dir_okay=False), help="File for all figures.")
def zone_leave(seed: int, path: Path | None) -> None:
    """Run five ingresses and three zones, one of which is cut off and returns cold. Takes about 50 s."""
    from opalgauge.lab.experiments import zone_leave

    write_json(path, zone_leave(seed, click.echo))


@command.command("fleet-split")
@click.option("--seed", default=4711, type=click.IntRange(0, 2**31), show_default=True)
@click.option("--json", "path", type=click.Path(path_type=Path, dir_okay=False), help="File for all figures.")
def fleet_split(seed: int, path: Path | None) -> None:
    """Run six ingresses, split in two halves, with the quota counter cut off for 20 s. Takes about 70 s."""
    from opalgauge.lab.experiments import fleet_split

    write_json(path, fleet_split(seed, click.echo))


@command.command("replicas")
@click.option("--seed", default=4711, type=click.IntRange(0, 2**31), show_default=True)
@click.option("--json", "path", type=click.Path(path_type=Path, dir_okay=False), help="File for all figures.")
def replicas(seed: int, path: Path | None) -> None:
    """Run five ingresses with replicated bans; one is cut off, one restarts. Takes about 30 s."""
    from opalgauge.lab.experiments import replicas

    write_json(path, replicas(seed, click.echo))
