"""The interface of the decisions: events that they take and actions that they return.

One `Balancer` (`loadbalancer/policy/balancer.py`) decides for one proxy. It is handed the clock and a seed;
it opens no socket, reads no clock and keeps no thread. All times are whole nanoseconds on the caller's clock,
and all durations whole nanoseconds. Nothing here decides.

Messages are named tuples, not dataclasses: several are made for each request, and tuples are made fastest.

Some messages are never sent or read by the decisions, and exist because the simulator's wire and the proxy
have them: `FetchEndpoints` (`WatchEndpoints` brings the list as well), `SendGossip` and `GossipReceived`
(each proxy decides by what it sees itself), `CloseIdleConnections` (idle connections time out in the proxy)
and `LogMessage`. Removing one would change the wire.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple


class EndpointStatus(Enum):
    """What discovery says of an endpoint."""

    REMOVED = 0  # no longer listed
    READY = 1
    DRAINING = 2  # takes no new requests; it is about to shut down


class EndpointUpdateKind(Enum):
    """What an endpoint update carries."""

    DELTA = 0  # only the entries that changed
    FULL = 1  # the complete list
    CACHED = 2  # the complete list as last known before a restart, perhaps out of date
    FAILED = 3  # a call to discovery failed or the watch broke; no entries
    WATCH_TIMED_OUT = 4  # the watch fell silent and its events are lost; no entries. Never on the wire


class AttemptResult(Enum):
    """How an attempt or a health check ended, and whether the request may have run at the endpoint."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    REJECTED = "rejected"  # the endpoint rejected it before working on it; never ran
    TIMEOUT = "timeout"  # may have run, may still run
    CONNECT_FAILED = "connect_failed"  # no connection; never ran
    RESET = "reset"  # the connection broke; may have run
    CANCELLED = "cancelled"  # by `CancelAttempt`; may have run
    NOT_SENT = "not_sent"  # the proxy did not send it at all; never ran


# Results after which a request may be sent again even if it is not idempotent.
NEVER_RAN = frozenset({AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT})


class Endpoint(NamedTuple):
    """An entry of the endpoint list: one upstream server."""

    id: int  # below 2^64
    status: EndpointStatus = EndpointStatus.READY
    zone: str = ""
    cell: int = 0  # the group of machines in the zone that share a fate; keyed requests may stay in one
    weight: float = 1.0  # its capacity beside that of others; `WeightSource` says what it is made of
    started_ns: int = 0  # time of its last start; 0: long ago
    machine_type: str = ""


# ---- events --------------------------------------------------------------------------------------------


class EndpointUpdate(NamedTuple):
    """Discovery gave a list or changes of it, or failed."""

    kind: EndpointUpdateKind
    endpoints: Iterable[Endpoint] = ()  # iterated over once


class RequestArrived(NamedTuple):
    """A client's request; the proxy now owes it one final answer."""

    request_id: str
    class_name: str  # of its `RequestClass`
    tenant: str  # empty: none
    deadline_ns: int  # time after which the answer is worth nothing
    cost_hint_ns: int = 0  # work that the client expects it to take; 0: no hint
    affinity_key: str = ""  # empty: none
    is_retry: bool = False  # the client says that it has sent the same before


class AttemptEnded(NamedTuple):
    """How one attempt ended; every `Forward` gets exactly one."""

    request_id: str
    attempt: int
    endpoint_id: int
    result: AttemptResult
    elapsed_ns: int  # since the attempt started
    request_complete: bool = False  # the client has its final answer
    load_report: Mapping[str, float] | None = None  # that came with the response, by column name


class ResponseStarted(NamedTuple):
    """A streamed response has begun; the request's deadline no longer runs."""

    request_id: str
    attempt: int
    endpoint_id: int
    elapsed_ns: int  # since the attempt started


class ClientDisconnected(NamedTuple):
    """The client has gone; its request needs no answer any more."""

    request_id: str


class HealthCheckEnded(NamedTuple):
    """How a `CheckHealth` ended; each gets exactly one."""

    endpoint_id: int
    result: AttemptResult
    elapsed_ns: int
    load_report: Mapping[str, float] | None = None


class GossipReceived(NamedTuple):
    """A message of another proxy came in. The decisions ignore it."""

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
    """Start an attempt. A request's attempts are numbered from 0 in the order of their sends."""

    request_id: str
    endpoint_id: int
    timeout_ns: int = 0  # the attempt is ended after this; 0: when the client gives up


class Reject(NamedTuple):
    """Final answer: rejected; the request never ran, and trying again is harmless."""

    request_id: str
    retry_after_ns: int = 0  # the client is asked to wait this long; 0: it is told nothing


class Fail(NamedTuple):
    """Final answer: failed, with no promise about its effect."""

    request_id: str


class CancelAttempt(NamedTuple):
    """End an attempt whose response is not wanted any more, as that of a hedged request."""

    request_id: str
    attempt: int


class CheckHealth(NamedTuple):
    """Send a health check, which also asks for the endpoint's load report."""

    endpoint_id: int


class SendGossip(NamedTuple):
    """Send a message to other proxies. The decisions never do."""

    data: bytes
    recipient: int = -1  # proxy index; -1: all peers


class CloseIdleConnections(NamedTuple):
    """Close this proxy's idle connections to an endpoint. The decisions never ask for it."""

    endpoint_id: int


class WatchEndpoints(NamedTuple):
    """Begin to watch discovery for changes of the endpoint list, or end it."""

    watch: bool = True


class FetchEndpoints(NamedTuple):
    """Ask discovery for the endpoint list once. The decisions never do."""


class SetTimer(NamedTuple):
    """Set a timer, which gives one `TimerExpired` with its name."""

    delay_ns: int
    name: str


class LogMessage(NamedTuple):
    """Write a log line. The decisions never do."""

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
