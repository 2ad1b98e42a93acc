"""Random sequences of valid events; the harness checks each action."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from loadbalancer.messages import (
    AttemptResult,
    ClientDisconnected,
    EndpointStatus,
    EndpointUpdate,
    EndpointUpdateKind,
)
from loadbalancer.settings import Limits, Rules
from tests.support.policy_harness import (
    CELL_DEDUPLICATED,
    EAST_ONLY,
    FULLY_DEDUPLICATED,
    LARGE_MACHINES_ONLY,
    NANOSECONDS_PER_MILLISECOND,
    NANOSECONDS_PER_SECOND,
    PAY,
    READ,
    PolicyHarness,
    arrival,
    make_mixed_endpoints,
    make_settings,
)

RESULTS = [AttemptResult.OK] * 6 + [r for r in AttemptResult if r is not AttemptResult.TIMEOUT]


@hypothesis_settings(derandomize=True, deadline=None, max_examples=120)
@given(st.integers(0, 10**6), st.booleans(), st.booleans(), st.integers(1, 9))
def test_random_event_sequences_keep_the_rules(
    seed: int, hedging: bool, push: bool, endpoint_count: int
) -> None:
    rng = random.Random(seed)
    limits = Limits(
        max_attempts=rng.choice([1, 2, 3, 5]),
        hedging=hedging,
        cancellation=rng.random() < 0.7,
        retry_after=True,
        health_checks=True,
        gossip=True,
    )
    rules = Rules(slow_start_ns=4 * NANOSECONDS_PER_SECOND, rejected_may_have_run=rng.random() < 0.5)
    harness = PolicyHarness(
        make_settings(limits=limits, discovery_pushes=push, proxy_count=rng.choice([1, 3, 40]), rules=rules),
        seed,
        0,
    )
    endpoints = make_mixed_endpoints(endpoint_count)
    harness.deliver(EndpointUpdate(EndpointUpdateKind.CACHED, endpoints))
    for number in range(rng.randint(5, 120)):
        for _ in range(rng.choice([0, 1, 1, 2, 12])):
            request_class = rng.choice(
                [READ, PAY, CELL_DEDUPLICATED, FULLY_DEDUPLICATED, EAST_ONLY, LARGE_MACHINES_ONLY]
            )
            request_number = f"{number}-{rng.random()}"
            harness.deliver(
                arrival(
                    request_number,
                    harness.now_ns,
                    request_class,
                    rng.choice(["ash", "birch"]),
                    rng.choice([2, 40, 300, 900]) * NANOSECONDS_PER_MILLISECOND,
                    rng.random() < 0.2,
                )
            )
        for request, attempt in harness.attempts_in_flight():
            if rng.random() < 0.4:
                harness.deliver(harness.attempt_ended(request, attempt, rng.choice(RESULTS)))
        if rng.random() < 0.1:
            unanswered = [r for r in harness.request_classes if r not in harness.outcomes]
            if unanswered:
                harness.deliver(ClientDisconnected(rng.choice(unanswered)))
        if rng.random() < 0.1:
            i = rng.randrange(len(endpoints))
            started = harness.now_ns if rng.random() < 0.5 else endpoints[i].started_ns
            endpoints[i] = endpoints[i]._replace(status=rng.choice(list(EndpointStatus)), started_ns=started)
            kind = rng.choice([EndpointUpdateKind.DELTA, EndpointUpdateKind.FULL, EndpointUpdateKind.CACHED])
            harness.deliver(
                EndpointUpdate(kind, [endpoints[i]] if kind is EndpointUpdateKind.DELTA else endpoints)
            )
        if not push and rng.random() < 0.05:
            harness.deliver(EndpointUpdate(EndpointUpdateKind.FAILED))
        harness.advance(rng.choice([0, 1, 10, 50]) * NANOSECONDS_PER_MILLISECOND)
    harness.advance(2 * NANOSECONDS_PER_SECOND)
    assert set(harness.outcomes) == set(harness.request_classes)
