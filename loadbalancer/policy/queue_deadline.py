"""Time limit of a request's wait in queues (interface types: loadbalancer/messages.py)."""

from loadbalancer.policy.latency_model import LatencyModel
from loadbalancer.state.request import Request

MIN_QUEUE_WAIT_DIVISOR = 4


def queue_deadline_ns(request: Request, latency_model: LatencyModel, now_ns: int) -> int:
    """Return the time, in ns, at which a request that arrives now is rejected if it is still queued.

    This is the latest start that is expected to meet the latency objective: the objective less the expected
    duration, which is increased by the mean relative deviation. A request may always wait for a quarter of
    the time until its deadline, so that it is not rejected for a long expected duration alone.
    """
    expected_ns = latency_model.expected_ns(request) * (1 + latency_model.deviation)
    latest_start_ns = request.objective_ns - int(expected_ns)
    min_wait_ns = (request.deadline_ns - now_ns) // MIN_QUEUE_WAIT_DIVISOR
    return max(latest_start_ns, now_ns + min_wait_ns)
