"""Ejection of endpoints that fail."""

from __future__ import annotations

from tests.support.policy_harness import NANOSECONDS_PER_MILLISECOND, PolicyHarness, arrival


def test_attempts_that_time_out_together_are_not_all_counted_as_failures() -> None:
    # A short pause of an endpoint must not cause an ejection of seconds.
    harness = PolicyHarness(endpoint_count=1)
    for i in range(6):
        harness.deliver(arrival(i, harness.now_ns, wait_ns=100 * NANOSECONDS_PER_MILLISECOND))
    harness.advance(150 * NANOSECONDS_PER_MILLISECOND)
    state = harness.balancer.fleet.endpoints[1]
    assert state.consecutive_failures <= 2


def outliers_after_resets(resets: dict[int, int]) -> set[int]:
    """Return the endpoints whose last reset is attributed to them.

    Before these resets in a row, 20 attempts at each endpoint have ended without a reset.
    """
    harness = PolicyHarness(endpoint_count=4)
    endpoints = harness.balancer.fleet.endpoints
    outlier_detection = harness.balancer.outlier_detection
    for state in endpoints.values():
        for _ in range(20):
            outlier_detection.record_attempt_end(state, was_reset=False)
    outliers = set()
    for endpoint_id, count in resets.items():
        attributed = [
            outlier_detection.record_attempt_end(endpoints[endpoint_id], was_reset=True) for _ in range(count)
        ]
        if attributed[-1]:
            outliers.add(endpoint_id)
    return outliers


def test_reset_is_attributed_to_an_endpoint_that_differs_from_the_others() -> None:
    # If no other endpoint resets connections, one reset is enough.
    assert outliers_after_resets({1: 1}) == {1}
    # If all others do, one reset is not attributed to the endpoint.
    assert outliers_after_resets({2: 9, 3: 9, 4: 9, 1: 1}) == {2, 3, 4}
    # Six resets in a row are attributed to the endpoint, whatever the others do.
    assert outliers_after_resets({2: 9, 3: 9, 4: 9, 1: 6}) == {1, 2, 3, 4}
