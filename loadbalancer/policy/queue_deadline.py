"""When a request stops waiting for an endpoint (interface types: loadbalancer/messages.py)."""

from loadbalancer.policy.latency_model import LatencyModel
from loadbalancer.state.request import Request

MIN_QUEUE_WAIT_DIVISOR = 4


def queue_deadline_ns(request: Request, latency_model: LatencyModel, now_ns: int) -> int:
    """Return the time, in ns, after which a request that arrives now is no longer queued.

    It is the latest start that should still meet the latency objective: the expected duration in ns, and
    its mean relative deviation, before it. A request may always wait for a quarter of the time until its
    deadline, so that a long expected duration alone does not reject it.
    """
    expected_ns = latency_model.expected_ns(request) * (1 + latency_model.deviation)
    latest_start_ns = request.objective_ns - int(expected_ns)
    min_wait_ns = (request.deadline_ns - now_ns) // MIN_QUEUE_WAIT_DIVISOR
    return max(latest_start_ns, now_ns + min_wait_ns)
