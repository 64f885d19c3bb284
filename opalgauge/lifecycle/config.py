"""Builds the configuration of an ingress from the platform's JSON document and the environment."""

from __future__ import annotations

import json
import math
import os
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from pathlib import Path
from typing import Any

from opalgauge.memory.buffers import MIB, MemoryLimits
from opalgauge.memory.sockets import SocketLimits
from opalgauge.memory.state import IngressConfig
from opalgauge.wire.clients import RequestCatalog
from opalgauge.wire.server_list import parse_servers
from starlinggap.benchlink import WireError, read_settings
from starlinggap.brain import check_settings
from starlinggap.interface import Settings, SettingsError

# Share of the time allowed for connecting. A connect that succeeds takes a few ms.
DIAL_TIMEOUT_SHARE = 0.4
# Share of the time after which a server closes an idle connection, so that the ingress closes it first.
IDLE_TIMEOUT_SHARE = 0.6
# An agent answers what it has at once; where it does not, it is asked again over another connection.
LIST_FIRST_ANSWER_WAIT = timedelta(milliseconds=100)
# The following three hold if discovery answers on request only. It then serves all ingresses in turn, and a
# request that is given up has used a turn that another ingress could have had.
LIST_WAIT = timedelta(seconds=20)
LIST_FLEET_TURN = timedelta(milliseconds=100)  # per ingress: discovery served 6 to 12 lists a second
LIST_MAX_PAUSE = timedelta(seconds=8)


class ConfigError(Exception):
    """The configuration cannot be used; the message is one line for the log."""


@dataclass(frozen=True, slots=True)
class Peering:
    """How this ingress communicates with its peers. Only the settings file can configure it."""

    listen: tuple[str, int]
    peers: dict[int, tuple[str, int]]
    secret: bytes
    watches_zones: bool  # the health of zones is tracked
    acts_on_zones: bool  # False: zone health is reported, and decisions ignore it
    lease_mode: str  # of quotas: off, even, ahead or on
    replicates: bool  # bans and server ejections are replicated to all ingresses


@dataclass(frozen=True, slots=True)
class Config:
    """The complete configuration of one ingress."""

    name: str
    listen: tuple[str, int]
    ingress: IngressConfig
    request_catalog: RequestCatalog
    zones: tuple[str, ...]
    class_names: tuple[str, ...] = ()
    admin_address: tuple[str, int] | None = None  # of the admin endpoint; None: there is none
    listen_fd: int | None = None  # the listening socket, if the platform passes it on
    peering: Peering | None = None  # None: no datagrams are exchanged with peers
    # The settings as received: state that was learned under other settings is not taken over from them.
    platform_settings: Any = None
    # The folder of this ingress (TMPDIR), shared by an old and a new process.
    state_folder: str = ""


def flatten(settings: Any, path: str = "") -> Iterator[str]:
    """Yields nested settings as the `path=value` lines that `starlinggap.benchlink` reads."""
    if isinstance(settings, Mapping):
        for key, value in settings.items():
            yield from flatten(value, f"{path}.{key}" if path else str(key))
    elif isinstance(settings, list) and any(isinstance(v, Mapping) for v in settings):
        yield f"{path}.count={len(settings)}"
        for number, value in enumerate(settings):
            yield from flatten(value, f"{path}.{number}")
    else:
        yield (
            f"{path}="
            f"{','.join(map(_to_text, settings)) if isinstance(settings, list) else _to_text(settings)}"
        )


def _to_text(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace("\n", "_")


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise ConfigError(f"not an address: {text!r}")
    return host, int(port)


def check_platform_settings(
    platform_settings: Mapping[str, Any], settings: Settings, dial_timeout: float
) -> None:
    """Checks that settings are consistent, which a mixture of two deployments' files would not be.

    `dial_timeout` in s. Raises SettingsError.
    """

    def require(condition: bool, message: str) -> None:
        if not condition:
            raise SettingsError(message)

    check_settings(settings)
    for key in ("classes", "tiers_of_service"):
        names = [str(row["name"]) for row in platform_settings[key]]
        require(len(set(names)) == len(names), f"{key}: a name occurs twice")
        require(all(names), f"{key}: a name is missing")
    for n, row in enumerate(platform_settings["classes"]):
        # Without this check, a class would count as repeatable because its effect was left out.
        require("effect" in row, f"classes[{n}].effect: missing")
    require(0 <= settings.gateway_index < settings.gateways, "me: must be below balancers, and 0 or more")
    require(settings.max_attempts >= 1, "ceilings.try_limit: must be 1 or more")
    require(0 < settings.max_units < math.inf, "domain.units_top: must be above 0")
    require(
        not settings.use_counter or 0 < settings.counter_timeout < math.inf,
        "domain.counter_timeout: must be above 0",
    )
    require(0 < settings.idle_timeout < math.inf, "ceilings.conn_idle: must be above 0")
    require(0 < dial_timeout < math.inf, "ceilings.dial_timeout: must be above 0")


def make_config(platform_config: Mapping[str, Any], environ: Mapping[str, str]) -> Config:
    """Builds and checks the configuration. Raises ConfigError."""
    try:
        platform_settings = platform_config["settings"]
        settings, _ = read_settings("\n".join(flatten(platform_settings)))
        zones = tuple(str(z) for z in platform_settings.get("zones", ()))
        server_idle_timeout = timedelta(seconds=settings.idle_timeout * IDLE_TIMEOUT_SHARE)
        settings = replace(settings, idle_timeout=server_idle_timeout.total_seconds())
        sockets = int(platform_config.get("limits", {}).get("sockets", 1024))
        known_list = platform_config.get("known") or {}
        memory_mb = float(platform_config.get("limits", {}).get("memory_mb", 192))
        ceilings = platform_settings.get("ceilings", {})
        max_open = int(ceilings.get("max_open", 20000))
        connections = SocketLimits.of_process(sockets, max_open)
        dial_timeout = float(ceilings.get("dial_timeout", 0.25))
        check_platform_settings(platform_settings, settings, dial_timeout)
        ingress = IngressConfig(
            settings=settings,
            seed=int(str(platform_config.get("seed", "0")), 16),
            counter_address=str(platform_config.get("counter", "")),
            # The file takes precedence: it may have been replaced since the environment was set.
            server_list_address=str(
                platform_config["discovery"]
                if platform_config.get("discovery") is not None
                else environ["BALANCER_DISCOVERY"]
            ),
            known_list_version=int(known_list.get("seq", 0)),
            known_servers=parse_servers(known_list.get("hosts", ()), zones),
            dial_timeout=timedelta(seconds=DIAL_TIMEOUT_SHARE * dial_timeout),
            server_idle_timeout=server_idle_timeout,
            counter_timeout=timedelta(seconds=settings.counter_timeout),
            max_server_connections=connections.max_server_connections,
            max_requests=connections.max_requests,
            max_clients=connections.max_clients,
            keep_alive_limit=connections.keep_alive_limit,
            max_open=max_open,
            socket_limit=sockets,
            memory_limit=int(memory_mb * MIB),
            memory=MemoryLimits.of_process(int(memory_mb * MIB)),
        )
        if settings.list_on_request:
            fleet_turn = LIST_FLEET_TURN * settings.gateways
            ingress = replace(
                ingress, list_wait=LIST_WAIT, list_fleet_turn=fleet_turn, list_max_pause=LIST_MAX_PAUSE
            )
        else:
            ingress = replace(ingress, list_first_answer_wait=LIST_FIRST_ANSWER_WAIT)
        request_catalog = RequestCatalog(
            [(str(c["name"]), c.get("effect") == "retryable") for c in platform_settings["classes"]],
            [str(t["name"]) for t in platform_settings["tiers_of_service"]],
            settings.max_units,
            settings.gateways,
        )
        peering = None
        if peering_config := platform_config.get("peering"):
            peers = {
                int(number): _parse_address(str(address))
                for number, address in peering_config["peers"].items()
            }
            secret = str(peering_config["secret"]).encode()
            watches_zones, leases = bool(peering_config["zones"]), str(peering_config["leases"])
            peering = Peering(
                _parse_address(peering_config["listen"]),
                peers,
                secret,
                watches_zones,
                bool(peering_config["acts"]),
                leases,
                bool(peering_config["replicate"]),
            )
            ingress = replace(ingress, watches_zones=watches_zones, uses_leases=leases != "off")
        listen = _parse_address(environ.get("BALANCER_LISTEN") or str(platform_config["listen"]))
        # The environment takes precedence: two processes at one address differ in it only.
        admin_address = environ.get("BALANCER_CONSOLE") or platform_config.get("console")
        inherited_fd, state_folder = environ.get("BALANCER_LISTEN_FD"), environ.get("TMPDIR", "")
        ingress = replace(ingress, shares_state=bool(inherited_fd and state_folder))
        return Config(
            str(platform_config.get("name", "")),
            listen,
            ingress,
            request_catalog,
            zones,
            class_names=tuple(str(c["name"]) for c in platform_settings["classes"]),
            admin_address=_parse_address(str(admin_address)) if admin_address else None,
            listen_fd=int(inherited_fd) if inherited_fd else None,
            peering=peering,
            platform_settings=platform_settings,
            state_folder=state_folder,
        )
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
        WireError,
        SettingsError,
    ) as error:
        raise ConfigError(f"configuration cannot be used: {type(error).__name__}: {error}") from None


def read_platform_config(environ: Mapping[str, str] = os.environ) -> dict[str, Any]:
    """Reads the JSON document that BALANCER_CONFIG names. Raises ConfigError."""
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG is not set")
    try:
        platform_config = json.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise ConfigError(f"configuration cannot be read: {error}") from None
    if not isinstance(platform_config, dict):
        raise ConfigError("configuration cannot be read: not a JSON object")
    return platform_config


def read_config(environ: Mapping[str, str] = os.environ) -> Config:
    """Reads the platform's document and builds the configuration from it. Raises ConfigError."""
    return make_config(read_platform_config(environ), environ)
