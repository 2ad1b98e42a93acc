"""The interface of the policy: the events that it handles and the actions that it returns.

One `Balancer` (`loadbalancer/policy/balancer.py`) decides for one proxy. It opens no socket, reads no clock
and starts no thread: the time and the random seed are passed to it. All times are whole nanoseconds on the
caller's clock, and all durations whole nanoseconds.

Messages are named tuples instead of dataclasses: several are created for each request, and tuples are
the fastest to create.

The policy ignores or never returns some messages, which exist because the simulator's wire and the proxy have
them: `FetchEndpoints` (`WatchEndpoints` brings the complete list as well), `SendGossip` and `GossipReceived`
(each proxy decides by its own observations), `CloseIdleConnections` (idle connections time out in the proxy)
and `LogMessage`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple


class EndpointStatus(Enum):
    """The status of an endpoint in the endpoint list."""

    REMOVED = 0  # no longer listed
    READY = 1
    DRAINING = 2  # accepts no new requests; it is about to shut down


class EndpointUpdateKind(Enum):
    """What an endpoint update carries."""

    DELTA = 0  # only the entries that have changed
    FULL = 1  # the complete list
    CACHED = 2  # the complete list as stored before a restart, possibly out of date
    FAILED = 3  # a discovery call failed or the connection of the watch broke; no entries
    # The watch was not answered in time, and its events are lost; no entries. Never on the wire.
    WATCH_TIMED_OUT = 4


class AttemptResult(Enum):
    """How an attempt or a health check ended, and whether the request may have run at the endpoint."""

    OK = "ok"
    ERROR = "error"  # an error response; may have run
    REJECTED = "rejected"  # rejected by the endpoint; never ran, unless `Rules.rejected_may_have_run`
    TIMEOUT = "timeout"  # may have run, may still be running
    # No connection, the limit on connections or health checks is reached, or the connection broke before the
    # whole request was sent; never ran.
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"  # the connection broke later, or the response was invalid; may have run
    CANCELLED = "cancelled"  # by `CancelAttempt`, or since the request needs no response now; may have run
    NOT_SENT = "not_sent"  # the proxy did not send it; never ran


# Results after which a request that is not idempotent may be sent again; with
# `Rules.rejected_may_have_run` not after REJECTED.
NEVER_RAN = frozenset({AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT})


class Endpoint(NamedTuple):
    """An entry of the endpoint list."""

    id: int  # below 2^64
    status: EndpointStatus = EndpointStatus.READY
    zone: str = ""
    cell: int = 0  # the failure domain in its zone; requests with an idempotency key may have to stay in one
    weight: float = 1.0  # relative capacity; see `WeightSource`
    started_ns: int = 0  # time of the last start; 0: long ago
    machine_type: str = ""


# ---- events --------------------------------------------------------------------------------------------


class EndpointUpdate(NamedTuple):
    """The endpoint list or changes to it, or a failure of discovery."""

    kind: EndpointUpdateKind
    endpoints: Iterable[Endpoint] = ()  # iterated over once


class RequestArrived(NamedTuple):
    """A client has sent a request, which must get exactly one final response."""

    request_id: str
    class_name: str  # name of the `RequestClass`
    tenant: str  # empty: none
    deadline_ns: int  # a response after this time is useless to the client
    cost_hint_ns: int = 0  # processing time that the client expects; 0: no hint
    affinity_key: str = ""  # empty: none
    is_retry: bool = False  # marked by the client as a retry


class AttemptEnded(NamedTuple):
    """An attempt has ended; every `Forward` results in exactly one."""

    request_id: str
    attempt: int
    endpoint_id: int
    result: AttemptResult
    elapsed_ns: int  # since the attempt started
    request_complete: bool = False  # the client has its final response, or needs none any more
    load_report: Mapping[str, float] | None = None  # values by column name; None: no load report
    # For `Limits.max_attempts`. False: not sent, since the endpoint accepts no new requests, or since another
    # attempt is in flight. An attempt that is not sent because its deadline has passed counts.
    counts_as_attempt: bool = True
    was_written: bool = True  # the whole request may have reached the endpoint; False: it never ran


class ResponseStarted(NamedTuple):
    """A streamed response has begun; the request's deadline no longer applies."""

    request_id: str
    attempt: int
    endpoint_id: int
    elapsed_ns: int  # since the attempt started


class ClientDisconnected(NamedTuple):
    """The client has disconnected; its request no longer needs a final response."""

    request_id: str


class HealthCheckEnded(NamedTuple):
    """A health check has ended; every `CheckHealth` results in exactly one."""

    endpoint_id: int
    result: AttemptResult
    elapsed_ns: int
    load_report: Mapping[str, float] | None = None


class GossipReceived(NamedTuple):
    """Another proxy has sent a message. The policy ignores it."""

    sender: int  # proxy index
    data: bytes


class TimerExpired(NamedTuple):
    """A timer set with `SetTimer` is due."""

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
    """Start an attempt. A request's attempts are numbered from 0, in order, even those not sent."""

    request_id: str
    endpoint_id: int
    timeout_ns: int = 0  # 0: the request's deadline applies


class Reject(NamedTuple):
    """Send the final response "rejected": the client may retry without causing a second effect."""

    request_id: str
    retry_after_ns: int = 0  # sent as Retry-After; 0: none


class Fail(NamedTuple):
    """Send the final response "failed": the request may have had its effect."""

    request_id: str


class CancelAttempt(NamedTuple):
    """Cancel an attempt whose response is no longer needed, such as that of a hedged request."""

    request_id: str
    attempt: int


class CheckHealth(NamedTuple):
    """Send a health check; its response may carry a load report."""

    endpoint_id: int


class SendGossip(NamedTuple):
    """Send a message to other proxies. Never returned by the policy."""

    data: bytes
    recipient: int = -1  # proxy index; -1: all other proxies


class CloseIdleConnections(NamedTuple):
    """Close this proxy's idle connections to an endpoint. Never returned by the policy."""

    endpoint_id: int


class WatchEndpoints(NamedTuple):
    """Start to watch discovery for changes of the endpoint list, or stop."""

    watch: bool = True  # False: stop


class FetchEndpoints(NamedTuple):
    """Fetch the endpoint list from discovery once. Never returned by the policy."""


class SetTimer(NamedTuple):
    """Set a timer, which results in one `TimerExpired` with its name."""

    delay_ns: int
    name: str


class LogMessage(NamedTuple):
    """Write a log line. Never returned by the policy."""

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
