"""Final response of a request that is not served (interface types: loadbalancer/messages.py)."""

import random

from loadbalancer.messages import Fail, Reject
from loadbalancer.policy.retry_eligibility import may_reject
from loadbalancer.settings import Limits
from loadbalancer.state.request import Request
from loadbalancer.units import NANOSECONDS_PER_SECOND

RETRY_AFTER_MAX_NS = NANOSECONDS_PER_SECOND
RETRY_AFTER_MIN_FRACTION = 0.25
RETRY_AFTER_MAX_FRACTION = 1.0


def final_response(request: Request, limits: Limits, rng: random.Random) -> Reject | Fail:
    """Return a rejection if the client may retry without a second effect, else a failure."""
    if may_reject(request):
        return Reject(request.id, retry_after_ns(limits, rng))
    return Fail(request.id)


def retry_after_ns(limits: Limits, rng: random.Random) -> int:
    """Return the delay of the Retry-After header, in ns; 0: no header is sent.

    The delay is jittered, so that clients rejected at the same time do not retry at the same time. A random
    number is drawn even if no header is sent, so that `limits.retry_after` does not affect other decisions.
    """
    fraction = rng.uniform(RETRY_AFTER_MIN_FRACTION, RETRY_AFTER_MAX_FRACTION)
    delay_ns = int(fraction * min(limits.max_retry_after_ns, RETRY_AFTER_MAX_NS))
    return delay_ns if limits.retry_after else 0
