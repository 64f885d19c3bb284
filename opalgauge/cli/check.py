"""`opalgauge check`: whether a settings file can be used, and what would hold."""

from __future__ import annotations

import sys
from pathlib import Path

import click


@click.command("check")
@click.argument("file", type=click.Path(path_type=Path))
def command(file: Path) -> None:
    """Check FILE as a whole and print what would hold; exit status 1 if there are mistakes, all told."""
    from opalgauge.lifecycle import settings
    from opalgauge.lifecycle.config import ConfigError
    from opalgauge.lifecycle.sources import FileSource

    try:
        parsed = settings.parse(file)
        FileSource(str(file)).read()
    except settings.SettingsFileError as bad:
        for mistake in bad.mistakes:
            click.echo(mistake, err=True)
        sys.exit(1)
    except ConfigError as other:
        click.echo(f"{file}: {other}", err=True)
        sys.exit(1)
    for line in settings.shown(parsed):
        click.echo(line)
