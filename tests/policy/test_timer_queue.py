"""The order of timers, and the single wake-up that is set for all of them."""

from __future__ import annotations

from loadbalancer.messages import SetTimer
from loadbalancer.policy.timers import PollDiscovery, ServeQueue, Timer
from loadbalancer.state.timer_queue import NEVER_NS, SEARCHED_LENGTH_MIN, TimerQueue
from tests.support.policy_harness import NANOSECONDS_PER_SECOND, PolicyHarness, arrival


def test_timers_are_popped_by_due_time_then_in_order_of_scheduling() -> None:
    queue = TimerQueue[Timer]()
    later, first, second = ServeQueue(), ServeQueue(), PollDiscovery()
    queue.schedule(20, later)
    queue.schedule(10, first)
    queue.schedule(10, second)
    assert queue.first_due_ns == 10
    assert [queue.pop(), queue.pop(), queue.pop()] == [first, second, later]
    assert len(queue) == 0
    assert queue.first_due_ns == NEVER_NS


def test_a_timer_due_when_scheduled_is_popped_in_the_same_pass() -> None:
    queue = TimerQueue[Timer]()
    first, second = ServeQueue(), ServeQueue()
    queue.schedule(10, first)
    popped = []
    while queue.first_due_ns <= 10:
        popped.append(queue.pop())
        if popped[-1] is first:
            queue.schedule(5, second)
    assert popped == [first, second]


def test_another_wake_up_is_set_only_for_an_earlier_timer() -> None:
    queue = TimerQueue[Timer]()
    assert queue.set_wake_up(0) is None
    queue.schedule(20, ServeQueue())
    assert queue.set_wake_up(0) == SetTimer(20, "1")
    queue.schedule(30, ServeQueue())
    assert queue.set_wake_up(0) is None
    queue.schedule(10, ServeQueue())
    assert queue.set_wake_up(0) == SetTimer(10, "2")


def test_a_wake_up_that_was_replaced_is_ignored() -> None:
    queue = TimerQueue[Timer]()
    queue.schedule(20, ServeQueue())
    queue.set_wake_up(0)
    queue.schedule(10, ServeQueue())
    queue.set_wake_up(0)
    queue.on_wake_up("1")
    assert queue.set_wake_up(9) is None
    queue.on_wake_up("2")  # fires slightly early
    assert queue.set_wake_up(9) == SetTimer(1, "3")


class Expiring:
    """A timer that a test makes obsolete."""

    def __init__(self) -> None:
        self.obsolete = False


def test_obsolete_timers_are_removed_and_the_others_keep_their_order() -> None:
    queue = TimerQueue[Expiring]()
    timers = [Expiring() for _ in range(3 * SEARCHED_LENGTH_MIN)]
    kept = []
    for number, timer in enumerate(timers):
        queue.schedule(1000 - number % 7, timer)
        timer.obsolete = number % 100 != 0
        if not timer.obsolete:
            kept.append((1000 - number % 7, number, timer))
    assert len(queue) < SEARCHED_LENGTH_MIN + len(kept) + 1
    popped = []
    while len(queue):
        timer = queue.pop()
        if not timer.obsolete:
            popped.append(timer)
    assert popped == [timer for _, _, timer in sorted(kept, key=lambda entry: entry[:2])]


def test_timers_of_finished_requests_with_long_deadlines_do_not_accumulate() -> None:
    # Guards against memory that grows without end: a client sends requests at full speed whose deadlines are
    # ten minutes away, and their queue deadlines held them for minutes after their response.
    harness = PolicyHarness()
    for number in range(4 * SEARCHED_LENGTH_MIN):
        harness.deliver(arrival(number, harness.now_ns, wait_ns=600 * NANOSECONDS_PER_SECOND))
        for request, attempt in harness.attempts_in_flight():
            harness.finish(request, number=attempt)
        harness.now_ns += NANOSECONDS_PER_SECOND // 100
    assert len(harness.balancer.timers) <= 2 * SEARCHED_LENGTH_MIN
