"""Expected duration and timeout of an attempt (interface types: loadbalancer/messages.py)."""

from loadbalancer.policy.latency_model import LatencyModel
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.request import Request

OVERDUE_FACTOR = 1.3
OVERDUE_DEVIATIONS = 3
NO_TIMEOUT_NS = 0


def expected_duration_ns(
    request: Request, endpoint_state: EndpointState, latency_model: LatencyModel
) -> float:
    """Return how long a request should take at an endpoint, in ns, by its cost and the relative latency."""
    return max(1.0, latency_model.expected_ns(request) * endpoint_state.relative_latency)


def attempt_timeout_ns(request: Request, now_ns: int) -> int:
    """Return the timeout of an attempt that starts now, in ns; 0 if only the request's deadline applies.

    If a late response has no value, the attempt times out at the latency objective, which frees the
    endpoint for other requests.
    """
    request_class = request.request_class
    if request_class.late_weight_factor or request_class.stream:
        return NO_TIMEOUT_NS
    return max(1, request.objective_ns - now_ns)


def overdue_after_ns(expected_ns: float, deviation: float) -> int:
    """Return the time, in ns, after which an attempt in flight is overdue.

    `expected_ns` is its expected duration, and `deviation` the mean relative deviation from it. Beyond a
    few deviations the endpoint is more likely hung than slow.
    """
    return int(expected_ns * (OVERDUE_FACTOR + OVERDUE_DEVIATIONS * deviation))
