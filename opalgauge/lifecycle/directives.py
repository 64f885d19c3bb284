"""The directives of the settings file: arguments, options, defaults, and whether SIGHUP applies a change."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from opalgauge.lifecycle import parsers

Parser = Callable[[str], Any]


@dataclass(frozen=True, slots=True)
class Option:
    """A `key=value` option of a directive. A required one has no default."""

    parse: Parser
    default: Any = None
    required: bool = False


@dataclass(frozen=True, slots=True)
class Directive:
    """A directive of the settings file.

    `arguments` holds one parser for each positional argument; a variadic directive takes any number of
    arguments, all read by the same parser. A repeatable directive may occur more than once. SIGHUP applies a
    change of a reloadable directive; other changes take effect at the next start. A directive that is
    `set_by_platform` may not occur together with `platform`, whose file sets it.
    """

    arguments: tuple[Parser, ...]
    default: Any = None
    description: str = ""
    repeatable: bool = False
    variadic: bool = False
    reloadable: bool = False
    set_by_platform: bool = False
    options: Mapping[str, Option] = field(default_factory=dict)


def ms(value: float) -> timedelta:
    """A duration in milliseconds."""
    return timedelta(milliseconds=value)


DIRECTIVES: dict[str, Directive] = {
    "platform": Directive(
        (parsers.path,), description="the platform's JSON file: it tells addresses, trade and limits"
    ),
    "name": Directive((parsers.name,), "opalgauge", "this ingress, in its log lines"),
    "listen": Directive((parsers.address,), description="where clients connect"),
    "log": Directive((parsers.one_of("text", "json"),), "text", "key=value lines, or one JSON object a line"),
    "console": Directive(
        (parsers.address,), description="the admin endpoint; none: there is none such", set_by_platform=True
    ),
    # --- cores
    "workers": Directive((parsers.positive_count,), 1, "processes that serve; one core each"),
    "stall-after": Directive(
        (parsers.positive_duration,),
        ms(400),
        "a worker that has not moved for so long is replaced",
        reloadable=True,
    ),
    "restart-pause": Directive(
        (parsers.positive_duration,),
        ms(250),
        "before a worker that ended is started again; doubled each time",
        reloadable=True,
    ),
    "restart-pause-most": Directive(
        (parsers.positive_duration,), timedelta(seconds=15), "that pause grows no longer", reloadable=True
    ),
    # --- quota counter and discovery
    "counter": Directive(
        (parsers.address,),
        description="the quota counter; none: quotas are kept here alone",
        reloadable=True,
        set_by_platform=True,
    ),
    "counter-timeout": Directive(
        (parsers.positive_duration,), ms(80), "for one call of the counter", set_by_platform=True
    ),
    "node-list": Directive(
        (parsers.address,),
        description="the node list agent; none: the stock-node lines are the list",
        reloadable=True,
        set_by_platform=True,
    ),
    "stock-node": Directive(
        (parsers.name, parsers.address),
        description="a stock node",
        repeatable=True,
        reloadable=True,
        set_by_platform=True,
        options={"site": Option(parsers.name, ""), "share": Option(parsers.share, 1.0)},
    ),
    "sites": Directive(
        (parsers.name,), ["main"], "the buildings, in any order", variadic=True, set_by_platform=True
    ),
    "site": Directive(
        (parsers.name,),
        description="the one that this ingress stands in; default: the first of sites",
        set_by_platform=True,
    ),
    "ingresses": Directive((parsers.positive_count,), 1, "how many there are", set_by_platform=True),
    "number": Directive((parsers.count,), 0, "this ingress among them, counted from 0", set_by_platform=True),
    "seed": Directive(
        (parsers.seed,), description="for random numbers; default: drawn at each start", set_by_platform=True
    ),
    # --- classes, plans and costs
    "kind": Directive(
        (parsers.name,),
        description="a kind of request",
        repeatable=True,
        set_by_platform=True,
        options={
            "repeat": Option(parsers.one_of("safe", "keyed", "never"), required=True),
            "window": Option(parsers.duration, timedelta(0)),  # keyed: how long servers recognise a repeat
            # keyed: the servers that share this knowledge
            "among": Option(parsers.one_of("all", "site"), "all"),
            "aim": Option(parsers.positive_duration, required=True),
            "deadline": Option(parsers.positive_duration, required=True),
            "worth": Option(parsers.number, 1.0),
            "late-worth": Option(parsers.number, 0.0),
        },
    ),
    "tariff": Directive(
        (parsers.name,),
        description="a tariff",
        repeatable=True,
        set_by_platform=True,
        options={
            "rate": Option(parsers.rate, required=True),
            "burst": Option(parsers.number, required=True),
            "price": Option(parsers.number, 1.0),
            "over-worth": Option(parsers.number, 0.0),
            "over-cost": Option(parsers.number, 1.0),
            "open": Option(parsers.count, 0),
            "ceiling-rate": Option(parsers.rate, parsers.Rate(0)),
            "ceiling-burst": Option(parsers.number, 0.0),
            "ceiling-slack": Option(parsers.number, 0.0),
        },
    ),
    "cross-site-price": Directive(
        (parsers.number,),
        0.0,
        "a request that crosses sites costs so much; above 0, the own site comes first",
        set_by_platform=True,
    ),
    "most-units": Directive((parsers.number,), 1.0, "units that one request may take", set_by_platform=True),
    "tries": Directive(
        (parsers.positive_count,), 4, "attempts at the stock nodes for one request", set_by_platform=True
    ),
    "most-retry-after": Directive(
        (parsers.positive_duration,), timedelta(seconds=1), "longest Retry-After", set_by_platform=True
    ),
    # --- servers
    "connect-timeout": Directive(
        (parsers.positive_duration,), ms(250), "for a connection to a stock node", set_by_platform=True
    ),
    "idle-limit": Directive(
        (parsers.positive_duration,),
        timedelta(seconds=15),
        "a stock node closes an idle connection then",
        set_by_platform=True,
    ),
    "drain-grace": Directive(
        (parsers.positive_duration,),
        timedelta(seconds=2),
        "nothing new to a draining node after this",
        set_by_platform=True,
    ),
    "cold": Directive(
        (parsers.positive_duration,),
        timedelta(seconds=16),
        "a started node is warm by then",
        set_by_platform=True,
    ),
    "cold-from": Directive((parsers.share,), 0.15, "its capacity at its start", set_by_platform=True),
    "fall": Directive(
        (parsers.positive_duration,), ms(1500), "overfed for so long it falls over", set_by_platform=True
    ),
    "fall-multiple": Directive(
        (parsers.number,), 2.5, "overfed: so many times what it can do", set_by_platform=True
    ),
    "probes": Directive((parsers.switch,), True, "whether stock nodes may be probed", set_by_platform=True),
    # --- peers
    "zone-leave": Directive(
        (parsers.one_of("off", "watch", "on"),),
        "off",
        "a failing site is left, and returned to, by all ingresses together; watch: only shown",
    ),
    "leases": Directive(
        (parsers.one_of("off", "even", "ahead", "on"),),
        "off",
        "quotas are spent by leases while the counter answers, and by rights while it does not",
    ),
    "replicate": Directive(
        (parsers.switch,),
        False,
        "bans by staff and judgements on stock nodes are the same at all ingresses",
    ),
    "peer-listen": Directive((parsers.address,), description="where the other ingresses' datagrams come in"),
    "peer": Directive(
        (parsers.count, parsers.address), description="another ingress, by its number", repeatable=True
    ),
    "peer-secret": Directive((parsers.name,), description="seals the datagrams; the same at every ingress"),
    # --- limits
    "sockets": Directive(
        (parsers.positive_count,),
        1024,
        "descriptors of the ingress, all its processes together",
        set_by_platform=True,
    ),
    "most-open": Directive((parsers.positive_count,), 20000, "requests open at once", set_by_platform=True),
}
