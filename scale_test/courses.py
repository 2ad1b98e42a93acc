"""What happens to the list: a day's churn, a zone lost and back cold, discovery cut off and back."""

from __future__ import annotations

import asyncio
import heapq
import random
import time
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

from scale_test.plan import CHANGES, Plan

if TYPE_CHECKING:
    from scale_test.discovery import Discovery

RETURN_S = 4.0  # a restarted or failed upstream is back after this, or a fifth of the run
ZONE_STEPS, ZONE_STEP_S = 10, 0.1  # a zone's upstreams change in so many steps
Course = Callable[["Discovery", Plan, random.Random], Coroutine[Any, Any, None]]


async def day(
    discovery: Discovery, plan: Plan, rng: random.Random, spared: frozenset[int] = frozenset()
) -> None:
    """Changes of configuration, restarts and failures, at random."""
    start = now = time.monotonic()
    end = start + plan.duration
    away = min(RETURN_S, plan.duration / 5)
    kinds, weights = list(plan.mix), list(plan.mix.values())
    happening = plan.changes_a_second * sum(weights) / sum(CHANGES[k] * w for k, w in plan.mix.items())
    due = [(start + rng.expovariate(happening), 0)]  # 0: something new; else the return of a row, from 1
    health = discovery.registry.health
    while due[0][0] < end:
        at, what = heapq.heappop(due)
        await asyncio.sleep(max(0.0, at - now))
        now = time.monotonic()
        if what:
            discovery.change([what - 1], "up", born=True)
            continue
        heapq.heappush(due, (at + rng.expovariate(happening), 0))
        row, kind = rng.randrange(plan.upstreams), rng.choices(kinds, weights)[0]
        if health[row] != "up" or row in spared:
            continue  # it is away already
        discovery.change([row], {"configured": "", "restarted": "draining", "failed": "removed"}[kind])
        if kind != "configured":
            heapq.heappush(due, (at + away, row + 1))
    await asyncio.sleep(max(0.0, end - now))


async def zone(discovery: Discovery, plan: Plan, rng: random.Random) -> None:
    """Beside the day's churn: one zone drains, vanishes and comes back cold."""
    lost = rng.randrange(plan.zones)
    rows = [i for i in range(plan.upstreams) if plan.zone_of(i) == lost]
    churn = asyncio.create_task(day(discovery, plan, rng, frozenset(rows)))
    start = time.monotonic()
    for part, health in ((0.1, "draining"), (0.3, "removed"), (0.5, "up")):
        await asyncio.sleep(start + part * plan.duration - time.monotonic())
        for step in range(ZONE_STEPS):
            if changed := rows[step::ZONE_STEPS]:
                discovery.change(changed, health, born=health == "up")
                await asyncio.sleep(min(ZONE_STEP_S, plan.duration / 100))
    await churn


async def back(discovery: Discovery, plan: Plan, rng: random.Random) -> None:
    """Discovery is down for three tenths of the run; then all balancers call at once, and get whole lists."""
    churn = asyncio.create_task(day(discovery, plan, rng))
    await asyncio.sleep(0.2 * plan.duration)
    discovery.cut()
    await asyncio.sleep(0.3 * plan.duration)
    discovery.back()
    await churn


COURSES: dict[str, Course] = {"day": day, "zone": zone, "back": back}
