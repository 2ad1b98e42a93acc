"""Admission of requests to a blocked queue (interface types: loadbalancer/messages.py)."""

from loadbalancer.state.request import Request
from loadbalancer.units import NANOSECONDS_PER_SECOND

QUEUE_WAIT_MAX_FRACTION = 0.5
OVER_FAIR_SHARE_QUEUE_WAIT_MAX_FRACTION = 0.1
THROTTLE_DELAY_MAX_FRACTION = 0.5


def has_queue_capacity(
    queue_length: int, wait_max_ns: int, success_rate: float, *, exceeds_fair_share: bool
) -> bool:
    """Return whether a new request behind `queue_length` others is expected to be served in time.

    At `success_rate` (attempts per second that are not failures), the others must be served within a fraction
    of `wait_max_ns` (see `queue_wait_max_ns`). The fraction is smaller for a tenant over its fair share, so
    that its requests are rejected first.
    """
    fraction = OVER_FAIR_SHARE_QUEUE_WAIT_MAX_FRACTION if exceeds_fair_share else QUEUE_WAIT_MAX_FRACTION
    served_in_time = success_rate * wait_max_ns * fraction
    return queue_length * NANOSECONDS_PER_SECOND <= served_in_time


def queue_wait_max_ns(request: Request, shortest_objective_ns: int, now_ns: int) -> int:
    """Return the longest time, in ns, that a new request may wait in its queue.

    This is the time until the queue deadline, limited to the shortest latency objective of all request
    classes: a class with a long objective must not make the queue too long for the other classes.
    """
    return min(request.queue_deadline_ns - now_ns, shortest_objective_ns)


def was_delayed_by_throttle(request: Request, now_ns: int) -> bool:
    """Return whether a request waited so long for a token that a late response is not the endpoint's fault.

    This is the case if less than half of the class's latency objective remains when the request joins the
    queue. It is also the case without any wait if the deadline is that close.
    """
    remaining_ns = request.objective_ns - now_ns
    return remaining_ns < THROTTLE_DELAY_MAX_FRACTION * request.request_class.latency_objective_ns
