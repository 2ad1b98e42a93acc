"""Tests that endpoint ids are the same in every process, and unique where hashes collide."""

from __future__ import annotations

import json

import pytest

from loadbalancer.proxy.endpoint_list import EndpointList
from loadbalancer.proxy.endpoint_list_reader import EndpointListReader
from loadbalancer.proxy.errors import EndpointListError
from loadbalancer.proxy.proxy import Proxy
from loadbalancer.state.endpoint_ids import SEGMENTS, EndpointIdRegistry, preferred_id
from tests.support.endpoint_lists import entry, list_json, list_of_ports, read_list
from tests.support.fake_discovery import FakeDiscovery
from tests.support.fake_policies import ScriptedPolicy
from tests.support.http_messages import HOST
from tests.support.running_proxy import running_proxy
from tests.support.waiting import wait_until

SHARED_ID = 7  # the id that all colliding hosts prefer


def test_a_host_has_the_same_id_in_every_process() -> None:
    listed = [entry("s-5be2a07c"), entry("s-0001320d"), entry("s-0001e3f4")]
    first, second = (
        read_list({"seq": 1, "whole": True, "hosts": hosts}, EndpointListReader(offset))
        for offset, hosts in ((0, listed), (9, listed[::-1]))
    )
    assert list(first.ids) == list(second.ids)[::-1]  # for any reader and any order of the entries
    assert first.ids[0] == preferred_id("s-5be2a07c") == 9587356208999800076


def test_colliding_hosts_get_different_ids(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("loadbalancer.proxy.endpoint_list_parser.preferred_id", lambda _host: 7)
    endpoint_list = read_list({"seq": 1, "whole": True, "hosts": [entry("a", 80), entry("b", 81)]})
    assert len(set(endpoint_list.ids)) == 2


def read_hosts(
    reader: EndpointListReader, version: int, *hosts: object, complete: bool = False
) -> EndpointList:
    return read_list(list_json(version, *hosts, whole=complete), reader)


@pytest.fixture
def colliding_ids(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("loadbalancer.proxy.endpoint_list_parser.preferred_id", lambda _host: SHARED_ID)


def ids_by_port(proxy: Proxy) -> dict[int, int]:
    """Return the id of each ready endpoint, by its port."""
    return {port: endpoint_id for endpoint_id, (_, port) in proxy.addresses.ready().items()}


@pytest.mark.usefixtures("colliding_ids")
def test_a_colliding_host_keeps_its_id_in_every_list() -> None:
    reader = EndpointListReader(0)
    assert list(read_hosts(reader, 1, entry("a"), entry("b"), entry("a"), complete=True).ids) == [7, 8, 7]
    assert list(read_hosts(reader, 2, entry("c"), entry("b", health="draining")).ids) == [9, 8]
    assert list(read_hosts(reader, 3, entry("c"), entry("b"), entry("a"), complete=True).ids) == [9, 8, 7]
    assert list(read_hosts(reader, 4, entry("b", health="removed", dial="")).ids) == [8]
    assert read_hosts(reader, 5, entry("c", health="odd"), entry("a", dial="h")).invalid_entry_ids == [
        9,
        7,
    ]
    unknown = read_hosts(reader, 6, entry("x", health="removed", dial=""), entry("y", health="odd"))
    assert not list(unknown.ids)
    assert not unknown.invalid_entry_ids


@pytest.mark.usefixtures("colliding_ids")
async def test_a_delta_that_adds_a_colliding_host_leaves_its_partner() -> None:
    discovery, script = FakeDiscovery(), ScriptedPolicy()
    discovery.entries = {"s0": entry("s0", 1)}
    async with running_proxy(script, discovery=discovery, initial_list=list_of_ports(1)) as client:
        await wait_until(lambda: discovery.calls)
        discovery.change("s1", dial=f"{HOST}:2")
        await wait_until(lambda: len(client.proxy.addresses.ready()) == 2)
        assert ids_by_port(client.proxy) == {1: SHARED_ID, 2: SHARED_ID + 1}


@pytest.mark.usefixtures("colliding_ids")
async def test_colliding_hosts_of_the_cached_list_keep_their_ids() -> None:
    script = ScriptedPolicy()
    async with running_proxy(script, initial_list=list_of_ports(1, 2)) as client:
        assert script.endpoint_ids() == [SHARED_ID, SHARED_ID + 1]
        proxy = client.proxy
        proxy.list_applier.on_discovery_result(
            read_hosts(proxy._list_reader, 2, entry("s1", 4), entry("s0", 3), complete=True)
        )
        await wait_until(lambda: proxy.list_applier.task is None)
        assert ids_by_port(proxy) == {3: SHARED_ID, 4: SHARED_ID + 1}


@pytest.mark.usefixtures("colliding_ids")
@pytest.mark.parametrize("swept", [False, True])
@pytest.mark.parametrize("complete", [False, True])
@pytest.mark.parametrize("removed", [0, 1])
async def test_a_removed_host_can_return_while_its_colliding_partner_stays(
    removed: int, complete: bool, swept: bool
) -> None:
    async with running_proxy(ScriptedPolicy(), initial_list=list_of_ports(1, 2)) as client:
        proxy, remaining = client.proxy, 1 - removed

        def apply(*hosts: object, complete: bool = False) -> None:
            version = (proxy._list_reader._newest_version or 0) + 1
            proxy.list_applier.on_discovery_result(
                read_hosts(proxy._list_reader, version, *hosts, complete=complete)
            )
            if swept:
                proxy.list_applier.sweep_ids(SEGMENTS)

        if complete:
            apply(entry(f"s{remaining}", remaining + 1), complete=True)
        else:
            apply(entry(f"s{removed}", health="removed", dial=""))
        assert ids_by_port(proxy) == {remaining + 1: SHARED_ID + remaining}
        apply(entry(f"s{remaining}", remaining + 1))
        assert ids_by_port(proxy) == {remaining + 1: SHARED_ID + remaining}  # it keeps its id
        apply(entry(f"s{removed}", removed + 1))
        assert ids_by_port(proxy) == {1: SHARED_ID, 2: SHARED_ID + 1}


@pytest.mark.usefixtures("colliding_ids")
async def test_an_id_is_freed_only_after_its_hosts_removal_is_applied() -> None:
    async with running_proxy(ScriptedPolicy(), initial_list=list_of_ports(1, 2)) as client:
        proxy, reader = client.proxy, client.proxy._list_reader
        many_entries = [entry(f"s{number}", number + 1) for number in range(1, 100)]
        # This list is applied in slices.
        proxy.list_applier.on_discovery_result(read_hosts(reader, 2, *many_entries, complete=True))
        assert proxy.list_applier.task is not None
        proxy.list_applier.sweep_ids(SEGMENTS)
        assert len(reader.id_registry) == 100
        assert list(read_hosts(reader, 3, entry("new", 200)).ids) == [SHARED_ID + 100]  # no id is free yet
        await wait_until(lambda: proxy.list_applier.task is None)
        proxy.list_applier.sweep_ids(SEGMENTS)
        assert len(reader.id_registry) == len(proxy.addresses.by_id) == 99
        assert list(read_hosts(reader, 4, entry("newer", 201)).ids) == [SHARED_ID]


async def test_the_ids_of_hosts_that_come_and_go_are_freed() -> None:
    async with running_proxy(ScriptedPolicy(), initial_list=list_of_ports(1)) as client:
        proxy, reader = client.proxy, client.proxy._list_reader
        for version in range(2, 50):
            proxy.list_applier.on_discovery_result(
                read_hosts(reader, version, entry(f"x{version}"), complete=True)
            )
        with pytest.raises(EndpointListError):
            read_list({"hosts": [entry("bad")]}, reader)
        read_hosts(reader, 1, entry("late"))  # older than the last list: ignored
        abandoned = reader.read_cooperatively(bytearray(json.dumps(list_of_ports(*range(1, 200))).encode()))
        next(abandoned)
        proxy.list_applier.sweep_ids(SEGMENTS)
        assert len(reader.id_registry) > 50  # the list being read may contain any of them
        abandoned.close()
        for _ in range(SEGMENTS):  # as the proxy does each second
            assert proxy._sweep_timer is not None
            proxy._sweep_timer.cancel()
            proxy._sweep_once()
        assert len(reader.id_registry) == len(proxy.addresses.by_id) == 1


def test_swept_hosts_are_forgotten_and_the_next_free_id_wraps_around() -> None:
    registry, last = EndpointIdRegistry(), 2**64 - 1
    assert [registry.assign(last, fingerprint) for fingerprint in (1, 2, 3)] == [last, 0, 1]
    registry.sweep({last, 1})
    assert [registry.find(last, fingerprint) for fingerprint in (1, 2, 3)] == [last, None, 1]
    assert registry.assign(last, 4) == 0
    assert registry.find(last, 4) == 0
    registry.sweep({0})
    assert registry.assign(last, 3) == last
    assert len(registry) == 2


def test_hosts_that_would_collide_in_32_bits_get_different_ids() -> None:
    # With 32-bit ids, two of some 77,000 hosts collide with a probability of one half; ids must not depend on
    # which of them came first.
    assert preferred_id("s-0001320d") % 2**32 == preferred_id("s-0001e3f4") % 2**32
    assert preferred_id("s-0001320d") != preferred_id("s-0001e3f4")
    assert len({preferred_id(f"s-{number:08x}") for number in range(160_000)}) == 160_000
