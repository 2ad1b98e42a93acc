"""Clients that disconnect while their request waits: it must not be forwarded afterwards.

The tests force the race: the client disconnects while the event loop does not run, so that the disconnect is
still unread when the token or the connection becomes available.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Iterable

import pytest

from loadbalancer.messages import (
    Action,
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Event,
    Forward,
    RequestArrived,
    TimerExpired,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.proxy.exchange import QUARANTINE_S
from tests.support.clients import (
    Disconnect,
    assert_only_later_request_is_forwarded,
    client_with_unread_response,
    each_disconnect,
    first_connection,
    half_close,
    plain_socket,
    request_targets,
    transport_of,
)
from tests.support.fake_endpoint import FakeEndpoint, Responder, Writer, respond_with
from tests.support.fake_policies import ScriptedPolicy
from tests.support.http_messages import ReceivedMessage, request
from tests.support.running_proxy import proxy_settings, running_proxy
from tests.support.scripted import forward_to_first, forwarding_policy
from tests.support.waiting import WAIT_TIMEOUT_S, wait_until

# Whether the policy acts before the event loop has read the disconnect.
unread_or_read = pytest.mark.parametrize("unread", [False, True])


def forward_at_timer(policy: ScriptedPolicy, request_id: str) -> None:
    """Buffer arriving requests, and forward the given one when a timer expires, as if its token were due."""
    policy.react = lambda event: (
        [Forward(request_id, policy.endpoint_ids()[0])] if isinstance(event, TimerExpired) else ()
    )


@each_disconnect
@unread_or_read
async def test_buffered_request_is_not_forwarded_after_a_disconnect(
    disconnect: Disconnect, unread: bool
) -> None:
    endpoint = await FakeEndpoint(respond_with(200)).start()
    policy = ScriptedPolicy()
    async with running_proxy(policy, endpoint) as client, plain_socket(client) as sock:
        sock.send(request("/read/abandoned"))
        await wait_until(lambda: policy.events_of(RequestArrived))
        forward_at_timer(policy, "1")

        disconnect(sock)
        if not unread:
            await wait_until(lambda: policy.events_of(ClientDisconnected))
        client.proxy.dispatch(TimerExpired("token"))

        await wait_until(lambda: policy.events_of(ClientDisconnected) and policy.events_of(AttemptEnded))
        await assert_only_later_request_is_forwarded(endpoint, client, policy)
        assert policy.events_of(ClientDisconnected) == [ClientDisconnected("1")]


@each_disconnect
async def test_buffered_request_is_not_sent_on_idle_connection_after_disconnect(
    disconnect: Disconnect,
) -> None:
    endpoint = await FakeEndpoint(respond_with(200)).start()
    policy = forwarding_policy()
    async with running_proxy(policy, endpoint) as client, plain_socket(client) as sock:
        assert (await client.exchange(request("/read/first"))).status == 200
        forward_at_timer(policy, "2")
        sock.send(request("/read/abandoned"))
        await wait_until(lambda: len(policy.events_of(RequestArrived)) == 2)

        disconnect(sock)
        client.proxy.dispatch(TimerExpired("token"))

        await wait_until(lambda: policy.events_of(ClientDisconnected))
        await assert_only_later_request_is_forwarded(endpoint, client, policy, received_before=1)


@each_disconnect
@unread_or_read
async def test_request_is_not_forwarded_after_a_disconnect_during_connect(
    monkeypatch: pytest.MonkeyPatch, disconnect: Disconnect, unread: bool
) -> None:
    endpoint = await FakeEndpoint(respond_with(200)).start()
    policy = forwarding_policy()
    may_connect = asyncio.Event()
    loop = asyncio.get_running_loop()
    create_connection = loop.create_connection

    async def create_connection_when_allowed(*args: object, **options: object) -> object:
        connection = await create_connection(*args, **options)  # type: ignore[call-overload]
        await may_connect.wait()
        if unread:
            disconnect(sock)
        return connection

    async with running_proxy(policy, endpoint) as client, plain_socket(client) as sock:
        monkeypatch.setattr(loop, "create_connection", create_connection_when_allowed)
        sock.send(request("/read/abandoned"))
        await wait_until(lambda: endpoint.opened_connections)

        if not unread:
            disconnect(sock)
            await wait_until(lambda: policy.events_of(ClientDisconnected))
        may_connect.set()

        await wait_until(lambda: policy.events_of(ClientDisconnected))
        monkeypatch.setattr(loop, "create_connection", create_connection)
        await assert_only_later_request_is_forwarded(endpoint, client, policy)
        assert policy.events_of(AttemptEnded)[0].result is AttemptResult.CANCELLED


@each_disconnect
@unread_or_read
async def test_request_is_not_retried_after_a_disconnect_between_two_attempts(
    disconnect: Disconnect, unread: bool
) -> None:
    responses: list[Responder] = [respond_with(503, b"", "Srv-Declined: 1"), respond_with(200)]

    async def next_response(received: ReceivedMessage, writer: Writer) -> None:
        await responses.pop(0)(received, writer)

    endpoint = await FakeEndpoint(next_response).start()
    policy = ScriptedPolicy()
    async with running_proxy(policy, endpoint) as client, plain_socket(client) as sock:

        def react(event: Event) -> Iterable[Action]:
            if isinstance(event, AttemptEnded) and unread and not event.request_complete:
                disconnect(sock)
                return [Forward(event.request_id, event.endpoint_id)]
            if isinstance(event, TimerExpired):
                return [Forward("1", policy.endpoint_ids()[0])]
            return forward_to_first(policy, event)

        policy.react = react
        sock.send(request("/read/abandoned"))
        await wait_until(lambda: policy.events_of(AttemptEnded))
        if not unread:
            disconnect(sock)
            await wait_until(lambda: policy.events_of(ClientDisconnected))
            client.proxy.dispatch(TimerExpired("again"))

        await wait_until(lambda: policy.events_of(ClientDisconnected))
        await assert_only_later_request_is_forwarded(endpoint, client, policy, received_before=1)


async def test_disconnect_is_notified_while_an_earlier_response_is_unwritten() -> None:
    # Guards against a disconnect that is noticed only after the last byte of the earlier response is written.
    endpoint = await FakeEndpoint(respond_with(200)).start()
    policy = forwarding_policy()
    async with (
        running_proxy(policy, endpoint) as client,
        client_with_unread_response(client, endpoint, 50_000) as sock,  # not enough to pause reading
    ):
        connection = first_connection(client)
        policy.react = lambda _event: ()
        sock.send(request("/read/abandoned"))
        await wait_until(lambda: len(policy.events_of(RequestArrived)) == 2)

        half_close(sock)

        await wait_until(lambda: policy.events_of(ClientDisconnected))
        assert connection.has_unsent_data
        assert connection in client.proxy.downstream._flushing
        await assert_only_later_request_is_forwarded(endpoint, client, policy, received_before=1)


async def test_request_is_not_forwarded_after_a_half_close_while_reading_paused() -> None:
    endpoint = await FakeEndpoint(respond_with(200)).start()
    policy = forwarding_policy()
    async with (
        running_proxy(policy, endpoint) as client,
        client_with_unread_response(client, endpoint, 900_000) as sock,
    ):
        assert not transport_of(first_connection(client)).is_reading()

        sock.send(request("/read/abandoned"))
        half_close(sock)
        while len(policy.events_of(RequestArrived)) < 2:  # the client reads until the proxy reads again
            await asyncio.get_running_loop().sock_recv(sock, 1 << 16)

        await wait_until(lambda: policy.events_of(ClientDisconnected))
        await assert_only_later_request_is_forwarded(endpoint, client, policy, received_before=1)


@each_disconnect
async def test_balancer_forwards_no_buffered_request_after_a_disconnect(disconnect: Disconnect) -> None:
    endpoint = await FakeEndpoint(respond_with(200)).start()
    balancer = Balancer(proxy_settings(), 1, time.monotonic_ns())
    async with running_proxy(balancer, endpoint) as client, plain_socket(client) as sock:
        throttle = balancer.throttles.get_or_create("", time.monotonic_ns())
        # No token is left or becomes due during the test: the next request waits for one.
        throttle.set_rate(0.001, time.monotonic_ns())
        throttle.bank.counter = throttle.bank.buffer_capacity
        sock.send(request("/read/abandoned"))
        await wait_until(lambda: throttle.buffer)

        disconnect(sock)

        await wait_until(lambda: not throttle.buffer)
        throttle.on_token_due()  # stands in for the token's timer, which is far in the future
        throttle.set_rate(4.0, time.monotonic_ns())
        await client.send(request("/read/stays"))
        assert (await client.read()).status == 200  # this request gets the next token
        assert request_targets(endpoint) == ["/read/stays"]


@pytest.mark.parametrize("closes", [False, True])
async def test_request_is_not_forwarded_while_much_that_follows_it_is_unread(closes: bool) -> None:
    # Guards against a request that is forwarded after its client has closed: the end of the stream is behind
    # so much unread data that the kernel does not have it yet.
    endpoint = await FakeEndpoint(respond_with(200)).start()
    policy = forwarding_policy()
    async with running_proxy(policy, endpoint) as client, plain_socket(client) as sock:
        assert (await client.exchange(request("/read/first"))).status == 200  # leaves an idle connection
        forward_at_timer(policy, "2")
        await asyncio.sleep(QUARANTINE_S)
        sock.send(request("/read/abandoned"))
        await wait_until(lambda: len(policy.events_of(RequestArrived)) == 2)

        with contextlib.suppress(BlockingIOError):
            while True:
                sock.send(b"x" * 1_000_000)
        if closes:
            sock.close()
        waiting = client.proxy._pending_requests.snapshot()[0].client
        assert not waiting.has_disconnected  # the kernel does not know
        client.proxy.dispatch(TimerExpired("token"))

        await wait_until(
            lambda: policy.events_of(ClientDisconnected) and len(policy.events_of(AttemptEnded)) == 2
        )
        await assert_only_later_request_is_forwarded(endpoint, client, policy, received_before=1)
        assert policy.events_of(ClientDisconnected) == [ClientDisconnected("2")]


async def test_request_is_forwarded_while_an_empty_line_that_follows_it_is_unread() -> None:
    endpoint = await FakeEndpoint(respond_with(200)).start()
    policy = ScriptedPolicy()
    async with running_proxy(policy, endpoint) as client, plain_socket(client) as sock:
        sock.send(request("/read/first"))
        await wait_until(lambda: policy.events_of(RequestArrived))
        forward_at_timer(policy, "1")

        sock.send(b"\r\n")
        client.proxy.dispatch(TimerExpired("token"))

        received = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, 4096), WAIT_TIMEOUT_S)
        assert received.startswith(b"HTTP/1.1 200 ")
        assert request_targets(endpoint) == ["/read/first"]
