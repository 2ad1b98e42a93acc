"""Typed settings of the policy and the proxy, with their defaults (read from JSON by `settings_reader`).

All times and durations are whole nanoseconds (`_ns`), except CPU time, which is in microseconds (`cpu_us_`).

Neither the policy nor the proxy uses these settings, which are read only because the wire has them:

- `Limits`: `gossip`, `max_streams_per_connection`, `cpu_us_per_s` and `cpu_us_per_request`
- `Rules`: `drain_notice_ns`, `overload_window_ns` and `answer_grace_ns`
- `Prices`: all but `cross_zone`, `health_check` and `connection`
- `RequestClass`: `priority_weight` and `latency_objective_stretch`
- `Tenant`: `quota_per_s`
- `Settings`: `over_quota_weight` and `client_retries_marked`
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """Whether a request of a class may be sent again."""

    IDEMPOTENT = "idempotent"  # may run any number of times
    IDEMPOTENCY_KEY = "idempotency_key"  # carries a key, by which one group of endpoints drops duplicates
    NON_IDEMPOTENT = "non_idempotent"  # must never run twice


class DeduplicationScope(Enum):
    """Which endpoints know that a request with an idempotency key has run, and drop its duplicates."""

    ALL = "all"  # every endpoint
    ZONE = "zone"  # those in the zone of the endpoint that ran it first
    CELL = "cell"  # those in the cell of the endpoint that ran it first


class WeightSource(Enum):
    """What an endpoint's weight in the list is derived from."""

    NONE = "none"  # always 1
    NOMINAL = "nominal"  # its registered size
    ROUGH = "rough"  # approximately its size
    LIVE = "live"  # its size / (1 + requests in flight per core there, as of some time ago)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The properties that all requests of a class have in common."""

    name: str
    # Retries.
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL  # for requests with a key
    deduplication_window_ns: int = 0  # duplicates are dropped for this long after the first that may have run
    # Value of a response.
    latency_objective_ns: int = 1_000_000_000  # a response within this time has the full weight
    priority_weight: float = 1.0  # weight of a response within the objective
    late_weight_factor: float = 0.0  # fraction of that weight for a later response
    stream: bool = False  # responses are streamed; `ResponseStarted` reports that one has begun
    latency_objective_stretch: float = 0.0  # the objective grows by this multiple of the request's own work
    client_timeout_ns: int = 0  # how long the client waits over all its attempts; 0: unknown
    # Placement: only endpoints in these zones and on these machine types may be used; None: no restriction.
    allowed_zones: frozenset[str] | None = None
    allowed_machine_types: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class Tenant:
    """A group of clients with a quota of its own."""

    name: str
    quota_share: float = 1.0  # the tenant's quota, as a fraction of the whole service
    quota_per_s: float = 0.0  # requests per second, over all proxies, within the quota; 0: unknown


@dataclass(frozen=True, slots=True)
class Limits:
    """What a proxy may do, and the resources that it may use."""

    # Features.
    max_attempts: int = 1  # per request, hedged ones included; see `AttemptEnded.counts_as_attempt`
    hedging: bool = False  # two attempts of a request may be in flight at the same time
    cancellation: bool = False  # attempts may be cancelled
    health_checks: bool = False  # health checks may be sent
    gossip: bool = False  # messages to other proxies may be sent
    retry_after: bool = False  # rejections may say after how long clients should retry
    max_retry_after_ns: int = 1_000_000_000  # the longest Retry-After that clients respect
    # Connections to endpoints.
    connect_timeout_ns: int = 250_000_000
    connection_idle_timeout_ns: int = 0  # endpoints close idle connections after this time; 0: not set
    max_streams_per_connection: int = 1  # concurrent attempts on one connection
    # Resources of the proxy.
    max_pending_requests: int = 0  # requests that may be pending at the same time; 0: no limit
    cpu_us_per_s: int = 0  # CPU time in microseconds per second; 0: no limit
    cpu_us_per_request: float = 0.0  # CPU time of a request and its attempts, in microseconds; 0: no limit


@dataclass(frozen=True, slots=True)
class Rules:
    """How endpoints, discovery and clients behave."""

    # Discovery.
    drain_notice_ns: int = 1_000_000_000  # sends to a draining or removed endpoint must end within this time
    poll_interval_ns: int = 10_000_000_000  # a proxy counts as notified if it has not polled for this long
    # Slow start: an endpoint warms up after its start; how its capacity grows meanwhile is unknown.
    slow_start_initial_capacity: float = 0.3  # lowest capacity at the start, as a fraction of the full one
    slow_start_ns: int = 0  # longest time from start to full capacity; 0: no slow start
    # Overload: an endpoint in slow start fails for good if it is sent more than `overload_factor` times its
    # current capacity for `overload_window_ns`.
    overload_factor: float = 3.0
    overload_window_ns: int = 2_000_000_000
    # Responses.
    rejected_may_have_run: bool = False  # a request that an endpoint rejected may have run
    answer_grace_ns: int = 0  # a final response this long after the deadline still counts


@dataclass(frozen=True, slots=True)
class Prices:
    """Points deducted from the operators' rating of a site: each field times the rate in its comment."""

    cross_zone: float = 0.0  # attempts at endpoints in other zones, per first attempt
    waste: float = 0.0  # work of endpoints that led to no response, as a fraction of the work offered
    health_check: float = 0.0  # health checks, per first attempt
    gossip: float = 0.0  # bytes delivered to other proxies / 256, per first attempt
    connection: float = 0.0  # mean number of open connections per endpoint / 100
    handshake: float = 0.0  # new connections, per first attempt
    late_failure: float = 0.0  # weight of the requests that failed after their latency objective
    endpoint_list: float = 0.0  # entries sent by discovery / 100, per first attempt


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one proxy and its policy."""

    # This proxy among the others.
    proxy_index: int = 0  # from 0 to below proxy_count
    proxy_count: int = 1
    zone: str = ""  # the zone that this proxy runs in
    zones: Sequence[str] = ()  # all zones
    # Traffic.
    request_classes: Mapping[str, RequestClass] = field(default_factory=dict)  # by name
    tenants: Mapping[str, Tenant] = field(default_factory=dict)  # by name
    over_quota_weight: float = 1.0  # factor for the weight of requests beyond their tenant's quota
    client_retries_marked: bool = False  # clients mark their retries
    # What the proxy may do, what it must expect, and what its actions cost.
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    prices: Prices = field(default_factory=Prices)
    # What discovery and endpoints report.
    discovery_pushes: bool = True  # discovery pushes updates of the list; False: a proxy has to poll
    load_report_columns: Sequence[str] = ()  # names of the values in a load report
    load_reports_in_responses: bool = False  # False: only in the responses to health checks
    weight_source: WeightSource = WeightSource.NONE
