"""Attempts over loopback sockets: timeouts, cancellation and the deadline that is forwarded."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections.abc import Iterable

import pytest

from loadbalancer.messages import (
    Action,
    AttemptEnded,
    AttemptResult,
    CancelAttempt,
    ClientDisconnected,
    Event,
    Fail,
    Forward,
    Reject,
    RequestArrived,
    SetTimer,
    TimerExpired,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.proxy.pending_requests import POLICY_DEADLINE_MARGIN_NS, PROXY_DEADLINE_MARGIN_NS
from loadbalancer.units import NANOSECONDS_PER_MILLISECOND
from tests.support.endpoint_lists import entry, list_json, list_of_ports, read_live_list
from tests.support.fake_endpoint import FakeEndpoint, never_respond, respond_with
from tests.support.fake_policies import RecordingPolicy, ScriptedPolicy
from tests.support.http_messages import HOST, ReceivedMessage, format_response, request
from tests.support.running_proxy import proxy_settings, running_proxy
from tests.support.scripted import (
    attempt_results,
    fail_unless_complete,
    forward_requests,
    hold_connections,
    request_readiness,
    shrink_send_buffers,
)
from tests.support.unreachable_server import UnreachableServer
from tests.support.waiting import WAIT_TIMEOUT_S, wait_until

SMALL_BUFFER_BYTES = 4096
LARGE_BODY_BYTES = 60_000


async def test_timed_out_attempt_closes_its_connection_and_drops_late_response() -> None:
    release = asyncio.Event()

    async def respond_late(_received: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
        if len(endpoint.requests) == 1:
            await release.wait()
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nlate")
        else:
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nfresh")

    endpoint = await FakeEndpoint(respond_late).start()
    policy = ScriptedPolicy()

    def retry(event: Event) -> Iterable[Action]:
        if isinstance(event, AttemptEnded) and event.result is AttemptResult.TIMEOUT:
            release.set()
            return [Forward(event.request_id, event.endpoint_id)]
        return ()

    forward_requests(policy, retry, timeout_ns=30 * NANOSECONDS_PER_MILLISECOND)
    async with running_proxy(policy, endpoint) as client:
        assert (await client.exchange(request())).body == b"fresh"
        assert endpoint.opened_connections == 2
        await wait_until(lambda: endpoint.closed_connections == 1)
        assert [(end.result, end.attempt) for end in policy.events_of(AttemptEnded)] == [
            (AttemptResult.TIMEOUT, 0),
            (AttemptResult.OK, 1),
        ]


async def test_timed_out_attempt_is_closed_before_the_policy_is_notified() -> None:
    with socket.create_server((HOST, 0)) as listener:
        listener.setblocking(False)
        accepted: list[socket.socket] = []
        received_at_end: list[bytes] = []
        policy = ScriptedPolicy()

        def check_closed(event: Event) -> Iterable[Action]:
            if isinstance(event, AttemptEnded) and event.result is AttemptResult.TIMEOUT:
                received_at_end.append(accepted[0].recv(65536))  # empty if the connection is closed
                return [Fail(event.request_id)]
            return ()

        forward_requests(policy, check_closed, timeout_ns=30 * NANOSECONDS_PER_MILLISECOND)
        async with running_proxy(policy, initial_list=list_of_ports(listener.getsockname()[1])) as client:
            await client.send(request())
            loop = asyncio.get_running_loop()
            accepted.append((await loop.sock_accept(listener))[0])
            assert (await loop.sock_recv(accepted[0], 65536)).startswith(b"GET /read")
            assert (await client.read()).status == 504
            assert received_at_end == [b""]
        accepted[0].close()


async def test_a_cancelled_attempt_closes_its_connection() -> None:
    endpoint = await FakeEndpoint(never_respond).start()
    policy = ScriptedPolicy()
    forward_requests(
        policy,
        lambda incoming: (
            [CancelAttempt("1", 0)] if isinstance(incoming, TimerExpired) else fail_unless_complete(incoming)
        ),
    )
    async with running_proxy(policy, endpoint) as client:
        await client.send(request())
        await wait_until(lambda: endpoint.requests)
        client.proxy.dispatch(TimerExpired("now"))
        assert (await client.read()).status == 504
        await wait_until(lambda: endpoint.closed_connections == 1)
        assert attempt_results(policy) == [AttemptResult.CANCELLED]


async def test_a_stall_after_the_decision_does_not_extend_the_timeout() -> None:
    endpoint = await FakeEndpoint(never_respond).start()
    policy = ScriptedPolicy()

    def react(event: Event) -> Iterable[Action]:
        if isinstance(event, RequestArrived):
            remaining_ns = event.deadline_ns - time.monotonic_ns()
            time.sleep(0.02)  # simulates a process that is not scheduled for a while
            return [
                Forward(event.request_id, policy.endpoint_ids()[0], remaining_ns),
                SetTimer(remaining_ns, "end"),
            ]
        if isinstance(event, AttemptEnded) and event.result is AttemptResult.TIMEOUT:
            return [Reject(event.request_id)]
        return ()

    policy.react = react
    async with running_proxy(policy, endpoint) as client:
        assert (await client.exchange(request(deadline_ms=150))).status == 503
        assert attempt_results(policy) == [AttemptResult.TIMEOUT]
        await wait_until(lambda: policy.events_of(TimerExpired))
        assert not policy.events_of(ClientDisconnected)


@pytest.mark.parametrize(
    "timeout_ns", [0, 2000 * NANOSECONDS_PER_MILLISECOND], ids=["to the deadline", "to its timeout"]
)
@pytest.mark.parametrize("attempts", [1, 2])
async def test_slow_connect_shortens_the_forwarded_deadline(
    monkeypatch: pytest.MonkeyPatch, attempts: int, timeout_ns: int
) -> None:
    connect_ns = 40 * NANOSECONDS_PER_MILLISECOND
    deadlines_ns: list[int] = []  # when the attempts time out, on the monotonic clock
    received_ns: list[int] = []  # when the attempts arrived at the endpoint

    async def respond(_received: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
        received_ns.append(time.monotonic_ns())
        writer.write(format_response(200))

    def forward(event: Event) -> Iterable[Action]:
        if isinstance(event, (RequestArrived, AttemptEnded)) and len(deadlines_ns) < attempts:
            arrival = policy.events_of(RequestArrived)[0]
            proxy_deadline_ns = arrival.deadline_ns + POLICY_DEADLINE_MARGIN_NS - PROXY_DEADLINE_MARGIN_NS
            deadlines_ns.append(
                client.proxy._decision_time_ns + timeout_ns if timeout_ns else proxy_deadline_ns
            )
            endpoints = policy.endpoint_ids()
            return [
                Forward(
                    arrival.request_id,
                    endpoints[-1 if len(deadlines_ns) == attempts else 0],
                    timeout_ns,
                )
            ]
        return ()

    refusing, endpoint = await FakeEndpoint(never_respond).start(), await FakeEndpoint(respond).start()
    refusing.stop()
    policy, may_connect = ScriptedPolicy(forward), asyncio.Event()
    async with running_proxy(policy, refusing, endpoint) as client:
        await request_readiness(client)
        hold_connections(monkeypatch, may_connect, endpoint.port)
        await client.send(request())
        await wait_until(lambda: len(deadlines_ns) == attempts)
        started_ns = time.monotonic_ns()
        await wait_until(lambda: time.monotonic_ns() - started_ns >= connect_ns)
        connected_ns = time.monotonic_ns()
        may_connect.set()
        assert (await client.read()).status == 200
        forwarded_ns = int(endpoint.requests[0].headers["req-deadline-ms"]) * NANOSECONDS_PER_MILLISECOND
        # The header was written between these two times, and is in whole milliseconds.
        assert (
            deadlines_ns[-1] - received_ns[0] - NANOSECONDS_PER_MILLISECOND
            < forwarded_ns
            <= deadlines_ns[-1] - connected_ns
        )


async def test_attempts_that_never_start_do_not_count_towards_the_limit() -> None:
    # Guards against unsent attempts, hedged or at a drained endpoint, that leave none for a retry.
    release = asyncio.Event()

    async def reset_when_released(_received: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.transport.abort()

    first = await FakeEndpoint(reset_when_released).start()
    drained = await FakeEndpoint(respond_with(200)).start()
    second = await FakeEndpoint(respond_with(200)).start()
    policy = ScriptedPolicy()

    def react(event: Event) -> Iterable[Action]:
        first_id, drained_id, second_id = policy.endpoint_ids()
        if isinstance(event, RequestArrived):
            return [Forward(event.request_id, first_id)]
        if isinstance(event, TimerExpired):
            return [Forward("1", second_id)]  # hedged: the first attempt is still in flight
        if isinstance(event, AttemptEnded) and event.result is AttemptResult.RESET:
            return [Forward("1", drained_id), Forward("1", second_id)]
        return ()

    policy.react = react
    async with running_proxy(policy, first, drained, second, hedging=True, max_attempts=2) as client:
        draining_entry = entry("s1", drained.port, health="draining")
        client.proxy.list_applier.on_discovery_result(read_live_list(list_json(2, draining_entry)))
        await client.send(request())
        await wait_until(lambda: first.requests)
        client.proxy.dispatch(TimerExpired("overdue"))
        release.set()
        assert (await client.read()).status == 200
    assert [(ended.result, ended.counts_as_attempt) for ended in policy.events_of(AttemptEnded)] == [
        (AttemptResult.NOT_SENT, False),
        (AttemptResult.RESET, True),
        (AttemptResult.NOT_SENT, False),
        (AttemptResult.OK, True),
    ]


async def test_unsent_request_is_rejected_instead_of_failed_at_its_timeout() -> None:
    # Guards against failing a request that is not idempotent although its client could safely send it again.
    unreachable = await UnreachableServer(respond_with(200), refuses_connections=False).start()
    policy = RecordingPolicy(Balancer(proxy_settings(max_attempts=2), 1, time.monotonic_ns()))
    async with running_proxy(policy, unreachable, max_attempts=2) as client:
        response = await client.exchange(request("/pay", deadline_ms=300, method="POST", body=b"1"))
        attempts_ended = [
            event for batch in policy.batches for event in batch.events if isinstance(event, AttemptEnded)
        ]
    assert response.status == 503
    assert [(ended.result, ended.was_written) for ended in attempts_ended] == [(AttemptResult.TIMEOUT, False)]


async def test_partially_sent_request_is_not_completed_after_a_disconnect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against sending the last byte after the disconnect: the endpoint would run an abandoned request.
    loop = asyncio.get_running_loop()
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        listener.bind((HOST, 0))
        listener.listen()
        listener.setblocking(False)
        policy = ScriptedPolicy()
        forward_requests(policy)
        async with running_proxy(policy, initial_list=list_of_ports(listener.getsockname()[1])) as client:
            shrink_send_buffers(monkeypatch, SMALL_BUFFER_BYTES)
            body = b"x" * LARGE_BODY_BYTES
            await client.send(request("/pay", method="POST", body=body))
            accepted, _ = await loop.sock_accept(listener)
            received = await loop.sock_recv(accepted, 1)
            client.close()
            await wait_until(lambda: policy.events_of(AttemptEnded))
            with contextlib.suppress(ConnectionResetError):
                while data := await asyncio.wait_for(loop.sock_recv(accepted, 65536), WAIT_TIMEOUT_S):
                    received += data
        accepted.close()
    assert 0 < len(received) < len(body)
    assert [(ended.result, ended.was_written) for ended in policy.events_of(AttemptEnded)] == [
        (AttemptResult.CANCELLED, False)
    ]
