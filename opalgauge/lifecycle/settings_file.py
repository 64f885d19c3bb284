"""Parses and checks the settings file, which has one directive per line.

    directive value … key=value …     # a comment

`include FILE` reads another file in place; its path is relative to the including file. The file is checked as
a whole: every error is reported with file, line, the word and what is expected. `opalgauge check FILE` prints
the effective settings. Files are opened only through the function that `parse` is given.
"""

from __future__ import annotations

import difflib
import secrets
import shlex
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from typing import Any

from opalgauge.lifecycle.directives import DIRECTIVES, Directive
from opalgauge.lifecycle.parsers import format_value

MAX_INCLUDE_DEPTH = 8  # nested includes
MAX_REPORTED_ERRORS = 20  # errors reported at once


class SettingsFileError(Exception):
    """The file cannot be used.

    `errors` holds lines of the form `FILE:LINE: what is wrong; what is expected`.
    """

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors[:3]) + ("; …" if len(errors) > 3 else ""))
        self.errors = errors


@dataclass(frozen=True, slots=True)
class Statement:
    """One occurrence of a directive, with its parsed arguments and options."""

    location: str
    arguments: tuple[Any, ...]
    options: dict[str, Any]


@dataclass(slots=True)
class DaemonSettings:
    """A checked settings file: the statements that it contains, by directive."""

    path: str
    statements: dict[str, list[Statement]] = field(default_factory=dict)

    def get(self, name: str) -> Any:
        """Returns the value of a directive of one argument, or its default; of a variadic one, the list."""
        statements = self.statements.get(name)
        if DIRECTIVES[name].variadic:
            return list(statements[0].arguments) if statements else DIRECTIVES[name].default
        return statements[0].arguments[0] if statements else DIRECTIVES[name].default

    def get_all(self, name: str) -> list[Statement]:
        """Returns all statements of a repeatable directive."""
        return self.statements.get(name, [])

    def by_directive(self) -> dict[str, Any]:
        """Returns the values of every directive, for comparing two readings."""
        return {
            name: [(statement.arguments, statement.options) for statement in self.statements[name]]
            if name in self.statements
            else None
            for name in DIRECTIVES
        }


def _suggestion(word: str, known: Any) -> str:
    matches = difflib.get_close_matches(word, list(known), 1, 0.5)
    return f"; did you mean {matches[0]}?" if matches else f"; known are {', '.join(sorted(known))}"


class _FileParser:
    def __init__(self, read_text: Callable[[Path], str]) -> None:
        self.read_text = read_text
        self.errors: list[str] = []
        self.statements: dict[str, list[Statement]] = {}

    def parse_file(self, path: Path, depth: int, included_at: str) -> None:
        if depth > MAX_INCLUDE_DEPTH:
            # Files that include each other would otherwise be read without end.
            self.errors.append(f"{included_at}: {path} is included more than {MAX_INCLUDE_DEPTH} deep")
            return
        try:
            text = self.read_text(path)
        except (OSError, UnicodeDecodeError) as error:
            self.errors.append(
                f"{included_at}: {path} cannot be read: {getattr(error, 'strerror', None) or error}"
            )
            return
        for number, line in enumerate(text.splitlines(), 1):
            self.parse_line(path, f"{path}:{number}", line, depth)

    def parse_line(self, path: Path, location: str, line: str, depth: int) -> None:
        try:
            words = shlex.split(line, comments=True)
        except ValueError as error:
            self.errors.append(f"{location}: {str(error).lower()}; quotes come in pairs")
            return
        if not words:
            return
        name, *rest = words
        if name == "include":
            if len(rest) != 1:
                self.errors.append(f"{location}: include takes one file, not {len(rest)}")
            else:
                self.parse_file(path.parent / rest[0], depth + 1, location)
            return
        directive = DIRECTIVES.get(name)
        if directive is None:
            suggestion = _suggestion(name, [*DIRECTIVES, "include"])
            self.errors.append(f"{location}: unknown directive {name!r}{suggestion}")
            return
        statement = self.parse_statement(location, name, directive, rest)
        if statement is None:
            return
        if self.statements.get(name) and not directive.repeatable:
            self.errors.append(
                f"{location}: {name} is already set at {self.statements[name][0].location}; keep one"
            )
            return
        self.statements.setdefault(name, []).append(statement)

    def parse_statement(
        self, location: str, name: str, directive: Directive, rest: list[str]
    ) -> Statement | None:
        argument_words = [t for t in rest if "=" not in t or not directive.options]
        option_words = [t for t in rest if t not in argument_words]
        errors_before = len(self.errors)
        parsers = directive.arguments * len(argument_words) if directive.variadic else directive.arguments
        if len(argument_words) != len(parsers) or not argument_words:
            wanted = "one word or more" if directive.variadic else f"{len(parsers)} word(s)"
            self.errors.append(f"{location}: {name} takes {wanted}, not {len(argument_words)}")
            return None
        values = [
            self.parse_value(location, name, parser, text)
            for parser, text in zip(parsers, argument_words, strict=True)
        ]
        options: dict[str, Any] = {}
        for text in option_words:
            key, _, value = text.partition("=")
            if key not in directive.options:
                self.errors.append(f"{location}: {name} has no {key!r}{_suggestion(key, directive.options)}")
            elif key in options:
                self.errors.append(f"{location}: {name} sets {key} twice; keep one")
            else:
                options[key] = self.parse_value(
                    location, f"{name} {key}", directive.options[key].parse, value
                )
        for key, option in directive.options.items():
            if option.required and key not in options:
                self.errors.append(f"{location}: {name} {argument_words[0]} requires {key}=…")
            options.setdefault(key, option.default)
        return Statement(location, tuple(values), options) if len(self.errors) == errors_before else None

    def parse_value(self, location: str, subject: str, parser: Callable[[str], Any], text: str) -> Any:
        try:
            return parser(text)
        except ValueError as expected:
            self.errors.append(f"{location}: {subject}: {text!r} cannot be used; it takes {expected}")
            return None


def parse(path: Path, read_text: Callable[[Path], str] = lambda p: p.read_text("utf-8")) -> DaemonSettings:
    """Reads and checks a settings file as a whole. Raises SettingsFileError with all errors found."""
    file_parser = _FileParser(read_text)
    file_parser.parse_file(path, 0, "settings")
    settings = DaemonSettings(str(path), file_parser.statements)
    errors = file_parser.errors or list(_consistency_errors(settings))
    if errors:
        raise SettingsFileError(errors[:MAX_REPORTED_ERRORS])
    return settings


def _consistency_errors(settings: DaemonSettings) -> Iterator[str]:
    """Yields the errors between statements that are each well-formed."""
    platform = settings.statements.get("platform")
    for name, statements in settings.statements.items():
        if platform and DIRECTIVES[name].set_by_platform:
            yield (
                f"{statements[0].location}: {name} is set by the platform file, "
                f"{platform[0].location}; leave one out"
            )
        if DIRECTIVES[name].repeatable:
            seen: dict[Any, str] = {}
            for statement in statements:
                if statement.arguments[0] in seen:
                    yield (
                        f"{statement.location}: {name} {statement.arguments[0]} is already set at "
                        f"{seen[statement.arguments[0]]}"
                    )
                seen.setdefault(statement.arguments[0], statement.location)
    if settings.get("restart-pause-most") < settings.get("restart-pause"):
        yield f"{_location_of(settings, 'restart-pause-most')}: restart-pause-most is below restart-pause"
    peer_features = {
        "zone-leave": settings.get("zone-leave") != "off",
        "leases": settings.get("leases") != "off",
        "replicate": settings.get("replicate"),
    }
    for name, enabled in peer_features.items():
        if enabled and settings.get("workers") > 1:
            yield f"{_location_of(settings, name)}: {name} needs workers 1"
    if settings.get("leases") != "off" and not platform and not settings.get("counter"):
        yield (
            f"{_location_of(settings, 'leases')}: leases need a counter; without one "
            "there is nothing to lease"
        )
    if any(peer_features.values()) and settings.get_all("peer") and not settings.get("peer-listen"):
        yield f"{_location_of(settings, 'peer')}: peers require peer-listen"
    if platform:
        return
    for statement in settings.get_all("peer"):
        if statement.arguments[0] >= settings.get("ingresses") or statement.arguments[0] == settings.get(
            "number"
        ):
            yield (
                f"{statement.location}: peer {statement.arguments[0]} is not another one of "
                f"{settings.get('ingresses')} ingresses"
            )
    for name in ("listen", "kind", "tariff"):
        if name not in settings.statements:
            yield f"{settings.path}: {name} is missing; it is required without a platform line"
    if "node-list" not in settings.statements and "stock-node" not in settings.statements:
        yield f"{settings.path}: no stock-node and no node-list; one of them is needed"
    if settings.get("number") >= settings.get("ingresses"):
        yield (
            f"{_location_of(settings, 'number')}: number {settings.get('number')} "
            f"is out of range for {settings.get('ingresses')} ingresses"
        )
    if "counter" not in settings.statements and settings.get("ingresses") > 1:
        yield (
            f"{_location_of(settings, 'ingresses')}: more than one ingress needs a counter to share quotas"
        )
    sites = settings.get("sites")
    for statement in settings.get_all("stock-node"):
        if statement.options["site"] and statement.options["site"] not in sites:
            yield (
                f"{statement.location}: site {statement.options['site']} is not one of sites "
                f"({', '.join(sites)})"
            )
    if settings.get("site") is not None and settings.get("site") not in sites:
        yield (
            f"{_location_of(settings, 'site')}: site {settings.get('site')} is not one of "
            f"sites ({', '.join(sites)})"
        )
    for statement in settings.get_all("kind"):
        if statement.options["aim"] > statement.options["deadline"]:
            yield f"{statement.location}: kind {statement.arguments[0]}: aim is later than its deadline"
    for statement in settings.get_all("tariff"):
        options, max_units = statement.options, settings.get("most-units")
        if options["rate"] > 0 and options["burst"] < max_units:
            yield (
                f"{statement.location}: tariff {statement.arguments[0]}: burst is below "
                f"most-units, {max_units:g}: it never fits"
            )
        if (options["ceiling-rate"] > 0) != (options["ceiling-burst"] > 0):
            yield (
                f"{statement.location}: tariff {statement.arguments[0]}: ceiling-rate and "
                "ceiling-burst go together"
            )
        if 0 < options["ceiling-burst"] < options["burst"]:
            yield f"{statement.location}: tariff {statement.arguments[0]}: ceiling-burst is below burst"
    if settings.get("sockets") < 64 * settings.get("workers"):
        yield f"{_location_of(settings, 'sockets')}: sockets must be 64 or more per worker"


def _location_of(settings: DaemonSettings, name: str) -> str:
    return settings.statements[name][0].location if name in settings.statements else settings.path


# The platform's names for the `repeat` values of the settings file.
PLATFORM_EFFECTS = {"safe": "retryable", "keyed": "dedup", "never": "fragile"}


def _seconds(value: timedelta) -> float:
    return value.total_seconds()


def to_platform_config(settings: DaemonSettings) -> dict[str, Any]:
    """Converts the settings to the form of the platform's document, for `lifecycle.config.make_config`."""
    sites = settings.get("sites")
    hosts = [
        {
            "host": statement.arguments[0],
            "dial": statement.arguments[1],
            "site": statement.options["site"] or sites[0],
            "block": 0,
            "health": "in_service",
            "share": statement.options["share"],
            "born_ms": 0,
        }
        for statement in settings.get_all("stock-node")
    ]
    return {
        "name": settings.get("name"),
        "listen": settings.get("listen"),
        "console": settings.get("console"),
        "counter": settings.get("counter") or "",
        "discovery": settings.get("node-list") or "",
        "seed": settings.get("seed") or secrets.token_hex(8),
        "limits": {"sockets": settings.get("sockets")},
        "known": {"seq": 0, "whole": True, "hosts": hosts},
        "settings": {
            "balancers": settings.get("ingresses"),
            "me": settings.get("number"),
            "tick": 0.002,
            "zones": sites,
            "zone": sites.index(settings.get("site") or sites[0]),
            "discovery": "pushed",
            "classes": [
                {
                    "name": statement.arguments[0],
                    "aim": _seconds(statement.options["aim"]),
                    "deadline": _seconds(statement.options["deadline"]),
                    "credit": statement.options["worth"],
                    "late_value": statement.options["late-worth"],
                    "effect": PLATFORM_EFFECTS[statement.options["repeat"]],
                    "window": _seconds(statement.options["window"]),
                    "group": "zone" if statement.options["among"] == "site" else "all",
                }
                for statement in settings.get_all("kind")
            ],
            "tiers_of_service": [
                {
                    "name": statement.arguments[0],
                    "quota_rate": statement.options["rate"],
                    "most_at_once": statement.options["burst"],
                    "at_once": statement.options["open"],
                    "pays": statement.options["price"],
                    "extra_worth": statement.options["over-worth"],
                    "excess_cost": statement.options["over-cost"],
                    "cap_rate": statement.options["ceiling-rate"],
                    "never_over_depth": statement.options["ceiling-burst"],
                    "hard_slack": statement.options["ceiling-slack"],
                }
                for statement in settings.get_all("tariff")
            ],
            "domain": {
                "shared_counter": settings.get("counter") is not None,
                "counter_timeout": _seconds(settings.get("counter-timeout")),
                "units_top": settings.get("most-units"),
            },
            "ceilings": {
                "try_limit": settings.get("tries"),
                "cancelling": True,
                "probes": settings.get("probes"),
                "conn_idle": _seconds(settings.get("idle-limit")),
                "max_open": settings.get("most-open"),
                "dial_timeout": _seconds(settings.get("connect-timeout")),
                "parallel_tries": False,
                "max_retry_after": _seconds(settings.get("most-retry-after")),
            },
            "invariants": {
                "cold": _seconds(settings.get("cold")),
                "cold_from": settings.get("cold-from"),
                "fall": _seconds(settings.get("fall")),
                "fall_multiple": settings.get("fall-multiple"),
                "stop_sending_within": _seconds(settings.get("drain-grace")),
            },
            "prices": {"cross_zone": settings.get("cross-site-price")},
            "load_info": {"fields": ["svc_ms", "busy_reqs", "cpu_share"]},
        },
    }


def to_peering_config(settings: DaemonSettings) -> dict[str, Any] | None:
    """Returns the peering section for `lifecycle.config.make_config`, or None if no peer feature is on."""
    if (
        settings.get("zone-leave") == "off"
        and settings.get("leases") == "off"
        and not settings.get("replicate")
    ):
        return None
    return {
        "zones": settings.get("zone-leave") != "off",
        "acts": settings.get("zone-leave") == "on",
        "leases": settings.get("leases"),
        "replicate": settings.get("replicate"),
        "listen": settings.get("peer-listen") or "127.0.0.1:0",
        "secret": settings.get("peer-secret") or "",
        "peers": {
            str(statement.arguments[0]): statement.arguments[1] for statement in settings.get_all("peer")
        },
    }


def changed_directives(old: DaemonSettings, new: DaemonSettings) -> tuple[list[str], list[str]]:
    """Returns the directives whose values differ: those that apply at once, and those that need a restart."""
    before, after = old.by_directive(), new.by_directive()
    differ = [name for name in DIRECTIVES if before[name] != after[name]]
    return [n for n in differ if DIRECTIVES[n].reloadable], [
        n for n in differ if not DIRECTIVES[n].reloadable
    ]


def effective_lines(settings: DaemonSettings) -> Iterator[str]:
    """Yields the effective settings, one directive per line; unset ones with their default."""
    for name, directive in DIRECTIVES.items():
        statements = settings.statements.get(name)
        if statements:
            for statement in statements:
                words = [format_value(v) for v in statement.arguments]
                words += [
                    f"{k}={format_value(v)}" for k, v in statement.options.items() if v not in ("", None)
                ]
                yield f"{name} {' '.join(words)}"
        elif directive.default is not None and not (
            directive.set_by_platform and "platform" in settings.statements
        ):
            words = directive.default if directive.variadic else [format_value(directive.default)]
            yield f"{name} {' '.join(words)}    # default"
