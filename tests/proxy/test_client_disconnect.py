"""Client disconnects in every state of a request: no attempt starts after the disconnect.

Each state is tested with each kind of close (FIN, half-close, RST) at three times, see `DisconnectTime`.
`test_unread_disconnect.py` covers buffered requests and the retries of a scripted policy, and
`tests/policy/test_disconnect.py` the states of the policy alone.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from contextlib import AsyncExitStack
from enum import Enum

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
from loadbalancer.proxy.proxy import Policy
from loadbalancer.units import NANOSECONDS_PER_MILLISECOND
from tests.support.clients import (
    Disconnect,
    assert_only_later_request_is_forwarded,
    client_with_unread_response,
    each_disconnect,
    first_connection,
    plain_socket,
    request_targets,
    transport_of,
)
from tests.support.fake_endpoint import (
    FakeEndpoint,
    Responder,
    Writer,
    abort_connection,
    never_respond,
    respond_with,
)
from tests.support.fake_policies import ScriptedPolicy
from tests.support.http_messages import HOST, ReceivedMessage, format_response, request
from tests.support.running_proxy import Client, proxy_settings, running_proxy
from tests.support.scripted import forwarding_policy
from tests.support.waiting import WAIT_TIMEOUT_S, wait_until

# No attempt may start this long after the disconnect.
MAX_DETECTION_DELAY_S = 0.1

# Longer than a full garbage collection on a busy machine: the request has to arrive before the timeout.
ATTEMPT_TIMEOUT_NS = 250 * NANOSECONDS_PER_MILLISECOND

# The responders that make an attempt fail, by its result.
FAILURE_RESPONDERS: dict[str, Responder] = {
    "rejected": respond_with(503, b"", "Srv-Declined: 1"),
    "error": respond_with(500),
    "reset": abort_connection,
    "timeout": never_respond,
}


class DisconnectTime(Enum):
    """When a client disconnects."""

    READ = "read"
    """Before the request would be forwarded; the event loop has read the disconnect."""

    DECIDED = "decided"
    """Unread, after the decision to forward and before the request is written to an idle connection."""

    CONNECTED = "connected"
    """Unread, after a new connection is established and before its first byte."""


each_disconnect_time = pytest.mark.parametrize("when", list(DisconnectTime), ids=lambda when: when.value)


class DisconnectInjector:
    """Wraps a policy, and disconnects a client right before the first byte of one of its attempts."""

    def __init__(self, policy: Policy, when: DisconnectTime, request_id: str = "1", attempt: int = 0) -> None:
        self._policy = policy
        self._when = when
        self._request_id = request_id
        self._attempt = attempt
        self._pending_disconnect: Callable[[], None] | None = None
        self.attempts: Counter[str] = Counter()
        """How many attempts the policy has started, by request id."""

    @property
    def done(self) -> bool:
        """Whether the disconnect has happened."""
        return self._pending_disconnect is None

    def handle(self, now_ns: int, events: Iterable[Event]) -> list[Action]:
        """Let the policy decide, and disconnect before its actions are executed."""
        actions = list(self._policy.handle(now_ns, events))
        for action in actions:
            if isinstance(action, Forward):
                next_attempt = (action.request_id, self.attempts[action.request_id])
                if self._when is DisconnectTime.DECIDED and next_attempt == (self._request_id, self._attempt):
                    self._disconnect_now()
                self.attempts[action.request_id] += 1
        return actions

    def _disconnect_now(self) -> None:
        if self._pending_disconnect is not None:
            self._pending_disconnect()
            self._pending_disconnect = None

    def watch_connections(self, monkeypatch: pytest.MonkeyPatch, *endpoints: FakeEndpoint) -> None:
        """Make the attempts use idle connections or new ones, as the time of the disconnect requires."""
        quarantine_s = 0.0 if self._when is DisconnectTime.DECIDED else 60.0
        monkeypatch.setattr("loadbalancer.proxy.attempts.QUARANTINE_S", quarantine_s)
        if self._when is not DisconnectTime.CONNECTED:
            return
        loop = asyncio.get_running_loop()
        ports = [endpoint.port for endpoint in endpoints]
        original: Callable[..., Awaitable[object]] = loop.create_connection

        async def create_connection(*args: object, **options: object) -> object:
            connection = await original(*args, **options)
            if args[2] in ports and self.attempts[self._request_id] > self._attempt:
                self._disconnect_now()
            return connection

        monkeypatch.setattr(loop, "create_connection", create_connection)

    async def disconnect(self, disconnect: Disconnect, sock: socket.socket, client: Client) -> None:
        """Disconnect now and wait until that is read, or schedule it for when the request is forwarded."""
        if self._when is DisconnectTime.READ:
            disconnect(sock)
            await wait_until(lambda: self._request_id not in client.proxy._pending_requests)
        else:
            self._pending_disconnect = lambda: disconnect(sock)


def make_balancer(**limits: bool) -> Balancer:
    return Balancer(proxy_settings(**limits), 1, time.monotonic_ns())


def forwarded(endpoint: FakeEndpoint) -> list[str]:
    """Return the targets of the forwarded requests, without those of health checks."""
    return [target for target in request_targets(endpoint) if "/read/" in target]


async def send_until_served(client: Client) -> None:
    """Send a later request until it is served: its endpoint may be ejected for a while."""

    async def send_requests() -> None:
        while (await client.new_client().exchange(request("/read/later"))).status != 200:
            await asyncio.sleep(0.01)

    await asyncio.wait_for(send_requests(), WAIT_TIMEOUT_S)


@each_disconnect
@each_disconnect_time
async def test_queued_request_is_not_forwarded_after_a_disconnect(
    monkeypatch: pytest.MonkeyPatch, disconnect: Disconnect, when: DisconnectTime
) -> None:
    may_respond = asyncio.Event()

    async def respond(received: ReceivedMessage, writer: Writer) -> None:
        if "/read/first" in received.start_line:
            await may_respond.wait()
        writer.write(format_response(200))

    endpoint = await FakeEndpoint(respond).start()
    balancer = make_balancer()
    policy = DisconnectInjector(balancer, when, request_id="2")
    policy.watch_connections(monkeypatch, endpoint)
    async with running_proxy(policy, endpoint) as client, plain_socket(client) as sock:
        first = client.new_client()
        await first.send(request("/read/first"))
        await wait_until(lambda: endpoint.requests)
        sock.send(request("/read/abandoned"))
        # The only endpoint has no capacity for a second request, so that it is queued.
        await wait_until(lambda: balancer.queues[balancer.fleet.default_pool].waiting)

        await policy.disconnect(disconnect, sock, client)
        may_respond.set()
        assert (await first.read()).status == 200  # there is capacity for a second request now

        await send_until_served(client)
        assert forwarded(endpoint) == ["/read/first", "/read/later"]
        assert policy.done
        assert not balancer.requests
        first.close()


@each_disconnect
@each_disconnect_time
async def test_request_awaiting_load_probe_is_not_forwarded_after_a_disconnect(
    monkeypatch: pytest.MonkeyPatch, disconnect: Disconnect, when: DisconnectTime
) -> None:
    may_respond = asyncio.Event()
    probe_headers = ["Connection: close"] if when is DisconnectTime.CONNECTED else []

    async def respond(received: ReceivedMessage, writer: Writer) -> None:
        if "/stats" in received.start_line:
            await may_respond.wait()
            writer.write(format_response(200, b'{"inflight":0}', *probe_headers))
        else:
            writer.write(format_response(200))

    monkeypatch.setattr(
        "loadbalancer.policy.load_probing.PROBE_TIMEOUT_NS",
        int(WAIT_TIMEOUT_S * 1000) * NANOSECONDS_PER_MILLISECOND,
    )
    monkeypatch.setattr("loadbalancer.proxy.health_checks.HEALTH_CHECK_TIMEOUT_S", WAIT_TIMEOUT_S)
    endpoint = await FakeEndpoint(respond).start()
    balancer = make_balancer(health_checks=True)
    policy = DisconnectInjector(balancer, when)
    policy.watch_connections(monkeypatch, endpoint)
    async with running_proxy(policy, endpoint, health_checks=True) as client, plain_socket(client) as sock:
        sock.send(request("/read/abandoned"))
        await wait_until(lambda: endpoint.requests)  # the request waits for the result of a load probe
        assert balancer.queues[balancer.fleet.default_pool].waiting
        assert not forwarded(endpoint)

        await policy.disconnect(disconnect, sock, client)
        may_respond.set()

        await send_until_served(client)
        assert forwarded(endpoint) == ["/read/later"]
        assert policy.done
        assert not balancer.requests


@each_disconnect
@each_disconnect_time
@pytest.mark.parametrize("failure", ["rejected", "error", "reset"])
async def test_balancer_does_not_retry_a_request_after_a_disconnect(
    monkeypatch: pytest.MonkeyPatch, disconnect: Disconnect, when: DisconnectTime, failure: str
) -> None:
    may_respond = asyncio.Event()

    async def respond(received: ReceivedMessage, writer: Writer) -> None:
        await may_respond.wait()
        endpoint.respond = respond_with(200)
        await FAILURE_RESPONDERS[failure](received, writer)

    endpoint = await FakeEndpoint(respond).start()
    policy = DisconnectInjector(make_balancer(), when, attempt=1)
    policy.watch_connections(monkeypatch, endpoint)
    async with running_proxy(policy, endpoint) as client, plain_socket(client) as sock:
        sock.send(request("/read/abandoned"))
        await wait_until(lambda: endpoint.requests)

        await policy.disconnect(disconnect, sock, client)  # READ: while the first attempt is in flight
        may_respond.set()

        await wait_until(lambda: not client.proxy._pending_requests)
        await send_until_served(client)
        assert forwarded(endpoint) == ["/read/abandoned", "/read/later"]
        assert policy.done


@each_disconnect
@each_disconnect_time
@pytest.mark.parametrize("failure", [*FAILURE_RESPONDERS, "refused"])
async def test_request_is_not_retried_after_a_disconnect_whatever_the_result(
    monkeypatch: pytest.MonkeyPatch, disconnect: Disconnect, when: DisconnectTime, failure: str
) -> None:
    endpoint = await FakeEndpoint(FAILURE_RESPONDERS.get(failure, never_respond)).start()
    other = await FakeEndpoint(respond_with(200)).start()
    attempt_timeout_ns = ATTEMPT_TIMEOUT_NS if failure == "timeout" else 0
    retry_on = TimerExpired if when is DisconnectTime.READ else AttemptEnded

    def react(event: Event) -> Iterable[Action]:
        first, second = script.endpoint_ids()
        if isinstance(event, RequestArrived):
            if event.request_id == "1":
                return [Forward(event.request_id, second)]
            return [Forward(event.request_id, first, attempt_timeout_ns)]
        if isinstance(event, retry_on) and policy.attempts["2"] == 1:
            return [Forward("2", second)]
        return ()

    script = ScriptedPolicy(react)
    policy = DisconnectInjector(script, when, request_id="2", attempt=1)
    policy.watch_connections(monkeypatch, endpoint, other)
    async with running_proxy(policy, endpoint, other) as client:
        # Leaves an idle connection for later attempts.
        assert (await client.exchange(request("/read/first"))).status == 200
        if failure == "refused":
            endpoint.stop()
        async with plain_socket(client) as sock:
            if when is not DisconnectTime.READ:
                await policy.disconnect(disconnect, sock, client)
            sock.send(request("/read/abandoned"))
            await wait_until(lambda: len(script.events_of(AttemptEnded)) >= 2)
            if when is DisconnectTime.READ:
                await policy.disconnect(disconnect, sock, client)
                client.proxy.dispatch(TimerExpired("again"))
            await wait_until(
                lambda: script.events_of(ClientDisconnected) and len(script.events_of(AttemptEnded)) >= 3
            )

            script.react = lambda event: (
                [Forward(event.request_id, script.endpoint_ids()[1])]
                if isinstance(event, RequestArrived)
                else ()
            )
            await send_until_served(client)
            assert forwarded(other) == ["/read/first", "/read/later"]
            assert len(endpoint.requests) == (0 if failure == "refused" else 1)
            assert policy.done


@each_disconnect
@pytest.mark.parametrize("idle_connection", [False, True])
async def test_request_in_the_backlog_is_not_forwarded_after_a_disconnect(
    monkeypatch: pytest.MonkeyPatch, disconnect: Disconnect, idle_connection: bool
) -> None:
    monkeypatch.setattr("loadbalancer.proxy.attempts.QUARANTINE_S", 0.0)
    endpoint = await FakeEndpoint(respond_with(200)).start()
    policy = forwarding_policy()
    async with running_proxy(policy, endpoint) as client:
        if idle_connection:
            assert (await client.exchange(request("/read/first"))).status == 200
        # The event loop does not run between the connect and the disconnect.
        with socket.create_connection((HOST, client.port)) as sock:
            sock.send(request("/read/abandoned"))
            disconnect(sock)
            await assert_only_later_request_is_forwarded(
                endpoint, client, policy, received_before=1 if idle_connection else 0
            )


@each_disconnect
async def test_requests_are_not_forwarded_after_disconnects_during_a_long_batch(
    monkeypatch: pytest.MonkeyPatch, disconnect: Disconnect
) -> None:
    monkeypatch.setattr("loadbalancer.proxy.attempts.QUARANTINE_S", 0.0)
    all_received = asyncio.Event()

    async def respond(_received: ReceivedMessage, writer: Writer) -> None:
        await all_received.wait()
        writer.write(format_response(200))

    endpoint = await FakeEndpoint(respond).start()
    policy = forwarding_policy()
    async with running_proxy(policy, endpoint) as client, AsyncExitStack() as stack:
        socks = [await stack.enter_async_context(plain_socket(client)) for _ in range(6)]
        for sock in socks:
            sock.send(request("/read/first"))
        await wait_until(lambda: len(endpoint.requests) == 6)
        all_received.set()
        await wait_until(lambda: len(policy.events_of(AttemptEnded)) == 6)  # leaves six idle connections
        policy.react = lambda _event: ()
        for index, sock in enumerate(socks):
            sock.send(request(f"/read/{index}"))
            await wait_until(lambda index=index: len(policy.events_of(RequestArrived)) == 7 + index)  # type: ignore[misc]

        def react(event: Event) -> Iterable[Action]:
            if not isinstance(event, TimerExpired):
                return ()
            for sock in socks[::2]:
                disconnect(sock)
            time.sleep(1.2 * MAX_DETECTION_DELAY_S)  # a long batch: nothing is read meanwhile
            endpoint_id = policy.endpoint_ids()[0]
            return [
                Forward(arrived.request_id, endpoint_id) for arrived in policy.events_of(RequestArrived)[6:]
            ]

        policy.react = react
        client.proxy.dispatch(TimerExpired("token"))

        await wait_until(lambda: len(policy.events_of(AttemptEnded)) == 12)
        assert len(policy.events_of(ClientDisconnected)) == 3
        assert sorted(forwarded(endpoint)[6:]) == ["/read/1", "/read/3", "/read/5"]


@each_disconnect
@pytest.mark.parametrize("idle_connection", [False, True])
async def test_unread_disconnect_opens_no_connection_and_closes_no_idle_one(
    monkeypatch: pytest.MonkeyPatch, disconnect: Disconnect, idle_connection: bool
) -> None:
    # Guards against a handshake with an endpoint for each of many clients that disconnect.
    endpoint = await FakeEndpoint(respond_with(200)).start()
    script = forwarding_policy()
    policy = DisconnectInjector(script, DisconnectTime.DECIDED, request_id="2" if idle_connection else "1")
    policy.watch_connections(monkeypatch, endpoint)
    async with running_proxy(policy, endpoint) as client:
        if idle_connection:
            assert (await client.exchange(request("/read/first"))).status == 200
        async with plain_socket(client) as sock:
            await policy.disconnect(disconnect, sock, client)
            sock.send(request("/read/abandoned"))

            await wait_until(lambda: script.events_of(ClientDisconnected))
            await assert_only_later_request_is_forwarded(
                endpoint, client, script, received_before=1 if idle_connection else 0
            )
            assert endpoint.opened_connections == 1
            assert not endpoint.closed_connections


@each_disconnect
async def test_request_is_not_forwarded_after_a_disconnect_while_reading_paused(
    disconnect: Disconnect,
) -> None:
    # With an unread response, a full close is a reset. The request stays unread in the socket.
    endpoint = await FakeEndpoint(respond_with(200)).start()
    policy = forwarding_policy()
    async with (
        running_proxy(policy, endpoint) as client,
        client_with_unread_response(client, endpoint, 900_000) as sock,
    ):
        connection = first_connection(client)
        assert not transport_of(connection).is_reading()
        sock.send(request("/read/abandoned"))

        disconnect(sock)

        assert connection.has_disconnected  # known to the kernel, but not yet to the event loop
        if sock.fileno() != -1:  # a half-close: the client still reads
            while len(policy.events_of(RequestArrived)) < 2:
                await asyncio.get_running_loop().sock_recv(sock, 1 << 16)
        await wait_until(lambda: connection not in client.proxy.downstream._connections)
        await assert_only_later_request_is_forwarded(endpoint, client, policy, received_before=1)


@each_disconnect
@pytest.mark.parametrize("when", [DisconnectTime.READ, DisconnectTime.DECIDED], ids=lambda when: when.value)
@pytest.mark.parametrize("hedging", [False, True])
async def test_hedged_request_is_not_sent_after_a_disconnect(
    disconnect: Disconnect, when: DisconnectTime, hedging: bool
) -> None:
    # The proxy sends no hedged requests: it has one attempt of a request in flight at a time, even if the
    # settings allow two.
    endpoint = await FakeEndpoint(never_respond).start()
    other = await FakeEndpoint(respond_with(200)).start()
    script = forwarding_policy()
    policy = DisconnectInjector(script, when, attempt=1)
    async with (
        running_proxy(policy, endpoint, other, hedging=hedging, cancellation=True) as client,
        plain_socket(client) as sock,
    ):
        sock.send(request("/read/abandoned"))
        await wait_until(lambda: endpoint.requests)
        script.react = lambda event: (
            [Forward("1", script.endpoint_ids()[1])] if isinstance(event, TimerExpired) else ()
        )

        await policy.disconnect(disconnect, sock, client)
        client.proxy.dispatch(TimerExpired("overdue"))

        await wait_until(
            lambda: script.events_of(ClientDisconnected) and len(script.events_of(AttemptEnded)) == 2
        )
        results = {ended.result for ended in script.events_of(AttemptEnded)}
        assert results == {AttemptResult.CANCELLED, AttemptResult.NOT_SENT}
        endpoint.respond = respond_with(200)
        await assert_only_later_request_is_forwarded(endpoint, client, script, received_before=1)
        assert forwarded(endpoint) == ["/read/abandoned", "/read/later"]
        assert not other.requests
        # The attempt in flight has been cancelled.
        await wait_until(lambda: endpoint.closed_connections)
