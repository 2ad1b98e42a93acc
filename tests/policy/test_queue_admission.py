"""Admission of requests to a blocked queue, and delay by the throttle."""

from __future__ import annotations

import pytest

from loadbalancer.policy.queue_admission import has_queue_capacity, was_delayed_by_throttle
from tests.support.policy_harness import NANOSECONDS_PER_MILLISECOND, START_NS
from tests.support.requests import make_request


@pytest.mark.parametrize(
    ("queue_length", "exceeds_fair_share", "admitted"),
    [(10, False, True), (11, False, False), (2, True, True), (3, True, False)],
)
def test_requests_ahead_must_be_served_within_a_fraction_of_the_wait(
    queue_length: int, exceeds_fair_share: bool, admitted: bool
) -> None:
    # At 100 requests per second, 20 are served in 200 ms. Half of these may be ahead of a request, or a tenth
    # if its tenant exceeds its fair share.
    wait_max_ns = 200 * NANOSECONDS_PER_MILLISECOND
    capacity = has_queue_capacity(
        queue_length, wait_max_ns, success_rate=100.0, exceeds_fair_share=exceeds_fair_share
    )
    assert capacity is admitted


def test_an_empty_queue_accepts_a_request_even_if_nothing_is_served() -> None:
    assert has_queue_capacity(0, NANOSECONDS_PER_MILLISECOND, success_rate=0.0, exceeds_fair_share=True)


@pytest.mark.parametrize(("waited_ms", "delayed"), [(0, False), (150, False), (151, True)])
def test_a_request_is_delayed_by_its_throttle_after_half_its_objective(waited_ms: int, delayed: bool) -> None:
    request = make_request()  # with an objective of 300 ms
    assert was_delayed_by_throttle(request, START_NS + waited_ms * NANOSECONDS_PER_MILLISECOND) is delayed
