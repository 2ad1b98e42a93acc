"""Validation of a client's request before it is admitted, and the responses to invalid ones."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from loadbalancer.proxy.http import Headers, Message, parse_decimal
from loadbalancer.proxy.http_status import BAD_REQUEST, CONFLICT, METHOD_NOT_ALLOWED, SERVICE_UNAVAILABLE
from loadbalancer.proxy.wire_names import (
    ALLOW_HEADER,
    DEADLINE_MS_HEADER,
    REQUEST_ID_HEADER,
    RETRY_AFTER_HEADER,
)
from loadbalancer.settings import Idempotency, RequestClass
from loadbalancer.units import NANOSECONDS_PER_MILLISECOND

METHOD_BY_IDEMPOTENCY = {
    Idempotency.IDEMPOTENT: b"GET",
    Idempotency.IDEMPOTENCY_KEY: b"POST",
    Idempotency.NON_IDEMPOTENT: b"POST",
}
ALLOWED_METHODS = frozenset(METHOD_BY_IDEMPOTENCY.values())

# Longer deadlines are reduced to this.
MAX_DEADLINE_MS = 600_000

# Sent as Retry-After when a request is rejected because too many are pending.
TOO_MANY_PENDING_RETRY_AFTER_S = 1


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """The response to a request that is invalid or can't be added to the pending ones."""

    status: int
    headers: Headers = ()


@dataclass(slots=True)  # not frozen: each request creates one, and a frozen one takes several times as long
class ValidRequest:
    """The values that the proxy needs from a valid request."""

    class_name: str
    client_request_id: bytes
    timeout_ns: int  # counts from the time at which the request was received
    idempotent: bool  # whether the request may run more than once


UNKNOWN_METHOD = ErrorResponse(METHOD_NOT_ALLOWED, ((ALLOW_HEADER, b"GET, POST"),))
WRONG_METHOD = {
    allowed: ErrorResponse(METHOD_NOT_ALLOWED, ((ALLOW_HEADER, allowed),)) for allowed in ALLOWED_METHODS
}
MALFORMED = ErrorResponse(BAD_REQUEST)

# An endpoint does not read the body of a GET, and would parse it as the next request.
BODY_NOT_ALLOWED = ErrorResponse(BAD_REQUEST)

# The responses to two pending requests with the same id could not be told apart, and a request that may have
# run must not run again under its id.
DUPLICATE_ID = ErrorResponse(CONFLICT)
TOO_MANY_PENDING = ErrorResponse(
    SERVICE_UNAVAILABLE, ((RETRY_AFTER_HEADER, b"%d" % TOO_MANY_PENDING_RETRY_AFTER_S),)
)


def validate_request(request: Message, classes: Mapping[str, RequestClass]) -> ValidRequest | ErrorResponse:
    """Validate a request without regard to other requests.

    The first segment of the path must name a request class, and the method must be the one of that class.
    There must be exactly one request id, the deadline must be a positive integer, the target has no fragment,
    and a GET has no body.
    """
    if request.method not in ALLOWED_METHODS:
        return UNKNOWN_METHOD
    class_name = request.target[1:].partition(b"?")[0].partition(b"/")[0].decode("latin-1")
    request_class = classes.get(class_name)
    timeout_ms = parse_decimal(request.header(DEADLINE_MS_HEADER))
    request_ids = [value for name, value in request.headers if name == REQUEST_ID_HEADER]
    if request_class is None or not timeout_ms or b"#" in request.target:
        return MALFORMED
    if len(request_ids) != 1 or not request_ids[0]:
        return MALFORMED
    allowed_method = METHOD_BY_IDEMPOTENCY[request_class.idempotency]
    if request.method != allowed_method:
        return WRONG_METHOD[allowed_method]
    if request.method == b"GET" and request.body:
        return BODY_NOT_ALLOWED
    return ValidRequest(
        class_name,
        request_ids[0],
        min(timeout_ms, MAX_DEADLINE_MS) * NANOSECONDS_PER_MILLISECOND,
        request_class.idempotency is Idempotency.IDEMPOTENT,
    )
