"""Whether an overdue attempt is hedged (interface types: loadbalancer/messages.py)."""

from loadbalancer.settings import Limits
from loadbalancer.state.request import Attempt, Request


def should_hedge(request: Request, overdue: Attempt, queue_length: int, limits: Limits, now_ns: int) -> bool:
    """Return whether a second attempt, at another endpoint, is worth its load.

    Its response must be expected before the latency objective, and it must not take an endpoint from queued
    requests. If attempts cannot be cancelled the overdue one continues, and a hedged request only adds load.
    """
    if queue_length or not limits.cancellation:
        return False
    return now_ns + overdue.expected_ns <= request.objective_ns
