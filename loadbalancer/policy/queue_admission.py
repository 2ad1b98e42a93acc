"""Whether a blocked queue takes one more request (interface types: loadbalancer/messages.py)."""

from loadbalancer.state.request import Request
from loadbalancer.units import NANOSECONDS_PER_SECOND

QUEUE_WAIT_MAX_FRACTION = 0.5
OVER_QUOTA_QUEUE_WAIT_MAX_FRACTION = 0.1
THROTTLE_DELAY_MAX_FRACTION = 0.5


def has_queue_capacity(queue_length: int, wait_max_ns: int, success_rate: float, *, over_quota: bool) -> bool:
    """Tell whether a request should be served in time behind `queue_length` others.

    They may take a fraction of `wait_max_ns`, the time that the request can wait, at `success_rate`, the
    requests served per second. The fraction is smaller for a tenant over its quota, so that its traffic is
    rejected first.
    """
    fraction = OVER_QUOTA_QUEUE_WAIT_MAX_FRACTION if over_quota else QUEUE_WAIT_MAX_FRACTION
    served_in_time = success_rate * wait_max_ns * fraction
    return queue_length * NANOSECONDS_PER_SECOND <= served_in_time


def was_delayed_by_throttle(request: Request, now_ns: int) -> bool:
    """Tell whether a request spent so long in its throttle that a late end is not the endpoint's fault.

    It did where less than half of its class's latency objective is left when it joins the queue.
    """
    remaining_ns = request.objective_ns - now_ns
    return remaining_ns < THROTTLE_DELAY_MAX_FRACTION * request.request_class.latency_objective_ns
