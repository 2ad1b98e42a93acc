"""Tests of valid and invalid entries of an endpoint list."""

from __future__ import annotations

import json
import time

import pytest

from loadbalancer.messages import Endpoint, EndpointStatus, EndpointUpdate, EndpointUpdateKind
from loadbalancer.proxy.endpoint_list_reader import EndpointListReader
from loadbalancer.proxy.errors import EndpointListError
from loadbalancer.state.endpoint_ids import preferred_id
from tests.support.endpoint_lists import entry, list_of_ports, read_list
from tests.support.fake_discovery import FakeDiscovery
from tests.support.fake_policies import ScriptedPolicy
from tests.support.http_messages import HOST, format_response
from tests.support.running_proxy import running_proxy
from tests.support.waiting import wait_until


def test_entries_are_converted_to_endpoints() -> None:
    endpoint_list = read_list(
        {
            "seq": 7,
            "whole": True,
            "hosts": [
                entry("a", 80, site="west", block=3, health="draining", share=0.5, born_ms=2),
                entry("b", 81),
            ],
        },
        EndpointListReader(5),
    )
    by_port = {listed.address[1]: listed.endpoint for listed in endpoint_list.entries}
    assert by_port[80]._replace(id=1) == Endpoint(1, EndpointStatus.DRAINING, "west", 3, 0.5, 1_999_995, "m")
    assert by_port[81].started_ns == 0
    assert (endpoint_list.version, endpoint_list.complete) == (7, True)


@pytest.mark.parametrize(
    "bad_entry",
    [
        entry("a", health="odd"),
        entry("a", dial="nowhere"),
        entry("a", dial="h:80"),
        entry("a", dial="127.0.0.1:99999"),
        entry("a", dial="x" * 300 + ":80"),
        entry("a", dial="a\0b:80"),
        entry("a", born_ms="x"),
        entry("a", share=10**400),
        {"host": 3},
        7,
    ],
)
def test_a_bad_entry_does_not_hide_the_others(bad_entry: object) -> None:
    endpoint_list = read_list({"seq": 1, "whole": False, "hosts": [bad_entry, entry("b", 81)]})
    assert [listed.address[1] for listed in endpoint_list.entries] == [81]


async def test_an_invalid_entry_does_not_remove_a_known_endpoint() -> None:
    discovery, script = FakeDiscovery(), ScriptedPolicy()
    discovery.broken_response = format_response(
        200,
        json.dumps({"seq": 2, "whole": True, "hosts": [entry("s0", health="odd"), entry("s1", 2)]}).encode(),
    )
    async with running_proxy(script, discovery=discovery, initial_list=list_of_ports(1, 2, 3)) as client:
        await wait_until(lambda: len(client.proxy.addresses.ready()) == 2)  # s2 is removed, s0 stays
        assert {port for _, port in client.proxy.addresses.ready().values()} == {1, 2}
        updated = [
            reported for update in script.events_of(EndpointUpdate)[1:] for reported in update.endpoints
        ]
        assert {reported.id for reported in updated if reported.status is EndpointStatus.REMOVED} == {
            preferred_id("s2")
        }
        # The known state of s0 is unchanged: no update reports it, and its address stays.
        assert preferred_id("s0") not in {reported.id for reported in updated}
        assert client.proxy.addresses.ready()[preferred_id("s0")] == (HOST, 1)
        assert all(update.kind is EndpointUpdateKind.DELTA for update in script.events_of(EndpointUpdate)[1:])
    partly_invalid_list = read_list(
        {"seq": 2, "whole": True, "hosts": [entry("s0", health="odd"), entry("s1", 2)]}
    )
    assert partly_invalid_list.invalid_entry_ids == [preferred_id("s0")]
    assert list(partly_invalid_list.ids) == [preferred_id("s1")]
    removal = read_list({"seq": 3, "whole": False, "hosts": [entry("s0", health="removed", dial="")]})
    assert [listed.endpoint.status for listed in removal.entries] == [EndpointStatus.REMOVED]
    empty_list = read_list({"seq": 4, "whole": True, "hosts": []})
    assert not list(empty_list.entries)
    assert not empty_list.invalid_entry_ids
    assert empty_list.complete


def test_no_endpoint_starts_in_the_future() -> None:
    future_entry = entry("a", 80, born_ms=4 * 10**12)
    converted_ns = read_list({"seq": 1, "whole": True, "hosts": [future_entry]}).attributes[0][4]
    assert converted_ns <= time.monotonic_ns()


@pytest.mark.parametrize(
    "raw",
    [3, {}, {"hosts": []}, {"hosts": [], "seq": "1", "whole": True}, {"hosts": {}, "seq": 1, "whole": True}],
)
def test_an_invalid_list_raises_an_error(raw: object) -> None:
    with pytest.raises(EndpointListError):
        read_list(raw)
