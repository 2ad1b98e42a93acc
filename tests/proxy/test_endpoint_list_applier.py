"""Tests that lists applied in slices do not undo newer changes, and that connections follow the lists."""

from __future__ import annotations

import asyncio

from loadbalancer.messages import EndpointStatus, EndpointUpdate, EndpointUpdateKind
from loadbalancer.proxy.endpoint_list_applier import SLICE_ENTRIES
from loadbalancer.state.endpoint_ids import preferred_id
from tests.support.endpoint_lists import complete_list, entry, list_of_ports, read_list, read_live_list
from tests.support.fake_policies import ScriptedPolicy
from tests.support.running_proxy import running_proxy
from tests.support.waiting import wait_until


async def test_removed_endpoints_are_forgotten() -> None:
    async with running_proxy(ScriptedPolicy(), initial_list=list_of_ports(1, 2)) as client:
        proxy = client.proxy
        proxy.list_applier.on_discovery_result(
            read_list({"seq": 2, "whole": False, "hosts": [entry("s0", health="removed")]})
        )
        assert set(proxy.addresses.by_id) == {preferred_id("s1")}
        proxy.list_applier.on_discovery_result(read_list({"seq": 3, "whole": True, "hosts": []}))
        assert not proxy.addresses.by_id
        assert not proxy.addresses.pools
        assert not proxy.list_applier._pending


def later_updates(script: ScriptedPolicy, first: int = 1) -> list[EndpointUpdate]:
    return script.events_of(EndpointUpdate)[first:]


def last_statuses(script: ScriptedPolicy) -> dict[int, EndpointStatus]:
    return {
        endpoint.id: endpoint.status
        for update in script.events_of(EndpointUpdate)
        for endpoint in update.endpoints
    }


async def test_a_long_list_is_applied_in_slices_between_other_work() -> None:
    script, turns = ScriptedPolicy(), 0
    async with running_proxy(script, initial_list=complete_list(3)) as client:
        client.proxy.list_applier.on_discovery_result(read_live_list(complete_list(1000, 2, first=2)))
        while client.proxy.list_applier.task is not None:
            await asyncio.sleep(0)
            turns += 1
        assert turns >= 1000 // SLICE_ENTRIES  # event loop turns in which requests are served
        assert max(len(list(update.endpoints)) for update in later_updates(script)) <= SLICE_ENTRIES
        assert {update.kind for update in later_updates(script)} == {EndpointUpdateKind.DELTA}
        removed = {
            endpoint_id
            for endpoint_id, status in last_statuses(script).items()
            if status is EndpointStatus.REMOVED
        }
        assert removed == {preferred_id("s0"), preferred_id("s1")}  # s2 is in both lists
        assert set(client.proxy.addresses.by_id) == {preferred_id(f"s{number}") for number in range(2, 1002)}
        assert not client.proxy.addresses.pools  # no pools where nothing is sent


async def test_a_delta_received_while_a_long_list_is_applied_is_not_undone() -> None:
    script = ScriptedPolicy()
    async with running_proxy(script, initial_list=complete_list(3)) as client:
        proxy = client.proxy
        proxy.list_applier.on_discovery_result(read_live_list(complete_list(500, 2)))
        # This list waits until the first one is applied.
        proxy.list_applier.on_discovery_result(read_live_list(complete_list(500, 3)))
        delta = {
            "seq": 4,
            "whole": False,
            "hosts": [entry("s499", health="draining"), entry("s498", health="removed"), entry("new", 7)],
        }
        proxy.list_applier.on_discovery_result(read_live_list(delta))  # applied at once
        assert proxy.list_applier.task is not None
        hosts = ("s499", "s498", "new")
        assert [endpoint.id for endpoint in later_updates(script)[-1].endpoints] == [
            preferred_id(host) for host in hosts
        ]
        await wait_until(lambda: proxy.list_applier.task is None)
        assert last_statuses(script)[preferred_id("s499")] is EndpointStatus.DRAINING
        assert last_statuses(script)[preferred_id("s498")] is EndpointStatus.REMOVED
        assert last_statuses(script)[preferred_id("new")] is EndpointStatus.READY
        assert len(proxy.addresses.by_id) == 500
        assert not {preferred_id("s499"), preferred_id("s498")} & set(proxy.addresses.ready())
        # A newer complete list supersedes all earlier ones.
        proxy.list_applier.on_discovery_result(read_live_list(complete_list(300, 5)))
        await wait_until(lambda: proxy.list_applier.task is None)
        assert len(proxy.addresses.ready()) == 300


async def test_a_short_complete_list_after_a_long_one_is_applied_in_slices_too() -> None:
    script = ScriptedPolicy()
    async with running_proxy(script, initial_list=complete_list(3)) as client:
        for version, count in ((2, 700), (3, 2)):
            client.proxy.list_applier.on_discovery_result(read_live_list(complete_list(count, version)))
            await wait_until(lambda: client.proxy.list_applier.task is None)
        assert max(len(list(update.endpoints)) for update in later_updates(script)) <= SLICE_ENTRIES
        assert len(client.proxy.addresses.by_id) == 2


async def test_connection_pools_are_kept_only_for_endpoints_in_use() -> None:
    async with running_proxy(ScriptedPolicy(), initial_list=complete_list(200)) as client:
        endpoint_ids = list(client.proxy.addresses.ready())
        assert client.proxy.addresses.connection_pool(
            endpoint_ids[3]
        ) is client.proxy.addresses.connection_pool(endpoint_ids[3])
        assert list(client.proxy.addresses.pools) == [endpoint_ids[3]]
        assert client.proxy.addresses.connection_pool(1) is None
        client.proxy.addresses.forget_empty_pools()
        assert not client.proxy.addresses.pools
