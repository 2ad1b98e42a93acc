"""The start of an attempt (interface types: loadbalancer/messages.py)."""

from loadbalancer.messages import Forward
from loadbalancer.policy.attempt_timing import attempt_timeout_ns, expected_duration_ns, overdue_after_ns
from loadbalancer.policy.concurrency_limit import ConcurrencyLimit
from loadbalancer.policy.latency_model import LatencyModel
from loadbalancer.policy.load_estimate import estimated_load
from loadbalancer.policy.slow_start import SlowStart
from loadbalancer.policy.timers import AttemptOverdue, Timer
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.request import Attempt, Request
from loadbalancer.state.timer_queue import TimerQueue


class Forwarding:
    """Starts attempts: counts them at their endpoint, applies slow start, and sets the overdue timer."""

    def __init__(
        self,
        concurrency_limit: ConcurrencyLimit,
        latency_model: LatencyModel,
        slow_start: SlowStart,
        timers: TimerQueue[Timer],
    ) -> None:
        self.concurrency_limit = concurrency_limit
        self.latency_model = latency_model
        self.slow_start = slow_start
        self.timers = timers

    def start_attempt(self, request: Request, endpoint_state: EndpointState, now_ns: int) -> Forward:
        """Record an attempt at an endpoint, and return the action that starts it."""
        self.concurrency_limit.record_occupancy(endpoint_state, now_ns)
        endpoint_state.add_attempt()
        expected_ns = expected_duration_ns(request, endpoint_state, self.latency_model)
        load = max(1.0, estimated_load(endpoint_state, now_ns))
        number = len(request.attempts)
        attempt = Attempt(endpoint_state=endpoint_state, sent_ns=now_ns, expected_ns=expected_ns, load=load)
        request.attempts.append(attempt)
        if self.slow_start.is_warming_up(endpoint_state, now_ns):
            self.slow_start.apply_pacing(endpoint_state, now_ns, self._relative_cost(request))
        overdue_ns = now_ns + overdue_after_ns(expected_ns, self.latency_model.deviation)
        self.timers.schedule(overdue_ns, AttemptOverdue(request, number))
        return Forward(request.id, endpoint_state.id, attempt_timeout_ns(request, now_ns))

    def _relative_cost(self, request: Request) -> float:
        """Return a request's cost as a multiple of the mean, at least 1, by which slow start paces."""
        return max(1.0, self.latency_model.expected_ns(request) / self.latency_model.mean_ns)
