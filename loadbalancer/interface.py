"""The interface of the decision module: its settings, the events it takes, the actions it gives.

One `Balancer` (see `policy.py`) is one proxy. It is handed the clock and a seed; it opens no socket, reads
no clock and keeps no thread. All times are whole nanoseconds on the caller's clock. Nothing here decides.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple


class Idempotency(Enum):
    """What repeating a request of a class may do."""

    IDEMPOTENT = "idempotent"  # may be repeated and refused freely
    IDEMPOTENCY_KEY = "idempotency_key"  # carries a key: one group of upstreams drops its repeats for a while
    NON_IDEMPOTENT = "non_idempotent"  # must never run twice


class DeduplicationScope(Enum):
    """Which upstreams drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class EndpointStatus(Enum):
    """What discovery says of an upstream."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class WeightSource(Enum):
    """What the weight of a list entry says."""

    NONE = "none"  # always 1
    NOMINAL = "nominal"  # its registered size
    ROUGH = "rough"  # its size, about
    LIVE = "live"  # its size over 1 + the requests it held a core a while ago


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


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ns: int = (
        0  # keyed: how long repeats are dropped, from the first send that may have run
    )
    latency_objective_ns: int = 1_000_000_000  # an answer within this earns the full worth
    priority_weight: float = 1.0
    late_weight_factor: float = 0.0  # share of the worth for an answer after the aim
    stream: bool = False
    latency_objective_stretch: float = 0.0  # the aim grows by this multiple of the request's own work
    client_timeout_ns: int = 0  # the client's whole wait over all its tries; 0: not told
    allowed_zones: frozenset[str] | None = None  # placement: the sole zones it may be sent to; None: any
    allowed_machine_types: frozenset[str] | None = None  # and the sole kinds of machine


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    quota_share: float = 1.0
    quota_per_s: float = 0.0  # over all proxies; 0: not told


@dataclass(frozen=True, slots=True)
class Limits:
    max_attempts: int = 1
    hedging: bool = False
    cancellation: bool = False
    health_checks: bool = False
    gossip: bool = False
    retry_after: bool = False
    max_retry_after_ns: int = 1_000_000_000
    connect_timeout_ns: int = 250_000_000
    connection_idle_timeout_ns: int = 0  # idle connections are closed after this; 0: not told
    max_streams_per_connection: int = 1  # attempts that one connection carries at once
    max_pending_requests: int = 0  # requests a proxy may hold open; 0: not told
    cpu_us_per_s: int = 0  # CPU a proxy may use; 0: no limit told
    cpu_us_per_request: float = 0.0


@dataclass(frozen=True, slots=True)
class Rules:
    drain_notice_ns: int = 1_000_000_000  # sends to a draining upstream must end within this
    poll_interval_ns: int = 10_000_000_000  # without news for this long, a proxy counts as told
    slow_start_initial_capacity: float = 0.3  # a started upstream begins at this share of its capacity
    slow_start_ns: int = 0  # and is warm after this
    overload_factor: float = 3.0  # sent more than this many times what it can do
    overload_window_ns: int = 2_000_000_000  # for this long, it falls over
    rejected_may_have_run: bool = False  # turned away as full is no proof that it never ran
    answer_grace_ns: int = 0  # a final answer this long after the deadline still counts


@dataclass(frozen=True, slots=True)
class Prices:
    cross_zone: float = 0.0
    waste: float = 0.0
    health_check: float = 0.0
    gossip: float = 0.0
    connection: float = 0.0
    handshake: float = 0.0
    late_failure: float = 0.0
    endpoint_list: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    proxy_index: int = 0
    proxy_count: int = 1
    zone: str = ""
    zones: Sequence[str] = ()
    discovery_pushes: bool = True  # list changes come by themselves
    request_classes: Mapping[str, RequestClass] = field(default_factory=dict)
    tenants: Mapping[str, Tenant] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    prices: Prices = field(default_factory=Prices)
    load_report_columns: Sequence[str] = ()  # what load reports hold
    load_reports_in_responses: bool = False
    weight_source: WeightSource = WeightSource.NONE
    over_quota_weight: float = 1.0  # worth of traffic beyond a tenant's share
    client_retries_marked: bool = False  # clients flag their retries


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
