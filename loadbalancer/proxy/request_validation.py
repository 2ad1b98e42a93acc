"""Checks a client's request before it is admitted, and says with which answer a bad one is rejected."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from loadbalancer.proxy.http import Headers, Message, parse_decimal
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
MAX_DEADLINE_MS = 600_000  # longer deadlines are cut to this one
RETRY_AFTER_S = b"1"  # for a client that finds too many pending requests


@dataclass(frozen=True, slots=True)
class RejectedRequest:
    """The answer to a request that is not admitted."""

    status: int
    headers: Headers = ()


@dataclass(slots=True)  # not frozen: one is made for each request, and that takes a multiple of the time
class ValidRequest:
    """What the proxy needs of a request that can be admitted."""

    class_name: str
    client_request_id: bytes
    timeout_ns: int  # from the time at which the request was received


UNKNOWN_METHOD = RejectedRequest(405, ((ALLOW_HEADER, b"GET, POST"),))
MALFORMED = RejectedRequest(400)
# An endpoint reads no body behind a GET and would take it for the next request.
BODY_NOT_ALLOWED = RejectedRequest(400)
# Of two pending requests with one id, it could not be told to which of them a response belongs.
DUPLICATE_ID = RejectedRequest(409)
TOO_MANY_PENDING = RejectedRequest(503, ((RETRY_AFTER_HEADER, RETRY_AFTER_S),))
# By the method that the request class allows.
WRONG_METHOD = {method: RejectedRequest(405, ((ALLOW_HEADER, method),)) for method in ALLOWED_METHODS}


def validate_request(request: Message, classes: Mapping[str, RequestClass]) -> ValidRequest | RejectedRequest:
    """Check a request by itself.

    The first part of the path names the request class. `Req-Id` must be there once, `Req-Deadline-Ms` must
    be a positive whole number, and the method must be that of the class.
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
        class_name, request_ids[0], min(timeout_ms, MAX_DEADLINE_MS) * NANOSECONDS_PER_MILLISECOND
    )
