"""What connections hold in memory: it is counted, freed at their end, and given up over the budget."""

from __future__ import annotations

import asyncio
import gc
import socket
import weakref

import pytest

from loadbalancer.messages import AttemptEnded, AttemptResult
from loadbalancer.proxy.message_reader import MessageReader
from loadbalancer.proxy.receive_buffer import RECEIVE_BUFFER_BYTES
from tests.support.clients import client_with_unread_response, first_connection, plain_socket
from tests.support.fake_endpoint import FakeEndpoint, respond_raw, respond_with
from tests.support.fake_policies import ScriptedPolicy
from tests.support.http_messages import HOST, READY_REQUEST, request
from tests.support.running_proxy import running_proxy
from tests.support.scripted import forwarding_policy
from tests.support.waiting import wait_until

PARTIAL_BODY = request("/pay", method="POST", body=b"x" * 60_000)[:-1]
PARTIAL_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n" + b"x" * 80_000


@pytest.mark.parametrize("responses", [False, True])
def test_the_parts_of_a_message_are_freed_without_the_garbage_collector(responses: bool) -> None:
    # Guards against bodies of closed connections that stay in memory for tens of seconds.
    gc.disable()
    try:
        reader = MessageReader(responses=responses)
        reader.feed(PARTIAL_RESPONSE[:50_000] if responses else PARTIAL_BODY)
        assert reader.held_bytes >= 50_000
        reader.close()
        freed = weakref.ref(reader)
        del reader
        assert freed() is None
    finally:
        gc.enable()


@pytest.mark.parametrize("header", [b"a:\r\n", b"Content-Type: text/plain\r\n"])
def test_the_estimate_of_parsed_headers_is_not_below_their_size(header: bytes) -> None:
    reader = MessageReader()
    count = 15_000 // len(header)
    reader.feed(b"GET / HTTP/1.1\r\n" + header * count)
    parts = [reader._headers, *reader._headers, *(part for each in reader._headers for part in each)]
    assert reader.held_bytes >= sum(each.__sizeof__() for each in parts)


async def test_an_incomplete_request_is_counted_until_its_client_disconnects() -> None:
    async with running_proxy(ScriptedPolicy()) as client:
        memory = client.proxy.memory
        await client.send(PARTIAL_BODY)
        await wait_until(lambda: memory.held_bytes >= 60_000)
        client.close()
        await wait_until(lambda: memory.held_bytes == 0)


async def test_an_incomplete_request_over_the_budget_is_refused() -> None:
    async with running_proxy(ScriptedPolicy()) as client:
        client.proxy.memory.limit_bytes = 50_000
        response = await client.exchange(PARTIAL_BODY)
        assert (response.status, response.headers["connection"]) == (503, "close")
        assert client.proxy.memory.held_bytes == 0
        assert (await client.new_client().exchange(READY_REQUEST)).status == 200


async def test_a_complete_request_over_its_part_of_the_budget_is_refused_and_may_be_repeated() -> None:
    endpoint = await FakeEndpoint(respond_with(200)).start()
    async with running_proxy(forwarding_policy(), endpoint) as client:
        memory = client.proxy.memory
        memory.limit_bytes = 1000
        response = await client.exchange(request())
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0
        memory.limit_bytes = 100_000
        assert (await client.exchange(request())).status == 200
        assert (memory.held_bytes, memory.pinned_bytes) == (0, 0)


async def test_a_client_that_reads_no_response_is_disconnected_over_the_budget() -> None:
    # Guards against memory that clients hold without limit by not reading their responses.
    endpoint = await FakeEndpoint(respond_with(200)).start()
    async with (
        running_proxy(forwarding_policy(), endpoint) as client,
        client_with_unread_response(client, endpoint, 900_000),
    ):
        memory = client.proxy.memory
        connection = first_connection(client)
        assert memory.held_bytes == connection._unsent_bytes > 100_000
        memory.limit_bytes = memory.held_bytes
        async with plain_socket(client) as sock:
            sock.send(PARTIAL_BODY)
            await wait_until(lambda: connection not in client.proxy.downstream._connections)
            await wait_until(lambda: 50_000 < memory.held_bytes < 100_000)


async def test_a_record_of_unsent_data_that_is_out_of_date_ends_no_connection() -> None:
    async with running_proxy(ScriptedPolicy()) as client:
        assert (await client.exchange(READY_REQUEST)).status == 200
        first_connection(client).reclaim_memory()
        assert (await client.exchange(READY_REQUEST)).status == 200


async def test_a_response_over_the_budget_is_a_reset() -> None:
    # Guards against endpoints that take the memory of the proxy with responses that do not end.
    endpoint = await FakeEndpoint(respond_raw(PARTIAL_RESPONSE)).start()
    policy = forwarding_policy()
    async with running_proxy(policy, endpoint) as client:
        client.proxy.memory.limit_bytes = 50_000
        await client.send(request())
        await wait_until(lambda: policy.events_of(AttemptEnded))
        assert policy.events_of(AttemptEnded)[0].result is AttemptResult.RESET
        assert client.proxy.memory.held_bytes < 2000  # the request itself
        assert not client.proxy._connection_limits.open_connections


async def test_a_request_that_its_endpoint_does_not_read_is_counted() -> None:
    with socket.create_server((HOST, 0)) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        endpoint = FakeEndpoint(respond_with(200))
        endpoint.port = listener.getsockname()[1]
        policy = forwarding_policy()
        async with running_proxy(policy, endpoint) as client:
            memory = client.proxy.memory
            pool = client.proxy.addresses.connection_pool(policy.endpoint_ids()[0])
            assert pool is not None
            connection = pool.reserve_connection()
            assert connection is not None
            await asyncio.get_running_loop().create_connection(lambda: connection, HOST, endpoint.port)
            assert connection._transport is not None
            connection._transport.write(b"x" * 8_000_000)
            connection._hold_memory()
            assert memory.held_bytes == connection._transport.get_write_buffer_size() > 0
            connection.reclaim_memory()
            await wait_until(lambda: not pool.open_connections)
            assert memory.held_bytes == 0


async def test_a_turn_of_the_event_loop_reads_a_bounded_part_of_a_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against one client at full speed that delays all others, and against 256 KB allocated for a read.
    sizes: list[int] = []
    feed = MessageReader.feed

    def record_size(self: MessageReader, data: bytes | memoryview) -> object:
        sizes.append(len(data))
        return feed(self, data)

    monkeypatch.setattr(MessageReader, "feed", record_size)
    async with running_proxy(ScriptedPolicy()) as client:
        await client.send(PARTIAL_BODY)
        await wait_until(lambda: sum(sizes) == len(PARTIAL_BODY))
        assert max(sizes) <= RECEIVE_BUFFER_BYTES
        assert (await client.new_client().exchange(READY_REQUEST)).status == 200


def test_data_after_a_complete_request_is_not_parsed() -> None:
    # Guards against a client whose many small requests in one read all become messages in memory.
    reader = MessageReader()
    data = request() + request() * 300
    complete = reader.feed(data)
    assert complete is not None
    assert reader.error_status == 400
    assert reader._complete is None
    assert not reader._headers
