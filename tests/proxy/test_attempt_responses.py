"""Results of attempts: the result that the policy gets for a response or a broken connection."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest

from loadbalancer.messages import (
    AttemptEnded,
    AttemptResult,
)
from loadbalancer.proxy.exchange import start_exchange
from loadbalancer.units import NANOSECONDS_PER_MILLISECOND
from tests.support.endpoint_lists import list_of_ports
from tests.support.fake_endpoint import (
    FakeEndpoint,
    Responder,
    Writer,
    abort_connection,
    never_respond,
    respond_raw,
    respond_with,
)
from tests.support.http_messages import HOST, ReceivedMessage, format_response, request
from tests.support.running_proxy import running_proxy
from tests.support.scripted import (
    attempt_results,
    fail_unless_complete,
    forwarding_policy,
    hold_connections,
)
from tests.support.waiting import wait_until

DECLINED = "Srv-Declined: 1"
NO_LENGTH = b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"


def respond_and_reset(data: bytes) -> Responder:
    """Return a responder that sends these bytes, and resets the connection once they have been read."""

    async def respond(_request: ReceivedMessage, writer: Writer) -> None:
        writer.write(data)
        await asyncio.sleep(0.05)
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()

    return respond


@pytest.mark.parametrize(
    ("respond", "result"),
    [
        (respond_with(200, b"x"), AttemptResult.OK),
        (respond_with(500), AttemptResult.ERROR),
        (respond_with(503, b"", DECLINED), AttemptResult.REJECTED),
        (respond_with(504, b"", DECLINED), AttemptResult.REJECTED),
        (respond_with(503), AttemptResult.ERROR),
        (respond_with(404), AttemptResult.ERROR),
        (respond_with(500, b"", DECLINED), AttemptResult.ERROR),
        (abort_connection, AttemptResult.RESET),
        (respond_raw(b"no http\r\n"), AttemptResult.RESET),
        (respond_raw(b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nhalf", close=True), AttemptResult.RESET),
        # A response without a length ends with the stream; a reset is no end.
        (respond_raw(NO_LENGTH + b"whole", close=True), AttemptResult.OK),
        (respond_raw(NO_LENGTH, close=True), AttemptResult.OK),
        (respond_raw(b"HTTP/1.1 102 X\r\n\r\n" + NO_LENGTH + b"whole", close=True), AttemptResult.OK),
        (respond_raw(NO_LENGTH[:-2], close=True), AttemptResult.RESET),
        (respond_raw(CHUNKED + b"5\r\nwhole\r\n", close=True), AttemptResult.RESET),
        (respond_and_reset(NO_LENGTH + b"part"), AttemptResult.RESET),
        (respond_with(200, b"x" * 400_000), AttemptResult.OK),
        (respond_with(200, b"x" * (1024 * 1024 + 1)), AttemptResult.RESET),
        (respond_raw(b"HTTP/1.1 200 X\r\nContent-Length: 3000000000\r\n\r\nabc"), AttemptResult.RESET),
        (
            respond_raw(b"HTTP/1.1 200 X\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nab"),
            AttemptResult.RESET,
        ),
        (respond_raw(b"HTTP/1.1 200 X\r\nContent-Length: -1\r\n\r\nab"), AttemptResult.RESET),
        (
            respond_raw(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\nzz\r\n"),
            AttemptResult.RESET,
        ),
        (
            respond_raw(b"HTTP/1.1 200 X\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
            AttemptResult.RESET,
        ),
        (respond_raw(b"HTTP/1.1 OK 200\r\nContent-Length: 1\r\n\r\na"), AttemptResult.RESET),
        (respond_raw(b"ICY 200 OK\r\nContent-Length: 1\r\n\r\na"), AttemptResult.RESET),
        (respond_raw(b"HTTP/1.1 200 X\r\n" + b"X: y\r\n" * 4000), AttemptResult.RESET),
        (respond_raw(b"HTTP/1.1 102 X\r\n\r\n" * 17 + format_response(200)), AttemptResult.RESET),
    ],
)
async def test_the_response_determines_the_result(respond: Responder, result: AttemptResult) -> None:
    endpoint = await FakeEndpoint(respond).start()
    policy = forwarding_policy(fail_unless_complete)
    async with running_proxy(policy, endpoint) as client:
        response = await client.exchange(request())
        assert response.status == (200 if result is AttemptResult.OK else 504)
        assert attempt_results(policy) == [result]
        assert len(endpoint.requests) == 1  # the proxy retries nothing on its own


@pytest.mark.parametrize(
    ("report", "expected"),
    [
        ("1" + "0" * 400, None),
        ("[" * 10_000, None),
        ('{"inflight":1' + "0" * 400 + "}", {}),
        ("{", None),
        ('{"inflight":-3,"queue":2}', {"queue": 2.0}),
        ('{"inflight":1e400,"queue":true}', {}),
        ("3", None),
    ],
)
async def test_an_unreadable_load_report_is_dropped(report: str, expected: object) -> None:
    endpoint = await FakeEndpoint(respond_with(200, b"it", f"Srv-Load: {report}")).start()
    policy = forwarding_policy()
    async with running_proxy(policy, endpoint, reports_in_responses=True) as client:
        for number in (1, 2):
            assert (await client.exchange(request())).body == b"it"
            await wait_until(lambda number=number: len(policy.events_of(AttemptEnded)) == number)  # type: ignore[misc]
        assert [(end.result, end.load_report) for end in policy.events_of(AttemptEnded)] == [
            (AttemptResult.OK, expected)
        ] * 2


async def test_a_refused_connection_is_a_connect_failure() -> None:
    endpoint = await FakeEndpoint(never_respond).start()
    endpoint.stop()
    policy = forwarding_policy(fail_unless_complete)
    async with running_proxy(policy, endpoint) as client:
        assert (await client.exchange(request())).status == 504
        assert attempt_results(policy) == [AttemptResult.CONNECT_FAILED]


async def test_a_connect_timeout_is_a_connect_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    endpoint = await FakeEndpoint(never_respond).start()
    policy = forwarding_policy(fail_unless_complete)
    async with running_proxy(policy, endpoint, connect_timeout_ns=20 * NANOSECONDS_PER_MILLISECOND) as client:
        await client.send(request())
        hold_connections(monkeypatch, asyncio.Event())
        assert (await client.read()).status == 504
        assert attempt_results(policy) == [AttemptResult.CONNECT_FAILED]


async def test_a_reset_before_the_last_byte_is_written_is_a_connect_failure() -> None:
    held: list[asyncio.StreamWriter] = []

    async def serve(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        held.append(writer)  # reads nothing, so that the sender can't write everything

    server = await asyncio.start_server(serve, HOST, 0, limit=1)
    policy = forwarding_policy(fail_unless_complete)
    port = server.sockets[0].getsockname()[1]
    async with running_proxy(policy, initial_list=list_of_ports(port)) as client:
        pool = client.proxy.addresses.connection_pool(next(iter(client.proxy.addresses.ready())))
        assert pool is not None
        ended: list[AttemptResult] = []
        exchange = start_exchange(
            pool, b"x" * 50_000_000, None, lambda result, _response: ended.append(result)
        )
        await wait_until(lambda: held and not exchange.unsent)
        held[0].transport.abort()
        await wait_until(lambda: ended)
        assert ended == [AttemptResult.CONNECT_FAILED]
    server.close()


async def test_a_reset_before_the_request_is_a_connect_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    loop = asyncio.get_running_loop()
    original = loop.create_connection
    with socket.create_server((HOST, 0)) as listener:

        async def create_connection(*args: object, **options: object) -> object:
            connection = await original(*args, **options)  # type: ignore[call-overload]
            accepted, _ = listener.accept()
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            accepted.close()
            return connection

        policy = forwarding_policy(fail_unless_complete)
        async with running_proxy(policy, initial_list=list_of_ports(listener.getsockname()[1])) as client:
            await client.send(b"")
            monkeypatch.setattr(loop, "create_connection", create_connection)
            assert (await client.exchange(request("/pay", method="POST"))).status == 504
            assert attempt_results(policy) == [AttemptResult.CONNECT_FAILED]


@pytest.mark.parametrize("pieces", [1, 3])
async def test_a_response_without_a_length_is_passed_on_unchanged(pieces: int) -> None:
    # Guards against requests that fail although their endpoint has run them and responded in time.
    async def respond(_request: ReceivedMessage, writer: Writer) -> None:
        writer.write(NO_LENGTH)
        for _ in range(pieces):
            await asyncio.sleep(0.01)
            writer.write(b"abc")
        writer.close()

    endpoint = await FakeEndpoint(respond).start()
    async with running_proxy(forwarding_policy(), endpoint) as client:
        for _ in range(2):
            assert (await client.exchange(request())).body == b"abc" * pieces
        assert not client.proxy._connection_limits.open_connections
