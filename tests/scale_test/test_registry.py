"""The registry of the fake discovery: full lists, and the changes made after a version."""

from __future__ import annotations

import json

from scale_test.plan import Plan
from scale_test.registry import Health, Registry, version_of_share

PLAN = Plan(upstreams=4, zones=2, real=1, hollow=1, hollow_processes=1)


def hosts(text: bytes) -> list[str]:
    return [row["host"] for row in json.loads(text)["hosts"]]


def test_the_registry_returns_full_lists_and_changes_after_a_version() -> None:
    registry = Registry(PLAN, ["127.0.0.1:1", "127.0.0.1:2"])
    assert json.loads(registry.full_list())["hosts"][3] == {
        "host": "s-00000003",
        "dial": "127.0.0.1:2",
        "site": "r0-z1",
        "class": "m2",
        "block": 0,
        "health": "up",
        "share": 1.0,
        "born_ms": 0,
    }
    assert registry.full_list() is registry.full_list()  # encoded once for each version
    registry.change([1], Health.DRAINING)
    registry.change([0, 2])
    registry.change([1], Health.REMOVED)
    delta = json.loads(registry.changes_after(2))
    assert (delta["seq"], delta["whole"]) == (4, False)
    assert {row["host"]: (row["health"], version_of_share(row["share"])) for row in delta["hosts"]} == {
        "s-00000000": ("up", 3),
        "s-00000001": ("removed", 4),
        "s-00000002": ("up", 3),
    }
    assert hosts(registry.changes_after(4)) == []
    for after in (None, 0, 9):  # none, older than the log, newer than the list
        assert json.loads(registry.changes_after(after))["whole"]
    assert hosts(registry.full_list()) == ["s-00000000", "s-00000002", "s-00000003"]
    registry.change([1], Health.UP, restarted=True)
    row = json.loads(registry.changes_after(4))["hosts"][0]
    assert row["health"] == "up"
    assert row["born_ms"] > 1_600_000_000_000
    registry.forget_changes()
    assert json.loads(registry.changes_after(4))["whole"]
    assert not json.loads(registry.changes_after(5))["whole"]
