"""`opalgauge serve`: runs an ingress in the foreground."""

from __future__ import annotations

import sys

import click


@click.command("serve")
@click.option("--settings", type=click.Path(dir_okay=False), help="Our file; without it, BALANCER_CONFIG.")
def command(settings: str | None) -> None:
    """Serve until SIGTERM; SIGHUP reloads the settings. Exit status 2 if it cannot start."""
    from opalgauge.lifecycle.imports import fast_imports
    from opalgauge.lifecycle.native import use_compiled_modules

    use_compiled_modules()
    with fast_imports():
        from opalgauge.lifecycle.service import main
        from opalgauge.lifecycle.sources import FileSource

    sys.exit(main(FileSource(settings) if settings else None))
