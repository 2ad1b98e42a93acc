"""Timers of one proxy, ordered by due time, and the single wake-up that the caller sets for them."""

from __future__ import annotations

import heapq
import sys
from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar

from loadbalancer.messages import SetTimer

NEVER_NS = sys.maxsize  # later than any time
WAKE_UP_DELAY_MIN_NS = 1

# A shorter queue is not searched for obsolete timers.
SEARCHED_LENGTH_MIN = 512


class Obsolescent(Protocol):
    """A timer that may become obsolete before it is due."""

    @property
    def obsolete(self) -> bool:
        """Whether nothing would happen if the timer expired, now or later."""


TimerT = TypeVar("TimerT", bound=Obsolescent)


class TimerQueue(Generic[TimerT]):
    """A heap of timers; those due at the same time are returned in the order in which they were scheduled.

    The caller sets one wake-up for all timers. Each wake-up is named by the next higher number, and only the
    last one set is valid: it replaces the earlier ones.

    Obsolete timers are removed whenever the queue has doubled since the last time: a timer that is due in
    minutes must not hold a request that has ended until then.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, TimerT]] = []  # due time, sequence number, timer
        self._last_sequence_number = 0
        self._searched_length = SEARCHED_LENGTH_MIN  # at which obsolete timers are removed
        self.first_due_ns = NEVER_NS  # when the first timer is due
        self._wake_up_due_ns = 0  # when the current wake-up is due; 0: none is set
        self._wake_up_number = 0
        self.wake_up_name = "0"  # name of the last wake-up set

    def __len__(self) -> int:
        return len(self._heap)

    def __iter__(self) -> Iterator[tuple[int, TimerT]]:
        """Iterate over all timers with their due times, in no particular order."""
        return ((due_ns, timer) for due_ns, _, timer in self._heap)

    def schedule(self, due_ns: int, timer: TimerT) -> None:
        """Add a timer."""
        if len(self._heap) >= self._searched_length:
            self._remove_obsolete()
        self._last_sequence_number += 1
        heapq.heappush(self._heap, (due_ns, self._last_sequence_number, timer))
        self.first_due_ns = self._heap[0][0]

    def _remove_obsolete(self) -> None:
        self._heap = [entry for entry in self._heap if not entry[2].obsolete]
        heapq.heapify(self._heap)
        self._searched_length = max(SEARCHED_LENGTH_MIN, 2 * len(self._heap))

    def pop(self) -> TimerT:
        """Remove and return the first timer.

        Raises:
            IndexError: There is no timer.
        """
        _, _, timer = heapq.heappop(self._heap)
        self.first_due_ns = self._heap[0][0] if self._heap else NEVER_NS
        return timer

    def on_wake_up(self, name: str) -> None:
        """Record that a wake-up has fired; one that was replaced is ignored.

        Its name decides, not the current time, because a wake-up may fire slightly early.
        """
        if name == self.wake_up_name:
            self._wake_up_due_ns = 0

    def set_wake_up(self, now_ns: int) -> SetTimer | None:
        """Record and return the next wake-up; None if there is no timer or the current one is in time."""
        first_due_ns = self.first_due_ns
        if first_due_ns >= (self._wake_up_due_ns or NEVER_NS):
            return None
        self._wake_up_due_ns = first_due_ns
        self._wake_up_number += 1
        self.wake_up_name = str(self._wake_up_number)
        return SetTimer(max(WAKE_UP_DELAY_MIN_NS, first_due_ns - now_ns), self.wake_up_name)
