"""The processes of an experiment: they are watched, and known by the balancers' numbers."""

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


async def test_an_experiment_ends_when_it_needs_too_much_or_a_process_has_ended(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    cluster = Cluster(PLAN, tmp_path)
    sleeper = await cluster.start_helper(HelperRole.LOAD, "sleeper")
    monkeypatch.setattr("scale_test.cluster.memory_limit", lambda: 1)
    with pytest.raises(ExperimentError, match="MB of memory used"):
        await cluster.watch()
    await sleeper.kill()
    with pytest.raises(ExperimentError, match="sleeper has ended"):
        await cluster.watch()


async def test_balancers_are_known_by_their_numbers(tmp_path: Path) -> None:
    # They start side by side: which is up first must not say which has clients, or whose figures are whose.
    plan = Plan(upstreams=50, zones=5, real=4, hollow=5, hollow_processes=3, wholes=0)
    cluster = Cluster(plan, tmp_path)
    try:
        await cluster.start()
        assert await cluster.discovery.wait_settled(WAIT_TIMEOUT_S)
        called = [
            {tuple(c.raddr) for c in psutil.Process(p.pid).net_connections("tcp") if c.raddr}
            for p in (*cluster.real, *(helper.process for helper in cluster.hollow))
        ]
        callers = cluster.discovery_addresses
        assert called == [*({c} for c in callers[:4]), *(set(callers[4 + i :: 3]) for i in range(3))]
        for process, address in zip(cluster.real, cluster.listen_addresses, strict=True):
            assert address in [c.laddr for c in psutil.Process(process.pid).net_connections("tcp")]
    finally:
        await cluster.kill()
