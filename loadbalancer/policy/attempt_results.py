"""What the end of an attempt changes in the state of the policy (types: loadbalancer/messages.py)."""

from collections.abc import Iterable

from loadbalancer.messages import AttemptEnded, AttemptResult
from loadbalancer.policy.concurrency_limit import ConcurrencyLimit
from loadbalancer.policy.latency_model import LatencyModel
from loadbalancer.policy.load_estimate import IN_FLIGHT_COLUMN
from loadbalancer.policy.outlier_detection import BASE_EJECTION_NS, OutlierDetection
from loadbalancer.policy.rate_control import RateController
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.request import Attempt, Request
from loadbalancer.units import NANOSECONDS_PER_MILLISECOND

RESULTS_WITHOUT_CONNECTION_EVIDENCE = (AttemptResult.CANCELLED, AttemptResult.NOT_SENT)
TIMED_OUT_DURATION_FACTOR = 1.3
EVENT_LOOP_STALL_NS = 20 * NANOSECONDS_PER_MILLISECOND


def is_event_loop_stall(timer_delay_ns: int) -> bool:
    """Return whether a timer that fires this late, in ns, shows that the event loop was stalled."""
    return timer_delay_ns > EVENT_LOOP_STALL_NS


class AttemptResults:
    """Updates rate control, latency model, concurrency limit and ejections when attempts end."""

    def __init__(
        self,
        outlier_detection: OutlierDetection,
        concurrency_limit: ConcurrencyLimit,
        rate_controller: RateController,
        latency_model: LatencyModel,
    ) -> None:
        self.outlier_detection = outlier_detection
        self.concurrency_limit = concurrency_limit
        self.rate_controller = rate_controller
        self.latency_model = latency_model

    def record(self, request: Request, attempt: Attempt, event: AttemptEnded, now_ns: int) -> None:
        """Record an attempt that has ended, and remove it from the counts of its endpoint."""
        endpoint_state = attempt.endpoint_state
        self.concurrency_limit.record_occupancy(endpoint_state, now_ns)
        if event.load_report and IN_FLIGHT_COLUMN in event.load_report:
            # The report does not count this attempt, but remove_attempt subtracts it.
            endpoint_state.record_load(event.load_report[IN_FLIGHT_COLUMN] + 1, now_ns)
        self._record_result(request=request, attempt=attempt, event=event, now_ns=now_ns)
        endpoint_state.remove_attempt(presumed_lost=attempt.presumed_lost)

    def _record_result(self, request: Request, attempt: Attempt, event: AttemptEnded, now_ns: int) -> None:
        """Count an attempt as a success or failure for rate control, and eject an endpoint at fault."""
        endpoint_state = attempt.endpoint_state
        result = event.result
        reset_attributed = (
            result not in RESULTS_WITHOUT_CONNECTION_EVIDENCE
            and self.outlier_detection.record_attempt_end(
                endpoint_state, was_reset=result is AttemptResult.RESET
            )
        )
        match result:
            case AttemptResult.OK:
                self._record_success(
                    request=request, attempt=attempt, elapsed_ns=event.elapsed_ns, now_ns=now_ns
                )
            case AttemptResult.ERROR:
                self.rate_controller.record_success()
            case AttemptResult.TIMEOUT:
                if not request.stalled:
                    self._record_timeout(
                        request=request, attempt=attempt, elapsed_ns=event.elapsed_ns, now_ns=now_ns
                    )
            case AttemptResult.REJECTED:
                self.rate_controller.record_failure(endpoint_state.id)
                self.outlier_detection.eject_overloaded(attempt, now_ns)
            case AttemptResult.CONNECT_FAILED:
                self.rate_controller.record_failure(endpoint_state.id)
                self.outlier_detection.eject(endpoint_state, now_ns, BASE_EJECTION_NS)
            case AttemptResult.RESET if reset_attributed:
                self.rate_controller.record_failure(endpoint_state.id)
                self.outlier_detection.eject(endpoint_state, now_ns, BASE_EJECTION_NS)
            case AttemptResult.RESET:
                # Attributed to the network: a lower rate would not help.
                self.rate_controller.record_success()

    def _record_success(self, request: Request, attempt: Attempt, elapsed_ns: int, now_ns: int) -> None:
        """Record a response; one after the latency objective is recorded as late."""
        endpoint_state = attempt.endpoint_state
        endpoint_state.record_response(attempt.sent_ns)
        if not request.stalled:
            self.latency_model.record_success(request, attempt, elapsed_ns)
        self.concurrency_limit.record_completion(endpoint_state)
        if now_ns <= request.objective_ns:
            self.rate_controller.record_success()
        else:
            self._record_late(request, endpoint_state.id)
        if endpoint_state.consecutive_failures:
            endpoint_state.clear_failures_and_ejection()

    def _record_timeout(self, request: Request, attempt: Attempt, elapsed_ns: int, now_ns: int) -> None:
        """Record an attempt that timed out, with an estimate of how long it would have taken."""
        self._record_late(request, attempt.endpoint_state.id)
        expected_ns = self.latency_model.latency_at(attempt.load)
        full_duration_ns = max(TIMED_OUT_DURATION_FACTOR * elapsed_ns, expected_ns)
        self.latency_model.record_latency(attempt.load, full_duration_ns)
        self.outlier_detection.eject_overloaded(attempt, now_ns)

    def _record_late(self, request: Request, endpoint_id: int) -> None:
        """Count a late response or a timeout as a failure, unless a throttle or a stall caused it."""
        if request.delayed_by_throttle:
            self.rate_controller.record_unattributed_late_attempt()
        else:
            self.rate_controller.record_failure(endpoint_id)

    def record_overdue(self, attempt: Attempt, now_ns: int) -> None:
        """Eject the endpoint of an overdue attempt.

        If an attempt that was sent to the endpoint later has succeeded, the response to this one is presumed
        lost, and it no longer uses up the concurrency limit.
        """
        endpoint_state = attempt.endpoint_state
        self.outlier_detection.eject_overloaded(attempt, now_ns)
        if endpoint_state.latest_answered_send_ns > attempt.sent_ns:
            self.concurrency_limit.record_occupancy(endpoint_state, now_ns)
            attempt.mark_presumed_lost()

    def exclude_stalled_samples(
        self, requests: Iterable[Request], endpoint_states: Iterable[EndpointState], now_ns: int
    ) -> None:
        """Exclude samples taken during an event loop stall: the proxy caused the delay, not the endpoints."""
        for request in requests:
            request.mark_stalled()
        for endpoint_state in endpoint_states:
            endpoint_state.restart_occupancy(now_ns)
