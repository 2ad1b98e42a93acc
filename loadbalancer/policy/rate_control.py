"""The proxy's adaptive rate, and the tenants' rates made of it (types: loadbalancer/messages.py).

What bounds a tenant's rate: the proxy has one rate R, in requests a second. It falls when more than a tenth
of the outcomes of a feedback interval (half a second; longer with little traffic) are failures that point to
overload, and rises when a throttle had no token for a request and failures were few. `fair_shares` divides R
among the tenants that send, by demand and weight; each may also borrow all that the others leave unused. A
tenant's throttle admits requests at that rate, or at the tenant's part of R by weight if that is more.
"""

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field

from loadbalancer.policy.fair_shares import divide_rate
from loadbalancer.policy.throttle import INITIAL_RATE_PER_S, RATE_MAX_PER_S, Throttle
from loadbalancer.units import NANOSECONDS_PER_SECOND

FEEDBACK_INTERVAL_NS = NANOSECONDS_PER_SECOND // 2
FEEDBACK_INTERVAL_MAX_NS = 4 * FEEDBACK_INTERVAL_NS
OUTCOMES_MIN = 8
FAILED_FRACTION_OUTCOMES_MIN = 2 * OUTCOMES_MIN
TOLERATED_FAILED_FRACTION = 0.1
IGNORED_ENDPOINTS_FRACTION = 0.5

DECREASE_MAX_FRACTION = 0.3
DECREASE_START_ATTEMPT_RATE_FACTOR = 1.2
DECREASE_START_MARGIN_PER_S = 1
SUCCESS_RATE_FLOOR_FACTOR = 0.9
FAILED_RATE_DECAY = 0.9
RATE_MIN_PER_S = 1.0

INCREASE_FACTOR = 1.1
INCREASE_STEP_PER_S = 0.5
RECOVERY_INCREASE_FACTOR = 1.5
RECOVERY_FAILED_RATE_FACTOR = 0.8

TENANT_RATE_MIN_PER_S = 0.05


@dataclass(slots=True)
class FeedbackInterval:
    """The outcomes of requests and attempts in one feedback interval."""

    start_ns: int
    has_begun: bool = False  # by its first request or outcome
    successes: int = 0  # attempts that say nothing against the rate
    expired_in_queue: int = 0  # requests that no endpoint had capacity for in time
    failures: Counter[int] = field(default_factory=Counter)  # attempts, by endpoint id

    @property
    def attempts(self) -> int:
        """How many attempts ended."""
        return self.successes + self.failures.total()

    @property
    def outcomes(self) -> int:
        """How many attempts ended and requests expired in the queue."""
        return self.attempts + self.expired_in_queue


class RateController:
    """Learns the proxy's rate from how attempts end, and sets the tenants' rates.

    All rates are in requests a second. `total_weight` is that of all configured tenants, sending or not.
    """

    def __init__(self, total_weight: float, now_ns: int) -> None:
        self.total_weight = total_weight
        self.rate = INITIAL_RATE_PER_S
        self.unused_rate = INITIAL_RATE_PER_S  # what the tenants' demand leaves of it
        self.failed_rate = 0.0  # the rate at which too many attempts failed, decaying with each decrease
        self.attempt_rate = 0.0  # attempts that ended, in the last interval
        self.success_rate = INITIAL_RATE_PER_S  # attempts that succeeded, in the last interval
        self.interval = FeedbackInterval(now_ns)

    def record_arrival(self, now_ns: int) -> None:
        """Begin the interval with its first request.

        Idle time before it, as ahead of a proxy's first clients, would lower the measured rates, and a
        decrease would go far below what is served.
        """
        if not self.interval.has_begun:
            self.interval.start_ns = now_ns
            self.interval.has_begun = True

    def record_success(self) -> None:
        """Count an attempt that says nothing against the rate."""
        self.interval.has_begun = True
        self.interval.successes += 1

    def record_failure(self, endpoint_id: int) -> None:
        """Count an attempt that failed or ended late at an endpoint."""
        self.interval.has_begun = True
        self.interval.failures[endpoint_id] += 1

    def record_late_not_attributed(self) -> None:
        """Record an attempt that ended late, but not for its endpoint: it begins the interval, uncounted."""
        self.interval.has_begun = True

    def record_queue_expiry(self) -> None:
        """Count a request that no endpoint had capacity for in time."""
        self.interval.has_begun = True
        self.interval.expired_in_queue += 1

    def adjust(
        self, throttles: Collection[Throttle], now_ns: int, draw_width: int, *, is_loaded: bool = True
    ) -> None:
        """Set the rate and the tenants' rates by the interval's outcomes, once it is long enough.

        Args:
            throttles: Those of the tenants that send.
            now_ns: The time of the call.
            draw_width: How many endpoints requests are sent to.
            is_loaded: Whether the endpoints have work enough for failures to be a sign of overload.
        """
        elapsed_ns = now_ns - self.interval.start_ns
        if not self._is_long_enough(elapsed_ns):
            return
        self._measure_rates(elapsed_ns)
        failed_fraction = self._failed_fraction(draw_width)
        if failed_fraction > TOLERATED_FAILED_FRACTION and is_loaded:
            self._decrease(failed_fraction)
        elif self.interval.outcomes and any(throttle.has_missed_token for throttle in throttles):
            self._increase()
        for throttle in throttles:
            throttle.end_feedback_interval(elapsed_ns)
        self._set_tenant_rates(throttles, now_ns)
        self.interval = FeedbackInterval(now_ns)

    def _is_long_enough(self, elapsed_ns: int) -> bool:
        """Tell whether enough outcomes have come in, or it has waited for them as long as it may."""
        if elapsed_ns >= FEEDBACK_INTERVAL_MAX_NS:
            return True
        return elapsed_ns >= FEEDBACK_INTERVAL_NS and self.interval.outcomes >= OUTCOMES_MIN

    def _measure_rates(self, elapsed_ns: int) -> None:
        self.success_rate = self.interval.successes * NANOSECONDS_PER_SECOND / elapsed_ns
        self.attempt_rate = self.interval.attempts * NANOSECONDS_PER_SECOND / elapsed_ns

    def _failed_fraction(self, draw_width: int) -> float:
        """Return the fraction of the outcomes that are failures by overload.

        The worse half of the endpoints does not count: one bad endpoint is no overload of the fleet.
        """
        failures_by_endpoint = sorted(self.interval.failures.values(), reverse=True)
        ignored_endpoints = int(draw_width * IGNORED_ENDPOINTS_FRACTION)
        failures = sum(failures_by_endpoint[ignored_endpoints:]) + self.interval.expired_in_queue
        return failures / max(self.interval.outcomes, FAILED_FRACTION_OUTCOMES_MIN)

    def _decrease(self, failed_fraction: float) -> None:
        """Lower the rate by the fraction that failed, from no more than is attempted to what succeeds."""
        attempted_rate = DECREASE_START_ATTEMPT_RATE_FACTOR * self.attempt_rate + DECREASE_START_MARGIN_PER_S
        rate = min(self.rate, attempted_rate)
        self.failed_rate = max(FAILED_RATE_DECAY * self.failed_rate, rate)
        decrease = min(DECREASE_MAX_FRACTION, failed_fraction - TOLERATED_FAILED_FRACTION)
        self.rate = max(RATE_MIN_PER_S, SUCCESS_RATE_FLOOR_FACTOR * self.success_rate, rate * (1 - decrease))

    def _increase(self) -> None:
        """Raise the rate, faster while it recovers to the rate that failed last."""
        factor = RECOVERY_INCREASE_FACTOR if self._is_recovering() else INCREASE_FACTOR
        self.rate = min(RATE_MAX_PER_S, self.rate * factor + INCREASE_STEP_PER_S)

    def _is_recovering(self) -> bool:
        return self.rate < RECOVERY_FAILED_RATE_FACTOR * self.failed_rate

    def _set_tenant_rates(self, throttles: Collection[Throttle], now_ns: int) -> None:
        """Set each tenant's rate, and compare its demand with its fair share of the success rate."""
        offered = divide_rate(self.rate, throttles)
        served = divide_rate(self.success_rate, throttles)
        self.unused_rate = offered.unused_rate
        for throttle, rate, fair_share in zip(throttles, offered.rates, served.rates, strict=True):
            throttle.set_rate(max(self.rate_of_idle_tenant(throttle.weight), rate), now_ns)
            throttle.set_fair_share(fair_share)

    def rate_of_idle_tenant(self, weight: float) -> float:
        """Return the rate of a tenant that sends nothing: its quota, or what the others leave unused."""
        return max(TENANT_RATE_MIN_PER_S, self.rate * weight / self.total_weight, self.unused_rate)
