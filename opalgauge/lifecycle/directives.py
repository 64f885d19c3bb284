"""Every directive of the settings file: what it takes, its default, and whether SIGHUP changes it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from opalgauge.lifecycle import words as w

Reader = Callable[[str], Any]


@dataclass(frozen=True, slots=True)
class Option:
    """A `key=value` word of a directive. `needed`: it has no default."""

    read: Reader
    default: Any = None
    needed: bool = False


@dataclass(frozen=True, slots=True)
class Directive:
    """`takes`: a reader for each plain word. `many`: it may stand more than once. `open`: any
    number of words.

    `live`: SIGHUP changes it in service; anything else counts from the next start on.
    `trade`: what the platform's own file says where `platform` names one, so it may not stand beside it.
    """

    takes: tuple[Reader, ...]
    default: Any = None
    about: str = ""
    many: bool = False
    open: bool = False
    live: bool = False
    trade: bool = False
    options: Mapping[str, Option] = field(default_factory=dict)


def ms(value: float) -> timedelta:
    return timedelta(milliseconds=value)


DIRECTIVES: dict[str, Directive] = {
    "platform": Directive((w.path,), about="the platform's JSON file: it tells addresses, trade and limits"),
    "name": Directive((w.name,), "opalgauge", "this ingress, in its log lines"),
    "listen": Directive((w.address,), about="where clients connect"),
    "log": Directive((w.one_of("text", "json"),), "text", "key=value lines, or one JSON object a line"),
    "console": Directive((w.address,), about="the admin endpoint; none: there is none such", trade=True),
    # --- cores
    "workers": Directive((w.positive,), 1, "processes that serve; one core each"),
    "stall-after": Directive(
        (w.some_span,), ms(400), "a worker that has not moved for so long is replaced", live=True
    ),
    "restart-pause": Directive(
        (w.some_span,), ms(250), "before a worker that ended is started again; doubled each time", live=True
    ),
    "restart-pause-most": Directive(
        (w.some_span,), timedelta(seconds=15), "that pause grows no longer", live=True
    ),
    # --- the other parties
    "counter": Directive((w.address,), about="the quota counter; none: quotas are kept here alone",
                         live=True, trade=True),
    "counter-timeout": Directive((w.some_span,), ms(80), "for one call of the counter", trade=True),
    "node-list": Directive((w.address,), about="the node list agent; none: the stock-node lines are the list",
                           live=True, trade=True),
    "stock-node": Directive(
        (w.name, w.address), about="a stock node", many=True, live=True, trade=True,
        options={"site": Option(w.name, ""), "share": Option(w.share, 1.0)},
    ),
    "sites": Directive((w.name,), ["main"], "the buildings, in any order", open=True, trade=True),
    "site": Directive((w.name,), about="the one that this ingress stands in; default: the first of sites",
                      trade=True),
    "ingresses": Directive((w.positive,), 1, "how many there are", trade=True),
    "number": Directive((w.count,), 0, "this ingress among them, counted from 0", trade=True),
    "seed": Directive((w.seed,), about="for random numbers; default: drawn at each start", trade=True),
    # --- the trade
    "kind": Directive(
        (w.name,), about="a kind of request", many=True, trade=True,
        options={
            "repeat": Option(w.one_of("safe", "keyed", "never"), needed=True),
            "window": Option(w.span, timedelta(0)),  # keyed: how long stock nodes drop a repeat
            "among": Option(w.one_of("all", "site"), "all"),  # keyed: which stock nodes drop it together
            "aim": Option(w.some_span, needed=True),
            "deadline": Option(w.some_span, needed=True),
            "worth": Option(w.number, 1.0),
            "late-worth": Option(w.number, 0.0),
        },
    ),
    "tariff": Directive(
        (w.name,), about="a tariff", many=True, trade=True,
        options={
            "rate": Option(w.rate, needed=True),
            "burst": Option(w.number, needed=True),
            "price": Option(w.number, 1.0),
            "over-worth": Option(w.number, 0.0),
            "over-cost": Option(w.number, 1.0),
            "open": Option(w.count, 0),
            "ceiling-rate": Option(w.rate, w.Rate(0)),
            "ceiling-burst": Option(w.number, 0.0),
            "ceiling-slack": Option(w.number, 0.0),
        },
    ),
    "cross-site-price": Directive(
        (w.number,), 0.0, "a request that crosses sites costs so much; above 0, the own site comes first",
        trade=True,
    ),
    "most-units": Directive((w.number,), 1.0, "units that one request may take", trade=True),
    "tries": Directive((w.positive,), 4, "attempts at the stock nodes for one request", trade=True),
    "most-retry-after": Directive((w.some_span,), timedelta(seconds=1), "longest Retry-After", trade=True),
    # --- stock nodes
    "connect-timeout": Directive((w.some_span,), ms(250), "for a connection to a stock node", trade=True),
    "idle-limit": Directive(
        (w.some_span,), timedelta(seconds=15), "a stock node closes an idle connection then", trade=True
    ),
    "drain-grace": Directive(
        (w.some_span,), timedelta(seconds=2), "nothing new to a draining node after this", trade=True
    ),
    "cold": Directive((w.some_span,), timedelta(seconds=16), "a started node is warm by then", trade=True),
    "cold-from": Directive((w.share,), 0.15, "its capacity at its start", trade=True),
    "fall": Directive((w.some_span,), ms(1500), "overfed for so long it falls over", trade=True),
    "fall-multiple": Directive((w.number,), 2.5, "overfed: so many times what it can do", trade=True),
    "probes": Directive((w.switch,), True, "whether stock nodes may be probed", trade=True),
    # --- the other ingresses
    "zone-leave": Directive(
        (w.one_of("off", "watch", "on"),), "off",
        "a failing site is left, and returned to, by all ingresses together; watch: only shown",
    ),
    "leases": Directive(
        (w.one_of("off", "even", "ahead", "on"),), "off",
        "quotas are spent by leases while the counter answers, and by rights while it does not",
    ),
    "replicate": Directive(
        (w.switch,), False, "bans by staff and judgements on stock nodes are the same at all ingresses",
    ),
    "peer-listen": Directive((w.address,), about="where the other ingresses' datagrams come in"),
    "peer": Directive((w.count, w.address), about="another ingress, by its number", many=True),
    "peer-secret": Directive((w.name,), about="seals the datagrams; the same at every ingress"),
    # --- bounds
    "sockets": Directive((w.positive,), 1024, "descriptors of the ingress, all its processes together",
                         trade=True),
    "most-open": Directive((w.positive,), 20000, "requests open at once", trade=True),
}  # fmt: skip
