"""The console script: one group, each sub-command loaded when it is asked for."""

from __future__ import annotations

import importlib
import sys

import click

COMMANDS = {
    "serve": "opalgauge.cli.serve",
    "check": "opalgauge.cli.check",
    "stand-ins": "opalgauge.cli.stand_ins",
    "bench": "opalgauge.cli.bench",
    "experiment": "opalgauge.cli.experiment",
}


class LazyGroup(click.Group):
    """Loads a sub-command's module when it is used, so that `serve` loads no more than serving needs."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMANDS:
            return None
        command = importlib.import_module(COMMANDS[cmd_name]).command
        assert isinstance(command, click.Command)
        return command


@click.command(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="opalgauge")
def cli() -> None:
    """The shared-quota ingress: serve it, check its settings, measure it."""


def main() -> None:
    sys.exit(cli())


if __name__ == "__main__":
    main()
