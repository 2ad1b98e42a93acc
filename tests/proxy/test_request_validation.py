"""Validation of client requests, without sockets."""

from __future__ import annotations

import pytest

from loadbalancer.proxy.http import Message
from loadbalancer.proxy.request_validation import (
    BODY_NOT_ALLOWED,
    MALFORMED,
    MAX_DEADLINE_MS,
    UNKNOWN_METHOD,
    WRONG_METHOD,
    ErrorResponse,
    ValidRequest,
    validate_request,
)
from loadbalancer.settings import Idempotency, RequestClass
from loadbalancer.units import NANOSECONDS_PER_MILLISECOND

CLASSES = {
    "read": RequestClass("read"),
    "pay": RequestClass("pay", Idempotency.NON_IDEMPOTENT),
    "book": RequestClass("book", Idempotency.IDEMPOTENCY_KEY),
}
ID = (b"req-id", b"7")
DEADLINE = (b"req-deadline-ms", b"250")


def message(
    method: bytes = b"GET", target: bytes = b"/read", *headers: tuple[bytes, bytes], body: bytes = b""
) -> Message:
    return Message(list(headers or (ID, DEADLINE)), bytearray(body), True, method, target)


@pytest.mark.parametrize(
    ("request_message", "class_name"),
    [
        (message(), "read"),
        (message(b"GET", b"/read?x=1"), "read"),
        (message(b"GET", b"/read/more/of/it?x=/pay"), "read"),
        (message(b"POST", b"/pay", body=b"x"), "pay"),
        (message(b"POST", b"/book"), "book"),
    ],
)
def test_the_first_path_segment_names_the_class(request_message: Message, class_name: str) -> None:
    assert validate_request(request_message, CLASSES) == ValidRequest(
        class_name, b"7", 250 * NANOSECONDS_PER_MILLISECOND, class_name == "read"
    )


def test_a_long_deadline_is_reduced_to_the_maximum() -> None:
    request_message = message(b"GET", b"/read", ID, (b"req-deadline-ms", b"%d" % (MAX_DEADLINE_MS + 1)))

    assert validate_request(request_message, CLASSES) == ValidRequest(
        "read", b"7", MAX_DEADLINE_MS * NANOSECONDS_PER_MILLISECOND, idempotent=True
    )


@pytest.mark.parametrize(
    ("request_message", "rejected"),
    [
        (message(b"PUT"), UNKNOWN_METHOD),
        (message(b"PUT", b"/unknown"), UNKNOWN_METHOD),
        (message(b"GET", b"/unknown"), MALFORMED),
        (message(b"GET", b"/read#part"), MALFORMED),
        (message(b"GET", b"/read", ID), MALFORMED),
        (message(b"GET", b"/read", DEADLINE), MALFORMED),
        (message(b"GET", b"/read", DEADLINE, ID, ID), MALFORMED),
        (message(b"GET", b"/read", DEADLINE, (b"req-id", b"")), MALFORMED),
        (message(b"GET", b"/read", ID, (b"req-deadline-ms", b"0")), MALFORMED),
        (message(b"GET", b"/read", ID, (b"req-deadline-ms", b"-1")), MALFORMED),
        (message(b"GET", b"/read", ID, (b"req-deadline-ms", b"soon")), MALFORMED),
        (message(b"GET", b"/pay"), WRONG_METHOD[b"POST"]),
        (message(b"POST", b"/read"), WRONG_METHOD[b"GET"]),
        (message(body=b"x"), BODY_NOT_ALLOWED),
    ],
)
def test_an_invalid_request_is_rejected(request_message: Message, rejected: ErrorResponse) -> None:
    assert validate_request(request_message, CLASSES) is rejected


@pytest.mark.parametrize(
    ("rejected", "status", "headers"),
    [
        (UNKNOWN_METHOD, 405, [(b"Allow", b"GET, POST")]),
        (WRONG_METHOD[b"GET"], 405, [(b"Allow", b"GET")]),
        (WRONG_METHOD[b"POST"], 405, [(b"Allow", b"POST")]),
        (MALFORMED, 400, []),
        (BODY_NOT_ALLOWED, 400, []),
    ],
)
def test_a_rejection_has_a_status_and_headers(
    rejected: ErrorResponse, status: int, headers: list[tuple[bytes, bytes]]
) -> None:
    assert rejected.status == status
    assert list(rejected.headers) == headers
