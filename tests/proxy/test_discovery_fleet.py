"""Many proxies that poll one discovery, on a simulated clock: changes in time, and no crowd of calls."""

from __future__ import annotations

import pytest

from tests.support.discovery_model import NEVER_S, Call, Poller, make_pollers

GRACE_S = 0.25  # how long after a drain counts as notified a request may still be forwarded
SEEDS = range(5)

# How long after it was made a change counts as notified, whatever happened to the calls.
CHANGE_DUE_S = 6.0

# How long after the wait of a silent watch the changes that it missed count as notified.
DUE_AFTER_WAIT_S = 2.0


def open_watch(poller: Poller) -> Call:
    """Return the watch call that a poller has in flight."""
    assert poller.call is not None
    return poller.call


def lateness_s(poller: Poller, version: int, due_s: float) -> float:
    """Return how much later than due a poller learned of a version."""
    return poller.learned_at_s.get(version, NEVER_S) - due_s


@pytest.mark.parametrize("count", [4, 30, 200])
@pytest.mark.parametrize("calls_per_s_and_poller", [0.0, 5.0])
def test_changes_missed_by_silent_watches_are_learned_in_time_from_a_discovery_that_refuses_at_first(
    count: int, calls_per_s_and_poller: float
) -> None:
    # Guards against a drain that is learned seconds late: all watches fall silent, and discovery refuses
    # calls for half a second when all proxies call again.
    for seed in SEEDS:
        clock, discovery, pollers = make_pollers(count, seed, calls_per_s=calls_per_s_and_poller * count)
        clock.run_until(4.0)
        discovery.change()  # from now on, all watches begin at the same time
        clock.run_until(6.0)
        discovery.silence_open_watches()
        due_s = {poller: open_watch(poller).wait_ends_at_s + DUE_AFTER_WAIT_S for poller in pollers}
        clock.run_until(7.0)
        discovery.change()
        discovery.refuses_from_s = min(due_s.values()) - 1.0
        discovery.refuses_until_s = discovery.refuses_from_s + 0.5
        clock.run_until(30.0)
        version = discovery.version
        assert max(lateness_s(poller, version, due_s[poller]) for poller in pollers) <= GRACE_S
        assert discovery.refused_calls <= 6 * count


@pytest.mark.parametrize("count", [4, 30, 200])
@pytest.mark.parametrize("changed_at_s", [3.0, 9.0, 12.0, 14.5, 17.0])
def test_a_change_is_learned_in_time_from_a_discovery_that_takes_up_each_call_seconds_late(
    count: int, changed_at_s: float
) -> None:
    # Guards against calls that are always given up before their response: no change was ever learned.
    for seed in SEEDS:
        clock, discovery, pollers = make_pollers(count, seed, delay_s=3.2)
        clock.run_until(changed_at_s)
        discovery.change()
        clock.run_until(40.0)
        due_s = changed_at_s + CHANGE_DUE_S
        assert max(lateness_s(poller, discovery.version, due_s) for poller in pollers) <= GRACE_S


@pytest.mark.parametrize("calls_per_s", [3.5, 4.6, 5.7])
def test_all_proxies_learn_a_change_from_a_discovery_with_too_many_callers(calls_per_s: float) -> None:
    # Guards against a queue of calls that were given up: discovery has less than a call in five seconds for
    # each of the proxies, whose watches all end at the same time. Some proxies never learned the change.
    for seed in SEEDS:
        clock, discovery, pollers = make_pollers(30, seed, calls_per_s=calls_per_s)
        clock.run_until(4.0)
        discovery.change()
        clock.run_until(14.0)
        discovery.silence_open_watches()
        discovery.change()
        clock.run_until(44.0)
        assert all(poller.version == discovery.version for poller in pollers)
