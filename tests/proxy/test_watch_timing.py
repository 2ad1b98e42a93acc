"""How long a watch call may take."""

from __future__ import annotations

import pytest

from loadbalancer.proxy.discovery_call import TIMEOUT_MARGIN_S
from loadbalancer.proxy.watch_timing import WatchTiming

CHANGE_DUE_S = 6.0

# How long a discovery with many callers lets a call wait before it refuses it.
MAX_QUEUE_TIME_S = 3.0


@pytest.mark.parametrize("pushes", [True, False])
def test_a_response_that_comes_late_from_a_crowded_discovery_is_awaited(pushes: bool) -> None:
    timing = WatchTiming(pushes)
    timeout_s = timing.response_wait_s(2) + TIMEOUT_MARGIN_S
    assert timeout_s > MAX_QUEUE_TIME_S + timing.wait_ms(2) / 1000
    assert timeout_s < CHANGE_DUE_S - 1.0  # the next call must bring what this one missed


def test_two_pushed_watches_that_fall_silent_in_a_row_are_given_up_when_their_changes_are_due() -> None:
    timing = WatchTiming(pushes=True)
    assert sum(timing.response_wait_s(failures) + TIMEOUT_MARGIN_S for failures in (0, 1)) <= CHANGE_DUE_S


@pytest.mark.parametrize("pushes", [True, False])
def test_a_call_after_a_failed_one_is_held_shortly(pushes: bool) -> None:
    timing = WatchTiming(pushes)
    assert timing.wait_ms(1) == timing.wait_ms(9) < timing.wait_ms(0)
