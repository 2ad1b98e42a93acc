"""The kinds of requests, faults and rules of the soak test."""

from __future__ import annotations

from enum import StrEnum


class RequestKind(StrEnum):
    """Whether a request may be repeated; the value names its profile and is the first segment of its path."""

    READ = "read"  # safe to repeat
    BOOK = "book"  # may be repeated within the deduplication window of its idempotency key
    PAY = "pay"  # unsafe to repeat


class AttemptOutcome(StrEnum):
    """How an endpoint ended an attempt."""

    SERVED = "served"
    DECLINED = "declined"  # turned away without running it
    ERROR = "error"
    RESET = "reset"  # connection aborted before the response
    CUT = "cut"  # connection aborted in the middle of the response


class Rule(StrEnum):
    """A rule of the service, or a sign that the balancer process is unhealthy."""

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
    HUNG = "hung"  # never responds
    DECLINING = "declining"  # responds with 503 and Srv-Declined
    RESETTING = "resetting"  # aborts the connection before the response
    CUTTING = "cutting"  # aborts the connection before the last byte of the response
    FAILING = "failing"  # responds with 500


class DiscoveryCondition(StrEnum):
    """How discovery responds to calls."""

    UP = "up"
    DOWN = "down"  # aborts polls; a pushing discovery defers its changes instead
    SLOW = "slow"
    SILENT = "silent"  # accepts calls but does not respond


class BadClientKind(StrEnum):
    """What a client sends in place of a complete, valid request."""

    NOTHING = "nothing"
    GARBAGE = "garbage"
    HALF_A_REQUEST = "half a request"
