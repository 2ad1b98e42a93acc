"""Backoff of calls to discovery (interface types: loadbalancer/messages.py)."""

import random

from loadbalancer.messages import EndpointUpdateKind
from loadbalancer.policy.timers import PollDiscovery, Timer
from loadbalancer.settings import Settings
from loadbalancer.state.timer_queue import TimerQueue
from loadbalancer.units import NANOSECONDS_PER_MILLISECOND

FIRST_POLL_SPREAD_FRACTION = 0.25
# Changes that a failed call missed must be known within 6 seconds.
BACKOFF_MAX_NS = 4500 * NANOSECONDS_PER_MILLISECOND
BACKOFF_MAX_POLL_INTERVAL_FRACTION = 0.8
BACKOFF_MIN_DIVISOR = 4.5
# The changes that a silent watch missed count as notified this long after its timeout.
CHANGES_DUE_AFTER_WATCH_TIMEOUT_NS = 1000 * NANOSECONDS_PER_MILLISECOND
# Until then the backoff is short: at first up to the initial maximum, then doubled up to the other one.
INITIAL_SHORT_BACKOFF_MAX_NS = 200 * NANOSECONDS_PER_MILLISECOND
SHORT_BACKOFF_MAX_NS = 400 * NANOSECONDS_PER_MILLISECOND
SHORT_BACKOFF_JITTER_MIN = 0.5
# With less time left, another call would hardly bring the changes in time.
SHORT_BACKOFF_MIN_TIME_LEFT_NS = 100 * NANOSECONDS_PER_MILLISECOND
FIRST_BACKOFF_JITTER_MIN = 0.1
BACKOFF_JITTER_MIN = 0.67
BACKOFF_JITTER_MAX = 1.0


class DiscoveryRetry:
    """Jittered backoff of the calls to discovery, so that many proxies don't call it at the same time.

    The duration of a failed call is part of the backoff: discovery may have become available since the call
    was made, and the next call must not be late. This does not apply to a call that lasted BACKOFF_MAX_NS or
    longer, which was a watch that discovery held open. The wide jitter of the first backoff spreads the
    proxies whose watches ended together. Updates that a silent watch missed must be known within one second
    of the watch timeout: the next call is made at once and, as long as calls fail in that second, each
    further one after a short backoff. A call that discovery refuses only after seconds is followed by the
    usual backoff, so a discovery that works off a queue of calls gets no more of them.
    """

    def __init__(self, settings: Settings, timers: TimerQueue[Timer], rng: random.Random) -> None:
        self.timers = timers
        self.rng = rng
        self.poll_interval_ns = settings.rules.poll_interval_ns
        self.discovery_pushes = settings.discovery_pushes
        self.call_in_flight = settings.discovery_pushes
        self.missed_changes_due_ns = 0  # when changes that a silent watch missed count as notified
        self.short_backoff_max_ns = INITIAL_SHORT_BACKOFF_MAX_NS
        self.consecutive_failures = 0
        self.called_ns = 0

    def schedule_first_poll(self, now_ns: int) -> None:
        """Set the timer for the first call, with a random delay that spreads proxies that start together.

        Where discovery pushes, the first call needs no timer.
        """
        if not self.discovery_pushes:
            delay_ns = int(self.rng.random() * self.poll_interval_ns * FIRST_POLL_SPREAD_FRACTION)
            self.timers.schedule(now_ns + delay_ns, PollDiscovery())

    def schedule_poll_after(self, kind: EndpointUpdateKind, now_ns: int) -> None:
        """Set the timer for the next call, after one that failed or a watch that timed out."""
        self.timers.schedule(now_ns + self._end_call(kind, now_ns), PollDiscovery())

    def _end_call(self, kind: EndpointUpdateKind, now_ns: int) -> int:
        """Record the end of a call; return the jittered backoff, or 0 after a watch timeout."""
        failed = kind is EndpointUpdateKind.FAILED
        self.call_in_flight = False
        jitter_min = BACKOFF_JITTER_MIN if self.consecutive_failures else FIRST_BACKOFF_JITTER_MIN
        jitter = self.rng.uniform(jitter_min, BACKOFF_JITTER_MAX)
        if not failed:
            self.missed_changes_due_ns = now_ns + CHANGES_DUE_AFTER_WATCH_TIMEOUT_NS
            self.short_backoff_max_ns = INITIAL_SHORT_BACKOFF_MAX_NS
            return 0
        self.consecutive_failures += 1
        backoff_ns = self._backoff_max_ns(now_ns) * jitter
        time_left_ns = self.missed_changes_due_ns - now_ns
        if time_left_ns >= SHORT_BACKOFF_MIN_TIME_LEFT_NS:
            backoff_ns = min(backoff_ns, self._short_backoff_ns(time_left_ns))
        return int(backoff_ns)

    def _short_backoff_ns(self, time_left_ns: int) -> float:
        """Return the jittered backoff while changes that a silent watch missed are not yet due."""
        is_first = self.short_backoff_max_ns == INITIAL_SHORT_BACKOFF_MAX_NS
        jitter_min = 0.0 if is_first else SHORT_BACKOFF_JITTER_MIN
        backoff_max_ns = min(self.short_backoff_max_ns, time_left_ns)
        self.short_backoff_max_ns = min(SHORT_BACKOFF_MAX_NS, 2 * self.short_backoff_max_ns)
        return backoff_max_ns * self.rng.uniform(jitter_min, BACKOFF_JITTER_MAX)

    def _backoff_max_ns(self, now_ns: int) -> float:
        """Return the backoff before jitter; it is shorter after a long call that was not a held watch."""
        backoff_max_ns = min(BACKOFF_MAX_NS, self.poll_interval_ns * BACKOFF_MAX_POLL_INTERVAL_FRACTION)
        call_duration_ns = now_ns - self.called_ns
        if call_duration_ns >= BACKOFF_MAX_NS:
            return backoff_max_ns
        return max(backoff_max_ns / BACKOFF_MIN_DIVISOR, backoff_max_ns - call_duration_ns)

    def record_list(self, kind: EndpointUpdateKind) -> None:
        """Reset the backoff; a list stored before a restart does not show that discovery is available."""
        if kind is not EndpointUpdateKind.CACHED:
            self.consecutive_failures = 0
            self.missed_changes_due_ns = 0

    def start_call(self, now_ns: int) -> bool:
        """Return whether to make a call that is due, and record it; False while another is in flight."""
        if self.call_in_flight:
            return False
        self.call_in_flight = True
        self.called_ns = now_ns
        return True
