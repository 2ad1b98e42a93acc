"""The fake discovery: watches, full lists, outages, and what it records of each balancer."""

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
    """A connection to discovery."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.received = 0  # bytes

    def ask(self, query: str = "") -> None:
        self.writer.write(f"GET /registry/instances{query} HTTP/1.1\r\nHost: d\r\n\r\n".encode())

    async def answer(self) -> Json:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            head = await self.reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 ")
            body = await self.reader.readexactly(int(head.split(b"Content-Length: ")[1]))
        self.received += len(head) + len(body)
        answer: Json = json.loads(body)
        return answer


@asynccontextmanager
async def running_discovery() -> AsyncIterator[tuple[FakeDiscovery, list[Watcher]]]:
    """The fake, and a connection to it from each of two balancers."""
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
        first.ask()
        assert (await first.answer())["whole"]
        first.ask("?after=1&wait_ms=20")
        assert await first.answer() == {"seq": 1, "whole": False, "hosts": []}
        for watcher in (first, second):
            watcher.ask("?after=1&wait_ms=20000")
        await wait_until(lambda: [caller.calls for caller in discovery.callers] == [3, 1])
        discovery.change([2], Health.DRAINING)
        for watcher in (first, second):
            answer = await watcher.answer()
            assert (answer["seq"], answer["whole"], len(answer["hosts"])) == (2, False, 1)
        discovery.change([3])  # in between two calls of a watch
        first.ask("?after=2&wait_ms=20000")
        assert [row["host"] for row in (await first.answer())["hosts"]] == ["s-00000003"]
        assert [caller.sent for caller in discovery.callers] == [first.received, second.received]
        assert discovery.callers[1].received == len(
            "GET /registry/instances?after=1&wait_ms=20000 HTTP/1.1\r\nHost: d\r\n\r\n"
        )
        assert [seen.version for seen in discovery.callers[0].versions_seen] == [1, 2]


async def test_calls_are_answered_in_turn() -> None:
    async with running_discovery() as (discovery, (first, second)):
        order: list[int] = []

        async def ask(number: int, watcher: Watcher) -> None:
            await watcher.answer()
            order.append(number)

        for number, watcher in ((1, second), (0, first)):
            watcher.ask("?after=1&wait_ms=20000")
            await wait_until(lambda n=number: discovery.callers[n].calls == 1)  # type: ignore[misc]
        asked = [asyncio.create_task(ask(0, first)), asyncio.create_task(ask(1, second))]
        discovery.change([0])
        await asyncio.gather(*asked)
        assert order == [1, 0]  # as the calls came, not as the answers are read


@pytest.mark.parametrize(("after", "accepted"), [(2, True), (1, False)])
async def test_a_balancer_is_sent_the_full_list_in_a_watch(after: int, accepted: bool) -> None:
    async with running_discovery() as (discovery, (first, second)):
        for watcher in (first, second):
            watcher.ask("?after=1&wait_ms=20000")
        sending = asyncio.create_task(discovery.send_full_list(0, WAIT_TIMEOUT_S))
        assert (await first.answer())["whole"]
        assert not sending.done()
        first.ask(f"?after={after}&wait_ms=20000")  # it names that version, or has turned it down
        assert await sending
        [full_list] = discovery.callers[0].full_lists
        assert full_list.next_call_ns is not None
        assert (full_list.version, full_list.accepted) == (2, accepted)
        assert not (await second.answer())["whole"]
        assert not discovery.callers[1].full_lists


async def test_after_an_outage_all_get_the_full_list() -> None:
    async with running_discovery() as (discovery, (first, second)):
        first.ask("?after=1&wait_ms=20000")
        await wait_until(lambda: discovery.callers[0].calls)
        discovery.begin_outage()
        with pytest.raises(asyncio.IncompleteReadError):
            await first.answer()
        host, port = second.writer.get_extra_info("peername")
        rejected = Watcher(*await asyncio.open_connection(host, port))
        rejected.ask("?after=1")
        assert (await rejected.reader.readline()).startswith(b"HTTP/1.1 503 ")
        rejected.writer.close()
        discovery.change([1])
        discovery.end_outage()
        again = Watcher(*await asyncio.open_connection(host, port))
        again.ask("?after=1")
        answer = await again.answer()
        assert (answer["seq"], answer["whole"], discovery.callers[1].rejected) == (2, True, 1)
        again.writer.close()
