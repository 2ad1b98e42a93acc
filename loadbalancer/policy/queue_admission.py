"""Whether a blocked queue takes one more request (interface types: loadbalancer/messages.py)."""

from loadbalancer.state.request import Request
from loadbalancer.units import NANOSECONDS_PER_SECOND

QUEUE_WAIT_MAX_FRACTION = 0.5
OVER_QUOTA_QUEUE_WAIT_MAX_FRACTION = 0.1
THROTTLE_DELAY_MAX_FRACTION = 0.5


def has_queue_capacity(queue_length: int, wait_max_ns: int, success_rate: float, *, over_quota: bool) -> bool:
    """Tell whether a request should be served in time behind `queue_length` others.

    At `success_rate`, in requests per second, the others must be served within a fraction of `wait_max_ns`
    (`queue_wait_max_ns`). The fraction is smaller for a tenant over its quota: its traffic is rejected first.
    """
    fraction = OVER_QUOTA_QUEUE_WAIT_MAX_FRACTION if over_quota else QUEUE_WAIT_MAX_FRACTION
    served_in_time = success_rate * wait_max_ns * fraction
    return queue_length * NANOSECONDS_PER_SECOND <= served_in_time


def queue_wait_max_ns(request: Request, shortest_objective_ns: int, now_ns: int) -> int:
    """Return how long, in ns, the requests ahead of a new one may take to be served.

    It is the time until its queue deadline, and no more than the shortest latency objective of all classes:
    a class with a long objective must not make the queue too long for the others.
    """
    return min(request.queue_deadline_ns - now_ns, shortest_objective_ns)


def was_delayed_by_throttle(request: Request, now_ns: int) -> bool:
    """Tell whether a request waited so long for a token that a late end is not the endpoint's fault.

    It did if less than half of its class's latency objective remains when it joins the queue.
    """
    remaining_ns = request.objective_ns - now_ns
    return remaining_ns < THROTTLE_DELAY_MAX_FRACTION * request.request_class.latency_objective_ns
