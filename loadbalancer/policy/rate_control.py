"""Adaptive rate of the proxy, and the tenant rates derived from it (types: loadbalancer/messages.py).

The proxy has one rate R, in requests per second. R is decreased when more than a tenth of the outcomes of a
rate interval (0.5 s, up to 2 s with little traffic) are failures, unless the endpoints have too little load
to be overloaded. Otherwise it is increased if a throttle had no token for a request.

`fair_shares` divides R among the tenants that send requests, by demand and weight; each tenant may also
borrow the whole rate that the others leave unused. A tenant's throttle admits requests at the resulting
rate, or at the tenant's share of R by weight if that is more.
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
# If the rate is above this multiple of the measured attempt rate, plus a margin in requests per second, a
# decrease starts from there.
DECREASE_START_ATTEMPT_RATE_FACTOR = 1.2
DECREASE_START_MARGIN_PER_S = 1
SUCCESS_RATE_FLOOR_FACTOR = 0.9
OVERLOAD_RATE_DECAY = 0.9
RATE_MIN_PER_S = 1.0

INCREASE_FACTOR = 1.1
INCREASE_STEP_PER_S = 0.5  # requests per second, added at each increase
RECOVERY_INCREASE_FACTOR = 1.5
RECOVERY_OVERLOAD_RATE_FACTOR = 0.8  # below this fraction of the last overload rate, the rate rises faster

TENANT_RATE_MIN_PER_S = 0.05


@dataclass(slots=True)
class RateInterval:
    """The outcomes of requests and attempts in one rate interval.

    The interval ends with the first feedback tick (`Feedback.adjust`) at which it is long enough.
    """

    start_ns: int
    has_begun: bool = False  # a request or an outcome has been recorded
    successes: int = 0  # ended attempts that do not indicate overload
    rejected_for_capacity: int = 0  # requests without an endpoint in time: see `record_capacity_rejection`
    failures: Counter[int] = field(default_factory=Counter)  # failed or late attempts, by endpoint id

    @property
    def attempts(self) -> int:
        """The number of attempts that ended as a success or a failure for rate control."""
        return self.successes + self.failures.total()

    @property
    def outcomes(self) -> int:
        """The number of these attempts and of the requests rejected for lack of capacity."""
        return self.attempts + self.rejected_for_capacity


class RateController:
    """Adapts the proxy's rate to the outcomes of attempts, and sets the tenants' rates.

    All rates are in requests or attempts per second. `total_weight` is the sum over all configured tenants,
    including those that send nothing.
    """

    def __init__(self, total_weight: float, now_ns: int) -> None:
        self.total_weight = total_weight
        self.rate = INITIAL_RATE_PER_S
        self.unused_rate = INITIAL_RATE_PER_S  # the rate less the demand of all tenants
        self.last_overload_rate = 0.0  # rate at which too many attempts failed; decays with each decrease
        self.attempt_rate = 0.0  # successes and failures per second in the last interval
        self.success_rate = INITIAL_RATE_PER_S  # successes per second in the last interval
        self.interval = RateInterval(now_ns)

    def record_arrival(self, now_ns: int) -> None:
        """Start the interval at its first request.

        Counting the idle time before that request, such as the time until a new proxy has clients, would
        lower the measured rates, and a decrease would take the rate far below what is served.
        """
        if not self.interval.has_begun:
            self.interval.start_ns = now_ns
            self.interval.has_begun = True

    def record_success(self) -> None:
        """Count an attempt that does not indicate overload."""
        self.interval.has_begun = True
        self.interval.successes += 1

    def record_failure(self, endpoint_id: int) -> None:
        """Count an attempt that failed or ended late at an endpoint."""
        self.interval.has_begun = True
        self.interval.failures[endpoint_id] += 1

    def record_unattributed_late_attempt(self) -> None:
        """Record that the interval has begun, by a late attempt that is not counted."""
        self.interval.has_begun = True

    def record_capacity_rejection(self) -> None:
        """Count a request that is rejected because no endpoint has capacity for it in time.

        Its pool's queue was too long for it, it reached its queue deadline there, no endpoint that may take
        its retry was available, or the selected endpoint would respond after the latency objective.
        """
        self.interval.has_begun = True
        self.interval.rejected_for_capacity += 1

    def adjust(
        self, throttles: Collection[Throttle], now_ns: int, draw_width: int, *, is_loaded: bool = True
    ) -> None:
        """End the interval if it is long enough, and adjust the rate and the tenants' rates to its outcomes.

        Args:
            throttles: The throttles of the tenants that send requests.
            now_ns: The current time.
            draw_width: The number of endpoints that random choices are drawn from.
            is_loaded: Whether the endpoints have enough load for failures to indicate overload.
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
        """Return whether the interval has enough outcomes or has reached its maximum length."""
        if elapsed_ns >= RATE_INTERVAL_MAX_NS:
            return True
        return elapsed_ns >= FEEDBACK_INTERVAL_NS and self.interval.outcomes >= OUTCOMES_MIN

    def _measure_rates(self, elapsed_ns: int) -> None:
        """Compute the success rate and the attempt rate of the interval."""
        self.success_rate = self.interval.successes * NANOSECONDS_PER_SECOND / elapsed_ns
        self.attempt_rate = self.interval.attempts * NANOSECONDS_PER_SECOND / elapsed_ns

    def _failed_fraction(self, draw_width: int) -> float:
        """Return failures and capacity rejections as a fraction of the outcomes, or of 16 if they are fewer.

        The endpoints with the most failures, up to half of `draw_width`, are ignored: a few faulty endpoints
        do not mean that the fleet is overloaded.
        """
        failures_by_endpoint = sorted(self.interval.failures.values(), reverse=True)
        ignored_endpoints = int(draw_width * IGNORED_ENDPOINTS_FRACTION)
        failures = sum(failures_by_endpoint[ignored_endpoints:]) + self.interval.rejected_for_capacity
        return failures / max(self.interval.outcomes, FAILED_FRACTION_OUTCOMES_MIN)

    def _decrease(self, failed_fraction: float) -> None:
        """Lower the rate by the excess of the failed fraction over the tolerated one.

        The decrease is at most DECREASE_MAX_FRACTION. It starts from the rate, or from 1.2 times the attempt
        rate plus 1 if that is less. The new rate is at least 0.9 times the success rate.
        """
        attempted_rate = DECREASE_START_ATTEMPT_RATE_FACTOR * self.attempt_rate + DECREASE_START_MARGIN_PER_S
        rate = min(self.rate, attempted_rate)
        self.last_overload_rate = max(OVERLOAD_RATE_DECAY * self.last_overload_rate, rate)
        decrease = min(DECREASE_MAX_FRACTION, failed_fraction - TOLERATED_FAILED_FRACTION)
        self.rate = max(RATE_MIN_PER_S, SUCCESS_RATE_FLOOR_FACTOR * self.success_rate, rate * (1 - decrease))

    def _increase(self) -> None:
        """Raise the rate, by a larger factor while it is well below the last overload rate."""
        factor = RECOVERY_INCREASE_FACTOR if self._is_recovering() else INCREASE_FACTOR
        self.rate = min(RATE_MAX_PER_S, self.rate * factor + INCREASE_STEP_PER_S)

    def _is_recovering(self) -> bool:
        """Return whether the rate is well below the last overload rate."""
        return self.rate < RECOVERY_OVERLOAD_RATE_FACTOR * self.last_overload_rate

    def _set_tenant_rates(self, throttles: Collection[Throttle], now_ns: int) -> None:
        """Set each tenant's rate, and mark tenants whose demand exceeds their share of the success rate."""
        allotted = divide_rate(self.rate, throttles)
        served = divide_rate(self.success_rate, throttles)
        self.unused_rate = allotted.unused_rate
        for throttle, rate, fair_share in zip(throttles, allotted.rates, served.rates, strict=True):
            throttle.set_rate(max(self.guaranteed_rate(throttle.weight), rate), now_ns)
            throttle.set_fair_share(fair_share)

    def guaranteed_rate(self, weight: float) -> float:
        """Return the minimum rate of a tenant, active or idle.

        It is the largest of TENANT_RATE_MIN_PER_S, the tenant's share of R by weight, and the unused rate.
        """
        return max(TENANT_RATE_MIN_PER_S, self.rate * weight / self.total_weight, self.unused_rate)
