"""Which further attempt or rejection is legal, rules 1 to 3 (types: loadbalancer/messages.py)."""

from loadbalancer.messages import NEVER_RAN, AttemptResult, Endpoint, EndpointStatus
from loadbalancer.settings import DeduplicationScope, Idempotency, Limits, RequestClass, Rules
from loadbalancer.state.request import Request


def may_have_run(result: AttemptResult, rules: Rules) -> bool:
    """Tell whether an attempt with this result may have had its effect.

    A rejection proves nothing where endpoints also drop what they had begun.
    """
    if result is AttemptResult.REJECTED:
        return rules.rejected_may_have_run
    return result not in NEVER_RAN


def same_deduplication_group(request_class: RequestClass, first: Endpoint, other: Endpoint) -> bool:
    """Tell whether two endpoints recognise each other's idempotency keys of this class."""
    if request_class.deduplication_scope is DeduplicationScope.ALL:
        return True
    if first.zone != other.zone:
        return False
    return request_class.deduplication_scope is DeduplicationScope.ZONE or first.cell == other.cell


def may_forward(request: Request, endpoint: Endpoint, now_ns: int, limits: Limits) -> bool:
    """Tell whether a request may be sent to an endpoint now."""
    if request.finished or request.streaming or now_ns >= request.deadline_ns:
        return False
    if len(request.attempts) >= limits.max_attempts:
        return False
    if endpoint.status is not EndpointStatus.READY or not request.pool.admits(endpoint):
        return False
    if request.attempts_in_flight >= (2 if limits.hedging else 1):
        return False
    return _may_repeat(request, endpoint, now_ns, limits)


def _may_repeat(request: Request, endpoint: Endpoint, now_ns: int, limits: Limits) -> bool:
    """Tell whether another attempt has no second effect, whatever came of the earlier ones."""
    request_class = request.request_class
    risky = [attempt for attempt in request.attempts if attempt.may_have_run]
    if not risky or request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    if request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY:
        return False
    # It may go out as late as this, if it needs a new connection.
    latest_send_ns = now_ns + limits.connect_timeout_ns
    if latest_send_ns - risky[0].sent_ns >= request_class.deduplication_window_ns:
        return False
    endpoints = [attempt.endpoint_state.endpoint for attempt in risky]
    return all(same_deduplication_group(request_class, earlier, endpoint) for earlier in endpoints)


def may_reject(request: Request) -> bool:
    """Tell whether "rejected" is true of a request: its client may try again without harm."""
    request_class = request.request_class
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    if (
        request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
        and request_class.deduplication_scope is DeduplicationScope.ALL
    ):
        return True
    return not any(attempt.may_have_run for attempt in request.attempts)
