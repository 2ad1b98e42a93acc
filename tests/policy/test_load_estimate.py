"""Load estimates from load reports and from live weights."""

from __future__ import annotations

import pytest

from loadbalancer.messages import AttemptEnded, AttemptResult, EndpointUpdate, EndpointUpdateKind
from loadbalancer.settings import WeightSource
from tests.support.policy_harness import (
    NANOSECONDS_PER_MILLISECOND,
    NANOSECONDS_PER_SECOND,
    PolicyHarness,
    arrival,
    make_endpoints,
    make_settings,
)
from tests.support.rule_checker import RequestOutcome


def live_weights_update(weights: list[float]) -> EndpointUpdate:
    pairs = zip(make_endpoints(len(weights)), weights, strict=True)
    return EndpointUpdate(
        EndpointUpdateKind.DELTA, [endpoint._replace(weight=weight) for endpoint, weight in pairs]
    )


def test_live_weights_direct_requests_to_the_less_loaded_endpoint() -> None:
    # At most one request is in flight, so this proxy's own counts do not show which endpoint has less load.
    harness = PolicyHarness(make_settings(weight_source=WeightSource.LIVE), endpoint_count=2)
    harness.deliver(live_weights_update([1.0, 1.0]), live_weights_update([0.1, 0.5]))
    for i in range(12):
        harness.deliver(arrival(i, harness.now_ns))
        harness.now_ns += NANOSECONDS_PER_MILLISECOND
        harness.finish(f"r{i}")
    assert {endpoint.id for sent in harness.attempts.values() for endpoint, _ in sent} == {2}


def test_old_load_report_is_ignored() -> None:
    harness = PolicyHarness(make_settings(weight_source=WeightSource.LIVE), endpoint_count=1)
    harness.deliver(live_weights_update([1.0]), live_weights_update([0.001]))
    harness.deliver(arrival(1, harness.now_ns))
    assert harness.outcomes["r1"] is RequestOutcome.REJECTED
    harness.advance(4 * NANOSECONDS_PER_SECOND)
    harness.deliver(arrival(2, harness.now_ns))
    assert len(harness.attempts["r2"]) == 1


@pytest.mark.parametrize("load", [-5.0, 1e300, float("nan"), float("inf")])
def test_invalid_load_report_is_ignored(load: float) -> None:
    harness = PolicyHarness(endpoint_count=2)
    for i in range(6):
        harness.deliver(arrival(i, harness.now_ns))
        harness.now_ns += 20 * NANOSECONDS_PER_MILLISECOND
        endpoint = harness.attempts[f"r{i}"][0][0].id
        harness.deliver(
            AttemptEnded(
                f"r{i}",
                0,
                endpoint,
                AttemptResult.OK,
                20 * NANOSECONDS_PER_MILLISECOND,
                True,
                {"inflight": load},
            )
        )
    assert [harness.outcomes[f"r{i}"] for i in range(6)] == [RequestOutcome.SERVED] * 6
