"""Reading the settings: one JSON object, the same on the simulator's wire and in a real balancer's file."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from loadbalancer import interface as api

Json = dict[str, Any]

EFFECTS = {
    "read_like": api.Idempotency.IDEMPOTENT,
    "idempotency_key": api.Idempotency.IDEMPOTENCY_KEY,
    "non_idempotent": api.Idempotency.NON_IDEMPOTENT,
}


def _pick(known: Json, names: Mapping[str, str]) -> Json:
    """The known settings among those sent, under the interface's names; the rest keep their defaults."""
    return {ours: known[theirs] for theirs, ours in names.items() if known.get(theirs) is not None}


def read_settings(raw: Json) -> api.Settings:
    """The settings object of the wire (WIRE, Settings), times in nanoseconds; unknown keys are passed over.
    KeyError, TypeError, ValueError or AttributeError where it can't be used."""
    classes = {}
    for row in raw.get("profiles") or ():
        given = _pick(
            row,
            {
                "window_ns": "window_ns",
                "aim_ns": "aim_ns",
                "worth": "worth",
                "late_worth": "late_worth",
                "stream": "stream",
                "aim_stretch": "aim_stretch",
                "hard_limit_ns": "limit_ns",
            },
        )
        for theirs, ours in (("runs_in", "zones"), ("allowed_on", "kinds")):
            if row.get(theirs) is not None:
                given[ours] = frozenset(row[theirs])
        classes[row["name"]] = api.RequestClass(
            row["name"],
            EFFECTS[row.get("repeat", "non_idempotent")],
            api.DeduplicationScope(row.get("dedup_scope") or "all"),
            **given,
        )
    tenants = {
        row["name"]: api.Tenant(row["name"], **_pick(row, {"share": "share", "quota_per_s": "quota_per_s"}))
        for row in raw.get("realms") or ()
    }
    limits = _pick(
        raw.get("limits") or {},
        {
            "send_cap": "max_attempts",
            "second_copies": "second_copies",
            "may_cancel": "may_cancel",
            "probes": "probes",
            "peers": "peers",
            "retry_after": "retry_after",
            "max_retry_after_ns": "max_retry_after_ns",
            "connect_timeout_ns": "connect_timeout_ns",
            **{
                name: name
                for name in ("conn_idle_ns", "max_streams", "max_open", "cpu_us_per_s", "cpu_us_per_request")
            },
        },
    )
    rules = _pick(
        raw.get("rules") or {},
        {
            "grace_to_answer_ns": "answer_grace_ns",
            **{
                name: name
                for name in (
                    "stop_sending_within_ns",
                    "ask_within_ns",
                    "cold_from",
                    "cold_ns",
                    "fall_multiple",
                    "overload_for_ns",
                    "full_unproven",
                )
            },
        },
    )
    prices = _pick(
        raw.get("prices") or {},
        {
            "registry_mode": "list_lines",
            **{
                name: name
                for name in ("cross_zone", "waste", "probe", "peer", "connection", "handshake", "late_fail")
            },
        },
    )
    reports = raw.get("load_report") or {}
    return api.Settings(
        me=raw.get("me", 0),
        replicas_of_me=raw.get("replicas_of_me", 1),
        zone=raw.get("locality") or "",
        discovery_push=raw.get("registry_mode", "push") == "push",
        classes=classes,
        tenants=tenants,
        limits=api.Limits(**limits),
        rules=api.Rules(**rules),
        prices=api.Prices(**prices),
        report_columns=tuple(reports.get("columns") or ()),
        reports_in_answers=reports.get("how") == "answers",
        zones=tuple(raw.get("zones") or ()),
        weights=api.WeightSource(raw.get("weight_source") or "none"),
        retries_marked=bool((raw.get("clients") or {}).get("marks_retry")),
        **_pick(raw, {"over_share_worth": "over_share_worth"}),
    )
