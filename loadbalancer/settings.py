"""Typed settings of the decisions, and reading them from JSON.

The JSON object is the same on the simulator's wire and in a real balancer's configuration file. All times
are whole nanoseconds on the caller's clock.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


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


class WeightSource(Enum):
    """What the weight of a list entry says."""

    NONE = "none"  # always 1
    NOMINAL = "nominal"  # its registered size
    ROUGH = "rough"  # its size, about
    LIVE = "live"  # its size over 1 + the requests it held a core a while ago


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


Json = dict[str, Any]
IDEMPOTENCY_BY_NAME = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.IDEMPOTENCY_KEY,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
# Names on the wire, and the fields that they fill. A value that is absent or null keeps the field's default.
REQUEST_CLASS_FIELDS = {
    "window_ns": "deduplication_window_ns",
    "aim_ns": "latency_objective_ns",
    "worth": "priority_weight",
    "late_worth": "late_weight_factor",
    "stream": "stream",
    "aim_stretch": "latency_objective_stretch",
    "hard_limit_ns": "client_timeout_ns",
}
PLACEMENT_FIELDS = {
    "runs_in": "allowed_zones",
    "allowed_on": "allowed_machine_types",
}
TENANT_FIELDS = {
    "share": "quota_share",
    "quota_per_s": "quota_per_s",
}
LIMIT_FIELDS = {
    "send_cap": "max_attempts",
    "second_copies": "hedging",
    "may_cancel": "cancellation",
    "probes": "health_checks",
    "peers": "gossip",
    "retry_after": "retry_after",
    "max_retry_after_ns": "max_retry_after_ns",
    "connect_timeout_ns": "connect_timeout_ns",
    "conn_idle_ns": "connection_idle_timeout_ns",
    "max_streams": "max_streams_per_connection",
    "max_open": "max_pending_requests",
    "cpu_us_per_s": "cpu_us_per_s",
    "cpu_us_per_request": "cpu_us_per_request",
}
RULE_FIELDS = {
    "grace_to_answer_ns": "answer_grace_ns",
    "stop_sending_within_ns": "drain_notice_ns",
    "ask_within_ns": "poll_interval_ns",
    "cold_from": "slow_start_initial_capacity",
    "cold_ns": "slow_start_ns",
    "fall_multiple": "overload_factor",
    "overload_for_ns": "overload_window_ns",
    "full_unproven": "rejected_may_have_run",
}
PRICE_FIELDS = {
    "registry_mode": "endpoint_list",
    "cross_zone": "cross_zone",
    "waste": "waste",
    "probe": "health_check",
    "peer": "gossip",
    "connection": "connection",
    "handshake": "handshake",
    "late_fail": "late_failure",
}


def _pick(known: Json, names: Mapping[str, str]) -> Json:
    """The known settings among those sent, under the names of their fields; the rest keep their defaults."""
    return {field_name: known[name] for name, field_name in names.items() if known.get(name) is not None}


def _read_request_class(row: Json) -> RequestClass:
    fields = _pick(row, REQUEST_CLASS_FIELDS)
    for name, field_name in PLACEMENT_FIELDS.items():
        if row.get(name) is not None:
            fields[field_name] = frozenset(row[name])
    return RequestClass(
        row["name"],
        IDEMPOTENCY_BY_NAME[row.get("repeat", "non_idempotent")],
        DeduplicationScope(row.get("dedup_scope") or "all"),
        **fields,
    )


def _read_tenant(row: Json) -> Tenant:
    return Tenant(row["name"], **_pick(row, TENANT_FIELDS))


def read_settings(raw: Json) -> Settings:
    """Read the settings object of the wire (WIRE, Settings).

    Times are in nanoseconds; unknown keys are ignored. KeyError, TypeError, ValueError or AttributeError is
    raised where the object cannot be used.
    """
    load_report = raw.get("load_report") or {}
    clients = raw.get("clients") or {}
    return Settings(
        proxy_index=raw.get("me", 0),
        proxy_count=raw.get("replicas_of_me", 1),
        zone=raw.get("locality") or "",
        discovery_pushes=raw.get("registry_mode", "push") == "push",
        request_classes={row["name"]: _read_request_class(row) for row in raw.get("profiles") or ()},
        tenants={row["name"]: _read_tenant(row) for row in raw.get("realms") or ()},
        limits=Limits(**_pick(raw.get("limits") or {}, LIMIT_FIELDS)),
        rules=Rules(**_pick(raw.get("rules") or {}, RULE_FIELDS)),
        prices=Prices(**_pick(raw.get("prices") or {}, PRICE_FIELDS)),
        load_report_columns=tuple(load_report.get("columns") or ()),
        load_reports_in_responses=load_report.get("how") == "answers",
        zones=tuple(raw.get("zones") or ()),
        weight_source=WeightSource(raw.get("weight_source") or "none"),
        client_retries_marked=bool(clients.get("marks_retry")),
        **_pick(raw, {"over_share_worth": "over_quota_weight"}),
    )
