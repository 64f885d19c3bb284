"""Checks the records of a run against rules. Shares no code with the program under test.

Each rule yields a violation for every request, server or process that breaks it. The times that the stand-ins
recorded may be late by the lag of their event loop (`Records.lag`), so every bound is extended by it.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from tests.soak.records import AttemptRecord, Effect, End, Limits, Records, RequestRecord, ServerRecord

ANSWER_GRACE = 0.5  # s past the client's deadline after which an answer counts as lost
CLOSE_GRACE = 0.1  # s after a client closed in which an attempt may still begin
DEADLINE_SLACK = 0.15  # s by which the time stated to a server may exceed what the client has left
KILL_GRACE = 0.7  # s from the longest deadline until SIGKILL
MAX_COUNTED_DEADLINE = 3.0  # s; the platform waits no longer for longer deadlines
SMALL_BUDGET = 30  # requests; a smaller slow start budget gets a wider statistical margin
REFUSAL_STATUSES = (429, 503)
CEILING_TIME_SLACK = 0.15  # s of its rate by which a ceiling's slack is widened on sockets
START_TIME = 0.5  # s from its start in which a drain counts as told to a process with its first list
NETWORK_MARGIN = 0.05  # s for the transfer between two processes


@dataclass(frozen=True)
class Violation:
    """A broken rule, and the records that show it."""

    rule: str
    details: str


def kill_delay(longest_deadline: float) -> float:
    """Seconds that the platform waits at least between SIGTERM and SIGKILL."""
    return min(longest_deadline, MAX_COUNTED_DEADLINE) + KILL_GRACE


def _attempts_by_request(records: Records) -> dict[str, list[AttemptRecord]]:
    found: dict[str, list[AttemptRecord]] = defaultdict(list)
    for attempt in records.attempts:
        found[attempt.name].append(attempt)
    return found


def check_answers(records: Records) -> Iterator[Violation]:
    """Every request gets its final answer in time.

    Excepted are those whose client left, those sent while the ingress closed the connection unread, and those
    that a process held which was killed without being asked to stop.
    """
    attempts = _attempts_by_request(records)
    crash_times = [process.killed for process in records.processes if process.crashed]
    for request in records.requests:
        if request.end in (End.LOST, End.UNHEARD, End.CUT) and _ended_near(request, crash_times):
            continue
        reached_server = request.name in attempts
        cut_by_program = request.end is End.CUT and not any(a.harmed for a in attempts[request.name])
        if request.end is End.LOST or (request.end is End.UNHEARD and reached_server) or cut_by_program:
            yield Violation("lost", f"{request} attempts {attempts[request.name]}")
        elif request.end is End.ANSWERED:
            lateness = request.ended - request.sent - request.waits
            if lateness > ANSWER_GRACE + NETWORK_MARGIN + records.lag:
                yield Violation("late", f"{request} attempts {attempts[request.name]}")
        elif request.end is None:
            yield Violation("lost", f"{request} attempts {attempts[request.name]}")


def check_repeats(records: Records) -> Iterator[Violation]:
    """No request runs twice if that is unsafe, and no second attempt starts while the first is open.

    A request with an idempotency key may be repeated, but not where a server that doesn't know the key, or
    has forgotten it, would run it again.
    """
    effects = {request.name: request.effect for request in records.requests}
    for name, attempts in _attempts_by_request(records).items():
        if name not in effects:
            yield Violation("unknown", f"a server got what no client sent: {name} {attempts}")
            continue
        ran = [a for a in attempts if a.ran]
        if effects[name] is not Effect.SAFE and len(ran) > 1:
            yield Violation("doubled", f"{name} {effects[name].name} {attempts}")
        ordered = sorted(attempts, key=lambda a: a.whole)
        for first, second in zip(ordered, ordered[1:], strict=False):
            if second.whole < first.ended - NETWORK_MARGIN - records.lag:
                yield Violation("second copy", f"{name} {first} {second}")


def check_content(records: Records) -> Iterator[Violation]:
    """A server gets each request with the method, the target and the body that its client sent."""
    digests = {request.name: request.digest for request in records.requests}
    for attempt in records.attempts:
        if attempt.name in digests and attempt.digest != digests[attempt.name]:
            yield Violation("content", f"{attempt} was sent as {digests[attempt.name]}")


def check_ceilings(records: Records) -> Iterator[Violation]:
    """No account passes its ceiling by more than the slack.

    Each request takes its units once, as its first attempt arrives. Attempts may have been held up on the
    way, so the store may be lower by what the rate gives in the time that path and stand-ins are late.
    """
    limits = records.limits
    if not limits.ceiling_rate:
        return
    slack = limits.ceiling_slack + limits.ceiling_rate * (CEILING_TIME_SLACK + NETWORK_MARGIN + records.lag)
    stores: dict[int, tuple[float, float]] = {}
    unsent = {request.name: request for request in records.requests}
    for attempt in sorted(records.attempts, key=lambda a: a.whole):
        request = unsent.pop(attempt.name, None)
        if request is None:
            continue
        store, since = stores.get(request.account, (limits.ceiling_burst, attempt.whole))
        refilled = min(limits.ceiling_burst, store + limits.ceiling_rate * (attempt.whole - since))
        stores[request.account] = refilled - request.units, attempt.whole
        if refilled - request.units < -slack:
            yield Violation("ceiling", f"{refilled - request.units:.1f} units left, {request} {attempt}")


def check_refusals(records: Records) -> Iterator[Violation]:
    """An unsafe request that was refused has not run anywhere."""
    attempts = _attempts_by_request(records)
    for request in records.requests:
        if request.status in REFUSAL_STATUSES and request.effect is Effect.UNSAFE:
            if any(a.ran for a in attempts[request.name]):
                yield Violation("refused", f"{request} attempts {attempts[request.name]}")


def check_closed_clients(records: Records) -> Iterator[Violation]:
    """No attempt begins after the client has closed its connection."""
    client_closed = {r.name: r for r in records.requests if r.end is End.LEFT}
    for attempt in records.attempts:
        request = client_closed.get(attempt.name)
        if request is not None and attempt.began > request.ended + CLOSE_GRACE + records.lag:
            yield Violation("gone", f"{request} {attempt}")


def check_deadlines(records: Records) -> Iterator[Violation]:
    """The time stated to a server is no more than the client has left."""
    requests = {r.name: r for r in records.requests}
    for attempt in records.attempts:
        request = requests.get(attempt.name)
        if request is None:
            continue
        time_left = request.sent + request.waits - attempt.whole
        if attempt.time_left > time_left + DEADLINE_SLACK + NETWORK_MARGIN + records.lag:
            yield Violation("deadline", f"{request} {attempt} had {time_left:.3f} s left")


def check_draining_servers(records: Records) -> Iterator[Violation]:
    """A server that drains gets no new attempts."""
    servers = {server.server: server for server in records.servers}
    requests = {r.name: r for r in records.requests}
    for attempt in records.attempts:
        request = requests.get(attempt.name)
        if request is None:
            continue
        drain_told = servers[attempt.server].drain_told.get(request.instance, math.inf)
        if attempt.began > drain_told + records.limits.stop_sending_time + records.lag:
            yield Violation("drain", f"{attempt} from instance {request.instance}, told {drain_told:.3f}")


def check_drains_at_a_start(records: Records) -> Iterator[Violation]:
    """What the agent has as a process starts counts as told from then on, if the agent can be heard."""
    servers = {server.server: server for server in records.servers}
    instances = {request.name: request.instance for request in records.requests}
    for attempt in records.attempts:
        if attempt.name not in instances:
            continue
        instance = instances[attempt.name]
        began = max(
            (p.began for p in records.processes if p.instance == instance and p.began <= attempt.began),
            default=math.inf,
        )
        known = servers[attempt.server].drain_known.get(instance, math.inf)
        troubled = any(
            start < attempt.began and end > began for start, end in records.agent_troubles.get(instance, [])
        )
        told = max(began, known)
        if troubled or known > began + START_TIME:
            continue
        if attempt.began > told + records.limits.stop_sending_time + records.lag:
            yield Violation("drain at a start", f"{attempt}, process began {began:.3f}, known {known:.3f}")


def slow_start_budget(share: float, capacity: float, limits: Limits) -> float:
    """The number of requests that a server in slow start may get within `limits.collapse_time`.

    A margin of two or three standard deviations allows for random arrivals.
    """
    allowed = limits.collapse_ratio * share * capacity * limits.collapse_time
    margin = 2 * math.sqrt(allowed) + 2 if allowed >= SMALL_BUDGET else 3 * math.sqrt(allowed) + 3
    return allowed + margin


def check_slow_start(records: Records) -> Iterator[Violation]:
    """All instances and processes together keep to the budget of a server in slow start."""
    limits = records.limits
    for server in records.servers:
        if server.started == -math.inf:
            continue
        arrivals = sorted(a.whole for a in records.attempts if a.server == server.server)
        for n, arrival in enumerate(arrivals):
            age = arrival - server.started
            share = min(
                1.0,
                limits.slow_start_share + (1 - limits.slow_start_share) * age / limits.slow_start_duration,
            )
            recent = [t for t in arrivals[: n + 1] if t > arrival - limits.collapse_time]
            if share < 1 and len(recent) > slow_start_budget(share, server.capacity, limits):
                summary = f"{len(recent)} requests by {arrival:.3f}, share {share:.2f}"
                yield Violation("slow start", f"{_describe(server)}: {summary}")
                break


def _describe(server: ServerRecord) -> str:
    return f"server {server.server} started {server.started:.3f} capacity {server.capacity:.1f}"


def check_processes(records: Records) -> Iterator[Violation]:
    """No process crashes, becomes ready late, reports an internal error or exceeds its limits."""
    limits = records.limits
    for process in records.processes:
        stop_began = min(process.asked, process.killed)
        if process.ended < stop_began or (process.code not in (0, None) and process.killed == math.inf):
            yield Violation("crash", str(process))
        if (
            process.ready - process.began > limits.max_start_time
            and stop_began - process.began > limits.max_start_time
        ):
            yield Violation("not ready", str(process))
        if process.faults:
            yield Violation("defect", str(process))
        if process.descriptors > limits.descriptors or process.memory_mb > limits.memory_mb:
            yield Violation("limits", str(process))


RULES: tuple[Callable[[Records], Iterator[Violation]], ...] = (
    check_answers, check_repeats, check_content, check_ceilings, check_refusals, check_closed_clients,
    check_deadlines, check_draining_servers, check_drains_at_a_start, check_slow_start, check_processes,
)  # fmt: skip


def check_records(records: Records) -> list[Violation]:
    """Returns all violations, rule by rule."""
    return [violation for rule in RULES for violation in rule(records)]


def ended_at_kill(records: Records, violation: Violation) -> bool:
    """Whether the violation is a lost request that ended when a process was killed."""
    if violation.rule != "lost":
        return False
    kill_times = [p.killed for p in records.processes if p.killed < math.inf]
    request = next((r for r in records.requests if violation.details.startswith(str(r))), None)
    return request is not None and _ended_near(request, kill_times)


def _ended_near(request: RequestRecord, kill_times: list[float]) -> bool:
    return any(abs(request.ended - kill_time) < CLOSE_GRACE for kill_time in kill_times)
