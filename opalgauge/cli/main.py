"""The console script `opalgauge`: a command group whose subcommands are imported on use."""

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
    """Imports the module of a subcommand on use, so that `serve` imports only what serving needs."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all subcommands."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Imports a subcommand; None if there is no such one."""
        if cmd_name not in COMMANDS:
            return None
        command = importlib.import_module(COMMANDS[cmd_name]).command
        assert isinstance(command, click.Command)
        return command


@click.command(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="opalgauge")
def cli() -> None:
    """Serve the shared-quota ingress, check its settings, measure it."""


def main() -> None:
    """Runs the command line and exits with its status."""
    sys.exit(cli())


if __name__ == "__main__":
    main()
