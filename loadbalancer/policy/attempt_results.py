"""What the end of an attempt says of its endpoint, of the rate and of the concurrency limit.

Types of the interface: loadbalancer/messages.py.
"""

from __future__ import annotations

from loadbalancer.messages import AttemptEnded, AttemptResult
from loadbalancer.policy.concurrency_limit import LIMIT_MAX, ConcurrencyLimit
from loadbalancer.policy.outlier_detection import EJECTION_NS, OutlierDetection
from loadbalancer.policy.rate_control import RateController
from loadbalancer.state.request import Attempt, Request

NO_EVIDENCE = (AttemptResult.CANCELLED, AttemptResult.NOT_SENT)  # they say nothing of the connection
CUT_OFF_FACTOR = 1.3  # an attempt that is cut off would have taken this much longer, at least


class AttemptResults:
    """Passes results on to what learns from them."""

    def __init__(
        self,
        outliers: OutlierDetection,
        limit: ConcurrencyLimit,
        rate_controller: RateController,
        shortest_objective_ns: int,
    ) -> None:
        self.outlier_detection, self.concurrency_limit = outliers, limit
        self.rate_controller = rate_controller
        self.shortest_objective_ns = shortest_objective_ns

    def record(self, request: Request, attempt: Attempt, event: AttemptEnded, now: int) -> None:
        """Learn from one attempt that has ended."""
        state, result = attempt.endpoint_state, event.result
        is_outlier = result not in NO_EVIDENCE and self.outlier_detection.record_attempt_end(
            state, result is AttemptResult.RESET
        )
        match result:
            case AttemptResult.OK:
                self._record_success(request, attempt, event.elapsed_ns, now)
            case AttemptResult.ERROR:
                self.rate_controller.successes += 1
            case AttemptResult.TIMEOUT:
                if not request.stalled:
                    self._record_timeout(request, attempt, event.elapsed_ns, now)
            case AttemptResult.REJECTED:
                self.rate_controller.failures[state.id] += 1
                self.outlier_detection.eject(state, now, self.ejection_base_ns(attempt))
            case AttemptResult.CONNECT_FAILED:
                self.rate_controller.failures[state.id] += 1
                self.outlier_detection.eject(state, now, EJECTION_NS)
            case AttemptResult.RESET if is_outlier:
                self.rate_controller.failures[state.id] += 1
                self.outlier_detection.eject(state, now, EJECTION_NS)
            case AttemptResult.RESET:
                # Fewer requests cure no connection that broke by chance: the rate is not judged by it.
                self.rate_controller.successes += 1

    def _record_success(self, request: Request, attempt: Attempt, elapsed_ns: int, now: int) -> None:
        state = attempt.endpoint_state
        state.last_answered_ns = max(state.last_answered_ns, attempt.sent_ns)
        if not request.stalled:
            self.concurrency_limit.record_success(request, attempt, elapsed_ns)
        if state.in_subset:
            self.concurrency_limit.completions[min(state.in_flight, LIMIT_MAX + 1)] += 1
        if now <= request.objective_ns:
            self.rate_controller.successes += 1
        else:
            self._record_late(request, state.id)  # overload shows in it first
        if state.consecutive_failures:
            state.consecutive_failures = state.ejected_until_ns = 0

    def _record_timeout(self, request: Request, attempt: Attempt, elapsed_ns: int, now: int) -> None:
        self._record_late(request, attempt.endpoint_state.id)
        # It would have taken longer: what is cut off must not flatten the slope.
        expected_ns = self.concurrency_limit.latency_at(attempt.load)
        self.concurrency_limit.record_latency(attempt, max(CUT_OFF_FACTOR * elapsed_ns, expected_ns))
        self.outlier_detection.eject(attempt.endpoint_state, now, self.ejection_base_ns(attempt))

    def _record_late(self, request: Request, endpoint_id: int) -> None:
        """Note a late end: the interval has begun, but the end counts only if its endpoint is to blame."""
        failures = self.rate_controller.failures
        failures[endpoint_id] += 0 if request.delayed_by_throttle else 1

    def ejection_base_ns(self, attempt: Attempt) -> float:
        """Return how long to leave an endpoint alone that did not finish an attempt in time.

        Guards against one hopelessly heavy request taking its endpoint from all others for as long as it
        would have run: it is cut off, and its client asks again, at the next endpoint and the next. Harm:
        where it runs on all the same, the next one there finds out, and the ejection doubles.
        """
        return min(attempt.expected_ns, self.shortest_objective_ns)
