"""The deployment of a run and its kinds of faults, drawn from the seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from tests.soak.records import Effect, Limits

ZONES = ("east", "west")
MANY_SERVERS = 100
TRAFFIC_SECONDS = 12.0
PLAN_NAME = "basic"
MAX_UNITS = 3
QUOTA_RATE, QUOTA_BURST = 9.0, 18.0  # units a second, units; where there is a ceiling


@dataclass(frozen=True)
class RequestClass:
    """A request class; times in seconds."""

    name: str
    effect: Effect
    aim: float
    deadline: float
    dedup_window: float = 0.0  # time for which servers remember an idempotency key
    dedup_per_zone: bool = False  # only the servers of one zone share their keys

    def settings(self) -> dict[str, Any]:
        """Returns the class's entry in the settings."""
        return {
            "name": self.name, "aim": self.aim, "deadline": self.deadline, "credit": 2.0,
            "effect": self.effect.value, "window": self.dedup_window,
            "group": "zone" if self.dedup_per_zone else "all",
        }  # fmt: skip


@dataclass(frozen=True)
class Deployment:
    """The drawn figures; `settings` returns them under the names that the platform uses."""

    seed: int
    classes: tuple[RequestClass, ...]
    instances: int
    servers: int
    capacity: float  # requests/s of a server after slow start
    rate: float  # requests/s of all clients together
    limits: Limits
    idle_crowd: bool  # idle clients hold as many descriptors as they can get
    system_call_faults: bool  # system calls of the ingress processes fail at times
    rolling_upgrades: bool  # at a restart, the new process starts while the old one still serves
    clock_steps: bool  # the wall clock of an instance is stepped before a process starts
    has_ceiling: bool  # the plan has a quota and a hard ceiling, and one account presses against them

    def settings(self, instance: int) -> dict[str, Any]:
        """Returns the settings of one instance."""
        limits = self.limits
        return {
            "balancers": self.instances, "me": instance, "tick": 0.002, "zone": 0, "zones": list(ZONES),
            "classes": [request_class.settings() for request_class in self.classes],
            "tiers_of_service": [self._plan()],
            "domain": {"shared_counter": True, "counter_timeout": 0.08, "units_top": MAX_UNITS},
            "ceilings": {"try_limit": 3, "cancelling": True, "conn_idle": 10.0, "dial_timeout": 0.25,
                         "probes": False},
            "invariants": {"cold": limits.slow_start_duration, "cold_from": limits.slow_start_share,
                           "fall": limits.collapse_time, "fall_multiple": limits.collapse_ratio},
            "load_info": {"fields": []},
            "discovery": "pushed",
        }  # fmt: skip

    def _plan(self) -> dict[str, Any]:
        if not self.has_ceiling:
            return {"name": PLAN_NAME, "quota_rate": 10_000.0, "most_at_once": 50_000.0, "pays": 1.0}
        return {
            "name": PLAN_NAME, "quota_rate": QUOTA_RATE, "most_at_once": QUOTA_BURST, "pays": 1.0,
            "cap_rate": self.limits.ceiling_rate, "never_over_depth": self.limits.ceiling_burst,
            "hard_slack": self.limits.ceiling_slack, "excess_cost": 0.8,
        }  # fmt: skip


def draw_deployment(
    seed: int, idle_crowd: bool | None = None, system_call_faults: bool | None = None
) -> Deployment:
    """Draws a deployment. `idle_crowd` and `system_call_faults` replace what the seed would give."""
    rng = random.Random(seed)
    longest_deadline = rng.choice([0.4, 1.0, 2.0, 3.0, 5.0])
    classes = []
    for number in range(rng.randint(2, 5)):
        deadline = longest_deadline if number == 0 else rng.uniform(0.4, 1.0) * longest_deadline
        effect = Effect.UNSAFE if number == 0 else rng.choice(list(Effect))
        aim, dedup_window = deadline / rng.uniform(2.5, 5.0), rng.choice([0.3, 1.0, 8.0])
        classes.append(
            RequestClass(f"class-{number}", effect, aim, deadline, dedup_window, rng.random() < 0.5)
        )
    servers = MANY_SERVERS if rng.random() < 0.1 else rng.randint(4, 10)
    capacity = rng.uniform(15.0, 30.0)
    instances = rng.randint(1, 4)
    rate = min(120.0, 0.4 * capacity * servers)
    limits = Limits(
        longest_deadline=longest_deadline, slow_start_duration=16.0, slow_start_share=0.2,
        collapse_time=1.5, collapse_ratio=2.5, stop_sending_time=2.0, descriptors=512, memory_mb=128.0,
    )  # fmt: skip
    drawn_crowd, drawn_faults = rng.random() < 0.4, rng.random() < 0.4
    rolling_upgrades = rng.random() < 0.6
    clock_steps, has_ceiling = rng.random() < 0.5, rng.random() < 0.5
    if has_ceiling:
        multiple = rng.uniform(1.7, 2.5)
        limits.ceiling_rate, limits.ceiling_burst = multiple * QUOTA_RATE, multiple * QUOTA_BURST
        limits.ceiling_slack = max(0.1 * limits.ceiling_burst, MAX_UNITS)
    return Deployment(
        seed, tuple(classes), instances, servers, capacity, rate, limits,
        drawn_crowd if idle_crowd is None else idle_crowd,
        drawn_faults if system_call_faults is None else system_call_faults,
        rolling_upgrades, clock_steps, has_ceiling,
    )  # fmt: skip
