"""Requests over loopback sockets, from their arrival to their one final response."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
import time
from collections.abc import Iterable

import pytest

from loadbalancer.messages import (
    Action,
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Event,
    Fail,
    Forward,
    LogMessage,
    Reject,
    RequestArrived,
    SetTimer,
    TimerExpired,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.units import NANOSECONDS_PER_MILLISECOND
from tests.support.fake_endpoint import FakeEndpoint, never_respond, respond_with
from tests.support.fake_policies import ScriptedPolicy
from tests.support.http_messages import HOST, ReceivedMessage, format_response, request
from tests.support.running_proxy import proxy_settings, running_proxy
from tests.support.scripted import (
    fail_unless_complete,
    forward_requests,
    forwarding_policy,
    on_timer,
    request_readiness,
)
from tests.support.waiting import wait_until


async def test_a_request_is_forwarded_unchanged() -> None:
    endpoint = await FakeEndpoint(
        respond_with(200, b"\x00quote\r\n", "Content-Type: x/y", "Srv-Load: {}")
    ).start()
    policy = forwarding_policy()
    async with running_proxy(policy, endpoint) as client:
        response = await client.exchange(
            request(
                "/pay/a%20b?x=1&y=%2F",
                "Idempotency-Key: k1",
                "Cookie: a=b; user=7f3a",
                "Req-Owner: acme",
                "Req-Cost: 1200",
                "Req-Retry: 1",
                "Connection: x-hop",
                "X-Hop: 1",
                method="POST",
                body=b"\x01body",
                request_id="9b1f03aa",
            )
        )
        assert (response.status, response.body) == (200, b"\x00quote\r\n")
        assert response.headers["content-type"] == "x/y"
        assert "srv-load" not in response.headers
        forwarded = endpoint.requests[0]
        assert (forwarded.start_line, forwarded.body) == ("POST /pay/a%20b?x=1&y=%2F HTTP/1.1", b"\x01body")
        assert (forwarded.headers["req-id"], forwarded.headers["idempotency-key"]) == ("9b1f03aa", "k1")
        assert 4000 < int(forwarded.headers["req-deadline-ms"]) <= 5000
        assert "x-hop" not in forwarded.headers
    arrival = policy.events_of(RequestArrived)[0]
    assert (arrival.class_name, arrival.tenant, arrival.affinity_key) == ("pay", "acme", "7f3a")
    assert arrival.cost_hint_ns == 1_200_000
    assert arrival.is_retry
    assert time.monotonic_ns() + 5000 * NANOSECONDS_PER_MILLISECOND - arrival.deadline_ns > 0
    ended = policy.events_of(AttemptEnded)[0]
    assert (ended.result, ended.attempt, ended.request_complete) == (AttemptResult.OK, 0, True)
    assert ended.elapsed_ns > 0


async def test_a_proxy_with_the_real_policy_serves_requests() -> None:
    endpoint = await FakeEndpoint(respond_with(200, b'{"inflight": 1}')).start()
    async with running_proxy(
        Balancer(proxy_settings(health_checks=True), 1, time.monotonic_ns()), endpoint
    ) as client:
        for _ in range(3):
            assert (await client.exchange(request())).status == 200
    assert sum(message.start_line.startswith("GET /read") for message in endpoint.requests) == 3


async def test_a_rejection_is_sent_at_once_with_retry_after() -> None:
    policy = ScriptedPolicy(
        lambda incoming: (
            [Reject(incoming.request_id, 437 * NANOSECONDS_PER_MILLISECOND)]
            if isinstance(incoming, RequestArrived)
            else ()
        )
    )
    async with running_proxy(policy) as client:
        started_s = time.monotonic()
        response = await client.exchange(request())
        assert response.status == 503
        assert response.headers["retry-after"] == "0.437"
        assert time.monotonic() - started_s < 2.5  # well within the 5 s that the client waits


async def test_a_proxy_within_its_ready_delay_is_not_ready_but_serves() -> None:
    endpoint = await FakeEndpoint(respond_with(200)).start()
    policy = forwarding_policy()
    async with running_proxy(policy, endpoint, ready_delay_s=3600.0) as client:
        assert (await request_readiness(client)).status == 503
        assert (await client.exchange(request())).status == 200
    async with running_proxy(policy, endpoint) as client:
        assert (await request_readiness(client)).status == 200


async def test_one_attempt_at_a_time_and_none_after_the_final_response() -> None:
    endpoint = await FakeEndpoint(never_respond).start()
    policy = ScriptedPolicy()

    def react(event: Event) -> Iterable[Action]:
        if isinstance(event, RequestArrived):
            endpoint_id = policy.endpoint_ids()[0]
            return [Forward(event.request_id, endpoint_id)] * 2
        if isinstance(event, TimerExpired):
            return [Fail("1"), Fail("1"), Forward("1", policy.endpoint_ids()[0])]
        return ()

    policy.react = react
    async with running_proxy(policy, endpoint) as client:
        await client.send(request())
        await wait_until(lambda: endpoint.requests)
        client.proxy.dispatch(TimerExpired("now"))
        assert (await client.read()).status == 504
        await wait_until(lambda: endpoint.closed_connections == 1)
        ended = {(end.attempt, end.result, end.request_complete) for end in policy.events_of(AttemptEnded)}
        assert ended == {
            (1, AttemptResult.NOT_SENT, False),
            (0, AttemptResult.CANCELLED, True),
            (0, AttemptResult.NOT_SENT, True),
        }
        assert len(endpoint.requests) == 1
        assert policy.max_call_depth == 1
        assert (await request_readiness(client)).status == 200  # one response only


async def test_a_client_disconnect_cancels_its_request() -> None:
    endpoint = await FakeEndpoint(never_respond).start()
    policy = forwarding_policy()
    async with running_proxy(policy, endpoint) as client:
        await client.send(request())
        await wait_until(lambda: endpoint.requests)
        client.close()
        await wait_until(lambda: endpoint.closed_connections == 1)
        assert policy.events_of(ClientDisconnected) == [ClientDisconnected("1")]
        assert [(end.result, end.request_complete) for end in policy.events_of(AttemptEnded)] == [
            (AttemptResult.CANCELLED, True)
        ]
        assert not client.proxy._pending_requests
        assert not client.proxy._pending_requests._by_client


async def test_a_request_that_the_policy_ignores_fails_at_its_deadline() -> None:
    policy = ScriptedPolicy()
    async with running_proxy(policy) as client:
        started_s = time.monotonic()
        assert (await client.exchange(request(deadline_ms=80))).status == 504
        assert time.monotonic() - started_s > 0.05
        assert policy.events_of(ClientDisconnected) == [ClientDisconnected("1")]


async def test_an_error_in_the_policy_does_not_stop_the_proxy(
    caplog: pytest.LogCaptureFixture,
) -> None:
    def react(event: Event) -> Iterable[Action]:
        if isinstance(event, RequestArrived) and event.request_id == "1":
            raise RuntimeError("bug")
        return [Fail(event.request_id)] if isinstance(event, RequestArrived) else ()

    async with running_proxy(ScriptedPolicy(react)) as client:
        assert (await client.exchange(request(deadline_ms=50))).status == 504
        assert (await client.exchange(request())).status == 504
    assert "n: policy: error, events dropped: [RequestArrived(request_id='1'" in caplog.text
    assert "RuntimeError: bug" in caplog.text


async def test_a_message_of_the_policy_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    policy = ScriptedPolicy(on_timer(lambda: [LogMessage("table is full")]))
    async with running_proxy(policy) as client:
        client.proxy.dispatch(TimerExpired("now"))
    assert "n: policy: table is full" in caplog.text


async def test_a_timer_expires_under_its_name() -> None:
    policy = ScriptedPolicy(
        lambda incoming: (
            [SetTimer(2 * NANOSECONDS_PER_MILLISECOND, "next")] if incoming == TimerExpired("first") else ()
        )
    )
    async with running_proxy(policy) as client:
        client.proxy.dispatch(TimerExpired("first"))
        await wait_until(lambda: TimerExpired("next") in policy.events)


@pytest.mark.parametrize(
    "order", [("response", "disconnect"), ("disconnect", "response"), ("disconnect",), ("response",)]
)
async def test_simultaneous_timeout_disconnect_and_response_end_a_request_once(
    order: tuple[str, ...],
) -> None:
    writers: list[asyncio.StreamWriter] = []

    async def hold_response(_received: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)

    endpoint = await FakeEndpoint(hold_response).start()
    policy = forwarding_policy(fail_unless_complete, timeout_ns=100 * NANOSECONDS_PER_MILLISECOND)
    async with running_proxy(policy, endpoint) as client:
        client_socket = socket.socket()
        client_socket.setblocking(False)
        await asyncio.get_running_loop().sock_connect(client_socket, (HOST, client.port))
        client_socket.send(request())
        await wait_until(lambda: writers)
        for event in order:
            if event == "response":
                os.write(
                    writers[0].transport.get_extra_info("socket").fileno(), format_response(200, b"late")
                )
            else:
                client_socket.shutdown(socket.SHUT_WR)
        time.sleep(0.15)  # the attempt's timeout expires too: all events are handled in one event loop turn
        await wait_until(lambda: policy.events_of(AttemptEnded))
        await wait_until(lambda: not client.proxy._pending_requests)
        assert len(policy.events_of(AttemptEnded)) == 1
        assert len(endpoint.requests) == 1
        assert len(policy.events_of(ClientDisconnected)) <= 1
        forward_requests(policy)
        endpoint.respond = respond_with(200, b"next")
        assert (await client.exchange(request())).body == b"next"  # and not the late response
        client_socket.close()
