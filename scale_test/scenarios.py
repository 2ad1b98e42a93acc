"""The scenarios: ordinary churn of the endpoint list, an outage of a zone, an outage of discovery."""

from __future__ import annotations

import asyncio
import heapq
import random
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from scale_test.fake_discovery import FakeDiscovery
from scale_test.plan import LIST_CHANGES_PER_KIND, ChangeKind, Plan, Scenario
from scale_test.registry import Health

# Time until a restarted or failed upstream returns, but at most a fifth of the scenario's duration.
RETURN_DELAY_S = 4.0
ZONE_STEPS = 10  # list versions over which the upstreams of a zone change
ZONE_STEP_S = 0.1  # pause after each of them, but at most a hundredth of the scenario's duration
# The outage of discovery, in fractions of the scenario's duration.
OUTAGE_START_FRACTION = 0.2
OUTAGE_DURATION_FRACTION = 0.3
NEW_CHANGE = -1  # instead of a row number: a change of a row that is yet to be drawn

ScenarioFunction = Callable[[FakeDiscovery, Plan, random.Random], Coroutine[Any, Any, None]]

HEALTH_AFTER_CHANGE = {
    ChangeKind.CONFIGURED: None,
    ChangeKind.RESTARTED: Health.DRAINING,
    ChangeKind.FAILED: Health.REMOVED,
}


@dataclass(frozen=True, order=True)
class ScheduledChange:
    """The time at which the upstream of a row returns, or at which a row is drawn and changed."""

    at_s: float
    returning_row: int = NEW_CHANGE


@dataclass(frozen=True)
class ZonePhase:
    """The health that all upstreams of a zone get after a fraction of the scenario's duration."""

    start_fraction: float
    health: Health


ZONE_PHASES = (ZonePhase(0.1, Health.DRAINING), ZonePhase(0.3, Health.REMOVED), ZonePhase(0.5, Health.UP))


async def churn(
    discovery: FakeDiscovery, plan: Plan, rng: random.Random, excluded_rows: frozenset[int] = frozenset()
) -> None:
    """Run ordinary churn: configure, restart and fail upstreams at random, except in the excluded rows."""
    start_s = now_s = time.monotonic()
    end_s = start_s + plan.duration
    return_delay_s = min(RETURN_DELAY_S, plan.duration / 5)
    kinds = list(plan.upstream_changes_per_day)
    weights = list(plan.upstream_changes_per_day.values())
    list_changes = sum(
        LIST_CHANGES_PER_KIND[kind] * weight for kind, weight in plan.upstream_changes_per_day.items()
    )
    rate = plan.changes_a_second * sum(weights) / list_changes
    schedule = [ScheduledChange(start_s + rng.expovariate(rate))]
    while schedule[0].at_s < end_s:
        due = heapq.heappop(schedule)
        await asyncio.sleep(max(0.0, due.at_s - now_s))
        now_s = time.monotonic()
        if due.returning_row != NEW_CHANGE:
            discovery.change([due.returning_row], Health.UP, restarted=True)
            continue
        heapq.heappush(schedule, ScheduledChange(due.at_s + rng.expovariate(rate)))
        row = rng.randrange(plan.upstreams)
        kind = rng.choices(kinds, weights)[0]
        if discovery.registry.health[row] is not Health.UP or row in excluded_rows:
            continue  # it has not returned yet, or belongs to the zone that is out
        discovery.change([row], HEALTH_AFTER_CHANGE[kind])
        if kind is not ChangeKind.CONFIGURED:
            heapq.heappush(schedule, ScheduledChange(due.at_s + return_delay_s, row))
    await asyncio.sleep(max(0.0, end_s - now_s))


async def zone_outage(discovery: FakeDiscovery, plan: Plan, rng: random.Random) -> None:
    """Run ordinary churn while one zone drains, is removed and returns with restarted upstreams."""
    zone = rng.randrange(plan.zones)
    rows = [row for row in range(plan.upstreams) if plan.zone_of(row) == zone]
    churn_task = asyncio.create_task(churn(discovery, plan, rng, frozenset(rows)))
    start_s = time.monotonic()
    for phase in ZONE_PHASES:
        await asyncio.sleep(start_s + phase.start_fraction * plan.duration - time.monotonic())
        for step in range(ZONE_STEPS):
            changed = rows[step::ZONE_STEPS]
            if changed:
                discovery.change(changed, phase.health, restarted=phase.health is Health.UP)
                await asyncio.sleep(min(ZONE_STEP_S, plan.duration / 100))
    await churn_task


async def discovery_outage(discovery: FakeDiscovery, plan: Plan, rng: random.Random) -> None:
    """Run ordinary churn while discovery is down for a time, after which all balancers get full lists."""
    churn_task = asyncio.create_task(churn(discovery, plan, rng))
    await asyncio.sleep(OUTAGE_START_FRACTION * plan.duration)
    discovery.begin_outage()
    await asyncio.sleep(OUTAGE_DURATION_FRACTION * plan.duration)
    discovery.end_outage()
    await churn_task


SCENARIOS: dict[Scenario, ScenarioFunction] = {
    Scenario.CHURN: churn,
    Scenario.ZONE_OUTAGE: zone_outage,
    Scenario.DISCOVERY_OUTAGE: discovery_outage,
}
