"""The proxy's adaptive rate, and the tenants' rates made of it (types: loadbalancer/messages.py).

What bounds a tenant's rate: the proxy has one rate R, in requests a second. It falls when more than a tenth
of the outcomes of a rate interval (0.5 s, with little traffic up to 2 s) are failures that point to
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
RATE_INTERVAL_MAX_NS = 4 * FEEDBACK_INTERVAL_NS
OUTCOMES_MIN = 8
FAILED_FRACTION_OUTCOMES_MIN = 2 * OUTCOMES_MIN
TOLERATED_FAILED_FRACTION = 0.1
IGNORED_ENDPOINTS_FRACTION = 0.5

DECREASE_MAX_FRACTION = 0.3
# A decrease starts from this multiple of the measured attempt rate, plus a margin in requests a second, where
# the rate is higher.
DECREASE_START_ATTEMPT_RATE_FACTOR = 1.2
DECREASE_START_MARGIN_PER_S = 1
SUCCESS_RATE_FLOOR_FACTOR = 0.9
OVERLOAD_RATE_DECAY = 0.9
RATE_MIN_PER_S = 1.0

INCREASE_FACTOR = 1.1
INCREASE_STEP_PER_S = 0.5  # requests a second, added at each increase
RECOVERY_INCREASE_FACTOR = 1.5
RECOVERY_OVERLOAD_RATE_FACTOR = 0.8  # of the last overload rate; the rate recovers faster below it

TENANT_RATE_MIN_PER_S = 0.05


@dataclass(slots=True)
class RateInterval:
    """The outcomes of requests and attempts in one rate interval.

    It ends with the first feedback tick (`Feedback.adjust`) at which it is long enough.
    """

    start_ns: int
    has_begun: bool = False  # by its first request or outcome
    successes: int = 0  # attempts that say nothing against the rate
    rejected_for_capacity: int = 0  # requests: full queue, queue deadline, late endpoint
    failures: Counter[int] = field(default_factory=Counter)  # attempts, by endpoint id

    @property
    def attempts(self) -> int:
        """How many attempts ended."""
        return self.successes + self.failures.total()

    @property
    def outcomes(self) -> int:
        """How many attempts ended and requests were rejected for want of capacity."""
        return self.attempts + self.rejected_for_capacity


class RateController:
    """Learns the proxy's rate from how attempts end, and sets the tenants' rates.

    All rates are in requests a second. `total_weight` is that of all configured tenants, sending or not.
    """

    def __init__(self, total_weight: float, now_ns: int) -> None:
        self.total_weight = total_weight
        self.rate = INITIAL_RATE_PER_S
        self.unused_rate = INITIAL_RATE_PER_S  # what the tenants' demand leaves of it
        self.last_overload_rate = 0.0  # at which too many attempts failed; decays with each decrease
        self.attempt_rate = 0.0  # attempts that ended, in the last interval
        self.success_rate = INITIAL_RATE_PER_S  # attempts not counted as failures, in the last interval
        self.interval = RateInterval(now_ns)

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

    def record_capacity_rejection(self) -> None:
        """Count a request that is rejected because no endpoint has capacity for it in time.

        Its queue was too long when it joined, its queue deadline came, or its endpoint would respond late.
        """
        self.interval.has_begun = True
        self.interval.rejected_for_capacity += 1

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
            throttle.end_rate_interval(elapsed_ns)
        self._set_tenant_rates(throttles, now_ns)
        self.interval = RateInterval(now_ns)

    def _is_long_enough(self, elapsed_ns: int) -> bool:
        """Tell whether enough outcomes have come in, or it has waited for them as long as it may."""
        if elapsed_ns >= RATE_INTERVAL_MAX_NS:
            return True
        return elapsed_ns >= FEEDBACK_INTERVAL_NS and self.interval.outcomes >= OUTCOMES_MIN

    def _measure_rates(self, elapsed_ns: int) -> None:
        """Set the success rate and the attempt rate to those of the interval."""
        self.success_rate = self.interval.successes * NANOSECONDS_PER_SECOND / elapsed_ns
        self.attempt_rate = self.interval.attempts * NANOSECONDS_PER_SECOND / elapsed_ns

    def _failed_fraction(self, draw_width: int) -> float:
        """Return the fraction of the outcomes that are failures by overload.

        The worse half of the endpoints does not count: one bad endpoint is no overload of the fleet.
        """
        failures_by_endpoint = sorted(self.interval.failures.values(), reverse=True)
        ignored_endpoints = int(draw_width * IGNORED_ENDPOINTS_FRACTION)
        failures = sum(failures_by_endpoint[ignored_endpoints:]) + self.interval.rejected_for_capacity
        return failures / max(self.interval.outcomes, FAILED_FRACTION_OUTCOMES_MIN)

    def _decrease(self, failed_fraction: float) -> None:
        """Lower the rate by the failed fraction beyond the tolerated one, at most by DECREASE_MAX_FRACTION.

        It starts from the rate, or from 1.2 times the attempt rate plus 1 if that is less. The result is no
        less than 0.9 times the success rate.
        """
        attempted_rate = DECREASE_START_ATTEMPT_RATE_FACTOR * self.attempt_rate + DECREASE_START_MARGIN_PER_S
        rate = min(self.rate, attempted_rate)
        self.last_overload_rate = max(OVERLOAD_RATE_DECAY * self.last_overload_rate, rate)
        decrease = min(DECREASE_MAX_FRACTION, failed_fraction - TOLERATED_FAILED_FRACTION)
        self.rate = max(RATE_MIN_PER_S, SUCCESS_RATE_FLOOR_FACTOR * self.success_rate, rate * (1 - decrease))

    def _increase(self) -> None:
        """Raise the rate, faster while it is well below the last overload rate."""
        factor = RECOVERY_INCREASE_FACTOR if self._is_recovering() else INCREASE_FACTOR
        self.rate = min(RATE_MAX_PER_S, self.rate * factor + INCREASE_STEP_PER_S)

    def _is_recovering(self) -> bool:
        """Tell whether the rate is well below the one at which too many attempts failed last."""
        return self.rate < RECOVERY_OVERLOAD_RATE_FACTOR * self.last_overload_rate

    def _set_tenant_rates(self, throttles: Collection[Throttle], now_ns: int) -> None:
        """Set each tenant's rate; mark tenants whose demand exceeds their share of the success rate."""
        allotted = divide_rate(self.rate, throttles)
        served = divide_rate(self.success_rate, throttles)
        self.unused_rate = allotted.unused_rate
        for throttle, rate, fair_share in zip(throttles, allotted.rates, served.rates, strict=True):
            throttle.set_rate(max(self.guaranteed_rate(throttle.weight), rate), now_ns)
            throttle.set_fair_share(fair_share)

    def guaranteed_rate(self, weight: float) -> float:
        """Return the least rate of a tenant, sending or not: its part of R by weight, or the unused rate."""
        return max(TENANT_RATE_MIN_PER_S, self.rate * weight / self.total_weight, self.unused_rate)
