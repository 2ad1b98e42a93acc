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

    LOST = "lost"  # the connection of a request ended without a response
    UNANSWERED = "unanswered"  # no response, or one long after the deadline
    DUPLICATE = "duplicate"  # an attempt or a rejection by which a request may run twice
    DRAIN = "drain"  # an attempt at a draining or removed endpoint after its grace period
    GONE_CLIENT = "gone client"  # an attempt after its client disconnected
    INVENTED_RESPONSE = "invented response"  # a response that no endpoint made
    LATE_AT_SHUTDOWN = "late at shutdown"  # a request sent late after SIGTERM got no response until SIGKILL
    BAD_CLIENT = "bad client"  # a bad client got neither an error nor a close in time
    GROWTH = "growth"  # too much memory or too many open descriptors
    CRASH = "crash"  # an exit before SIGTERM, or an exit status other than 0 after it
    READINESS = "readiness"  # not ready in time after the start
    TRACEBACK = "traceback"  # a traceback in the log


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
