"""Tests that lists from discovery and the configuration are read cooperatively, with bounded size."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from loadbalancer.configuration_reader import ConfigurationError, read_configuration
from loadbalancer.messages import AttemptResult, EndpointUpdate
from loadbalancer.policy.balancer import Balancer
from loadbalancer.proxy import addresses, endpoint_list_parser
from loadbalancer.proxy.configuration import Configuration
from loadbalancer.proxy.connection_pool import ConnectionLimits, ConnectionPool
from loadbalancer.proxy.cooperative import run_to_completion
from loadbalancer.proxy.endpoint_list import EndpointList
from loadbalancer.proxy.endpoint_list_reader import YIELD_BYTES, EndpointListReader
from loadbalancer.proxy.errors import EndpointListError
from loadbalancer.proxy.exchange import start_exchange
from loadbalancer.proxy.memory_budget import MemoryBudget
from loadbalancer.proxy.proxy import Proxy
from loadbalancer.startup import freeze_heap
from loadbalancer.state import hash_ring, placement
from loadbalancer.state.endpoint_ids import preferred_id
from tests.support.endpoint_lists import Json, complete_list, entry, read_live_list
from tests.support.fake_discovery import FakeDiscovery
from tests.support.fake_endpoint import FakeEndpoint, Writer
from tests.support.fake_policies import ScriptedPolicy
from tests.support.http_messages import HOST, ReceivedMessage, format_response
from tests.support.running_proxy import proxy_settings
from tests.support.waiting import WAIT_TIMEOUT_S, wait_until


def contents(read: EndpointList) -> object:
    return read.version, read.complete, list(read.entries), read.invalid_entry_ids


ENTRIES = st.lists(
    st.one_of(
        st.builds(
            lambda index, health, zone, extra_members: {
                **entry(f"s{index}", 1 + index, health=health, site=zone),
                **extra_members,
            },
            st.integers(0, 99),
            st.sampled_from(["up", "draining", "removed", "odd"]),
            st.sampled_from(["east", "w\u00e9st", '}],{["', ""]),
            st.sampled_from(
                [
                    {},
                    {"more": [{"host": "x", "hosts": []}, 1]},
                    {"dial": None},
                    {"share": 0.25},
                    {"share": 10**400},
                    {"born_ms": 5},
                    {"block": 2.5},
                    {"host": {"a": 1}},
                ]
            ),
        ),
        st.sampled_from([3, None, "x", [], [{"host": "s1"}], {}]),
    ),
    max_size=12,
)


@hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
@given(
    ENTRIES,
    st.integers(1, 60),
    st.sampled_from([None, 1, 4]),
    st.permutations(["seq", "whole", "hosts", "more"]),
)
def test_a_list_is_read_the_same_in_any_pieces_and_layout(
    raw_entries: list[Any], yield_bytes: int, indent: int | None, order: list[str]
) -> None:
    text = {"seq": 4, "whole": False, "hosts": raw_entries, "more": {"hosts": [{"host": "no"}], "seq": 9}}
    body = json.dumps({key: text[key] for key in order}, indent=indent).encode()
    read_whole = EndpointListReader(0).read(body)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("loadbalancer.proxy.endpoint_list_reader.YIELD_BYTES", yield_bytes)
        read_in_pieces = run_to_completion(EndpointListReader(0).read_cooperatively(bytearray(body)))
    assert contents(read_whole) == contents(read_in_pieces)
    assert (read_whole.version, read_whole.complete) == (4, False)
    hosts = [
        item["host"] for item in raw_entries if isinstance(item, dict) and isinstance(item.get("host"), str)
    ]
    # Each entry that names a host is either read or recorded as invalid: none hides another.
    assert sorted([*read_whole.ids, *read_whole.invalid_entry_ids]) == sorted(
        preferred_id(name) for name in hosts
    )


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"[]",
        b"null",
        b"{",
        b'{"seq":1,"whole":true,"hosts":[',
        b'{"seq":1,"whole":true,"hosts":[]} x',
        b'{"seq":1,"whole":true,"hosts":[]}{}',
        b"\xff",
        b'{"seq":1,"whole":true}',
        b"[" * 100_000,
    ],
)
def test_a_truncated_or_invalid_list_raises_an_error_and_changes_nothing(text: bytes) -> None:
    reader = EndpointListReader(0)
    with pytest.raises(EndpointListError):
        reader.read(text)
    assert len(reader.read(json.dumps(complete_list(2)).encode())) == 2


def test_a_long_list_is_read_cooperatively() -> None:
    body = bytearray(json.dumps(complete_list(2000)).encode())
    size, yields = len(body), 0
    reading = EndpointListReader(0).read_cooperatively(body)
    for _ in reading:
        yields += 1
        assert len(body) == size - yields * YIELD_BYTES  # the text that has been read is freed
    assert yields == (size - 1) // YIELD_BYTES


async def test_a_list_over_the_size_limit_is_logged_once_and_the_old_one_stays(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.WARNING)
    discovery, script = FakeDiscovery(), ScriptedPolicy()
    await discovery.server.start()
    long = json.dumps(complete_list(200, 2)).encode()
    discovery.broken_response = format_response(200, long)
    config = Configuration(
        "n",
        (HOST, 0),
        (HOST, discovery.server.port),
        1,
        1024,
        proxy_settings(),
        read_live_list(complete_list(3)),
        memory_bytes=4 * (len(long) - 1),
    )
    proxy = Proxy(config, script)
    await proxy.start()
    try:
        await wait_until(lambda: caplog.records)
        assert [record.getMessage() for record in caplog.records] == [
            f"discovery: endpoint list of over {len(long) - 1} bytes rejected; the current list stays in use"
        ]
        assert len(proxy.addresses.ready()) == 3
        assert len(script.events_of(EndpointUpdate)) == 1
        discovery.broken_response = b""
        discovery.change("s9", port=9)  # a list within the limit is accepted
        await wait_until(lambda: preferred_id("s9") in proxy.addresses.ready())
    finally:
        proxy.close()
        discovery.server.stop()


async def test_a_long_response_extends_its_timeout_by_the_bytes_received() -> None:
    # A long list must be received completely, but a response that trickles in must time out.
    finish_response = asyncio.Event()

    async def respond_in_parts(_received: ReceivedMessage, writer: Writer) -> None:
        writer.write(format_response(200, b"x" * 6000)[:3000])
        await finish_response.wait()
        writer.write(format_response(200, b"x" * 6000)[3000:])

    endpoint = await FakeEndpoint(respond_in_parts).start()
    try:
        for rate, extension_s in ((1000.0, 3.0), (0.0, 0.0)):
            ended: list[AttemptResult] = []
            pool = ConnectionPool(
                ConnectionLimits(2, 2.0, 0.0, MemoryBudget(1_000_000), min_response_bytes_per_s=rate),
                (HOST, endpoint.port),
            )
            exchange = start_exchange(
                pool,
                b"GET / HTTP/1.1\r\n\r\n",
                WAIT_TIMEOUT_S,
                lambda result, _response, ended=ended: ended.append(result),  # type: ignore[misc]
            )
            before_s = exchange._timeout_timer.when()  # type: ignore[union-attr]
            requests_before = len(endpoint.requests)
            await wait_until(lambda before=requests_before: len(endpoint.requests) > before)  # type: ignore[misc]
            if rate:
                await wait_until(lambda call=exchange, start_s=before_s: call._timeout_timer.when() > start_s)  # type: ignore[misc]
            assert exchange._timeout_timer.when() - before_s == pytest.approx(extension_s)  # type: ignore[union-attr]
            finish_response.set()
            await wait_until(lambda ended=ended: ended == [AttemptResult.OK])  # type: ignore[misc]
            finish_response.clear()
            pool.close_idle()
    finally:
        endpoint.stop()


CONFIG: Json = {
    "name": "n",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:1",
    "seed": "7",
    "limits": {"memory_mb": 128, "cores": 0.5},
    "settings": {"prices": {"connection": 0.03}},
}


@pytest.mark.parametrize("indent", [None, 2])
@pytest.mark.parametrize("first", [True, False])
def test_a_configuration_is_read_with_a_long_list_in_any_position(
    tmp_path: Path, indent: int | None, first: bool
) -> None:
    path, known = tmp_path / "config.json", {"known": complete_list(3000, 5)}
    path.write_text(json.dumps(known | CONFIG if first else CONFIG | known, indent=indent))
    config = read_configuration(str(path))
    assert config.known_endpoints is not None
    assert (len(config.known_endpoints), config.known_endpoints.version) == (3000, 5)
    assert (config.name, config.memory_bytes, config.cpu_cores) == ("n", 128 * 2**20, 0.5)
    assert config.settings.prices.connection == 0.03


async def test_a_start_does_its_work_once_for_each_entry(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A restarted process must be ready within 10 s on a small share of a core: the work per entry is limited.
    path, count = tmp_path / "config.json", 5000
    path.write_text(json.dumps(CONFIG | {"known": complete_list(count)}))
    call_counts: Counter[str] = Counter()

    def count_calls(module: object, name: str) -> None:
        original = getattr(module, name)

        def counting_call(*args: object) -> object:
            call_counts[name] += 1
            return original(*args)

        monkeypatch.setattr(module, name, counting_call)

    for module, name in (
        (endpoint_list_parser, "preferred_id"),
        (endpoint_list_parser, "parse_compact_address"),
        (addresses, "parse_compact_address"),
        (placement, "mix64"),
        (hash_ring, "mix64"),
    ):
        count_calls(module, name)
    config = read_configuration(str(path))
    balancer = Balancer(config.settings, 1, 1)

    started_proxy = Proxy(config, balancer)
    await started_proxy.start()
    assert started_proxy.ready
    assert len(started_proxy.addresses.ready()) == count
    started_proxy.close()
    assert call_counts["preferred_id"] == count
    assert call_counts["parse_compact_address"] <= count + 2
    assert call_counts["mix64"] <= count + 10
    assert len(balancer.fleet.endpoints) == len(balancer.fleet.pooled_ids)
    assert config.known_endpoints is not None
    assert not len(config.known_endpoints)


def test_objects_made_at_startup_are_excluded_from_garbage_collection() -> None:
    # If the garbage collector went through a long list, it would pause all requests by 10 ms or more.
    objects = [[number] for number in range(5000)]
    try:
        freeze_heap()
        assert gc.get_freeze_count() >= len(objects)
    finally:
        gc.unfreeze()


def test_a_list_in_a_configuration_is_optional_but_must_be_valid(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    for known in ({}, {"known": None}):
        path.write_text(json.dumps(CONFIG | known))
        assert read_configuration(str(path)).known_endpoints is None
    for bad in ({"seq": 1}, {"seq": 1, "whole": True, "hosts": {}}):
        path.write_text(json.dumps(CONFIG | {"known": bad}))
        with pytest.raises(ConfigurationError, match="known: not an object with an array 'hosts'"):
            read_configuration(str(path))
