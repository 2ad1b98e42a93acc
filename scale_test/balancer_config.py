"""Writes the configuration files of the balancers of an experiment."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import orjson

from scale_test.plan import Plan, zone_name
from scale_test.units import NS_PER_MS

REQUEST_CLASS = "reading"
TENANT = "ash"

Json = dict[str, Any]
Address = tuple[str, int]


def format_address(address: Address) -> str:
    """Format an address as `host:port`, as in the configuration file."""
    host, port = address
    return f"{host}:{port}"


def settings(plan: Plan, index: int, zone: str) -> Json:
    """Return the settings of the balancer with this index among all replicas."""
    profile = {
        "name": REQUEST_CLASS,
        "repeat": "read_like",
        "aim_ns": 400 * NS_PER_MS,
        "worth": 1.0,
        "late_worth": 0.2,
        "hard_limit_ns": 2000 * NS_PER_MS,
    }
    limits = {
        "send_cap": 3,
        "may_cancel": True,
        "retry_after": True,
        "conn_idle_ns": 60_000 * NS_PER_MS,
        "connect_timeout_ns": 200 * NS_PER_MS,
    }
    rules = {
        "ask_within_ns": 10_000 * NS_PER_MS,
        "stop_sending_within_ns": 250 * NS_PER_MS,
        "cold_ns": 8000 * NS_PER_MS,
    }
    return {
        "me": index,
        "replicas_of_me": plan.replica_count,
        "locality": zone,
        "zones": [zone_name(number) for number in range(plan.zones)],
        "registry_mode": plan.mode,
        "weight_source": "none",
        "realms": [{"name": TENANT, "share": 1.0}],
        "profiles": [profile],
        "limits": limits,
        "rules": rules,
        "prices": {"connection": 0.03, "cross_zone": 0.025},
    }


class ConfigurationWriter:
    """Writes the configuration files of balancers, which are identified by their numbers."""

    def __init__(
        self, plan: Plan, folder: Path, discovery_addresses: Sequence[Address], known_list: bytes
    ) -> None:
        self._plan = plan
        self._folder = folder
        self._discovery_addresses = discovery_addresses
        self._known_list = known_list  # encoded JSON, the same bytes for all balancers because it is large

    def configuration(self, number: int) -> Json:
        """Return a balancer's configuration without its listening address and the endpoint list.

        The indexes of the balancers that run are spread evenly over those of all replicas.
        """
        plan = self._plan
        index = number * plan.replica_count // plan.balancers
        return {
            "name": f"n{index}",
            "discovery": format_address(self._discovery_addresses[number]),
            "seed": f"{plan.seed}-{number}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings(plan, index, zone_name(number % plan.zones)),
        }

    def write(self, name: str, number: int, listen: str) -> Path:
        """Write a balancer's configuration file, with the endpoint list, and return the file's path."""
        path = self._folder / f"{name}.json"
        text = orjson.dumps({**self.configuration(number), "listen": listen})
        path.write_bytes(text[:-1] + b',"known":%b}' % self._known_list)
        return path

    def hollow_overrides(self, number: int) -> Json:
        """Return the values in which a hollow balancer differs from the configuration of its process."""
        configuration = self.configuration(number)
        return {
            "name": configuration["name"],
            "discovery": self._discovery_addresses[number],
            "seed": self._plan.seed + number,
            "me": configuration["settings"]["me"],
            "zone": configuration["settings"]["locality"],
        }
