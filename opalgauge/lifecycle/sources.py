"""Sources of settings: the platform's JSON file or the settings file; and what a reload changes."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from typing import Any, Protocol

from opalgauge.lifecycle.config import ConfigError, make_config, read_platform_config


@dataclass(frozen=True, slots=True)
class SettingsReading:
    """The settings as read once, and checked.

    `platform_config` has the form of the platform's JSON document; the rest is not part of that document.
    """

    platform_config: dict[str, Any]
    workers: int = 1
    stall_after: timedelta = timedelta(milliseconds=400)
    restart_pause: timedelta = timedelta(milliseconds=250)
    max_restart_pause: timedelta = timedelta(seconds=15)
    log_format: str = "plain"
    change_summary: str = ""  # since the previous reading, for the log
    environ: Mapping[str, str] = field(default_factory=dict)


class SettingsSource(Protocol):
    """A source from which settings can be read repeatedly."""

    def read(self) -> SettingsReading:
        """Reads and checks all settings. Raises ConfigError, after which the source is unchanged."""


class PlatformSource:
    """The environment and the JSON document that the platform provides."""

    def __init__(self, environ: Mapping[str, str] = os.environ) -> None:
        self.environ = environ

    def read(self) -> SettingsReading:
        """See `SettingsSource.read`."""
        platform_config = read_platform_config(self.environ)
        make_config(platform_config, self.environ)
        return SettingsReading(platform_config, environ=self.environ)


class FileSource:
    """The settings file, which may refer to the platform's JSON document."""

    def __init__(self, path: str) -> None:
        from opalgauge.lifecycle.settings_file import DaemonSettings

        self.path = Path(path)
        self.previous: DaemonSettings | None = None
        self.seed: str | None = None

    def read(self) -> SettingsReading:
        """See `SettingsSource.read`."""
        from opalgauge.lifecycle import settings_file

        try:
            new = settings_file.parse(self.path)
        except settings_file.SettingsFileError as error:
            raise ConfigError(f"settings cannot be used: {error}") from None
        environ: Mapping[str, str] = {}
        if platform := new.get("platform"):
            # Variables of the environment apply only together with the platform's document.
            environ = {**os.environ, "BALANCER_CONFIG": str(self.path.parent / platform)}
            platform_config = read_platform_config(environ)
        else:
            platform_config = settings_file.to_platform_config(new)
            if new.get("seed") is None:
                # Drawn once per process, so that a reload does not change it.
                self.seed = platform_config["seed"] = self.seed or platform_config["seed"]
        platform_config["peering"] = settings_file.to_peering_config(new)
        make_config(platform_config, environ)
        change_summary = ""
        if self.previous is not None:
            reloaded, pending = settings_file.changed_directives(self.previous, new)
            parts = [f"in force: {', '.join(reloaded)}"] if reloaded else []
            parts += [f"after a restart only: {', '.join(pending)}"] if pending else []
            change_summary = "; ".join(parts) or "no directive has changed"
        self.previous = new
        return SettingsReading(
            platform_config, new.get("workers"), new.get("stall-after"), new.get("restart-pause"),
            new.get("restart-pause-most"), new.get("log"), change_summary, environ,
        )  # fmt: skip


def platform_config_json(reading: SettingsReading) -> str:
    """Returns the platform document as one line of JSON, for a worker."""
    return json.dumps(reading.platform_config)
