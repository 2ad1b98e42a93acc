"""The kinds of requests, faults and rules of the soak test."""

from __future__ import annotations

from enum import StrEnum


class RequestKind(StrEnum):
    """What a repetition of a request does; the value is its class and the first part of its path."""

    READ = "read"  # safe to repeat
    BOOK = "book"  # with an idempotency key
    PAY = "pay"  # unsafe to repeat


class AttemptOutcome(StrEnum):
    """How an endpoint ended an attempt."""

    SERVED = "served"
    DECLINED = "declined"  # never ran
    ERROR = "error"
    RESET = "reset"
    CUT = "cut"  # in the middle of the response


class Rule(StrEnum):
    """A rule of the service, or a sign that the process is unhealthy."""

    LOST = "lost"
    UNANSWERED = "unanswered"
    DUPLICATE = "duplicate"
    DRAIN = "drain"
    GONE_CLIENT = "gone client"
    INVENTED_RESPONSE = "invented response"
    LATE_AT_SHUTDOWN = "late at shutdown"
    BAD_CLIENT = "bad client"
    GROWTH = "growth"
    CRASH = "crash"
    READINESS = "readiness"
    TRACEBACK = "traceback"


class EndpointBehavior(StrEnum):
    """How an endpoint treats requests."""

    NORMAL = "normal"
    SLOW = "slow"
    HUNG = "hung"
    DECLINING = "declining"
    RESETTING = "resetting"
    CUTTING = "cutting"
    FAILING = "failing"


class DiscoveryCondition(StrEnum):
    """How discovery treats calls."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    SILENT = "silent"


class BadClientKind(StrEnum):
    """What a client sends in place of a proper request."""

    NOTHING = "nothing"
    GARBAGE = "garbage"
    HALF_A_REQUEST = "half a request"
