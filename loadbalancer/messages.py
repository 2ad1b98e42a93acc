"""Events that the decisions take and actions that they return.

One `Balancer` (see `policy/balancer.py`) decides for one proxy. It is handed the clock and a seed; it opens
no socket, reads no clock and keeps no thread. All times are whole nanoseconds on the caller's clock. Nothing
here decides.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple


class EndpointStatus(Enum):
    """What discovery says of an upstream."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class EndpointUpdateKind(Enum):
    """What a list event carries."""

    DELTA = 0  # only changed entries
    FULL = 1  # the whole list
    CACHED = 2  # the whole list as last known before a restart, maybe old
    FAILED = 3  # a call failed or the subscription broke; no entries
    WATCH_TIMED_OUT = 4  # the subscription fell silent, its news are lost; no entries. Only on sockets


class AttemptResult(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    REJECTED = "rejected"  # turned away unseen; never ran
    TIMEOUT = "timeout"  # may have run, may still run
    CONNECT_FAILED = "connect_failed"  # never ran
    RESET = "reset"  # the connection broke; may have run
    CANCELLED = "cancelled"  # called off; may have run
    NOT_SENT = "not_sent"  # not sent at all; never ran


NEVER_RAN = frozenset({AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT})


class Endpoint(NamedTuple):
    """An entry of the upstream list."""

    id: int
    status: EndpointStatus = EndpointStatus.READY
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started_ns: int = 0  # clock time of its last start; 0: long ago
    machine_type: str = ""


# ---- events --------------------------------------------------------------------------------------------


class EndpointUpdate(NamedTuple):
    kind: EndpointUpdateKind
    endpoints: Iterable[Endpoint] = ()  # taken once


class RequestArrived(NamedTuple):
    """A client's request; the proxy now owes it one final answer."""

    request_id: str
    class_name: str
    tenant: str
    deadline_ns: int
    cost_hint_ns: int = 0
    idempotency_key: str = ""
    is_retry: bool = False


class AttemptEnded(NamedTuple):
    """How one attempt ended; every Send gets exactly one."""

    request_id: str
    attempt: int
    endpoint_id: int
    result: AttemptResult
    elapsed_ns: int
    request_complete: bool = False  # the request is over
    load_report: Mapping[str, float] | None = None


class ResponseStarted(NamedTuple):
    """A streamed answer has begun; the request's deadline no longer runs."""

    request_id: str
    attempt: int
    endpoint_id: int
    elapsed_ns: int


class ClientDisconnected(NamedTuple):
    request_id: str


class HealthCheckEnded(NamedTuple):
    endpoint_id: int
    result: AttemptResult
    elapsed_ns: int
    load_report: Mapping[str, float] | None = None


class GossipReceived(NamedTuple):
    sender: int
    data: bytes


class TimerExpired(NamedTuple):
    """A timer set with SetTimer is due."""

    name: str


Event = (
    EndpointUpdate
    | RequestArrived
    | AttemptEnded
    | ResponseStarted
    | ClientDisconnected
    | HealthCheckEnded
    | GossipReceived
    | TimerExpired
)


# ---- actions -------------------------------------------------------------------------------------------


class Forward(NamedTuple):
    """Start an attempt. A request's attempts are numbered from 0 in the order of their sends."""

    request_id: str
    endpoint_id: int
    timeout_ns: int = 0  # 0: until the client gives up


class Reject(NamedTuple):
    """Final answer: turned away; trying again is harmless."""

    request_id: str
    retry_after_ns: int = 0


class Fail(NamedTuple):
    """Final answer: failed, with no promise about its effect."""

    request_id: str


class CancelAttempt(NamedTuple):
    request_id: str
    attempt: int


class CheckHealth(NamedTuple):
    endpoint_id: int


class SendGossip(NamedTuple):
    data: bytes
    recipient: int = -1  # -1: all peers


class CloseIdleConnections(NamedTuple):
    """Close this proxy's idle connections to an upstream."""

    endpoint_id: int


class WatchEndpoints(NamedTuple):
    watch: bool = True


class FetchEndpoints(NamedTuple):
    pass


class SetTimer(NamedTuple):
    delay_ns: int
    name: str


class LogMessage(NamedTuple):
    text: str


Action = (
    Forward
    | Reject
    | Fail
    | CancelAttempt
    | CheckHealth
    | SendGossip
    | CloseIdleConnections
    | WatchEndpoints
    | FetchEndpoints
    | SetTimer
    | LogMessage
)
