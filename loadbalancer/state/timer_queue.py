"""The timers of one proxy, by due time, and the one wake-up that its caller keeps for them."""

from __future__ import annotations

import heapq
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from loadbalancer.messages import SetTimer

if TYPE_CHECKING:
    from loadbalancer.state.request import Request


@dataclass(slots=True, eq=False)
class GiveUp:
    """A request that still waits then is rejected."""

    request: Request


@dataclass(slots=True, eq=False)
class AttemptOverdue:
    """An attempt should have ended by then."""

    request: Request
    attempt_number: int


@dataclass(slots=True, eq=False)
class TokenDue:
    """The throttle of a tenant has its next token then."""

    tenant: str


@dataclass(slots=True, eq=False)
class ServeQueue:
    """The queues are served then, as after each batch of events: an endpoint may be available again."""


@dataclass(slots=True, eq=False)
class PollDiscovery:
    """Discovery is asked for the endpoint list then."""


Timer = GiveUp | AttemptOverdue | TokenDue | ServeQueue | PollDiscovery


NEVER_NS = sys.maxsize  # later than any clock


class TimerQueue:
    """A heap of timers. Those due at the same time come in the order in which they were scheduled."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer]] = []  # due time, sequence number, timer
        self._last_sequence_number = 0
        self.first_due_ns = NEVER_NS  # when the first timer is due
        self._wake_up_ns = 0  # when the wake-up that counts is due; 0: none is set
        self._wake_up_number = 0
        self.wake_up_name = "0"  # of the wake-up that counts; earlier ones are out of date

    def __len__(self) -> int:
        return len(self._heap)

    def __iter__(self) -> Iterator[tuple[int, Timer]]:
        """Go through all timers with their due times, in no particular order."""
        return ((due_ns, timer) for due_ns, _, timer in self._heap)

    def schedule(self, due_ns: int, timer: Timer) -> None:
        """Add a timer."""
        self._last_sequence_number += 1
        heapq.heappush(self._heap, (due_ns, self._last_sequence_number, timer))
        self.first_due_ns = self._heap[0][0]

    def pop(self) -> Timer:
        """Remove and return the first timer; IndexError if there is none."""
        timer = heapq.heappop(self._heap)[2]
        self.first_due_ns = self._heap[0][0] if self._heap else NEVER_NS
        return timer

    def on_wake_up(self, name: str) -> None:
        """Note that a wake-up has come: by its name, not the clock, for it may come a little early."""
        if name == self.wake_up_name:
            self._wake_up_ns = 0

    def next_wake_up(self, now_ns: int) -> SetTimer | None:
        """Return the wake-up to set, if the first timer is due before the one that is set."""
        first_due_ns = self.first_due_ns
        if first_due_ns >= (self._wake_up_ns or NEVER_NS):
            return None
        self._wake_up_ns = first_due_ns
        self._wake_up_number += 1
        self.wake_up_name = str(self._wake_up_number)
        return SetTimer(max(1, first_due_ns - now_ns), self.wake_up_name)
