"""`opalgauge check`: whether a settings file can be used, and what would hold."""

from __future__ import annotations

import sys
from pathlib import Path

import click


@click.command("check")
@click.argument("file", type=click.Path(path_type=Path))
def command(file: Path) -> None:
    """Check FILE as a whole and print what would hold; exit status 1 if there are mistakes, all told."""
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
