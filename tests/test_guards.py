"""Mutation tests: each guard in brain.py is taken out in turn, and the checks of test_rules.py must notice.

GUARDS: the guard's source text, its replacement, and a part of the assertion message that must appear.
"""

from __future__ import annotations

import types
from pathlib import Path

import pytest

import starlinggap
from starlinggap import Gateway, interface
from tests.gateway_rig import settings
from tests.test_rules import CEILING, CLASSES, World

SOURCE = Path(starlinggap.__file__).with_name("brain.py").read_text()

KEYED = "request.cls.idempotency is Idempotency.KEYED"
GUARDS = {
    "drain": ("if server.entry.health is Health.READY", "", "drains"),
    "ban": ("listed_ready - self.banned.keys()", "listed_ready", "staff"),
    "unsafe repeat": (KEYED + "\n            and self.now + self.settings.tick", "self.now", "unsafe"),
    "window": ("< request.may_have_run_at + request.cls.dedup_window", "< math.inf", "after the window"),
    "group": (
        "ready = [candidate_id for candidate_id in ready if self.same_dedup_scope(request, candidate_id)]",
        "pass",
        "sent again outside the",
    ),
    "refusal": (KEYED + " and request.cls.dedup_scope is DedupScope.ALL", "True", "refused"),
    "ceiling": (
        "(\n            not plan.ceiling_rate or account.headroom >= needed_headroom\n        )",
        "True",
        "ceiling",
    ),
    "patience": ("event.budget / 2 - settings.tick", "1.0", "overdue"),
}


def find_violation(source: str) -> str:
    """The message of the first rule that the module breaks in random worlds; empty if none."""
    module = types.ModuleType("brain_without_a_guard")
    exec(compile(source, "brain", "exec"), module.__dict__)  # noqa: S102
    make_gateway: type[Gateway] = module.Gateway
    for seed in range(12):
        for counter in ("silent", "emptied"):
            try:
                # The second plan admits nearly all requests.
                for plan in (CEILING, interface.Plan(rate=50.0, burst=500.0)):
                    config = settings(classes=CLASSES, plans=(plan,), gateways=2, max_attempts=4)
                    World(seed, 2, counter, config, make_gateway).run(120)
            except AssertionError as error:
                return str(error)
    return ""


def test_nothing_is_found_with_all_guards_in() -> None:
    assert find_violation(SOURCE) == ""


@pytest.mark.parametrize("name", GUARDS)
def test_a_missing_guard_is_found(name: str) -> None:
    guard, replacement, message = GUARDS[name]
    assert guard in SOURCE
    assert message in find_violation(SOURCE.replace(guard, replacement))
