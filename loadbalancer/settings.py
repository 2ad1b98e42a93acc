"""Typed settings of the decisions, with their defaults (read from JSON by `settings_reader`).

All times and durations are whole nanoseconds (`_ns`).

Some settings are carried because the wire has them, and no decision reads them: of the limits `gossip`,
`max_streams_per_connection`, `cpu_us_per_s` and `cpu_us_per_request`; of the rules `drain_notice_ns`,
`overload_window_ns` and `answer_grace_ns`; of the prices all but `cross_zone`, `health_check` and
`connection`; of a request class `priority_weight` and `latency_objective_stretch`; `Tenant.quota_per_s`,
`over_quota_weight` and `client_retries_marked`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """Whether a request of a class may be sent again."""

    IDEMPOTENT = "idempotent"  # may run any number of times
    IDEMPOTENCY_KEY = "idempotency_key"  # carries a key, by which one group of endpoints drops repeats
    NON_IDEMPOTENT = "non_idempotent"  # must never run twice


class DeduplicationScope(Enum):
    """Which endpoints know that a request with an idempotency key has run, and drop its repeats."""

    ALL = "all"  # every endpoint
    ZONE = "zone"  # those in the zone of the first
    CELL = "cell"  # those in the cell of the first


class WeightSource(Enum):
    """What an endpoint's weight in the list is made of."""

    NONE = "none"  # always 1
    NOMINAL = "nominal"  # its registered size
    ROUGH = "rough"  # about its size
    LIVE = "live"  # its size / (1 + the requests in flight there a core, a while ago)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What the requests of one class have in common."""

    name: str
    # Repeats.
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL  # with an idempotency key
    deduplication_window_ns: int = 0  # for which repeats are dropped, from the first send that may have run
    # What a response is worth.
    latency_objective_ns: int = 1_000_000_000  # a response within this has the full weight
    priority_weight: float = 1.0  # of a response in time
    late_weight_factor: float = 0.0  # fraction of the weight that a response after the objective has
    stream: bool = False  # responses are streamed; `ResponseStarted` reports that one has begun
    latency_objective_stretch: float = 0.0  # the objective grows by this multiple of the request's own work
    client_timeout_ns: int = 0  # the client's wait over all its attempts; 0: not known
    # Placement: the only endpoints that may be used; None: any.
    allowed_zones: frozenset[str] | None = None
    allowed_machine_types: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class Tenant:
    """A group of clients with a quota of its own."""

    name: str
    quota_share: float = 1.0  # its fraction of the service
    quota_per_s: float = 0.0  # requests a second, over all proxies, within that share; 0: not known


@dataclass(frozen=True, slots=True)
class Limits:
    """What a proxy may do."""

    # Features.
    max_attempts: int = 1  # of one request: hedged ones count, those never begun do not
    hedging: bool = False  # two attempts of a request may be out at the same time
    cancellation: bool = False  # attempts may be cancelled
    health_checks: bool = False  # may be sent
    gossip: bool = False  # messages to other proxies may be sent
    retry_after: bool = False  # rejections may tell clients how long to wait
    max_retry_after_ns: int = 1_000_000_000  # longest wait that a client follows
    # Connections to endpoints.
    connect_timeout_ns: int = 250_000_000
    connection_idle_timeout_ns: int = 0  # idle connections are closed after this; 0: not given
    max_streams_per_connection: int = 1  # attempts that one connection carries at once
    # Resources of the proxy.
    max_pending_requests: int = 0  # requests that may be open at once; 0: no limit given
    cpu_us_per_s: int = 0  # processor time, in microseconds a second; 0: no limit given
    cpu_us_per_request: float = 0.0  # that a request and its attempts take, in microseconds; 0: no such limit


@dataclass(frozen=True, slots=True)
class Rules:
    """How endpoints, discovery and clients behave."""

    # Discovery.
    drain_notice_ns: int = 1_000_000_000  # within which sends to a draining or removed endpoint must end
    poll_interval_ns: int = 10_000_000_000  # a proxy that has not polled for this long counts as notified
    # Slow start: a started endpoint warms up; how its capacity grows in this time isn't known.
    slow_start_initial_capacity: float = 0.3  # least part of the full capacity at the start
    slow_start_ns: int = 0  # longest time until the full capacity; 0: there is no slow start
    # Overload: one that warms up fails for good if it is sent too much for too long.
    overload_factor: float = 3.0  # more than this many times its current capacity
    overload_window_ns: int = 2_000_000_000  # for this long
    # Responses.
    rejected_may_have_run: bool = False  # an endpoint's rejection is no proof that the request never ran
    answer_grace_ns: int = 0  # a final response this long after the deadline still counts


@dataclass(frozen=True, slots=True)
class Prices:
    """Points taken off the operators' rating of a site, each times the rate given here."""

    cross_zone: float = 0.0  # attempts at endpoints in other zones, per first attempt
    waste: float = 0.0  # endpoints' work that served no response, as a fraction of the work offered
    health_check: float = 0.0  # health checks, per first attempt
    gossip: float = 0.0  # bytes delivered to other proxies / 256, per first attempt
    connection: float = 0.0  # mean number of open connections an endpoint / 100
    handshake: float = 0.0  # new connections, per first attempt
    late_failure: float = 0.0  # weight of requests that were not served, and ended after their objective
    endpoint_list: float = 0.0  # entries sent by discovery / 100, per first attempt


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of the decisions of one proxy."""

    # This proxy among the others.
    proxy_index: int = 0  # from 0 to below proxy_count
    proxy_count: int = 1
    zone: str = ""  # of this proxy
    zones: Sequence[str] = ()  # all
    # Traffic.
    request_classes: Mapping[str, RequestClass] = field(default_factory=dict)  # by name
    tenants: Mapping[str, Tenant] = field(default_factory=dict)  # by name
    over_quota_weight: float = 1.0  # factor on the weight of requests beyond their tenant's quota
    client_retries_marked: bool = False  # clients mark their retries
    # What the proxy may do, what it must expect, and what that costs.
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    prices: Prices = field(default_factory=Prices)
    # What is known of endpoints.
    discovery_pushes: bool = True  # updates of the list come by themselves; else a proxy has to poll
    load_report_columns: Sequence[str] = ()  # names of the figures in a load report
    load_reports_in_responses: bool = False  # else in the responses to health checks alone
    weight_source: WeightSource = WeightSource.NONE
