"""When discovery is polled again after a failure (interface types: loadbalancer/messages.py)."""

import random

from loadbalancer.messages import EndpointUpdateKind
from loadbalancer.settings import Settings
from loadbalancer.units import NANOSECONDS_PER_SECOND

CALL_GAP_MAX_NS = (
    9 * NANOSECONDS_PER_SECOND // 2
)  # from a call that fails to the next: what it missed counts as told in 6 s
URGENT_BACKOFF_MAX_NS = (
    NANOSECONDS_PER_SECOND // 5
)  # after a call that fails where the watch before it had timed out
FIRST_JITTER, JITTER = 0.1, 0.67  # least part of the longest backoff: after the first failure, and later


class DiscoveryRetry:
    """Spread and backed-off calls, so that the load on discovery does not grow with the number of proxies.

    But discovery may be back since the call that failed was made (one out for longer was a watch that it held
    open), and the next call has to come in time. The first backoff spreads proxies whose watches ended
    together. Updates that a silent watch missed count as told a second after that is found out: one call is
    made at once, and if it fails, the next one soon.
    """

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.rng = rng
        self.poll_interval_ns = settings.rules.poll_interval_ns
        self.watching = settings.discovery_pushes
        self.watch_timed_out = False  # the last call ended in silence
        self.failures = 0  # since a list came
        self.called_ns = 0

    def first_delay_ns(self) -> int:
        """Return the delay of the first call, spread over the proxies that start together."""
        return int(self.rng.random() * self.poll_interval_ns / 4)

    def delay_after(self, kind: EndpointUpdateKind, now_ns: int) -> int:
        """Return the delay of the next call, after one that failed or a watch that timed out."""
        failed = kind is EndpointUpdateKind.FAILED
        urgent = failed and self.watch_timed_out
        self.watching = False
        self.watch_timed_out = not failed
        jitter = self.rng.uniform(JITTER if self.failures else FIRST_JITTER, 1.0)
        if not failed:
            return 0
        self.failures += 1
        backoff = self._longest_backoff_ns(now_ns) * jitter
        if urgent:
            backoff = min(backoff, URGENT_BACKOFF_MAX_NS * self.rng.random())
        return int(backoff)

    def _longest_backoff_ns(self, now_ns: int) -> float:
        longest = min(CALL_GAP_MAX_NS, self.poll_interval_ns * 0.8)
        call_duration_ns = now_ns - self.called_ns
        if call_duration_ns >= CALL_GAP_MAX_NS:
            return longest
        return max(longest / 3, longest - call_duration_ns)

    def on_list(self, kind: EndpointUpdateKind) -> None:
        """Note that entries came; those cached before a restart say nothing of discovery."""
        if kind is not EndpointUpdateKind.CACHED:
            self.failures = 0

    def start_call(self, now_ns: int) -> bool:
        """Note that a call is due, and tell whether to make it: not where one is out already."""
        if self.watching:
            return False
        self.watching = True
        self.called_ns = now_ns
        return True
