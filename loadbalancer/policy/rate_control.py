"""The adaptive rate of the proxy and its max-min fair shares.

Types of the interface: loadbalancer/messages.py.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection

from loadbalancer.policy.throttle import INITIAL_RATE, Throttle
from loadbalancer.units import SECOND

FEEDBACK_NS = SECOND // 2
TOLERATED = 0.1  # share of bad outcomes that says nothing
DEEPEST_CUT = 0.3  # of R in one feedback interval
CLIMB, RETURN = 1.1, 1.5  # R's rise in an interval, and while it is well under what failed last
WELL_UNDER = 0.8
SICK_PART = 0.5  # the worse half of the upstreams may fail without R being judged
MIN_OUTCOMES = 8  # outcomes before a figure is believed


class RateController:
    """The proxy's rate R, learned from how attempts end, and its division among the tenants.

    What a silent tenant leaves is all lent, so only those that send need be gone through; `weight` is that of
    all, 0 where they are all here."""

    def __init__(self, throttles: Collection[Throttle], now: int, weight: float = 0.0) -> None:
        self.throttles, self.weight = throttles, weight
        self.borrowed_rate = INITIAL_RATE  # what one that asks for nothing could have
        self.rate = INITIAL_RATE
        self.failed_rate = 0.0  # the rate at which too many failed, fading with each cut
        self.interval_start_ns = now
        self.attempt_rate = 0.0  # attempts ended a second
        self.success_rate = INITIAL_RATE  # and those of them in time
        self.successes = 0
        self.expired_in_queue = 0  # requests that no upstream had room for in time
        self.failures: Counter[int] = Counter()  # by upstream
        self.no_arrivals = True  # no request has come in this interval

    def on_arrival(self, now: int) -> None:
        """An interval begins with its first request: the quiet before it, as ahead of a proxy's first
        clients, would thin out what is sent and served a second, and a cut go far below what is served."""
        if self.no_arrivals and not (self.successes or self.expired_in_queue or self.failures):
            self.interval_start_ns = now
        self.no_arrivals = False

    def adjust(self, now: int, width: int, crowded: bool = True) -> None:
        elapsed = now - self.interval_start_ns
        bad = sorted(self.failures.values(), reverse=True)
        total = self.successes + sum(bad) + self.expired_in_queue
        # A proxy with little traffic waits for enough outcomes, but not for ever.
        if elapsed < FEEDBACK_NS or (total < MIN_OUTCOMES and elapsed < 4 * FEEDBACK_NS):
            return
        # The worse half of the upstreams does not count: one sick server is not an overloaded fleet. All but
        # one of a small subset is more than that: a crowded fleet went unseen (incident i430663).
        sick = int(width * SICK_PART)
        self.success_rate = self.successes * SECOND / elapsed
        share = (sum(bad[sick:]) + self.expired_in_queue) / max(
            total, 2 * MIN_OUTCOMES
        )  # one bad of five is chance
        self.attempt_rate = (self.successes + sum(bad)) * SECOND / elapsed
        if share > TOLERATED and crowded:
            # After a shrink R stands far above what is served: come down to that first.
            rate = min(self.rate, 1.2 * self.attempt_rate + 1)
            self.failed_rate = max(0.9 * self.failed_rate, rate)
            self.rate = max(1.0, 0.9 * self.success_rate, rate * (1 - min(DEEPEST_CUT, share - TOLERATED)))
        elif total and any(t.token_missed for t in self.throttles):
            # A short trouble cuts R several times: what it served before must not take ten seconds to reach.
            rise = RETURN if self.rate < WELL_UNDER * self.failed_rate else CLIMB
            self.rate = min(INITIAL_RATE, self.rate * rise + 0.5)
        for t in self.throttles:
            t.demand += 0.5 * (t.arrivals * SECOND / elapsed - t.demand)
            t.arrivals, t.token_missed = 0, False
        self._share_rate(now)
        self.interval_start_ns, self.successes, self.expired_in_queue, self.no_arrivals = now, 0, 0, True
        self.failures.clear()

    def _share_rate(self, now: int) -> None:
        """Fair shares of R by weight; what quiet tenants leave is lent to those who want more."""
        self.weight = self.weight or sum(t.weight for t in self.throttles)
        (lent, self.borrowed_rate), (fair, _) = (
            self._water_fill(self.rate),
            self._water_fill(self.success_rate),
        )
        for i, t in enumerate(self.throttles):
            t.set_rate(max(self.rate_of_idle_tenant(t.weight), lent[i]), now)
            t.over_share = t.demand > 1.1 * fair[i]  # it asks more than its share of what is served

    def rate_of_idle_tenant(self, weight: float) -> float:
        """The rate of a tenant of this weight that asks for nothing."""
        return max(0.05, self.rate * weight / self.weight, self.borrowed_rate)

    def _water_fill(self, left: float) -> tuple[list[float], float]:
        """Who may have what by need and weight, with all that is left, and what is left."""
        shares, weights = [0.0] * len(self.throttles), sum(t.weight for t in self.throttles)
        for i, t in sorted(enumerate(self.throttles), key=lambda it: (it[1].demand / it[1].weight, it[0])):
            shares[i] = min(t.demand, left * t.weight / weights)
            left, weights = max(0.0, left - shares[i]), max(1e-9, weights - t.weight)
        return [share + left for share in shares], left
