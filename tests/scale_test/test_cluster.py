"""The processes of an experiment: how they are monitored, and that they are ordered by balancer number."""

from __future__ import annotations

from pathlib import Path

import psutil
import pytest

from scale_test.child_process import HelperRole
from scale_test.cluster import Cluster
from scale_test.errors import ExperimentError
from scale_test.plan import Plan
from tests.support.waiting import WAIT_TIMEOUT_S

PLAN = Plan(upstreams=4, zones=2, real=1, hollow=1, hollow_processes=1)


async def test_watch_fails_over_the_memory_limit_or_if_a_process_exits(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    cluster = Cluster(PLAN, tmp_path)
    sleeper = await cluster.start_helper(HelperRole.LOAD, "sleeper")
    monkeypatch.setattr("scale_test.cluster.memory_limit", lambda: 1)
    with pytest.raises(ExperimentError, match="MB of memory used"):
        await cluster.watch()
    await sleeper.kill()
    with pytest.raises(ExperimentError, match="sleeper exited"):
        await cluster.watch()


async def test_processes_are_ordered_by_balancer_number(tmp_path: Path) -> None:
    # Balancers start concurrently. If they were numbered in the order in which they became ready, the
    # clients would call another one than planned, and figures would be reported for the wrong balancer.
    plan = Plan(upstreams=50, zones=5, real=4, hollow=5, hollow_processes=3, wholes=0)
    cluster = Cluster(plan, tmp_path)
    try:
        await cluster.start()
        assert await cluster.discovery.wait_settled(WAIT_TIMEOUT_S)
        called = [
            {tuple(c.raddr) for c in psutil.Process(child.pid).net_connections("tcp") if c.raddr}
            for child in (*cluster.real, *(helper.process for helper in cluster.hollow))
        ]
        expected = cluster.discovery_addresses
        assert called == [*({c} for c in expected[:4]), *(set(expected[4 + i :: 3]) for i in range(3))]
        for process, address in zip(cluster.real, cluster.listen_addresses, strict=True):
            assert address in [c.laddr for c in psutil.Process(process.pid).net_connections("tcp")]
    finally:
        await cluster.kill()
