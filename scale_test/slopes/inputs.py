"""Generates endpoint lists and settings of any size, as in discovery's JSON and in configuration files."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from scale_test.plan import MAX_ZONES, zone_name
from scale_test.registry import UPSTREAMS_PER_BLOCK
from scale_test.units import NS_PER_S

ZONES = [zone_name(number) for number in range(MAX_ZONES)]

Json = dict[str, Any]


def endpoint_row(number: int, machine_classes: int = 1, dial: str = "", **overrides: object) -> Json:
    """Return one endpoint as a row of discovery's list; `overrides` replaces fields of it."""
    return {
        "host": f"s-{number:08x}",
        "dial": dial or f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:3000",
        "site": ZONES[number % len(ZONES)],
        "class": f"m{number % machine_classes}",
        "block": number // UPSTREAMS_PER_BLOCK,
        "health": "up",
        "share": 1.0,
        "born_ms": 0,
        **overrides,
    }


def endpoint_list(rows: Sequence[Json], version: int = 1, *, full: bool = True) -> Json:
    """Return a response of discovery: the full list, or only the rows that changed."""
    return {"seq": version, "whole": full, "hosts": list(rows)}


def raw_settings(tenants: int = 2, routes: int = 1, *, placed: bool = False) -> Json:
    """Return the settings as the configuration file has them.

    Args:
        tenants: Number of tenants, each with an equal share.
        routes: Number of request classes.
        placed: Whether each request class has placement: it is allowed on one machine class only.
    """
    profiles: list[Json] = []
    for number in range(routes):
        profile: Json = {"name": f"c{number}", "repeat": "read_like", "aim_ns": NS_PER_S // 2}
        if placed:
            profile["allowed_on"] = [f"m{number}"]
        profiles.append(profile)
    return {
        "me": 7,
        "replicas_of_me": 8800,
        "locality": ZONES[0],
        "zones": ZONES,
        "profiles": profiles,
        "realms": [
            {"name": f"t{number}", "share": 1 / tenants, "quota_per_s": 1.0} for number in range(tenants)
        ],
        "prices": {"connection": 0.03, "cross_zone": 0.02},
        "limits": {"send_cap": 2},
    }
