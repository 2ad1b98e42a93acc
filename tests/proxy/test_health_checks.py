"""Tests of health checks, over loopback sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from loadbalancer.messages import (
    Action,
    AttemptResult,
    CheckHealth,
    Event,
    Forward,
    HealthCheckEnded,
    RequestArrived,
    TimerExpired,
)
from tests.support.fake_endpoint import FakeEndpoint, never_respond, respond_with
from tests.support.fake_policies import ScriptedPolicy
from tests.support.http_messages import ReceivedMessage, request
from tests.support.running_proxy import running_proxy
from tests.support.scripted import (
    end_quarantine,
    forward_requests,
    on_timer,
)
from tests.support.waiting import wait_until


async def test_health_checks_leave_connections_for_attempts() -> None:
    endpoint = await FakeEndpoint(never_respond).start()
    policy = ScriptedPolicy(on_timer(lambda: [CheckHealth(policy.endpoint_ids()[0])] * 20))
    async with running_proxy(policy, endpoint) as client:
        client.proxy._connection_limits.max_connections = 16
        client.proxy.dispatch(TimerExpired("now"))
        assert client.proxy._connection_limits.open_connections <= 14
        forward_requests(policy)
        await client.send(request())
        await wait_until(lambda: any("/read" in received.start_line for received in endpoint.requests))


async def test_health_checks_return_load_reports() -> None:
    responses = [
        (200, b'{"inflight": 3, "queue": 1, "bad": "x"}'),
        (503, b"no json"),
        (200, b"[1]"),
        (200, b'{"inflight": NaN}'),
    ]

    async def respond_with_report(received: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
        status, body = responses[len(endpoint.requests) - 1]
        await respond_with(status, body)(received, writer)

    endpoint = await FakeEndpoint(respond_with_report).start()
    policy = ScriptedPolicy(on_timer(lambda: [CheckHealth(policy.endpoint_ids()[0])]))
    async with running_proxy(policy, endpoint) as client:
        for index in range(len(responses)):
            client.proxy.dispatch(TimerExpired("now"))
            await wait_until(lambda ended=index + 1: len(policy.events_of(HealthCheckEnded)) == ended)  # type: ignore[misc]
            end_quarantine(client.proxy)
        policy.react = on_timer(lambda: [CheckHealth(99)])
        client.proxy.dispatch(TimerExpired("now"))
    assert endpoint.requests[0].start_line == "GET /stats HTTP/1.1"
    assert endpoint.opened_connections == 1
    ended = [(check.result, check.load_report) for check in policy.events_of(HealthCheckEnded)]
    assert ended == [
        (AttemptResult.OK, {"inflight": 3.0, "queue": 1.0}),
        (AttemptResult.REJECTED, None),
        (AttemptResult.OK, None),
        (AttemptResult.OK, {}),
        (AttemptResult.CONNECT_FAILED, None),
    ]


async def test_a_late_second_response_to_a_health_check_is_not_the_response_to_a_request() -> None:
    # Guards against a client that is served with the load report of a health check: the endpoint sent the
    # report twice, and the request was forwarded on the same connection in between.
    async def respond(received: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
        if received.target != "/stats":
            await asyncio.sleep(0.02)
            await respond_with(200, b"served")(received, writer)
            return
        await respond_with(200, b'{"inflight": 3}')(received, writer)
        await asyncio.sleep(0.004)
        await respond_with(200, b'{"inflight": 3}')(received, writer)

    endpoint = await FakeEndpoint(respond).start()
    policy = ScriptedPolicy()

    def react(event: Event) -> Iterable[Action]:
        if isinstance(event, RequestArrived):
            return [CheckHealth(policy.endpoint_ids()[0])]
        if isinstance(event, HealthCheckEnded):
            return [Forward(policy.events_of(RequestArrived)[-1].request_id, event.endpoint_id)]
        return ()

    policy.react = react
    async with running_proxy(policy, endpoint) as client:
        for _ in range(3):
            assert (await client.exchange(request())).body == b"served"
