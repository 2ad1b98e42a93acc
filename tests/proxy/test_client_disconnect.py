"""A client that has gone, in every state its request can be in: no attempt begins for it any more.

Each state meets each kind of close (FIN, half-close, RST) at three times: read by the loop before the request
would be sent; unread, put into the socket between the decision to send and its carrying out on a kept
connection; unread, put there between a new connection's coming up and its first byte.
`tests/test_leaves.py` has the first states; here are those of the real module and the sockets' rest."""

from __future__ import annotations

import asyncio
import socket
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable

import pytest

from loadbalancer.messages import (
    Action,
    AttemptEnded,
    AttemptResult,
    CancelAttempt,
    ClientDisconnected,
    Event,
    Forward,
    RequestArrived,
    TimerExpired,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.proxy.proxy import Policy
from loadbalancer.settings import Limits
from loadbalancer.state.timer_queue import AttemptOverdue
from tests.proxy.test_unread_disconnect import (
    LEAVES,
    Leave,
    connected,
    nothing_but,
    send_first,
    unread_answer,
)
from tests.support import policy_harness as bench
from tests.support.sockets import (
    HOST,
    MS,
    PATIENCE_S,
    Answer,
    Client,
    FakeUpstream,
    ReceivedRequest,
    ScriptedPolicy,
    Writer,
    answers,
    breaks,
    node,
    request,
    run,
    settings,
    silent,
    until,
    written,
)

WHEN = pytest.mark.parametrize("when", ["read", "decided", "connected"])
BREAK_S = 0.1  # an attempt that begins so long after the close is a break
ENDS: dict[str, Answer] = {
    "full": answers(503, b"", "Srv-Declined: 1"),
    "error": answers(500),
    "reset": breaks,
    "timeout": silent,
}


class Late:
    """A module, and a leave that comes at the last moment before the first byte of one of its attempts."""

    def __init__(self, module: Policy, when: str, request: str = "1", attempt: int = 0) -> None:
        self.module, self.when, self.request, self.attempt = module, when, request, attempt
        self.happens: Callable[[], None] | None = None
        self.sends: Counter[str] = Counter()

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        actions = list(self.module.handle(now, events))
        for action in actions:
            if type(action) is Forward:
                if self.when == "decided" and (action.request_id, self.sends[action.request_id]) == (
                    self.request,
                    self.attempt,
                ):
                    self.happen()
                self.sends[action.request_id] += 1
        return actions

    def happen(self) -> None:
        if self.happens is not None:
            self.happens()
            self.happens = None

    def watch(self, monkeypatch: pytest.MonkeyPatch, *upstreams: FakeUpstream) -> None:
        """From here on the connections that are asked for are kept ones or new ones, as the case wants it."""
        loop, ports = asyncio.get_running_loop(), [u.port for u in upstreams]
        original: Callable[..., Awaitable[object]] = loop.create_connection

        async def create_connection(*args: object, **options: object) -> object:
            made = await original(*args, **options)
            if args[2] in ports and self.sends[self.request] > self.attempt:
                self.happen()
            return made

        monkeypatch.setattr("loadbalancer.proxy.proxy.REST_S", 0.0 if self.when == "decided" else 60.0)
        if self.when == "connected":
            monkeypatch.setattr(loop, "create_connection", create_connection)

    async def goes(self, leave: Leave, mine: socket.socket, client: Client) -> None:
        """The client leaves: now, and that is read; or unread, when its request would be sent."""
        if self.when == "read":
            leave(mine)
            await until(lambda: self.request not in client.node._pending)
        else:
            self.happens = lambda: leave(mine)


def real(**limits: bool) -> Balancer:
    return Balancer(settings(**limits), 1, time.monotonic_ns())


def sent(upstream: FakeUpstream) -> list[str]:
    """The targets of the requests that came; looks are none."""
    return [got.first.split()[1] for got in upstream.got if "/read/" in got.first]


async def served(client: Client) -> None:
    """A later request is served, though its upstream may be left alone for a while first."""

    async def ask() -> None:
        while (await client.another().ask(request("/read/barrier"))).status != 200:
            await asyncio.sleep(0.01)

    await asyncio.wait_for(ask(), PATIENCE_S)


@LEAVES
@WHEN
def test_in_the_queue(monkeypatch: pytest.MonkeyPatch, leave: Leave, when: str) -> None:
    async def test() -> None:
        free = asyncio.Event()

        async def answer(got: ReceivedRequest, writer: Writer) -> None:
            if "/read/first" in got.first:
                await free.wait()
            writer.write(written(200))

        upstream, balancer = await FakeUpstream(answer).start(), real()
        module = Late(balancer, when, request="2")
        module.watch(monkeypatch, upstream)
        async with node(module, upstream) as client:
            first = client.another()
            await first.send(request("/read/first"))
            await until(lambda: upstream.got)
            mine = await connected(client)
            mine.send(request("/read/left"))
            await until(
                lambda: balancer.fleet.default_pool.queue
            )  # the only upstream has no room for a second one
            await module.goes(leave, mine, client)
            free.set()
            assert (await first.read()).status == 200  # now it would have
            await served(client)
            assert sent(upstream) == ["/read/first", "/read/barrier"]
            assert not module.happens
            assert not balancer.requests
            first.close()
            mine.close()

    run(test())


@LEAVES
@WHEN
def test_while_upstreams_are_looked_at(monkeypatch: pytest.MonkeyPatch, leave: Leave, when: str) -> None:
    async def test() -> None:
        free = asyncio.Event()

        async def answer(got: ReceivedRequest, writer: Writer) -> None:
            if "/stats" in got.first:
                await free.wait()
                writer.write(written(200, b'{"inflight":0}', *["Connection: close"] * (when == "connected")))
            else:
                writer.write(written(200))

        monkeypatch.setattr("loadbalancer.policy.load_probing.PROBE_TIMEOUT_NS", int(PATIENCE_S * 1000) * MS)
        monkeypatch.setattr("loadbalancer.proxy.proxy.PROBE_TIMEOUT_S", PATIENCE_S)
        upstream, balancer = await FakeUpstream(answer).start(), real(health_checks=True)
        module = Late(balancer, when)
        module.watch(monkeypatch, upstream)
        async with node(module, upstream, health_checks=True) as client:
            mine = await connected(client)
            mine.send(request("/read/left"))
            await until(lambda: upstream.got)  # a look, and the request waits for what it says
            assert balancer.fleet.default_pool.queue
            assert not sent(upstream)
            await module.goes(leave, mine, client)
            free.set()
            await served(client)
            assert sent(upstream) == ["/read/barrier"]
            assert not module.happens
            assert not balancer.requests
            mine.close()

    run(test())


@LEAVES
@WHEN
@pytest.mark.parametrize("end", ["full", "error", "reset"])
def test_between_two_attempts_of_the_real_module(
    monkeypatch: pytest.MonkeyPatch, leave: Leave, when: str, end: str
) -> None:
    async def test() -> None:
        free = asyncio.Event()

        async def answer(got: ReceivedRequest, writer: Writer) -> None:
            await free.wait()
            upstream.answer = answers(200)
            await ENDS[end](got, writer)

        upstream, module = await FakeUpstream(answer).start(), Late(real(), when, attempt=1)
        module.watch(monkeypatch, upstream)
        async with node(module, upstream) as client:
            mine = await connected(client)
            mine.send(request("/read/left"))
            await until(lambda: upstream.got)
            await module.goes(leave, mine, client)  # read: while the first one is out
            free.set()
            await until(lambda: not client.node._pending)
            await served(client)
            assert sent(upstream) == ["/read/left", "/read/barrier"]
            assert not module.happens
            mine.close()

    run(test())


@LEAVES
@WHEN
@pytest.mark.parametrize("end", [*ENDS, "refused"])
def test_after_an_attempt_that_ended_in_any_way(
    monkeypatch: pytest.MonkeyPatch, leave: Leave, when: str, end: str
) -> None:
    async def test() -> None:
        upstream, other = (
            await FakeUpstream(ENDS.get(end, silent)).start(),
            await FakeUpstream(answers(200)).start(),
        )

        def react(event: Event) -> Iterable[Action]:
            first, second = script.ids()
            if isinstance(event, RequestArrived):
                return [
                    Forward(event.request_id, second)
                    if event.request_id == "1"
                    else Forward(event.request_id, first, 50 * MS if end == "timeout" else 0)
                ]
            again = isinstance(event, TimerExpired if when == "read" else AttemptEnded)
            return [Forward("2", second)] if again and module.sends["2"] == 1 else ()

        script = ScriptedPolicy(react)
        module = Late(script, when, request="2", attempt=1)
        module.watch(monkeypatch, upstream, other)
        async with node(module, upstream, other) as client:
            assert (await client.ask(request("/read/first"))).status == 200  # leaves its connection to others
            if end == "refused":
                upstream.stop()
            mine = await connected(client)
            if when != "read":
                await module.goes(leave, mine, client)
            mine.send(request("/read/left"))
            await until(lambda: len(script.of(AttemptEnded)) >= 2)
            if when == "read":
                await module.goes(leave, mine, client)
                client.node.dispatch(TimerExpired("again"))
            await until(lambda: script.of(ClientDisconnected) and len(script.of(AttemptEnded)) >= 3)
            script.react = lambda e: (
                [Forward(e.request_id, script.ids()[1])] if isinstance(e, RequestArrived) else ()
            )
            await served(client)
            assert sent(other) == ["/read/first", "/read/barrier"]
            assert len(upstream.got) == (end != "refused")
            assert not module.happens
            mine.close()

    run(test())


@LEAVES
@pytest.mark.parametrize("kept", [False, True])
def test_request_and_leave_lie_in_the_backlog(
    monkeypatch: pytest.MonkeyPatch, leave: Leave, kept: bool
) -> None:
    async def test() -> None:
        monkeypatch.setattr("loadbalancer.proxy.proxy.REST_S", 0.0)
        upstream = await FakeUpstream(answers(200)).start()
        script = ScriptedPolicy(lambda event: send_first(script, event))
        async with node(script, upstream) as client:
            if kept:
                assert (await client.ask(request("/read/first"))).status == 200
            mine = socket.create_connection((HOST, client.port))  # no turn of the loop from here to the leave
            mine.send(request("/read/left"))
            leave(mine)
            await nothing_but(upstream, client, script, before=int(kept))
            mine.close()

    run(test())


@LEAVES
def test_the_loop_is_busy_with_a_long_batch(monkeypatch: pytest.MonkeyPatch, leave: Leave) -> None:
    async def test() -> None:
        monkeypatch.setattr("loadbalancer.proxy.proxy.REST_S", 0.0)
        all_came = asyncio.Event()

        async def answer(got: ReceivedRequest, writer: Writer) -> None:
            await all_came.wait()
            writer.write(written(200))

        upstream = await FakeUpstream(answer).start()
        script = ScriptedPolicy(lambda event: send_first(script, event))
        async with node(script, upstream) as client:
            clients = [await connected(client) for _ in range(6)]
            for mine in clients:
                mine.send(request("/read/first"))
            await until(lambda: len(upstream.got) == 6)
            all_came.set()
            await until(lambda: len(script.of(AttemptEnded)) == 6)  # a kept connection for each
            script.react = lambda event: ()
            for i, mine in enumerate(clients):
                mine.send(request(f"/read/{i}"))
                await until(lambda i=i: len(script.of(RequestArrived)) == 7 + i)  # type: ignore[misc]

            def react(event: Event) -> Iterable[Action]:
                if not isinstance(event, TimerExpired):
                    return ()
                for mine in clients[::2]:
                    leave(mine)
                time.sleep(1.2 * BREAK_S)  # the batch: nothing is read meanwhile
                return [
                    Forward(arrived.request_id, script.ids()[0]) for arrived in script.of(RequestArrived)[6:]
                ]

            script.react = react
            client.node.dispatch(TimerExpired("token"))
            await until(lambda: len(script.of(AttemptEnded)) == 12)
            assert len(script.of(ClientDisconnected)) == 3
            assert sorted(sent(upstream)[6:]) == ["/read/1", "/read/3", "/read/5"]
            for mine in clients:
                mine.close()

    run(test())


@LEAVES
@pytest.mark.parametrize("kept", [False, True])
def test_an_unread_leave_opens_no_connection_and_ends_no_kept_one(
    monkeypatch: pytest.MonkeyPatch, leave: Leave, kept: bool
) -> None:
    # Guards against clients that leave in numbers costing upstreams a handshake each.
    async def test() -> None:
        upstream, script = await FakeUpstream(answers(200)).start(), ScriptedPolicy()
        module = Late(script, "decided", request="2" if kept else "1")
        module.watch(monkeypatch, upstream)
        async with node(module, upstream) as client:
            if kept:
                script.react = lambda event: send_first(script, event)
                assert (await client.ask(request("/read/first"))).status == 200
            mine = await connected(client)
            script.react = lambda event: send_first(script, event)
            await module.goes(leave, mine, client)
            mine.send(request("/read/left"))
            await until(lambda: script.of(ClientDisconnected))
            await nothing_but(upstream, client, script, before=int(kept))
            assert upstream.opened == 1
            assert not upstream.closed
            mine.close()

    run(test())


@LEAVES
def test_reading_is_paused(leave: Leave) -> None:
    # Unread answers make a full close a reset. Its request lies in the socket, and is not sent.
    async def test() -> None:
        upstream = await FakeUpstream(answers(200)).start()
        script = ScriptedPolicy(lambda event: send_first(script, event))
        async with node(script, upstream) as client:
            mine = await unread_answer(client, 900_000, upstream)
            side = next(iter(client.node.downstream._connections))
            assert side._transport is not None
            assert not side._transport.is_reading()
            mine.send(request("/read/left"))
            leave(mine)
            assert side.has_disconnected  # the kernel knows, the loop does not
            if mine.fileno() != -1:  # a half-close: it still reads
                while len(script.of(RequestArrived)) < 2:
                    await asyncio.get_running_loop().sock_recv(mine, 1 << 16)
            await until(lambda: side not in client.node.downstream._connections)
            await nothing_but(upstream, client, script, before=1)
            mine.close()

    run(test())


@LEAVES
@pytest.mark.parametrize("when", ["read", "decided"])
@pytest.mark.parametrize("allowed", [False, True])
def test_a_copy_of_a_request_with_one_attempt_out(leave: Leave, when: str, allowed: bool) -> None:
    # A node has one attempt out at a time, also where the settings allow two: a copy is moot at once.
    async def test() -> None:
        upstream, other = await FakeUpstream(silent).start(), await FakeUpstream(answers(200)).start()
        script = ScriptedPolicy(lambda event: send_first(script, event))
        module = Late(script, when, attempt=1)
        async with node(module, upstream, other, hedging=allowed, cancellation=True) as client:
            mine = await connected(client)
            mine.send(request("/read/left"))
            await until(lambda: upstream.got)
            script.react = lambda e: [Forward("1", script.ids()[1])] if isinstance(e, TimerExpired) else ()
            await module.goes(leave, mine, client)
            client.node.dispatch(TimerExpired("overdue"))
            await until(lambda: script.of(ClientDisconnected) and len(script.of(AttemptEnded)) == 2)
            results = {o.result for o in script.of(AttemptEnded)}
            assert results == {AttemptResult.CANCELLED, AttemptResult.NOT_SENT}
            upstream.answer = answers(200)
            await nothing_but(upstream, client, script, before=1)
            assert sent(upstream) == ["/read/left", "/read/barrier"]
            assert not other.got
            await until(lambda: upstream.closed)  # the attempt that was out has been given up
            mine.close()

    run(test())


# -- the module alone: its caller tells it of the leave and of what else is due in one batch --


def desk_with_one_slow(**limits: bool) -> bench.PolicyHarness:
    """One attempt is out; its upstream has been known to answer sooner than this one will."""
    allowed = Limits(max_attempts=4, **{"hedging": True, "cancellation": True, **limits})
    desk = bench.PolicyHarness(bench.settings(limits=allowed))
    for i in range(20):
        desk.give(bench.arrival(i, desk.now))
        desk.now += 10 * MS
        desk.finish(f"r{i}")
    desk.give(bench.arrival("slow", desk.now))
    return desk


@pytest.mark.parametrize("gone_first", [False, True])
@pytest.mark.parametrize("gone", [False, True])
def test_a_copy_and_the_leave_are_due_in_one_batch(gone: bool, gone_first: bool) -> None:
    desk = desk_with_one_slow()
    due = next(
        due_ns
        for due_ns, timer in desk.balancer.timers
        if isinstance(timer, AttemptOverdue) and timer.request is desk.balancer.requests["rslow"]
    )
    desk.advance(due - 1 - desk.now)
    assert len(desk.attempts["rslow"]) == 1
    desk.now = due
    leave: list[Event] = [ClientDisconnected("rslow")] * gone
    wake = TimerExpired(desk.balancer.timers.wake_up_name)
    said = desk.give(*([*leave, wake] if gone_first else [wake, *leave]))
    assert (CancelAttempt("rslow", 0) in said) == gone
    desk.advance(600 * MS)
    assert len(desk.attempts["rslow"]) == (1 if gone else 2)  # a copy of it was due


@pytest.mark.parametrize("result", [r for r in AttemptResult if r is not AttemptResult.OK])
@pytest.mark.parametrize("gone_first", [False, True])
@pytest.mark.parametrize("copies", [False, True])
def test_an_attempt_ends_and_the_leave_is_told_in_one_batch(
    result: AttemptResult, gone_first: bool, copies: bool
) -> None:
    desk = desk_with_one_slow(hedging=copies)
    desk.now += 10 * MS
    leave, end = ClientDisconnected("rslow"), desk.attempt_ended("rslow", 0, result)
    desk.give(leave, end) if gone_first else desk.give(end, leave)
    desk.advance(600 * MS)
    assert len(desk.attempts["rslow"]) == 1
    assert "rslow" not in desk.balancer.requests


@pytest.mark.parametrize("first", [0, 1])
def test_both_copies_end_after_the_leave(first: int) -> None:
    desk = desk_with_one_slow()
    desk.advance(150 * MS)
    assert len(desk.attempts["rslow"]) == 2
    desk.give(ClientDisconnected("rslow"))
    for number in (first, 1 - first):
        desk.finish("rslow", AttemptResult.CONNECT_FAILED, number)
    desk.advance(600 * MS)
    assert len(desk.attempts["rslow"]) == 2
    assert "rslow" not in desk.balancer.requests
