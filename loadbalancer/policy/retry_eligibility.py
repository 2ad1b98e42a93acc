"""Which attempts, retries and rejections are safe (interface types: loadbalancer/messages.py)."""

from collections.abc import Iterable

from loadbalancer.messages import NEVER_RAN, AttemptResult, Endpoint, EndpointStatus
from loadbalancer.settings import DeduplicationScope, Idempotency, Limits, RequestClass, Rules
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.request import Request

ATTEMPTS_IN_FLIGHT_MAX = 1
HEDGED_ATTEMPTS_IN_FLIGHT_MAX = 2

# Per request: without a limit, a proxy that can't send would retry the same request again and again.
UNCOUNTED_ATTEMPTS_MAX = 16


def may_have_run(result: AttemptResult, rules: Rules) -> bool:
    """Return whether an attempt with this result may have had its effect at the endpoint.

    After a rejection it may have run if endpoints also reject requests that they have begun.
    """
    if result is AttemptResult.REJECTED:
        return rules.rejected_may_have_run
    return result not in NEVER_RAN


def same_deduplication_group(request_class: RequestClass, first: Endpoint, other: Endpoint) -> bool:
    """Return whether two endpoints recognise each other's idempotency keys of this class."""
    if request_class.deduplication_scope is DeduplicationScope.ALL:
        return True
    if first.zone != other.zone:
        return False
    return request_class.deduplication_scope is DeduplicationScope.ZONE or first.cell == other.cell


def may_forward(request: Request, endpoint: Endpoint, now_ns: int, limits: Limits) -> bool:
    """Return whether an attempt at an endpoint may start now.

    It must not start after the request's final response, the beginning of a streamed response or the
    deadline, beyond the limits on attempts, at an endpoint that is not ready or outside the placement, or if
    the request could take effect a second time.
    """
    if request.finished or request.streaming or now_ns >= request.deadline_ns:
        return False
    if _has_no_attempts_left(request, limits):
        return False
    if endpoint.status is not EndpointStatus.READY or not request.pool.allows(endpoint):
        return False
    in_flight_max = HEDGED_ATTEMPTS_IN_FLIGHT_MAX if limits.hedging else ATTEMPTS_IN_FLIGHT_MAX
    if request.attempts_in_flight >= in_flight_max:
        return False
    return _may_repeat(request, endpoint, now_ns=now_ns, limits=limits)


def _has_no_attempts_left(request: Request, limits: Limits) -> bool:
    """Return whether a request has used up its attempts; those never begun have a separate limit."""
    if len(request.attempts) < limits.max_attempts:
        return False
    uncounted = request.uncounted_attempts
    return len(request.attempts) - uncounted >= limits.max_attempts or uncounted >= UNCOUNTED_ATTEMPTS_MAX


def _may_repeat(request: Request, endpoint: Endpoint, now_ns: int, limits: Limits) -> bool:
    """Return whether another attempt is safe: it has no second effect, whatever the earlier ones did."""
    request_class = request.request_class
    possibly_run = [attempt for attempt in request.attempts if attempt.may_have_run]
    if not possibly_run or request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    if request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY:
        return False
    # If the attempt needs a new connection, the request is sent only once that is established.
    latest_send_ns = now_ns + limits.connect_timeout_ns
    if latest_send_ns - possibly_run[0].sent_ns >= request_class.deduplication_window_ns:
        return False
    earlier_endpoints = [attempt.endpoint_state.endpoint for attempt in possibly_run]
    return all(same_deduplication_group(request_class, earlier, endpoint) for earlier in earlier_endpoints)


def should_retry(request: Request, candidates: Iterable[EndpointState], now_ns: int, limits: Limits) -> bool:
    """Return whether a request without an attempt in flight should be queued again, without a new token.

    Its queue deadline must be in the future, and an attempt at one of the candidates must be allowed: a
    request that may not be forwarded anywhere is rejected at once.
    """
    if now_ns >= request.queue_deadline_ns:
        return False
    return any(may_forward(request, state.endpoint, now_ns=now_ns, limits=limits) for state in candidates)


def may_reject(request: Request) -> bool:
    """Return whether a request may be rejected: its client may retry it without a second effect."""
    request_class = request.request_class
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    if (
        request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
        and request_class.deduplication_scope is DeduplicationScope.ALL
    ):
        return True
    return not any(attempt.may_have_run for attempt in request.attempts)
