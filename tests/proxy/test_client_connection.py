"""Client connections over loopback sockets: invalid input, pipelining, keep-alive and flow control."""

from __future__ import annotations

import asyncio
import socket
from typing import cast

import pytest

from loadbalancer.messages import ClientDisconnected, Fail, RequestArrived, TimerExpired
from tests.support.clients import first_connection, transport_of
from tests.support.fake_policies import ScriptedPolicy
from tests.support.http_messages import READY_REQUEST, request
from tests.support.running_proxy import running_proxy
from tests.support.scripted import fail_all
from tests.support.waiting import wait_until

CHUNKED = "Transfer-Encoding: chunked"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nbad header\r\n\r\n", 400),
        (b"POST /pay HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nyz", 400),
        (request("/pay", method="POST", body=b"x" * (64 * 1024 + 1)), 413),
        (request("/pay", "Content-Length: 60000000", method="POST"), 413),
        (request("/pay", "Content-Length: 3", "Content-Length: 3", method="POST") + b"abc", 400),
        (request("/pay", "Content-Length: 3", CHUNKED, method="POST") + b"0\r\n\r\n", 400),
        (request("/pay", "Transfer-Encoding: gzip, chunked", method="POST") + b"0\r\n\r\n", 400),
        (request("/pay", "Transfer-Encoding: identity", method="POST") + b"abc", 400),
        (request("/pay", CHUNKED, method="POST") + b"zz\r\n", 400),
        (request("/pay", CHUNKED, method="POST") + b"1;" + b"x" * 600_000, 413),
        (request("/pay", CHUNKED, method="POST") + b"0\r\n" + b"T: x\r\n" * 4000, 431),
        (request("/read", "X: " + "x" * 20_000), 431),
        (b"GET /read\r\n\r\n", 400),
        (b"GET /read HTTP/1.1\r\nX: " + b"x" * 20_000, 431),
    ],
)
async def test_malformed_request_is_rejected_and_ends_the_connection(data: bytes, status: int) -> None:
    policy = ScriptedPolicy(fail_all)
    async with running_proxy(policy) as client:
        response = await client.exchange(data)
        assert response.status == status
        assert response.headers["connection"] == "close"
        assert await client.is_closed_by_proxy()
        assert not policy.events_of(RequestArrived)
        assert (await client.new_client().exchange(READY_REQUEST)).status == 200


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (request("/strange"), 400),
        (request("/"), 400),
        (request(deadline_ms=None), 400),
        (request(deadline_ms=0), 400),
        (request("/read", "Req-Deadline-Ms: soon", deadline_ms=None), 400),
        (b"GET /read HTTP/1.1\r\nReq-Deadline-Ms: 9\r\n\r\n", 400),
        (request(method="DELETE"), 405),
        (request(method="POST"), 405),
        (request("/pay"), 405),
        (request(body=b"abc"), 400),
        (request("/read?x#y"), 400),
        (request("/read", "Req-Id: another"), 400),
    ],
)
async def test_invalid_request_is_rejected_and_the_connection_kept_alive(data: bytes, status: int) -> None:
    policy = ScriptedPolicy(fail_all)
    async with running_proxy(policy) as client:
        assert (await client.exchange(data)).status == status
        assert not policy.events_of(RequestArrived)
        assert (await client.exchange(READY_REQUEST)).status == 200


async def test_largest_allowed_body_is_accepted() -> None:
    async with running_proxy(ScriptedPolicy(fail_all)) as client:
        assert (await client.exchange(request("/pay", method="POST", body=b"x" * 64 * 1024))).status == 504


async def test_request_beyond_the_maximum_of_pending_requests_is_rejected() -> None:
    async with running_proxy(ScriptedPolicy(), max_pending_requests=1) as client:
        await client.send(request())
        await wait_until(lambda: client.proxy._pending_requests)
        response = await client.new_client().exchange(request())
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0


async def test_request_with_the_id_of_a_pending_one_is_rejected() -> None:
    policy = ScriptedPolicy(lambda event: [Fail("1")] if isinstance(event, TimerExpired) else ())
    async with running_proxy(policy) as client:
        await client.send(request(request_id="one"))
        await wait_until(lambda: client.proxy._pending_requests)
        assert (await client.new_client().exchange(request(request_id="one"))).status == 409

        client.proxy.dispatch(TimerExpired("now"))
        assert (await client.read()).status == 504  # the pending request is not affected

        await client.send(request(request_id="one"))
        await wait_until(lambda: len(policy.events_of(RequestArrived)) == 2)


@pytest.mark.parametrize("sent_separately", [False, True])
@pytest.mark.parametrize("pipelined", [request(), request() * 300, request()[:20], b"nonsense\r\n\r\n"])
async def test_pipelined_request_is_rejected_and_ends_the_connection(
    pipelined: bytes, sent_separately: bool
) -> None:
    policy = ScriptedPolicy()
    async with running_proxy(policy) as client:
        if sent_separately:
            await client.send(request())
            await wait_until(lambda: policy.events_of(RequestArrived))
            await client.send(pipelined)
        else:
            await client.send(request() + pipelined)
        assert (await client.read()).status == 400
        assert await client.is_closed_by_proxy()
        assert len(policy.events_of(RequestArrived)) == int(sent_separately)
        assert len(policy.events_of(ClientDisconnected)) == int(sent_separately)
        assert not client.proxy._pending_requests
        assert not client.proxy._pending_requests._client_request_ids


async def test_empty_line_between_requests_is_ignored() -> None:
    async with running_proxy(ScriptedPolicy(fail_all)) as client:
        for _ in range(2):
            assert (await client.exchange(request() + b"\r\n")).status == 504


async def test_request_in_pieces_arrives_with_its_last_byte() -> None:
    policy = ScriptedPolicy(fail_all)
    async with running_proxy(policy) as client:
        data = request("/pay", method="POST", body=b"abc")
        for index in range(len(data) - 1):
            await client.send(data[index : index + 1])
        await asyncio.sleep(0)
        assert not policy.events_of(RequestArrived)
        assert (await client.exchange(data[-1:])).status == 504


async def test_connection_close_of_the_client_is_honoured() -> None:
    async with running_proxy(ScriptedPolicy(fail_all)) as client:
        response = await client.exchange(request("/read", "Connection: close"))
        assert response.headers["connection"] == "close"
        assert await client.is_closed_by_proxy()


async def test_proxy_stops_reading_from_a_client_that_reads_no_responses() -> None:
    async with running_proxy(ScriptedPolicy()) as client:
        await client.exchange(READY_REQUEST)
        assert client.writer is not None
        client_transport = cast(asyncio.Transport, client.writer.transport)
        client_transport.pause_reading()
        client_transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection = first_connection(client)
        transport = transport_of(connection)
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        transport.set_write_buffer_limits(high=4096)

        while transport.is_reading():
            connection.data_received(READY_REQUEST)
        assert transport.get_write_buffer_size() < 8192

        client_transport.resume_reading()
        await wait_until(transport.is_reading)


async def test_lingering_close_reads_a_bounded_number_of_bytes() -> None:
    async with running_proxy(ScriptedPolicy()) as client:
        await client.send(request("/pay", "Content-Length: 60000000", method="POST"))
        assert (await client.read()).status == 413  # before the body is received
        transport = transport_of(first_connection(client))
        await client.send(b"x" * 300_000)
        await wait_until(lambda: not transport.is_reading())
