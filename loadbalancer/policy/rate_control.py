"""The proxy's adaptive rate and its max-min fair shares (interface types: loadbalancer/messages.py)."""

from collections import Counter
from collections.abc import Collection
from typing import NamedTuple

from loadbalancer.policy.throttle import INITIAL_RATE, Throttle
from loadbalancer.units import NANOSECONDS_PER_SECOND

FEEDBACK_NS = NANOSECONDS_PER_SECOND // 2  # the feedback interval
FEEDBACK_MAX_NS = 4 * FEEDBACK_NS  # the same where few attempts end
MIN_OUTCOMES = 8  # before a figure is believed
TOLERATED_FAILURES = 0.1  # share of the outcomes that says nothing
DECREASE_MAX = 0.3  # of the rate, in one interval
HEADROOM = 1.2  # of the attempt rate: a decrease begins no higher above it
SUCCESS_FLOOR = 0.9  # of the success rate: a decrease goes no lower
FAILED_RATE_DECAY = 0.9  # of the rate that failed last, with each decrease
INCREASE_FACTOR = 1.1  # of the rate, in one interval
RECOVERY_FACTOR = 1.5  # the same while the rate is well below the one that failed last
RECOVERY_BELOW = 0.8  # of the rate that failed last
IGNORED_ENDPOINTS = 0.5  # the worse half of the endpoints may fail without a decrease
DEMAND_SMOOTHING = 0.5  # weight of the last interval in a tenant's demand
OVER_SHARE_FACTOR = 1.1  # a tenant that asks for more of its share is over it
TENANT_RATE_MIN = 0.05  # requests a second


class Allocation(NamedTuple):
    """A rate as it is divided among the tenants."""

    rates: list[float]  # one for each tenant, with the spare rate on top
    spare: float  # what the demand of all leaves


class RateController:
    """The proxy's rate R, learned from how attempts end, and its division among the tenants.

    What silent tenants leave is all lent, so only those that send are gone through; `weight` is that of all
    tenants, 0 where `throttles` holds them all.
    """

    def __init__(self, throttles: Collection[Throttle], now_ns: int, weight: float = 0.0) -> None:
        self.throttles, self.weight = throttles, weight
        self.rate = INITIAL_RATE  # requests a second, as all rates here
        self.borrowed_rate = INITIAL_RATE  # what a tenant that asks for nothing could have
        self.failed_rate = 0.0  # the rate at which too many failed, fading with each decrease
        self.attempt_rate = 0.0  # attempts that ended
        self.success_rate = INITIAL_RATE  # and those of them in time
        self.interval_start_ns = now_ns
        self.successes = 0  # in this interval, as are the next three
        self.expired_in_queue = 0  # requests that no endpoint had capacity for in time
        self.failures: Counter[int] = Counter()  # by endpoint
        self.no_arrivals = True

    def on_arrival(self, now_ns: int) -> None:
        """Let the interval begin with its first request."""
        # The quiet before it, as ahead of a proxy's first clients, would thin out what is sent and served a
        # second, and a decrease would go far below what is served.
        if self.no_arrivals and not (self.successes or self.expired_in_queue or self.failures):
            self.interval_start_ns = now_ns
        self.no_arrivals = False

    def record_success(self) -> None:
        """Count an attempt that says nothing against the rate."""
        self.successes += 1

    def record_failure(self, endpoint_id: int) -> None:
        """Count an attempt that failed or ended late at an endpoint."""
        self.failures[endpoint_id] += 1

    def record_late_not_attributed(self, endpoint_id: int) -> None:
        """Record an attempt that ended late, but not for its endpoint: it begins the interval, uncounted."""
        self.failures[endpoint_id] += 0

    def record_queue_expiry(self) -> None:
        """Count a request that no endpoint had capacity for in time."""
        self.expired_in_queue += 1

    def adjust(self, now_ns: int, draw_width: int, is_loaded: bool = True) -> None:
        """Set the rate and its shares by the interval's outcomes, once it is long enough.

        `draw_width` endpoints were drawn from; only where the fleet `is_loaded` can failures be its overload.
        """
        elapsed = now_ns - self.interval_start_ns
        attempts = self.successes + self.failures.total()
        outcomes = attempts + self.expired_in_queue
        # A proxy with little traffic waits for enough outcomes, but not for ever.
        if elapsed < FEEDBACK_NS or (outcomes < MIN_OUTCOMES and elapsed < FEEDBACK_MAX_NS):
            return
        self.success_rate = self.successes * NANOSECONDS_PER_SECOND / elapsed
        self.attempt_rate = attempts * NANOSECONDS_PER_SECOND / elapsed
        # One failure of five outcomes is chance.
        failed_share = self._overload_failures(draw_width) / max(outcomes, 2 * MIN_OUTCOMES)
        if failed_share > TOLERATED_FAILURES and is_loaded:
            self._decrease(failed_share)
        elif outcomes and any(t.token_missed for t in self.throttles):
            self._increase()
        self._update_demand(elapsed)
        self._share_rate(now_ns)
        self.interval_start_ns, self.no_arrivals = now_ns, True
        self.successes = self.expired_in_queue = 0
        self.failures.clear()

    def _overload_failures(self, draw_width: int) -> int:
        # The worse half of the endpoints does not count: one bad endpoint is not an overloaded fleet. All but
        # one of a small subset is more than that: an overloaded fleet went unseen (incident i430663).
        by_endpoint = sorted(self.failures.values(), reverse=True)
        return sum(by_endpoint[int(draw_width * IGNORED_ENDPOINTS) :]) + self.expired_in_queue

    def _decrease(self, failed_share: float) -> None:
        # After the fleet shrank the rate is far above what is served: it comes down to that first.
        rate = min(self.rate, HEADROOM * self.attempt_rate + 1)
        self.failed_rate = max(FAILED_RATE_DECAY * self.failed_rate, rate)
        decrease = min(DECREASE_MAX, failed_share - TOLERATED_FAILURES)
        self.rate = max(1.0, SUCCESS_FLOOR * self.success_rate, rate * (1 - decrease))

    def _increase(self) -> None:
        # A short fault cuts the rate several times: what it served before must not take ten seconds to reach.
        recovers = self.rate < RECOVERY_BELOW * self.failed_rate
        self.rate = min(INITIAL_RATE, self.rate * (RECOVERY_FACTOR if recovers else INCREASE_FACTOR) + 0.5)

    def _update_demand(self, elapsed: int) -> None:
        for throttle in self.throttles:
            throttle.demand += DEMAND_SMOOTHING * (
                throttle.arrivals * NANOSECONDS_PER_SECOND / elapsed - throttle.demand
            )
            throttle.arrivals, throttle.token_missed = 0, False

    def _share_rate(self, now_ns: int) -> None:
        """Set the tenants' rates: fair shares by weight, and what others leave lent on top."""
        self.weight = self.weight or sum(t.weight for t in self.throttles)
        offered, served = self._water_fill(self.rate), self._water_fill(self.success_rate)
        self.borrowed_rate = offered.spare
        for throttle, rate, fair_share in zip(self.throttles, offered.rates, served.rates, strict=True):
            throttle.set_rate(max(self.rate_of_idle_tenant(throttle.weight), rate), now_ns)
            throttle.over_share = throttle.demand > OVER_SHARE_FACTOR * fair_share

    def rate_of_idle_tenant(self, weight: float) -> float:
        """Return the rate of a tenant of this weight that asks for nothing."""
        return max(TENANT_RATE_MIN, self.rate * weight / self.weight, self.borrowed_rate)

    def _water_fill(self, spare: float) -> Allocation:
        """Divide a rate max-min fairly by demand and weight, those with the least need first."""
        shares, weights = [0.0] * len(self.throttles), sum(t.weight for t in self.throttles)
        by_need = sorted(enumerate(self.throttles), key=lambda item: item[1].demand / item[1].weight)
        for i, throttle in by_need:
            shares[i] = min(throttle.demand, spare * throttle.weight / weights)
            spare = max(0.0, spare - shares[i])
            weights = max(1e-9, weights - throttle.weight)
        return Allocation([share + spare for share in shares], spare)
