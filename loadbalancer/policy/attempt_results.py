"""What is learned from the end of an attempt (interface types: loadbalancer/messages.py)."""

from collections.abc import Iterable

from loadbalancer.messages import AttemptEnded, AttemptResult
from loadbalancer.policy.concurrency_limit import ConcurrencyLimit
from loadbalancer.policy.latency_model import LatencyModel
from loadbalancer.policy.outlier_detection import BASE_EJECTION_NS, OutlierDetection
from loadbalancer.policy.rate_control import RateController
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.request import Attempt, Request

NO_EVIDENCE = (AttemptResult.CANCELLED, AttemptResult.NOT_SENT)  # they say nothing of the connection
CUT_OFF_FACTOR = 1.3  # an attempt that is cut off would have taken this much longer, at least


class AttemptResults:
    """Passes results on to what learns from them."""

    def __init__(
        self,
        outliers: OutlierDetection,
        limit: ConcurrencyLimit,
        rate: RateController,
        latency_model: LatencyModel,
    ) -> None:
        self.outlier_detection = outliers
        self.concurrency_limit = limit
        self.rate_controller = rate
        self.latency_model = latency_model

    def record(self, request: Request, attempt: Attempt, event: AttemptEnded, now_ns: int) -> None:
        """Learn from one attempt that has ended."""
        state, result = attempt.endpoint_state, event.result
        is_outlier = result not in NO_EVIDENCE and self.outlier_detection.record_attempt_end(
            state, result is AttemptResult.RESET
        )
        match result:
            case AttemptResult.OK:
                self._record_success(request, attempt, event.elapsed_ns, now_ns)
            case AttemptResult.ERROR:
                self.rate_controller.record_success()
            case AttemptResult.TIMEOUT:
                if not request.stalled:
                    self._record_timeout(request, attempt, event.elapsed_ns, now_ns)
            case AttemptResult.REJECTED:
                self.rate_controller.record_failure(state.id)
                self.outlier_detection.eject_slow(attempt, now_ns)
            case AttemptResult.CONNECT_FAILED:
                self.rate_controller.record_failure(state.id)
                self.outlier_detection.eject(state, now_ns, BASE_EJECTION_NS)
            case AttemptResult.RESET if is_outlier:
                self.rate_controller.record_failure(state.id)
                self.outlier_detection.eject(state, now_ns, BASE_EJECTION_NS)
            case AttemptResult.RESET:
                # Fewer requests cure no connection that broke by chance: the rate is not judged by it.
                self.rate_controller.record_success()

    def _record_success(self, request: Request, attempt: Attempt, elapsed_ns: int, now_ns: int) -> None:
        state = attempt.endpoint_state
        state.last_answered_ns = max(state.last_answered_ns, attempt.sent_ns)
        if not request.stalled:
            self.latency_model.record_success(request, attempt, elapsed_ns)
        self.concurrency_limit.record_completion(state)
        if now_ns <= request.objective_ns:
            self.rate_controller.record_success()
        else:
            self._record_late(request, state.id)  # overload shows in it first
        if state.consecutive_failures:
            state.consecutive_failures = state.ejected_until_ns = 0

    def _record_timeout(self, request: Request, attempt: Attempt, elapsed_ns: int, now_ns: int) -> None:
        self._record_late(request, attempt.endpoint_state.id)
        # It would have taken longer: what is cut off must not flatten the slope.
        expected_ns = self.latency_model.latency_at(attempt.load)
        self.latency_model.record_latency(attempt.load, max(CUT_OFF_FACTOR * elapsed_ns, expected_ns))
        self.outlier_detection.eject_slow(attempt, now_ns)

    def _record_late(self, request: Request, endpoint_id: int) -> None:
        """Note a late end: the interval has begun, but the end counts only if its endpoint is to blame."""
        if request.delayed_by_throttle:
            self.rate_controller.record_late_not_attributed()
        else:
            self.rate_controller.record_failure(endpoint_id)

    def record_overdue(self, attempt: Attempt, now_ns: int) -> None:
        """Eject the endpoint of an attempt that is out longer than it should take."""
        state = attempt.endpoint_state
        self.outlier_detection.eject_slow(attempt, now_ns)
        if state.last_answered_ns > attempt.sent_ns:
            # It answers what came later: this answer is lost, and keeps no place until its client gives up.
            self.concurrency_limit.record_occupancy(state, now_ns)
            attempt.overdue = True
            state.mark_overdue()

    def exclude_stalled(
        self, requests: Iterable[Request], states: Iterable[EndpointState], now_ns: int
    ) -> None:
        """Learn nothing from what was open while this proxy stood still: it ends late for that alone.

        Guards against a process that is stopped for a while (a spent share of the processor, a paused or
        swapping machine) taking its own delay for endpoints that stand still: it would eject them, think
        them slow, reject what comes next and cut the rate. Harm: an endpoint that stood still in the same
        moment is found out one attempt later.
        """
        for request in requests:
            request.stalled = request.delayed_by_throttle = True
        for state in states:
            state.in_flight_since_ns = now_ns  # nor did endpoints hold them for so long without finishing
