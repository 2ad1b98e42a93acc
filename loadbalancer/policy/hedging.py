"""Whether an overdue attempt is hedged (interface types: loadbalancer/messages.py)."""

from loadbalancer.settings import Limits
from loadbalancer.state.request import Attempt, Request


def should_hedge(
    request: Request, overdue_attempt: Attempt, queue_length: int, limits: Limits, now_ns: int
) -> bool:
    """Return whether a second attempt is worth its load.

    Its response must be expected by the latency objective, if it takes as long as was expected of the overdue
    attempt. No request may be in the pool's queue, where it would have to wait longer. If attempts cannot be
    cancelled, the overdue one continues, and a second only adds load.
    """
    if queue_length or not limits.cancellation:
        return False
    return now_ns + overdue_attempt.expected_ns <= request.objective_ns
