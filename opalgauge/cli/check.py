"""`opalgauge check`: validates a settings file and prints the effective settings."""

from __future__ import annotations

import sys
from pathlib import Path

import click


@click.command("check")
@click.argument("file", type=click.Path(path_type=Path))
def command(file: Path) -> None:
    """Check FILE and print the effective settings, or all errors with exit status 1."""
    from opalgauge.lifecycle import settings_file
    from opalgauge.lifecycle.config import ConfigError
    from opalgauge.lifecycle.sources import FileSource

    try:
        parsed = settings_file.parse(file)
        FileSource(str(file)).read()
    except settings_file.SettingsFileError as error:
        for message in error.errors:
            click.echo(message, err=True)
        sys.exit(1)
    except ConfigError as config_error:
        click.echo(f"{file}: {config_error}", err=True)
        sys.exit(1)
    for line in settings_file.effective_lines(parsed):
        click.echo(line)
