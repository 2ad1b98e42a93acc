"""Expected duration, timeout and overdue time of an attempt."""

from __future__ import annotations

import dataclasses

from loadbalancer.policy.attempt_timing import attempt_timeout_ns, expected_duration_ns, overdue_after_ns
from loadbalancer.policy.latency_model import LatencyModel
from tests.support.policy_harness import NANOSECONDS_PER_MILLISECOND, READ, START_NS
from tests.support.requests import make_request, make_state


def test_expected_duration_is_scaled_by_the_relative_latency() -> None:
    state = make_state()
    state.relative_latency = 1.5
    # Before any sample the cost hint is the expected duration.
    request = make_request(cost_hint_ns=40 * NANOSECONDS_PER_MILLISECOND)
    expected_ns = expected_duration_ns(request, state, LatencyModel(READ.latency_objective_ns))
    assert expected_ns == 60 * NANOSECONDS_PER_MILLISECOND


def test_attempt_times_out_at_objective_if_late_response_has_no_value() -> None:
    now_ns = START_NS + 100 * NANOSECONDS_PER_MILLISECOND
    assert attempt_timeout_ns(make_request(), now_ns) == 200 * NANOSECONDS_PER_MILLISECOND
    assert attempt_timeout_ns(make_request(), now_ns + READ.latency_objective_ns) == 1


def test_attempt_has_no_timeout_if_late_response_has_value_or_is_streamed() -> None:
    for changes in ({"late_weight_factor": 0.2}, {"stream": True}):
        request_class = dataclasses.replace(READ, **changes)
        assert attempt_timeout_ns(make_request(request_class), START_NS) == 0


def test_attempt_is_overdue_beyond_expectation_and_three_deviations() -> None:
    assert overdue_after_ns(1000.0, deviation=0.0) == 1300
    assert overdue_after_ns(1000.0, deviation=0.5) == 2800
