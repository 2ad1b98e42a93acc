"""Health checks over loopback sockets."""

from __future__ import annotations

import asyncio

from loadbalancer.messages import (
    AttemptResult,
    CheckHealth,
    HealthCheckEnded,
    TimerExpired,
)
from tests.support.scripted import (
    forward_requests,
    on_timer,
)
from tests.support.sockets import (
    FakeEndpoint,
    ReceivedRequest,
    ScriptedPolicy,
    answers,
    node,
    request,
    silent,
    until,
)


async def test_health_checks_leave_connections_for_attempts() -> None:
    endpoint = await FakeEndpoint(silent).start()
    policy = ScriptedPolicy(on_timer(lambda: [CheckHealth(policy.ids()[0])] * 20))
    async with node(policy, endpoint) as client:
        client.node._connection_limits.max_connections = 16
        client.node.dispatch(TimerExpired("now"))
        assert client.node._connection_limits.open_connections <= 14
        forward_requests(policy)
        await client.send(request())
        await until(lambda: any("/read" in got.first for got in endpoint.got))


async def test_health_checks_return_load_reports() -> None:
    responses = [
        (200, b'{"inflight": 3, "queue": 1, "bad": "x"}'),
        (503, b"no json"),
        (200, b"[1]"),
        (200, b'{"inflight": NaN}'),
    ]

    async def stats(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        status, body = responses[len(endpoint.got) - 1]
        await answers(status, body)(received, writer)

    endpoint = await FakeEndpoint(stats).start()
    policy = ScriptedPolicy(on_timer(lambda: [CheckHealth(policy.ids()[0])]))
    async with node(policy, endpoint) as client:
        for i in range(len(responses)):
            client.node.dispatch(TimerExpired("now"))
            await until(lambda ended=i + 1: len(policy.of(HealthCheckEnded)) == ended)  # type: ignore[misc]
        policy.react = on_timer(lambda: [CheckHealth(99)])
        client.node.dispatch(TimerExpired("now"))
    assert endpoint.got[0].first == "GET /stats HTTP/1.1"
    assert endpoint.opened == 1
    ended = [(check.result, check.load_report) for check in policy.of(HealthCheckEnded)]
    assert ended == [
        (AttemptResult.OK, {"inflight": 3.0, "queue": 1.0}),
        (AttemptResult.REJECTED, None),
        (AttemptResult.OK, None),
        (AttemptResult.OK, {}),
        (AttemptResult.CONNECT_FAILED, None),
    ]
