"""The fake discovery service: watches, full lists, outages, and what it records about each balancer."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from scale_test.fake_discovery import FakeDiscovery
from scale_test.plan import Plan
from scale_test.registry import Health, Registry
from tests.support.endpoint_lists import Json
from tests.support.waiting import WAIT_TIMEOUT_S, wait_until

PLAN = Plan(upstreams=4, zones=2, real=1, hollow=1, hollow_processes=1)


class Watcher:
    """A connection to discovery on which calls are made as a balancer makes them."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.received = 0  # total bytes of the responses

    def send_call(self, query: str = "") -> None:
        self.writer.write(f"GET /registry/instances{query} HTTP/1.1\r\nHost: d\r\n\r\n".encode())

    async def read_response(self) -> Json:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            head = await self.reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 ")
            body = await self.reader.readexactly(int(head.split(b"Content-Length: ")[1]))
        self.received += len(head) + len(body)
        response: Json = json.loads(body)
        return response


@asynccontextmanager
async def running_discovery() -> AsyncIterator[tuple[FakeDiscovery, list[Watcher]]]:
    """Run the fake, with a connection to it for each of two balancers."""
    fake = FakeDiscovery(Registry(PLAN, ["127.0.0.1:1"]), PLAN.balancers)
    watchers = [Watcher(*await asyncio.open_connection(*address)) for address in await fake.start()]
    try:
        yield fake, watchers
    finally:
        for watcher in watchers:
            watcher.writer.close()
        fake.close()


async def test_watches_wait_and_calls_are_counted_for_each_balancer() -> None:
    async with running_discovery() as (discovery, (first, second)):
        first.send_call()
        assert (await first.read_response())["whole"]
        first.send_call("?after=1&wait_ms=20")
        assert await first.read_response() == {"seq": 1, "whole": False, "hosts": []}
        for watcher in (first, second):
            watcher.send_call("?after=1&wait_ms=20000")
        await wait_until(lambda: [caller.calls for caller in discovery.callers] == [3, 1])
        discovery.change([2], Health.DRAINING)
        for watcher in (first, second):
            response = await watcher.read_response()
            assert (response["seq"], response["whole"], len(response["hosts"])) == (2, False, 1)
        discovery.change([3])  # no watch is open now
        first.send_call("?after=2&wait_ms=20000")
        assert [row["host"] for row in (await first.read_response())["hosts"]] == ["s-00000003"]
        assert [caller.sent for caller in discovery.callers] == [first.received, second.received]
        assert discovery.callers[1].received == len(
            "GET /registry/instances?after=1&wait_ms=20000 HTTP/1.1\r\nHost: d\r\n\r\n"
        )
        assert [seen.version for seen in discovery.callers[0].versions_seen] == [1, 2]


async def test_watches_are_responded_to_in_order_of_arrival() -> None:
    async with running_discovery() as (discovery, (first, second)):
        order: list[int] = []

        async def read_and_record(number: int, watcher: Watcher) -> None:
            await watcher.read_response()
            order.append(number)

        for number, watcher in ((1, second), (0, first)):
            watcher.send_call("?after=1&wait_ms=20000")
            await wait_until(lambda n=number: discovery.callers[n].calls == 1)  # type: ignore[misc]
        reads = [
            asyncio.create_task(read_and_record(0, first)),
            asyncio.create_task(read_and_record(1, second)),
        ]
        discovery.change([0])
        await asyncio.gather(*reads)
        assert order == [1, 0]  # the order of the calls, not that in which responses are read


@pytest.mark.parametrize(("after", "accepted"), [(2, True), (1, False)])
async def test_send_full_list_responds_to_a_watch_with_the_full_list(after: int, accepted: bool) -> None:
    async with running_discovery() as (discovery, (first, second)):
        for watcher in (first, second):
            watcher.send_call("?after=1&wait_ms=20000")
        sending = asyncio.create_task(discovery.send_full_list(0, WAIT_TIMEOUT_S))
        assert (await first.read_response())["whole"]
        assert not sending.done()
        # A call with the new version shows that the list is accepted; one with the old, that it is rejected.
        first.send_call(f"?after={after}&wait_ms=20000")
        assert await sending
        [full_list] = discovery.callers[0].full_lists
        assert full_list.next_call_ns is not None
        assert (full_list.version, full_list.accepted) == (2, accepted)
        assert not (await second.read_response())["whole"]
        assert not discovery.callers[1].full_lists


async def test_after_an_outage_a_watch_gets_the_full_list() -> None:
    async with running_discovery() as (discovery, (first, second)):
        first.send_call("?after=1&wait_ms=20000")
        await wait_until(lambda: discovery.callers[0].calls)
        discovery.begin_outage()
        with pytest.raises(asyncio.IncompleteReadError):
            await first.read_response()
        host, port = second.writer.get_extra_info("peername")
        rejected = Watcher(*await asyncio.open_connection(host, port))
        rejected.send_call("?after=1")
        assert (await rejected.reader.readline()).startswith(b"HTTP/1.1 503 ")
        rejected.writer.close()
        discovery.change([1])
        discovery.end_outage()
        reconnected = Watcher(*await asyncio.open_connection(host, port))
        reconnected.send_call("?after=1")
        response = await reconnected.read_response()
        assert (response["seq"], response["whole"], discovery.callers[1].rejected) == (2, True, 1)
        reconnected.writer.close()
