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
BACKOFF_MIN_DIVISOR = 3
BACKOFF_AFTER_WATCH_TIMEOUT_MAX_NS = 200 * NANOSECONDS_PER_MILLISECOND
FIRST_BACKOFF_JITTER_MIN = 0.1
BACKOFF_JITTER_MIN = 0.67
BACKOFF_JITTER_MAX = 1.0


class DiscoveryRetry:
    """Jittered backoff of the calls to discovery, so that many proxies don't call it at the same time.

    The duration of a failed call is part of the backoff: discovery may have become available since the call
    was made, and the next call must not be late. This does not apply to a call that lasted BACKOFF_MAX_NS or
    longer, which was a watch that discovery held open. The wide jitter of the first backoff spreads the
    proxies whose watches ended together. Updates that a silent watch missed must be known within one second
    of the watch timeout: the next call is made at once and, if it fails, the one after that soon.
    """

    def __init__(self, settings: Settings, timers: TimerQueue[Timer], rng: random.Random) -> None:
        self.timers = timers
        self.rng = rng
        self.poll_interval_ns = settings.rules.poll_interval_ns
        self.discovery_pushes = settings.discovery_pushes
        self.call_in_flight = settings.discovery_pushes
        self.watch_timed_out = False  # a watch has timed out since the last failed call
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
        failed_after_watch_timeout = failed and self.watch_timed_out
        self.call_in_flight = False
        self.watch_timed_out = not failed
        jitter_min = BACKOFF_JITTER_MIN if self.consecutive_failures else FIRST_BACKOFF_JITTER_MIN
        jitter = self.rng.uniform(jitter_min, BACKOFF_JITTER_MAX)
        if not failed:
            return 0
        self.consecutive_failures += 1
        backoff_ns = self._backoff_max_ns(now_ns) * jitter
        if failed_after_watch_timeout:
            backoff_ns = min(backoff_ns, BACKOFF_AFTER_WATCH_TIMEOUT_MAX_NS * self.rng.random())
        return int(backoff_ns)

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

    def start_call(self, now_ns: int) -> bool:
        """Return whether to make a call that is due, and record it; False while another is in flight."""
        if self.call_in_flight:
            return False
        self.call_in_flight = True
        self.called_ns = now_ns
        return True
