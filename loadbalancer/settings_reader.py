"""Reads the settings of the policy from JSON, as the operators' wire page describes them under "Settings".

The object has the same form on the simulator's wire and in a proxy's configuration file. Unknown keys are
ignored; an absent key leaves the default of its field in `loadbalancer/settings.py`, with one exception: a
request class without `repeat` is not idempotent.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Any, TypeVar

from loadbalancer.settings import (
    DeduplicationScope,
    Idempotency,
    Limits,
    Prices,
    RequestClass,
    Rules,
    Settings,
    Tenant,
    WeightSource,
)

EnumT = TypeVar("EnumT", bound=Enum)

Json = dict[str, Any]
"""A JSON object, as parsed."""

IDEMPOTENCY_BY_NAME = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.IDEMPOTENCY_KEY,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
# Keys on the wire and the fields that they set. If a key is absent or null, the field keeps its default.
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


class SettingsError(ValueError):
    """The settings object is invalid; the message names the key and the problem with its value."""


def read_settings(raw: Json) -> Settings:
    """Read the settings object; numbers and flags are not checked.

    Raises:
        SettingsError: A name is missing, or an object, an array, a name or an enumerated value is invalid.
    """
    if not isinstance(raw, dict):
        raise SettingsError(f"settings: {raw!r} is not an object")
    load_report = _object(raw, "load_report")
    clients = _object(raw, "clients")
    return Settings(
        proxy_index=raw.get("me", 0),
        proxy_count=raw.get("replicas_of_me", 1),
        zone=raw.get("locality") or "",
        discovery_pushes=raw.get("registry_mode", "push") == "push",
        request_classes=_read_request_classes(raw),
        tenants=_read_tenants(raw),
        limits=Limits(**_present_fields(_object(raw, "limits"), LIMIT_FIELDS)),
        rules=Rules(**_present_fields(_object(raw, "rules"), RULE_FIELDS)),
        prices=Prices(**_present_fields(_object(raw, "prices"), PRICE_FIELDS)),
        load_report_columns=_sequence(load_report, "columns"),
        load_reports_in_responses=load_report.get("how") == "answers",
        zones=_sequence(raw, "zones"),
        weight_source=_enum_member(WeightSource, raw.get("weight_source") or "none", "weight_source"),
        client_retries_marked=bool(clients.get("marks_retry")),
        **_present_fields(raw, {"over_share_worth": "over_quota_weight"}),
    )


def _read_request_classes(raw: Json) -> dict[str, RequestClass]:
    return {row["name"]: _read_request_class(row, path) for row, path in _named_rows(raw, "profiles")}


def _read_tenants(raw: Json) -> dict[str, Tenant]:
    rows = _named_rows(raw, "realms")
    return {row["name"]: Tenant(row["name"], **_present_fields(row, TENANT_FIELDS)) for row, _ in rows}


def _read_request_class(row: Json, path: str) -> RequestClass:
    fields = _present_fields(row, REQUEST_CLASS_FIELDS)
    for key, field_name in PLACEMENT_FIELDS.items():
        if row.get(key) is not None:
            fields[field_name] = _name_set(row[key], f"{path}.{key}")
    return RequestClass(
        name=row["name"],
        idempotency=_idempotency(row.get("repeat", "non_idempotent"), f"{path}.repeat"),
        deduplication_scope=_enum_member(
            DeduplicationScope, row.get("dedup_scope") or "all", f"{path}.dedup_scope"
        ),
        **fields,
    )


def _present_fields(raw: Json, fields_by_key: Mapping[str, str]) -> Json:
    """Return the values of the keys that are present and not null, each under the name of its field."""
    return {field_name: raw[key] for key, field_name in fields_by_key.items() if raw.get(key) is not None}


def _object(raw: Json, key: str) -> Json:
    """Return the object under a key, or an empty one if the key is absent or null."""
    value = raw.get(key) or {}
    if not isinstance(value, dict):
        raise SettingsError(f"{key}: {value!r} is not an object")
    return value


def _sequence(raw: Json, key: str) -> tuple[str, ...]:
    """Return the array under a key, or an empty one if the key is absent or null."""
    value = raw.get(key) or ()
    try:
        return tuple(value)
    except TypeError:
        raise SettingsError(f"{key}: {value!r} is not an array") from None


def _named_rows(raw: Json, key: str) -> list[tuple[Json, str]]:
    """Return the objects of the array under a key, each with its path for error messages.

    Raises:
        SettingsError: The value is not an array of objects that each have a name.
    """
    rows = raw.get(key) or []
    if not isinstance(rows, list):
        raise SettingsError(f"{key}: {rows!r} is not an array")
    named = [(row, f"{key}[{index}]") for index, row in enumerate(rows)]
    for row, path in named:
        if not isinstance(row, dict):
            raise SettingsError(f"{path}: {row!r} is not an object")
        if "name" not in row:
            raise SettingsError(f"{path}.name: missing")
        if isinstance(row["name"], dict | list):
            raise SettingsError(f"{path}.name: {row['name']!r} is not a name")
    return named


def _name_set(value: Iterable[str], path: str) -> frozenset[str]:
    try:
        return frozenset(value)
    except TypeError:
        raise SettingsError(f"{path}: {value!r} is not an array of names") from None


def _idempotency(value: object, path: str) -> Idempotency:
    if not isinstance(value, str) or value not in IDEMPOTENCY_BY_NAME:
        raise SettingsError(f"{path}: {value!r} is not one of {', '.join(IDEMPOTENCY_BY_NAME)}")
    return IDEMPOTENCY_BY_NAME[value]


def _enum_member(enum_class: type[EnumT], value: object, path: str) -> EnumT:
    """Return the member of an enumeration with the given value."""
    try:
        return enum_class(value)
    except ValueError:
        names = ", ".join(str(member.value) for member in enum_class)
        raise SettingsError(f"{path}: {value!r} is not one of {names}") from None
