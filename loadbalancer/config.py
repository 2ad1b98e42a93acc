"""Reading the settings: one JSON object, the same on the simulator's wire and in a real balancer's file."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from loadbalancer import interface as api

Json = dict[str, Any]

IDEMPOTENCY_BY_NAME = {
    "read_like": api.Idempotency.IDEMPOTENT,
    "idempotency_key": api.Idempotency.IDEMPOTENCY_KEY,
    "non_idempotent": api.Idempotency.NON_IDEMPOTENT,
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


def _read_request_class(row: Json) -> api.RequestClass:
    fields = _pick(row, REQUEST_CLASS_FIELDS)
    for name, field_name in PLACEMENT_FIELDS.items():
        if row.get(name) is not None:
            fields[field_name] = frozenset(row[name])
    return api.RequestClass(
        row["name"],
        IDEMPOTENCY_BY_NAME[row.get("repeat", "non_idempotent")],
        api.DeduplicationScope(row.get("dedup_scope") or "all"),
        **fields,
    )


def _read_tenant(row: Json) -> api.Tenant:
    return api.Tenant(row["name"], **_pick(row, TENANT_FIELDS))


def read_settings(raw: Json) -> api.Settings:
    """Read the settings object of the wire (WIRE, Settings).

    Times are in nanoseconds; unknown keys are ignored. KeyError, TypeError, ValueError or AttributeError is
    raised where the object cannot be used.
    """
    load_report = raw.get("load_report") or {}
    clients = raw.get("clients") or {}
    return api.Settings(
        proxy_index=raw.get("me", 0),
        proxy_count=raw.get("replicas_of_me", 1),
        zone=raw.get("locality") or "",
        discovery_pushes=raw.get("registry_mode", "push") == "push",
        request_classes={row["name"]: _read_request_class(row) for row in raw.get("profiles") or ()},
        tenants={row["name"]: _read_tenant(row) for row in raw.get("realms") or ()},
        limits=api.Limits(**_pick(raw.get("limits") or {}, LIMIT_FIELDS)),
        rules=api.Rules(**_pick(raw.get("rules") or {}, RULE_FIELDS)),
        prices=api.Prices(**_pick(raw.get("prices") or {}, PRICE_FIELDS)),
        load_report_columns=tuple(load_report.get("columns") or ()),
        load_reports_in_responses=load_report.get("how") == "answers",
        zones=tuple(raw.get("zones") or ()),
        weight_source=api.WeightSource(raw.get("weight_source") or "none"),
        client_retries_marked=bool(clients.get("marks_retry")),
        **_pick(raw, {"over_share_worth": "over_quota_weight"}),
    )
