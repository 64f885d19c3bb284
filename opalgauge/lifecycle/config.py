"""The configuration of an ingress, read once at its start."""

from __future__ import annotations

import json
import math
import os
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from pathlib import Path
from typing import Any

from opalgauge.memory.state import IngressConfig
from opalgauge.wire.clients import RequestCatalog
from opalgauge.wire.server_list import parse_servers
from starlinggap.benchlink import WireError, read_settings
from starlinggap.brain import check_settings
from starlinggap.interface import Settings, SettingsError

CROWD = 3  # part of the clients' connections
DIAL_SHARE = 0.4  # of the time allowed for connecting: where a connection comes up, it takes a few ms
IDLE_SHARE = 0.6  # of the time after which a stock node closes an idle connection
# Where the list must be asked for, a question that is given up has taken a turn from all ingresses.
LIST_ASKED = timedelta(seconds=20)  # a watch waits so long there
LIST_TURN = timedelta(milliseconds=100)  # for each ingress: the node list was seen to tell 6 to 12 a second
LIST_LONGEST_PAUSE = timedelta(seconds=8)
STREAM_SHARE, STREAM_MB = 0.5, 0.45  # of the memory, for long bodies; what one of them holds of it at most
SPARE_SOCKETS = 48  # listener, node list, quota counter, standard streams and the loop's own


class ConfigError(Exception):
    """The ingress cannot start; the message says why in one line."""


@dataclass(frozen=True, slots=True)
class Peering:
    """What joins this ingress with the others; only our own settings file tells it."""

    listen: tuple[str, int]
    peers: dict[int, tuple[str, int]]
    secret: bytes
    zones: bool  # they are judged
    acts: bool  # False: zones are judged and shown, and nothing is decided by it
    leases: str  # of quotas: off, even, ahead or on
    replicate: bool  # bans and judgements are the same at all ingresses


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: tuple[str, int]
    house: IngressConfig
    trade: RequestCatalog
    zones: tuple[str, ...]
    kinds: tuple[str, ...] = ()
    console: tuple[str, int] | None = None  # where staff call; None: there is none such
    listen_fd: int | None = None  # the clients' listening socket, where the platform holds it
    peering: Peering | None = None  # None: zones are not judged, and no datagram is sent
    settings_told: Any = None  # as they were told: whatever was learned under others is no good
    scratch: str = ""  # the platform's folder for this ingress, the same for an old and a new process


def flatten(settings: Any, path: str = "") -> Iterator[str]:
    """Nested settings as the `path=value` lines that the decision module's adapter reads."""
    if isinstance(settings, Mapping):
        for key, value in settings.items():
            yield from flatten(value, f"{path}.{key}" if path else str(key))
    elif isinstance(settings, list) and any(isinstance(v, Mapping) for v in settings):
        yield f"{path}.count={len(settings)}"
        for number, value in enumerate(settings):
            yield from flatten(value, f"{path}.{number}")
    else:
        yield f"{path}={','.join(map(_word, settings)) if isinstance(settings, list) else _word(settings)}"


def _word(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace("\n", "_")


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise ConfigError(f"not an address: {text!r}")
    return host, int(port)


def check_told(told: Mapping[str, Any], settings: Settings, dial_timeout: float) -> None:
    """Refuses settings that contradict themselves, as half of another deployment's file would."""

    def need(ok: bool, what: str) -> None:
        if not ok:
            raise SettingsError(what)

    check_settings(settings)
    for key in ("classes", "tiers_of_service"):
        names = [str(row["name"]) for row in told[key]]
        need(len(set(names)) == len(names), f"{key}: a name stands there twice")
        need(all(names), f"{key}: one has no name")
    for n, row in enumerate(told["classes"]):
        # Guards against taking a class for one that may be repeated because nobody said that it may not.
        need("effect" in row, f"classes[{n}].effect: missing")
    need(0 <= settings.gateway_index < settings.gateways, "me: no number among the balancers")
    need(settings.max_attempts >= 1, "ceilings.try_limit: must be 1 or more")
    need(0 < settings.max_units < math.inf, "domain.units_top: must be above 0")
    need(
        not settings.use_counter or 0 < settings.counter_timeout < math.inf, "domain.counter_timeout: above 0"
    )
    need(0 < settings.idle_timeout < math.inf, "ceilings.conn_idle: must be above 0")
    need(0 < dial_timeout < math.inf, "ceilings.dial_timeout: must be above 0")


def make_config(told: Mapping[str, Any], environ: Mapping[str, str]) -> Config:
    try:
        told_settings = told["settings"]
        settings, _ = read_settings("\n".join(flatten(told_settings)))
        zones = tuple(str(z) for z in told_settings.get("zones", ()))
        keeps = timedelta(seconds=settings.idle_timeout * IDLE_SHARE)
        settings = replace(settings, idle_timeout=keeps.total_seconds())
        sockets = int(told.get("limits", {}).get("sockets", 1024))
        known = told.get("known") or {}
        # Half for clients, of whose requests at most a third of all descriptors is open; most of the rest
        # for stock nodes.
        most_clients = max(16, sockets // 2)
        most_lines = max(16, sockets - most_clients - SPARE_SOCKETS)
        memory = float(told.get("limits", {}).get("memory_mb", 192))
        ceilings = told_settings.get("ceilings", {})
        dial_timeout = float(ceilings.get("dial_timeout", 0.25))
        check_told(told_settings, settings, dial_timeout)
        house = IngressConfig(
            settings=settings,
            seed=int(str(told.get("seed", "0")), 16),
            counter_address=str(told.get("counter", "")),
            # The file before the environment: it may have been replaced since this was set.
            server_list_address=str(
                told["discovery"] if told.get("discovery") is not None else environ["BALANCER_DISCOVERY"]
            ),
            known_list_version=int(known.get("seq", 0)),
            known_servers=parse_servers(known.get("hosts", ()), zones),
            dial_timeout=timedelta(seconds=DIAL_SHARE * dial_timeout),
            server_idle_timeout=keeps,
            counter_timeout=timedelta(seconds=settings.counter_timeout),
            max_server_connections=most_lines,
            max_requests=max(16, min(int(ceilings.get("max_open", 20000)), most_clients)),
            max_clients=most_clients,
            keep_alive_limit=most_clients // CROWD,
            max_streams=max(8, int(memory * STREAM_SHARE / STREAM_MB)),
        )
        if settings.list_on_request:
            turn = LIST_TURN * settings.gateways
            house = replace(
                house, list_wait=LIST_ASKED, list_fleet_turn=turn, list_max_pause=LIST_LONGEST_PAUSE
            )
        trade = RequestCatalog(
            [(str(c["name"]), c.get("effect") == "retryable") for c in told_settings["classes"]],
            [str(t["name"]) for t in told_settings["tiers_of_service"]],
            settings.max_units,
            settings.gateways,
        )
        peering = None
        if joined := told.get("peering"):
            peers = {int(number): _address(str(where)) for number, where in joined["peers"].items()}
            secret = str(joined["secret"]).encode()
            zones_too, leases = bool(joined["zones"]), str(joined["leases"])
            peering = Peering(
                _address(joined["listen"]), peers, secret, zones_too, bool(joined["acts"]), leases,
                bool(joined["replicate"]),
            )  # fmt: skip
            house = replace(house, watches_zones=zones_too, uses_leases=leases != "off")
        listen = _address(environ.get("BALANCER_LISTEN") or str(told["listen"]))
        # The environment before the file: two processes at one address differ in it alone.
        console = environ.get("BALANCER_CONSOLE") or told.get("console")
        inherited = environ.get("BALANCER_LISTEN_FD")
        return Config(
            str(told.get("name", "")), listen, house, trade, zones,
            kinds=tuple(str(c["name"]) for c in told_settings["classes"]),
            console=_address(str(console)) if console else None,
            listen_fd=int(inherited) if inherited else None,
            peering=peering,
            settings_told=told_settings,
            scratch=environ.get("TMPDIR", ""),
        )  # fmt: skip
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError, WireError, SettingsError) as bad:
        raise ConfigError(f"configuration cannot be used: {type(bad).__name__}: {bad}") from None


def read_told(environ: Mapping[str, str] = os.environ) -> dict[str, Any]:
    """The platform's JSON file as it stands."""
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG is not set")
    try:
        told = json.loads(Path(path).read_text())
    except (OSError, ValueError) as bad:
        raise ConfigError(f"configuration cannot be read: {bad}") from None
    if not isinstance(told, dict):
        raise ConfigError("configuration cannot be read: it is no object")
    return told


def read_config(environ: Mapping[str, str] = os.environ) -> Config:
    return make_config(read_told(environ), environ)
