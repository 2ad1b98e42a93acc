"""The driver over loopback sockets: requests, attempts and their outcomes, with a scripted module."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
import time
from collections.abc import Callable, Iterable
from functools import partial
from typing import cast

import pytest

from loadbalancer.configuration import Configuration
from loadbalancer.messages import (
    Action,
    AttemptEnded,
    AttemptResult,
    CancelAttempt,
    CheckHealth,
    ClientDisconnected,
    Event,
    Fail,
    Forward,
    GossipReceived,
    HealthCheckEnded,
    Reject,
    RequestArrived,
    SendGossip,
    SetTimer,
    TimerExpired,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.proxy.attempts import QUARANTINE_S
from loadbalancer.proxy.pending_requests import POLICY_DEADLINE_MARGIN_NS, PROXY_DEADLINE_MARGIN_NS
from loadbalancer.proxy.proxy import Proxy
from loadbalancer.proxy.shutdown import shutdown_timeout_s
from loadbalancer.settings import RequestClass, Settings
from tests.support.sockets import (
    HOST,
    MS,
    Answer,
    FakeUpstream,
    ReceivedRequest,
    ScriptedPolicy,
    answers,
    breaks,
    known,
    listing,
    node,
    request,
    run,
    sends_raw,
    settings,
    silent,
    until,
    written,
)


def sends_first(
    script: ScriptedPolicy, then: Callable[[Event], Iterable[Action]] = lambda e: (), timeout_ns: int = 0
) -> None:
    """Each request goes to the first upstream; what follows its outcome is up to the test."""

    def react(event: Event) -> Iterable[Action]:
        if isinstance(event, RequestArrived):
            return [Forward(event.request_id, script.ids()[0], timeout_ns)]
        return then(event)

    script.react = react


def fails_unserved(event: Event) -> Iterable[Action]:
    if isinstance(event, AttemptEnded) and not event.request_complete:
        return [Fail(event.request_id)]
    return ()


def test_a_request_goes_through_unchanged() -> None:
    async def test() -> None:
        upstream = await FakeUpstream(
            answers(200, b"\x00quote\r\n", "Content-Type: x/y", "Srv-Load: {}")
        ).start()
        script = ScriptedPolicy()
        sends_first(script)
        async with node(script, upstream) as client:
            got = await client.ask(
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
                    name="9b1f03aa",
                )
            )
            assert (got.status, got.body) == (200, b"\x00quote\r\n")
            assert got.headers["content-type"] == "x/y"
            assert "srv-load" not in got.headers
            seen = upstream.got[0]
            assert (seen.first, seen.body) == ("POST /pay/a%20b?x=1&y=%2F HTTP/1.1", b"\x01body")
            assert (seen.headers["req-id"], seen.headers["idempotency-key"]) == ("9b1f03aa", "k1")
            assert 4000 < int(seen.headers["req-deadline-ms"]) <= 5000
            assert "x-hop" not in seen.headers
        arrival = script.of(RequestArrived)[0]
        assert (arrival.class_name, arrival.tenant, arrival.idempotency_key) == ("pay", "acme", "7f3a")
        assert arrival.cost_hint_ns == 1_200_000
        assert arrival.is_retry
        assert time.monotonic_ns() + 5000 * MS - arrival.deadline_ns > 0
        outcome = script.of(AttemptEnded)[0]
        assert (outcome.result, outcome.attempt, outcome.request_complete) == (AttemptResult.OK, 0, True)
        assert outcome.elapsed_ns > 0

    run(test())


def test_the_real_module_serves() -> None:
    async def test() -> None:
        upstream = await FakeUpstream(answers(200, b'{"inflight": 1}')).start()
        async with node(Balancer(settings(health_checks=True), 1, time.monotonic_ns()), upstream) as client:
            for _ in range(3):
                assert (await client.ask(request())).status == 200
        assert sum(g.first.startswith("GET /read") for g in upstream.got) == 3

    run(test())


def test_a_refusal_is_told_at_once_with_its_retry_after() -> None:
    async def test() -> None:
        script = ScriptedPolicy(
            lambda e: [Reject(e.request_id, 437 * MS)] if isinstance(e, RequestArrived) else ()
        )
        async with node(script) as client:
            begun = time.monotonic()
            got = await client.ask(request())
            assert got.status == 503
            assert got.headers["retry-after"] == "0.437"
            assert time.monotonic() - begun < 2.5  # of the five seconds that the client would wait

    run(test())


DECLINED = "Srv-Declined: 1"


@pytest.mark.parametrize(
    ("answer", "result"),
    [
        (answers(200, b"x"), AttemptResult.OK),
        (answers(500), AttemptResult.ERROR),
        (answers(503, b"", DECLINED), AttemptResult.REJECTED),
        (answers(504, b"", DECLINED), AttemptResult.REJECTED),
        (answers(503), AttemptResult.ERROR),
        (answers(404), AttemptResult.ERROR),
        (answers(500, b"", DECLINED), AttemptResult.ERROR),
        (breaks, AttemptResult.RESET),
        (sends_raw(b"no http\r\n"), AttemptResult.RESET),
        (sends_raw(b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nhalf", close=True), AttemptResult.RESET),
        (answers(200, b"x" * 400_000), AttemptResult.OK),
        (answers(200, b"x" * (1024 * 1024 + 1)), AttemptResult.RESET),
        (sends_raw(b"HTTP/1.1 200 X\r\nContent-Length: 3000000000\r\n\r\nabc"), AttemptResult.RESET),
        (
            sends_raw(b"HTTP/1.1 200 X\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nab"),
            AttemptResult.RESET,
        ),
        (sends_raw(b"HTTP/1.1 200 X\r\nContent-Length: -1\r\n\r\nab"), AttemptResult.RESET),
        (
            sends_raw(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\nzz\r\n"),
            AttemptResult.RESET,
        ),
        (
            sends_raw(b"HTTP/1.1 200 X\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
            AttemptResult.RESET,
        ),
        (sends_raw(b"HTTP/1.1 OK 200\r\nContent-Length: 1\r\n\r\na"), AttemptResult.RESET),
        (sends_raw(b"ICY 200 OK\r\nContent-Length: 1\r\n\r\na"), AttemptResult.RESET),
        (sends_raw(b"HTTP/1.1 200 X\r\n" + b"X: y\r\n" * 4000), AttemptResult.RESET),
        (sends_raw(b"HTTP/1.1 102 X\r\n\r\n" * 17 + written(200)), AttemptResult.RESET),
    ],
)
def test_what_comes_back_is_the_outcome(answer: Answer, result: AttemptResult) -> None:
    async def test() -> None:
        upstream = await FakeUpstream(answer).start()
        script = ScriptedPolicy()
        sends_first(script, fails_unserved)
        async with node(script, upstream) as client:
            got = await client.ask(request())
            assert got.status == (200 if result is AttemptResult.OK else 504)
            assert [o.result for o in script.of(AttemptEnded)] == [result]
            assert len(upstream.got) == 1  # nothing is sent again by itself

    run(test())


@pytest.mark.parametrize("behind", [written(200, b"mine"), b"\xd1\xaanoise\r\n\r\n", b"HTTP/1.1 2"])
def test_what_comes_behind_a_good_answer_takes_nothing_from_it_and_meets_no_other(behind: bytes) -> None:
    async def test() -> None:
        upstream = await FakeUpstream(sends_raw(written(200, b"mine") + behind)).start()
        script = ScriptedPolicy()
        sends_first(script, fails_unserved)
        async with node(script, upstream) as client:
            for number in (1, 2):
                assert (await client.ask(request())).body == b"mine"
                assert upstream.opened == len(upstream.got) == number
                assert not client.node._connection_limits.idle_connections
            assert [o.result for o in script.of(AttemptEnded)] == [AttemptResult.OK] * 2

    run(test())


def rests(balancer: Proxy) -> None:
    """As if all kept connections had been left alone for long enough."""
    for connection in balancer._connection_limits.idle_connections:
        connection.quarantined_until -= QUARANTINE_S


def test_a_second_answer_that_comes_late_does_not_pass_for_that_to_the_next_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        monkeypatch.setattr(
            "loadbalancer.proxy.attempts.QUARANTINE_S", 60.0
        )  # a slow machine changes nothing here
        writers: list[asyncio.StreamWriter] = []

        async def answer(got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            if len(writers) == 1:
                writer.write(written(200, b"first"))
                return
            writers[0].write(written(200, b"first"))  # once more, when the next request is there
            await writers[0].drain()
            await until(lambda: upstream.closed or len(script.of(AttemptEnded)) > 1)
            writer.write(written(200, b"second"))

        upstream = await FakeUpstream(answer).start()
        script = ScriptedPolicy()
        sends_first(script, fails_unserved)
        async with node(script, upstream) as client:
            assert (await client.ask(request())).body == b"first"
            assert (await client.ask(request())).body == b"second"

    run(test())


def test_answers_that_only_announce_one_are_passed_over_also_in_pieces() -> None:
    async def test() -> None:
        async def answer(got: object, writer: asyncio.StreamWriter) -> None:
            ahead = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: y\r\n\r\n"
            for byte in ahead + written(200, b"it"):
                writer.write(bytes([byte]))
                await asyncio.sleep(0)

        upstream = await FakeUpstream(answer).start()
        script = ScriptedPolicy()
        sends_first(script, fails_unserved)
        async with node(script, upstream) as client:
            for _ in range(2):
                got = await client.ask(request())
                assert (got.status, got.body) == (200, b"it")
                assert "link" not in got.headers
                rests(client.node)
            assert upstream.opened == 1

    run(test())


@pytest.mark.parametrize(
    ("report", "heard"),
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
def test_a_load_report_that_cannot_be_read_costs_nothing_else(report: str, heard: object) -> None:
    async def test() -> None:
        upstream = await FakeUpstream(answers(200, b"it", f"Srv-Load: {report}")).start()
        script = ScriptedPolicy()
        sends_first(script)
        async with node(script, upstream, in_answers=True) as client:
            for number in (1, 2):
                assert (await client.ask(request())).body == b"it"
                await until(lambda number=number: len(script.of(AttemptEnded)) == number)  # type: ignore[misc]
            assert [(o.result, o.load_report) for o in script.of(AttemptEnded)] == [
                (AttemptResult.OK, heard)
            ] * 2

    run(test())


def test_probes_leave_places_for_attempts() -> None:
    async def test() -> None:
        upstream = await FakeUpstream(silent).start()
        script = ScriptedPolicy(
            lambda e: [CheckHealth(script.ids()[0])] * 20 if isinstance(e, TimerExpired) else ()
        )
        async with node(script, upstream) as client:
            client.node._connection_limits.max_connections = 16
            client.node.dispatch(TimerExpired("now"))
            assert client.node._connection_limits.open_connections <= 14
            sends_first(script)
            await client.send(request())
            await until(lambda: any("/read" in got.first for got in upstream.got))

    run(test())


def test_requests_that_come_late_in_a_drain_are_answered_too() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def answer(got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            if "/late" in got.first:
                await release.wait()
            writer.write(written(200, b"it"))

        upstream = await FakeUpstream(answer).start()
        script = ScriptedPolicy()
        sends_first(script)
        async with node(script, upstream) as client:
            draining = asyncio.create_task(client.node.drain())
            await until(lambda: not client.node.ready)
            assert (await client.ask(request())).status == 200  # for a moment none is open
            assert not client.node._pending_requests
            late = client.another()
            await late.send(request("/read/late"))
            await until(lambda: client.node.downstream._socket is None)
            asyncio.get_running_loop().call_later(0.1, release.set)
            assert (await late.read()).body == b"it"
            await draining

    run(test())


def test_what_waits_in_the_backlog_at_a_drain_is_answered_too(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against closing to new clients while some of them, accepted by the system, wait for a place.
    async def test() -> None:
        monkeypatch.setattr("loadbalancer.proxy.shutdown.LATE_CONNECTIONS_S", 0.0)
        script = ScriptedPolicy()
        async with node(script, sockets=32 + 16) as client:  # so eight clients
            busy = [client.another() for _ in range(8)]
            for other in busy:
                await other.send(request())
            await until(lambda: len(script.of(RequestArrived)) == len(busy))
            late = [client.another() for _ in range(2)]
            for other in late:
                await other.send(request())
            looked = asyncio.Event()
            monkeypatch.setattr(client.node.downstream, "_pause_accepting", lambda for_s=None: looked.set())
            draining = asyncio.create_task(client.node.drain())
            await looked.wait()  # the drain has come to the backlog
            monkeypatch.undo()
            script.react = fails_all
            client.node.dispatch(TimerExpired("now"))
            for other in (*busy, *late):
                got = await other.read()
                assert got.status == 504
                assert got.headers["connection"] == "close"
            await draining
            assert len(script.of(RequestArrived)) == len(busy) + len(late)

    run(test())


@pytest.mark.parametrize(
    ("limits_ms", "leaves_s"),
    [
        ([], 3.5),
        ([0], 3.5),
        ([250], 0.75),
        ([800, 2000], 2.5),
        ([2000, 0], 3.5),
        ([3000], 3.5),
        ([220, 4600], 3.5),
    ],
)
def test_a_drain_is_over_before_the_soonest_kill(limits_ms: list[int], leaves_s: float) -> None:
    classes = [RequestClass(str(ms), client_timeout_ns=ms * MS) for ms in limits_ms]
    assert shutdown_timeout_s(classes) == pytest.approx(leaves_s)


def test_what_is_open_at_the_end_of_a_drain_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against leaving to SIGKILL what came late, where the longest deadline is short.
    async def test() -> None:
        monkeypatch.setattr("loadbalancer.proxy.shutdown.LATE_CONNECTIONS_S", 0.0)
        upstream = await FakeUpstream(silent).start()
        script = ScriptedPolicy()
        sends_first(script)
        async with node(script, upstream, limit_ns=100 * MS) as client:
            await client.send(request(deadline_ms=600_000))
            await until(lambda: upstream.got)
            begun = time.monotonic()
            draining = asyncio.create_task(client.node.drain())
            assert (await client.read()).status == 504
            assert time.monotonic() - begun < 2.5  # soon after 0.6 s; a fixed time for all settings is 3.4 s
            await draining

    run(test())


def fails_all(event: Event) -> Iterable[Action]:
    if isinstance(event, TimerExpired):
        return [Fail(str(number)) for number in range(1, 9)]
    return [Fail(event.request_id)] if isinstance(event, RequestArrived) else ()


@pytest.mark.parametrize("kept", [False, True])
def test_a_request_half_read_at_a_drain_is_answered_when_the_rest_comes(
    monkeypatch: pytest.MonkeyPatch, kept: bool
) -> None:
    async def test() -> None:
        monkeypatch.setattr("loadbalancer.proxy.shutdown.LATE_CONNECTIONS_S", 0.0)
        monkeypatch.setattr("loadbalancer.proxy.downstream.FRESH_S", 0.0)
        upstream = await FakeUpstream(answers(200, b"it")).start()
        script = ScriptedPolicy()
        sends_first(script)
        async with node(script, upstream) as client:
            if kept:
                assert (await client.ask(request())).status == 200
            idle = client.another()
            assert (await idle.ask(b"GET /health/ready HTTP/1.1\r\n\r\n")).status == 200
            data = request()
            await client.send(data[:-3])
            await until(lambda: any(c.request_started for c in client.node.downstream._connections))
            draining = asyncio.create_task(client.node.drain())
            assert await idle.closed()  # the drain has come to those between requests
            await client.send(data[-3:])
            got = await client.read()
            assert (got.body, got.headers["connection"]) == (b"it", "close")
            await draining

    run(test())


def test_a_large_answer_is_written_whole_before_the_end_of_a_drain() -> None:
    async def test() -> None:
        body = bytes(range(256)) * 1000
        upstream = await FakeUpstream(answers(200, body)).start()
        script = ScriptedPolicy()
        sends_first(script)
        async with node(script, upstream) as client:
            await client.send(b"")
            assert client.writer is not None
            mine = cast(asyncio.Transport, client.writer.transport)
            mine.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            mine.pause_reading()
            await until(lambda: client.node.downstream._connections)
            side = next(iter(client.node.downstream._connections))
            await until(lambda: side._transport)
            assert side._transport is not None
            side._transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            draining = asyncio.create_task(client.node.drain())
            await until(lambda: not client.node.ready)
            await client.send(request())
            await until(lambda: client.node.downstream._flushing)
            await until(lambda: client.node.downstream._socket is None)
            assert not draining.done()
            for transport in (mine, side._transport):  # small buffers would take long
                for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, option, 1 << 20)
            mine.resume_reading()
            assert (await client.read()).body == body
            await draining

    run(test())


def test_a_refused_connection_never_ran() -> None:
    async def test() -> None:
        upstream = await FakeUpstream(silent).start()
        upstream.stop()
        script = ScriptedPolicy()
        sends_first(script, fails_unserved)
        async with node(script, upstream) as client:
            assert (await client.ask(request())).status == 504
            assert [o.result for o in script.of(AttemptEnded)] == [AttemptResult.CONNECT_FAILED]

    run(test())


def test_a_connection_that_never_comes_up_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        upstream = await FakeUpstream(silent).start()
        script = ScriptedPolicy()
        sends_first(script, fails_unserved)
        async with node(script, upstream, connect_timeout_ns=20 * MS) as client:
            await client.send(request())
            hold_connections(monkeypatch, asyncio.Event())
            assert (await client.read()).status == 504
            assert [o.result for o in script.of(AttemptEnded)] == [AttemptResult.CONNECT_FAILED]

    run(test())


def test_a_break_before_the_last_byte_is_written_never_ran() -> None:
    async def test() -> None:
        held: list[asyncio.StreamWriter] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            held.append(writer)  # reads nothing: what is sent stays with the sender

        server = await asyncio.start_server(serve, HOST, 0, limit=1)
        script = ScriptedPolicy()
        sends_first(script, fails_unserved)
        port = server.sockets[0].getsockname()[1]
        async with node(script, known_list=known(port)) as client:
            pool = client.node._connection_pool(next(iter(client.node.endpoint_addresses())))
            assert pool is not None
            ended: list[AttemptResult] = []
            exchange = pool.start_exchange(
                b"x" * 50_000_000, None, lambda result, response: ended.append(result)
            )
            await until(lambda: held and not exchange.unsent)
            held[0].transport.abort()
            await until(lambda: ended)
            assert ended == [AttemptResult.CONNECT_FAILED]
        server.close()

    run(test())


def test_a_timed_out_attempt_closes_its_connection_and_its_late_answer_is_dropped() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def late(got: object, writer: asyncio.StreamWriter) -> None:
            if len(upstream.got) == 1:
                await release.wait()
                writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nlate")
            else:
                writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nfresh")

        upstream = await FakeUpstream(late).start()
        script = ScriptedPolicy()

        def again(event: Event) -> Iterable[Action]:
            if isinstance(event, AttemptEnded) and event.result is AttemptResult.TIMEOUT:
                release.set()
                return [Forward(event.request_id, event.endpoint_id)]
            return ()

        sends_first(script, again, timeout_ns=30 * MS)
        async with node(script, upstream) as client:
            assert (await client.ask(request())).body == b"fresh"
            assert upstream.opened == 2
            await until(lambda: upstream.closed == 1)
            assert [(o.result, o.attempt) for o in script.of(AttemptEnded)] == [
                (AttemptResult.TIMEOUT, 0),
                (AttemptResult.OK, 1),
            ]

    run(test())


def test_a_given_up_attempt_has_ended_before_the_module_hears_of_it() -> None:
    async def test() -> None:
        with socket.create_server((HOST, 0)) as listener:
            listener.setblocking(False)
            accepted: list[socket.socket] = []
            ended: list[bytes] = []
            script = ScriptedPolicy()

            def look(event: Event) -> Iterable[Action]:
                if isinstance(event, AttemptEnded) and event.result is AttemptResult.TIMEOUT:
                    ended.append(accepted[0].recv(65536))  # an end, where nothing else is to be read
                    return [Fail(event.request_id)]
                return ()

            sends_first(script, look, timeout_ns=30 * MS)
            async with node(script, known_list=known(listener.getsockname()[1])) as client:
                await client.send(request())
                loop = asyncio.get_running_loop()
                accepted.append((await loop.sock_accept(listener))[0])
                assert (await loop.sock_recv(accepted[0], 65536)).startswith(b"GET /read")
                assert (await client.read()).status == 504
                assert ended == [b""]
            accepted[0].close()

    run(test())


def test_a_cancelled_attempt_closes_its_connection() -> None:
    async def test() -> None:
        upstream = await FakeUpstream(silent).start()
        script = ScriptedPolicy()
        sends_first(
            script,
            lambda e: [CancelAttempt("1", 0)] if isinstance(e, TimerExpired) else fails_unserved(e),
        )
        async with node(script, upstream) as client:
            await client.send(request())
            await until(lambda: upstream.got)
            client.node.dispatch(TimerExpired("now"))
            assert (await client.read()).status == 504
            await until(lambda: upstream.closed == 1)
            assert [o.result for o in script.of(AttemptEnded)] == [AttemptResult.CANCELLED]

    run(test())


def test_a_balancer_that_rests_is_not_ready_but_serves() -> None:
    async def test() -> None:
        upstream = await FakeUpstream(answers(200)).start()
        script = ScriptedPolicy()
        sends_first(script)
        ready = b"GET /health/ready HTTP/1.1\r\n\r\n"
        async with node(script, upstream, rest_s=3600.0) as client:
            assert (await client.ask(ready)).status == 503
            assert (await client.ask(request())).status == 200
        async with node(script, upstream) as client:
            assert (await client.ask(ready)).status == 200

    run(test())


def test_one_attempt_at_a_time_and_none_after_the_answer() -> None:
    async def test() -> None:
        upstream = await FakeUpstream(silent).start()
        script = ScriptedPolicy()

        def react(event: Event) -> Iterable[Action]:
            if isinstance(event, RequestArrived):
                to = script.ids()[0]
                return [Forward(event.request_id, to), Forward(event.request_id, to)]
            if isinstance(event, TimerExpired):
                return [Fail("1"), Fail("1"), Forward("1", script.ids()[0])]
            return ()

        script.react = react
        async with node(script, upstream) as client:
            await client.send(request())
            await until(lambda: upstream.got)
            client.node.dispatch(TimerExpired("now"))
            assert (await client.read()).status == 504
            await until(lambda: upstream.closed == 1)
            outcomes = {(o.attempt, o.result, o.request_complete) for o in script.of(AttemptEnded)}
            assert outcomes == {
                (1, AttemptResult.NOT_SENT, False),
                (0, AttemptResult.CANCELLED, True),
                (0, AttemptResult.NOT_SENT, True),
            }
            assert len(upstream.got) == 1
            assert script.deepest == 1
            assert (await client.ask(b"GET /health/ready HTTP/1.1\r\n\r\n")).status == 200  # one answer only

    run(test())


def test_a_client_that_goes_away_frees_all() -> None:
    async def test() -> None:
        upstream = await FakeUpstream(silent).start()
        script = ScriptedPolicy()
        sends_first(script)
        async with node(script, upstream) as client:
            await client.send(request())
            await until(lambda: upstream.got)
            client.close()
            await until(lambda: upstream.closed == 1)
            assert script.of(ClientDisconnected) == [ClientDisconnected("1")]
            assert [(o.result, o.request_complete) for o in script.of(AttemptEnded)] == [
                (AttemptResult.CANCELLED, True)
            ]
            assert not client.node._pending_requests
            assert not client.node._pending_requests._by_client

    run(test())


def test_what_the_module_leaves_open_fails_at_the_deadline() -> None:
    async def test() -> None:
        script = ScriptedPolicy()
        async with node(script) as client:
            begun = time.monotonic()
            assert (await client.ask(request(deadline_ms=80))).status == 504
            assert time.monotonic() - begun > 0.05
            assert script.of(ClientDisconnected) == [ClientDisconnected("1")]

    run(test())


def test_a_stall_after_the_decision_does_not_put_off_its_time_out() -> None:
    async def test() -> None:
        upstream = await FakeUpstream(silent).start()
        script = ScriptedPolicy()

        def react(event: Event) -> Iterable[Action]:
            if isinstance(event, RequestArrived):
                timeout = event.deadline_ns - time.monotonic_ns()
                time.sleep(0.02)  # the process gets no core for a while
                return [Forward(event.request_id, script.ids()[0], timeout), SetTimer(timeout, "end")]
            if isinstance(event, AttemptEnded) and event.result is AttemptResult.TIMEOUT:
                return [Reject(event.request_id)]
            return ()

        script.react = react
        async with node(script, upstream) as client:
            assert (await client.ask(request(deadline_ms=150))).status == 503
            assert [o.result for o in script.of(AttemptEnded)] == [AttemptResult.TIMEOUT]
            await until(lambda: script.of(TimerExpired))
            assert not script.of(ClientDisconnected)

    run(test())


def test_a_fault_of_the_module_does_not_stop_the_node() -> None:
    async def test() -> None:
        def react(event: Event) -> Iterable[Action]:
            if isinstance(event, RequestArrived) and event.request_id == "1":
                raise RuntimeError("bug")
            return [Fail(event.request_id)] if isinstance(event, RequestArrived) else ()

        async with node(ScriptedPolicy(react)) as client:
            assert (await client.ask(request(deadline_ms=50))).status == 504
            assert (await client.ask(request())).status == 504

    run(test())


def hold_connections(
    monkeypatch: pytest.MonkeyPatch, until_set: asyncio.Event, port: int | None = None
) -> None:
    """New connections (where a port is given, those to it) come up only once the event is set."""
    loop = asyncio.get_running_loop()
    original = loop.create_connection

    async def create_connection(*args: object, **options: object) -> object:
        if port is None or port in args:
            await until_set.wait()
        return await original(*args, **options)  # type: ignore[call-overload]

    monkeypatch.setattr(loop, "create_connection", create_connection)


@pytest.mark.parametrize("timeout_ns", [0, 2000 * MS], ids=["to the deadline", "to its time-out"])
@pytest.mark.parametrize("attempts", [1, 2])
def test_an_attempt_whose_connection_comes_up_late_tells_the_time_left_when_it_is_written(
    monkeypatch: pytest.MonkeyPatch, attempts: int, timeout_ns: int
) -> None:
    connect_ns = 40 * MS

    async def test() -> None:
        ends: list[int] = []  # of the attempts, by the clock
        received: list[int] = []  # when the last one had come

        async def answer(got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            received.append(time.monotonic_ns())
            writer.write(written(200))

        def send(event: Event) -> Iterable[Action]:
            if isinstance(event, (RequestArrived, AttemptEnded)) and len(ends) < attempts:
                arrival = script.of(RequestArrived)[0]
                deadline = arrival.deadline_ns + POLICY_DEADLINE_MARGIN_NS - PROXY_DEADLINE_MARGIN_NS
                ends.append(client.node._decision_time_ns + timeout_ns if timeout_ns else deadline)
                upstreams = script.ids()
                return [
                    Forward(arrival.request_id, upstreams[-1 if len(ends) == attempts else 0], timeout_ns)
                ]
            return ()

        refusing, upstream = await FakeUpstream(silent).start(), await FakeUpstream(answer).start()
        refusing.stop()
        script, up = ScriptedPolicy(send), asyncio.Event()
        async with node(script, refusing, upstream) as client:
            await client.send(b"GET /health/ready HTTP/1.1\r\n\r\n")
            await client.read()
            hold_connections(monkeypatch, up, upstream.port)
            await client.send(request())
            await until(lambda: len(ends) == attempts)
            begun = time.monotonic_ns()
            await until(lambda: time.monotonic_ns() - begun >= connect_ns)
            opened = time.monotonic_ns()
            up.set()
            assert (await client.read()).status == 200
            told_ns = int(upstream.got[0].headers["req-deadline-ms"]) * MS
            # It was written between these two times, and what it tells is in whole milliseconds.
            assert ends[-1] - received[0] - MS < told_ns <= ends[-1] - opened

    run(test())


@pytest.mark.parametrize("health", ["draining", "removed"])
def test_a_send_that_waits_for_its_connection_is_called_off_by_a_drain(
    monkeypatch: pytest.MonkeyPatch, health: str
) -> None:
    async def test() -> None:
        upstream = await FakeUpstream(answers(200)).start()
        script = ScriptedPolicy()
        sends_first(script, fails_unserved)
        up = asyncio.Event()
        async with node(script, upstream) as client:
            await client.send(b"GET /health/ready HTTP/1.1\r\n\r\n")
            await client.read()
            hold_connections(monkeypatch, up)
            await client.send(request())
            await until(lambda: script.of(RequestArrived))
            row = {**known(upstream.port)["hosts"][0], "health": health}
            client.node._on_watch_result(listing({"seq": 2, "whole": False, "hosts": [row]}))
            assert (await client.read()).status == 504
            up.set()
            assert [o.result for o in script.of(AttemptEnded)] == [AttemptResult.NOT_SENT]
            assert (await client.ask(request())).status == 504  # nor does a new one go there
            assert [o.result for o in script.of(AttemptEnded)] == [AttemptResult.NOT_SENT] * 2
            assert not upstream.got

    run(test())


def tell(balancer: Proxy, version: int, **row: object) -> None:
    """A change of the first upstream, at once, as discovery would tell it."""
    changed = {**known(1)["hosts"][0], **row}
    balancer._on_watch_result(listing({"seq": version, "whole": False, "hosts": [changed]}))


def again_unless_over(event: Event) -> Iterable[Action]:
    if isinstance(event, AttemptEnded) and not event.request_complete:
        return [Forward(event.request_id, event.endpoint_id)]
    return ()


def test_a_send_whose_upstream_moves_while_its_connection_comes_up_goes_to_the_new_address(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        old, new = (
            await FakeUpstream(answers(200, b"old")).start(),
            await FakeUpstream(answers(200, b"new")).start(),
        )
        script = ScriptedPolicy()
        sends_first(script, again_unless_over)
        async with node(script, known_list=known(old.port)) as client:
            await client.send(b"GET /health/ready HTTP/1.1\r\n\r\n")
            await client.read()
            up = asyncio.Event()
            hold_connections(monkeypatch, up)
            await client.send(request())
            await until(lambda: script.of(RequestArrived))
            tell(client.node, 2, dial=f"{HOST}:{new.port}")
            up.set()
            assert (await client.read()).body == b"new"
            assert [o.result for o in script.of(AttemptEnded)] == [
                AttemptResult.NOT_SENT,
                AttemptResult.OK,
            ]
            assert not old.got
            assert client.node._connection_limits.open_connections == 1
        old.stop()
        new.stop()

    run(test())


def test_a_connection_to_an_address_that_was_left_is_not_kept() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def late(got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await release.wait()
            writer.write(written(200, b"old"))

        old, new = await FakeUpstream(late).start(), await FakeUpstream(answers(200, b"new")).start()
        script = ScriptedPolicy()
        sends_first(script)
        async with node(script, known_list=known(old.port)) as client:
            await client.send(request())
            await until(lambda: old.got)
            tell(client.node, 2, dial=f"{HOST}:{new.port}")
            release.set()
            assert (await client.read()).body == b"old"  # what was begun there ends there
            assert (await client.ask(request())).body == b"new"
            await until(lambda: old.closed == 1)
        old.stop()
        new.stop()

    run(test())


def test_an_upstream_removed_and_back_while_a_connection_comes_up_gets_one_copy(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        upstream = await FakeUpstream(answers(200, b"it")).start()
        script = ScriptedPolicy()
        async with node(script, upstream) as client:
            await client.send(b"GET /health/ready HTTP/1.1\r\n\r\n")
            await client.read()
            up = asyncio.Event()
            hold_connections(monkeypatch, up)
            sends_first(script)
            await client.send(request())
            await until(lambda: script.of(RequestArrived))
            tell(client.node, 2, health="removed")
            assert [o.result for o in script.of(AttemptEnded)] == [
                AttemptResult.NOT_SENT
            ]  # before it is back
            tell(client.node, 3, dial=f"{HOST}:{upstream.port}")
            script.react = lambda e: [Forward("1", script.ids()[0])] if isinstance(e, TimerExpired) else ()
            client.node.dispatch(TimerExpired("again"))
            up.set()
            assert (await client.read()).body == b"it"
            assert len(upstream.got) == 1
            assert client.node._connection_limits.open_connections == 1

    run(test())


def test_a_connection_near_its_idle_limit_is_not_used_again() -> None:
    async def test() -> None:
        upstream = await FakeUpstream(answers(200)).start()
        script = ScriptedPolicy()
        sends_first(script)
        async with node(script, upstream, connection_idle_timeout_ns=15_000 * MS) as client:
            for opened in (1, 1, 2):
                assert (await client.ask(request())).status == 200
                rests(client.node)
                assert upstream.opened == opened
                if len(upstream.got) == 2:
                    pool = next(iter(client.node._connection_limits.pools.values()))
                    pool.idle_connections[0].idle_since -= 12.5  # as if it had stood for so long
            await until(lambda: upstream.closed == 1)

    run(test())


def test_a_connection_that_its_upstream_has_just_closed_is_not_used_again() -> None:
    async def test() -> None:
        upstream = await FakeUpstream(answers(200)).start()
        script = ScriptedPolicy()
        sends_first(script)
        async with node(script, upstream) as client:
            assert (await client.ask(request())).status == 200
            pool = next(iter(client.node._connection_limits.pools.values()))
            transport = pool.idle_connections[0]._transport
            assert transport is not None
            transport.close()  # what the transport does on an end; the pool hears of it a turn later
            ended: list[AttemptResult] = []
            pool.start_exchange(
                b"GET /read HTTP/1.1\r\n\r\n", None, lambda result, response: ended.append(result)
            )
            assert not ended
            await until(lambda: ended)
            assert ended == [AttemptResult.OK]
            assert upstream.opened == 2

    run(test())


@pytest.mark.parametrize("stray", [b"", written(200, b"nobody's")])
def test_a_kept_connection_on_which_something_lies_unread_is_not_used_again(stray: bytes) -> None:
    # Guards against a close, or a second answer, that comes in the turn of the next send.
    async def test() -> None:
        writers: list[asyncio.StreamWriter] = []

        async def answer(got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            writer.write(written(200, b"mine"))

        upstream = await FakeUpstream(answer).start()
        script = ScriptedPolicy()
        sends_first(script)
        async with node(script, upstream) as client:
            assert (await client.ask(request())).status == 200
            rests(client.node)
            script.react = lambda e: [Forward("2", script.ids()[0])] if isinstance(e, TimerExpired) else ()
            await client.send(request("/pay", method="POST"))
            await until(lambda: len(script.of(RequestArrived)) == 2)
            side = writers[0].transport.get_extra_info("socket")
            if stray:
                os.write(side.fileno(), stray)
            else:
                side.shutdown(socket.SHUT_WR)
            client.node.dispatch(TimerExpired("token"))  # in the same turn
            assert (await client.read()).body == b"mine"
            assert upstream.opened == 2
            assert [o.result for o in script.of(AttemptEnded)] == [AttemptResult.OK] * 2

    run(test())


def test_a_new_connection_that_is_reset_before_its_request_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        original = loop.create_connection
        with socket.create_server((HOST, 0)) as listener:

            async def create_connection(*args: object, **options: object) -> object:
                made = await original(*args, **options)  # type: ignore[call-overload]
                accepted, _ = listener.accept()
                accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                accepted.close()
                return made

            script = ScriptedPolicy()
            sends_first(script, fails_unserved)
            async with node(script, known_list=known(listener.getsockname()[1])) as client:
                await client.send(b"")
                monkeypatch.setattr(loop, "create_connection", create_connection)
                assert (await client.ask(request("/pay", method="POST"))).status == 504
                assert [o.result for o in script.of(AttemptEnded)] == [AttemptResult.CONNECT_FAILED]

    run(test())


@pytest.mark.parametrize("order", [("answer", "leave"), ("leave", "answer"), ("leave",), ("answer",)])
def test_time_out_leave_and_late_answer_in_one_turn_end_a_request_once(order: tuple[str, ...]) -> None:
    async def test() -> None:
        writers: list[asyncio.StreamWriter] = []

        async def waits(got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)

        upstream = await FakeUpstream(waits).start()
        script = ScriptedPolicy()
        sends_first(script, fails_unserved, timeout_ns=100 * MS)
        async with node(script, upstream) as client:
            mine = socket.socket()
            mine.setblocking(False)
            await asyncio.get_running_loop().sock_connect(mine, (HOST, client.port))
            mine.send(request())
            await until(lambda: writers)
            for what in order:
                if what == "answer":
                    os.write(writers[0].transport.get_extra_info("socket").fileno(), written(200, b"late"))
                else:
                    mine.shutdown(socket.SHUT_WR)
            time.sleep(0.15)  # and the attempt's time is over, all in one turn
            await until(lambda: script.of(AttemptEnded))
            await until(lambda: not client.node._pending_requests)
            assert len(script.of(AttemptEnded)) == 1
            assert len(upstream.got) == 1
            assert len(script.of(ClientDisconnected)) <= 1
            sends_first(script)
            upstream.answer = answers(200, b"next")
            assert (await client.ask(request())).body == b"next"  # no late answer meets it
            mine.close()

    run(test())


def test_connections_to_upstreams_are_bounded() -> None:
    async def test() -> None:
        upstream = await FakeUpstream(silent).start()
        script = ScriptedPolicy()
        sends_first(script, fails_unserved)
        async with node(script, upstream, sockets=32 + 16) as client:  # so eight on either side
            others = [client.another() for _ in range(8)]
            for other in others[:7]:
                await other.send(request())
            await until(lambda: len(upstream.got) == 7)
            client.node._connection_limits.max_connections = 7
            assert (await client.ask(request())).status == 504
            assert client.node._connection_limits.open_connections == 7
            assert [o.result for o in script.of(AttemptEnded)] == [AttemptResult.CONNECT_FAILED]
            for other in others:
                other.close()
            await until(lambda: client.node._connection_limits.open_connections == 0)

    run(test())


def test_as_many_requests_at_once_as_before_need_no_new_connection() -> None:
    async def test() -> None:
        async def waits(got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            waiting.append(writer)

        waiting: list[asyncio.StreamWriter] = []
        upstream = await FakeUpstream(waits).start()
        script = ScriptedPolicy()
        sends_first(script)
        async with node(script, upstream) as client:
            others = [client.another() for _ in range(6)]
            for turn in range(1, 4):
                for other in others:
                    await other.send(request())
                await until(lambda: len(waiting) == len(others))
                for writer in waiting:
                    writer.write(written(200))
                waiting.clear()
                for other in others:
                    assert (await other.read()).status == 200
                rests(client.node)
                assert (len(upstream.got), upstream.opened) == (6 * turn, 6)
            for other in others:
                other.close()

    run(test())


def heard(script: ScriptedPolicy, probes: int) -> bool:
    return len(script.of(HealthCheckEnded)) == probes


def test_an_idle_connection_makes_place_for_one_elsewhere() -> None:
    async def test() -> None:
        first, second = await FakeUpstream(answers(200)).start(), await FakeUpstream(answers(200)).start()
        script = ScriptedPolicy()
        async with node(script, first, second) as client:
            client.node._connection_limits.max_connections = 1
            for number, upstream in enumerate((first, second)):
                script.react = partial(sends_to, script, number)
                assert (await client.ask(request())).status == 200
                assert len(upstream.got) == 1
                assert client.node._connection_limits.open_connections == 1
            await until(lambda: first.closed == 1)

    run(test())


def sends_to(script: ScriptedPolicy, number: int, event: Event) -> Iterable[Action]:
    return [Forward(event.request_id, script.ids()[number])] if isinstance(event, RequestArrived) else ()


def test_probes_bring_reports() -> None:
    async def test() -> None:
        bodies = [b'{"inflight": 3, "queue": 1, "bad": "x"}', b"no json", b"[1]", b'{"inflight": NaN}']
        statuses = [200, 503, 200, 200]

        async def stats(got: object, writer: asyncio.StreamWriter) -> None:
            i = len(upstream.got) - 1
            await answers(statuses[i], bodies[i])(upstream.got[-1], writer)

        upstream = await FakeUpstream(stats).start()
        script = ScriptedPolicy(
            lambda e: [CheckHealth(script.ids()[0])] if isinstance(e, TimerExpired) else ()
        )
        async with node(script, upstream) as client:
            for i in range(4):
                client.node.dispatch(TimerExpired("now"))
                await until(partial(heard, script, i + 1))
            script.react = lambda e: [CheckHealth(99)] if isinstance(e, TimerExpired) else ()
            client.node.dispatch(TimerExpired("now"))
        assert upstream.got[0].first == "GET /stats HTTP/1.1"
        assert upstream.opened == 1
        results = [(p.result, p.load_report) for p in script.of(HealthCheckEnded)]
        assert results == [
            (AttemptResult.OK, {"inflight": 3.0, "queue": 1.0}),
            (AttemptResult.REJECTED, None),
            (AttemptResult.OK, None),
            (AttemptResult.OK, {}),
            (AttemptResult.CONNECT_FAILED, None),
        ]

    run(test())


def test_timers_come_back_by_name() -> None:
    async def test() -> None:
        script = ScriptedPolicy(lambda e: [SetTimer(2 * MS, "next")] if e == TimerExpired("first") else ())
        async with node(script) as client:
            client.node.dispatch(TimerExpired("first"))
            await until(lambda: TimerExpired("next") in script.events)

    run(test())


def test_balancers_hear_each_other() -> None:
    async def test() -> None:
        free = [
            await asyncio.get_running_loop().create_datagram_endpoint(asyncio.DatagramProtocol, (HOST, 0))
            for _ in range(2)
        ]
        addresses = [transport.get_extra_info("sockname") for transport, _ in free]
        for transport, _ in free:
            transport.close()
        await asyncio.sleep(0)
        scripts, nodes = [ScriptedPolicy(), ScriptedPolicy()], []
        for i, script in enumerate(scripts):
            config = Configuration(
                f"n{i}",
                (HOST, 0),
                (HOST, 1),
                i,
                1024,
                Settings(proxy_index=i, proxy_count=2),
                peer_listen=addresses[i],
                peers=addresses,
                peers_all=addresses[1],
            )
            nodes.append(Proxy(config, script))
            await nodes[-1].start()
        scripts[0].react = lambda e: (
            [
                SendGossip(b"one", 1),
                SendGossip(b"all"),
                SendGossip(b"x", 9),
                SendGossip(b"x" * 257),
            ]
            if isinstance(e, TimerExpired)
            else ()
        )
        nodes[0].dispatch(TimerExpired("now"))
        await until(lambda: len(scripts[1].of(GossipReceived)) == 2)
        assert set(scripts[1].of(GossipReceived)) == {
            GossipReceived(0, b"one"),
            GossipReceived(0, b"all"),
        }
        for n in nodes:
            n.close()

    run(test())
