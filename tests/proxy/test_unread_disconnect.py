"""Clients that leave while their request waits: it must not be sent on afterwards.

The bad order is made to happen: a client's end is put into its socket without a turn of the loop, so that it
lies there unread when the token or the connection comes."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Callable, Iterable

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
from tests.support.sockets import (
    HOST,
    Answer,
    Client,
    FakeUpstream,
    ReceivedRequest,
    ScriptedPolicy,
    Writer,
    answers,
    node,
    request,
    run,
    settings,
    until,
)

Leave = Callable[[socket.socket], None]


def fin(mine: socket.socket) -> None:
    mine.close()


def half_close(mine: socket.socket) -> None:
    mine.shutdown(socket.SHUT_WR)


def rst(mine: socket.socket) -> None:
    mine.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    mine.close()


LEAVES = pytest.mark.parametrize("leave", [fin, half_close, rst])


async def connected(client: Client) -> socket.socket:
    """A plain socket to the node: what is done to it is done at once, between two turns of the loop."""
    mine = socket.socket()
    mine.setblocking(False)
    await asyncio.get_running_loop().sock_connect(mine, (HOST, client.port))
    return mine


def send_first(script: ScriptedPolicy, event: Event) -> Iterable[Action]:
    return [Forward(event.request_id, script.ids()[0])] if isinstance(event, RequestArrived) else ()


async def nothing_but(
    upstream: FakeUpstream, client: Client, script: ScriptedPolicy, before: int = 0
) -> None:
    """A later request of another client is served, and no other has come to the upstream since."""
    script.react = lambda event: send_first(script, event)
    assert (await client.another().ask(request("/read/barrier"))).status == 200
    assert [got.first.split()[1] for got in upstream.got[before:]] == ["/read/barrier"]
    assert not client.node._pending_requests


@LEAVES
@pytest.mark.parametrize("same_turn", [False, True])
def test_a_held_request_whose_client_left_is_not_sent(leave: Leave, same_turn: bool) -> None:
    async def test() -> None:
        upstream = await FakeUpstream(answers(200)).start()
        script = ScriptedPolicy()
        async with node(script, upstream) as client:
            mine = await connected(client)
            mine.send(request("/read/left"))
            await until(lambda: script.of(RequestArrived))
            script.react = lambda e: [Forward("1", script.ids()[0])] if isinstance(e, TimerExpired) else ()
            leave(mine)
            if not same_turn:
                await until(lambda: script.of(ClientDisconnected))
            client.node.dispatch(TimerExpired("token"))
            await until(lambda: script.of(ClientDisconnected) and script.of(AttemptEnded))
            await nothing_but(upstream, client, script)
            assert script.of(ClientDisconnected) == [ClientDisconnected("1")]
            mine.close()

    run(test())


@LEAVES
def test_a_held_request_whose_client_left_is_not_sent_on_a_kept_connection(leave: Leave) -> None:
    async def test() -> None:
        upstream = await FakeUpstream(answers(200)).start()
        script = ScriptedPolicy(lambda event: send_first(script, event))
        async with node(script, upstream) as client:
            assert (await client.ask(request("/read/first"))).status == 200
            script.react = lambda e: [Forward("2", script.ids()[0])] if isinstance(e, TimerExpired) else ()
            mine = await connected(client)
            mine.send(request("/read/left"))
            await until(lambda: len(script.of(RequestArrived)) == 2)
            leave(mine)
            client.node.dispatch(TimerExpired("token"))
            await until(lambda: script.of(ClientDisconnected))
            await nothing_but(upstream, client, script, before=1)
            mine.close()

    run(test())


@LEAVES
@pytest.mark.parametrize("same_turn", [False, True])
def test_a_request_whose_client_left_while_its_connection_came_up_is_not_sent(
    monkeypatch: pytest.MonkeyPatch, leave: Leave, same_turn: bool
) -> None:
    async def test() -> None:
        upstream = await FakeUpstream(answers(200)).start()
        script = ScriptedPolicy(lambda event: send_first(script, event))
        up = asyncio.Event()
        loop = asyncio.get_running_loop()
        original = loop.create_connection

        async def comes_up_late(*args: object, **options: object) -> object:
            made = await original(*args, **options)  # type: ignore[call-overload]
            await up.wait()
            if same_turn:
                leave(mine)
            return made

        async with node(script, upstream) as client:
            mine = await connected(client)
            monkeypatch.setattr(loop, "create_connection", comes_up_late)
            mine.send(request("/read/left"))
            await until(lambda: upstream.opened)
            if not same_turn:
                leave(mine)
                await until(lambda: script.of(ClientDisconnected))
            up.set()
            await until(lambda: script.of(ClientDisconnected))
            monkeypatch.setattr(loop, "create_connection", original)
            await nothing_but(upstream, client, script)
            assert [o.result for o in script.of(AttemptEnded)][0] is AttemptResult.CANCELLED
            mine.close()

    run(test())


@LEAVES
@pytest.mark.parametrize("same_turn", [False, True])
def test_a_request_whose_client_left_between_two_attempts_is_not_sent_again(
    leave: Leave, same_turn: bool
) -> None:
    async def test() -> None:
        answer: list[Answer] = [answers(200), answers(503, b"", "Srv-Declined: 1")]

        async def next_answer(got: ReceivedRequest, writer: Writer) -> None:
            await answer.pop()(got, writer)

        upstream = await FakeUpstream(next_answer).start()
        script = ScriptedPolicy()
        async with node(script, upstream) as client:
            mine = await connected(client)

            def react(event: Event) -> Iterable[Action]:
                if isinstance(event, AttemptEnded) and same_turn and not event.request_complete:
                    leave(mine)
                    return [Forward(event.request_id, event.endpoint_id)]
                if isinstance(event, TimerExpired):
                    return [Forward("1", script.ids()[0])]
                return send_first(script, event)

            script.react = react
            mine.send(request("/read/left"))
            await until(lambda: script.of(AttemptEnded))
            if not same_turn:
                leave(mine)
                await until(lambda: script.of(ClientDisconnected))
                client.node.dispatch(TimerExpired("again"))
            await until(lambda: script.of(ClientDisconnected))
            await nothing_but(upstream, client, script, before=1)
            mine.close()

    run(test())


async def unread_answer(client: Client, size: int, upstream: FakeUpstream) -> socket.socket:
    """A client that was answered and has not read: a good part of the answer is still the node's to write."""
    upstream.answer = answers(200, b"x" * size)
    mine = socket.socket()
    mine.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    mine.setblocking(False)
    await asyncio.get_running_loop().sock_connect(mine, (HOST, client.port))
    await until(lambda: any(c._transport for c in client.node.downstream._connections))
    side = next(iter(client.node.downstream._connections))
    assert side._transport is not None
    side._transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    mine.send(request("/read/large"))
    await until(lambda: side.has_unsent_data)
    upstream.answer = answers(200)
    return mine


def test_a_leave_is_told_also_while_an_earlier_answer_is_still_to_be_written() -> None:
    # The transport ends only when its last byte is out: the client's end must not wait for that.
    async def test() -> None:
        upstream = await FakeUpstream(answers(200)).start()
        script = ScriptedPolicy(lambda event: send_first(script, event))
        async with node(script, upstream) as client:
            mine = await unread_answer(client, 50_000, upstream)  # short of pausing what is read
            side = next(iter(client.node.downstream._connections))
            script.react = lambda event: ()
            mine.send(request("/read/left"))
            await until(lambda: len(script.of(RequestArrived)) == 2)
            half_close(mine)
            await until(lambda: script.of(ClientDisconnected))
            assert side.has_unsent_data
            assert side in client.node.downstream._flushing
            await nothing_but(upstream, client, script, before=1)
            mine.close()

    run(test())


def test_a_request_whose_client_left_while_reading_was_paused_is_not_sent() -> None:
    async def test() -> None:
        upstream = await FakeUpstream(answers(200)).start()
        script = ScriptedPolicy(lambda event: send_first(script, event))
        async with node(script, upstream) as client:
            mine = await unread_answer(client, 900_000, upstream)
            side = next(iter(client.node.downstream._connections))
            assert side._transport is not None
            assert not side._transport.is_reading()
            mine.send(request("/read/left"))
            half_close(mine)
            while len(script.of(RequestArrived)) < 2:  # reads on until the node does
                await asyncio.get_running_loop().sock_recv(mine, 1 << 16)
            await until(lambda: script.of(ClientDisconnected))
            await nothing_but(upstream, client, script, before=1)
            mine.close()

    run(test())


@LEAVES
def test_the_real_module_sends_no_held_request_whose_client_left(leave: Leave) -> None:
    async def test() -> None:
        upstream = await FakeUpstream(answers(200)).start()
        balancer = Balancer(settings(), 1, time.monotonic_ns())
        async with node(balancer, upstream) as client:
            throttle = balancer.throttles[""]
            # No token left, and none comes however long this takes: the next request waits for one.
            throttle.set_rate(0.001, time.monotonic_ns())
            throttle.counter = throttle.buffer_capacity
            mine = await connected(client)
            mine.send(request("/read/left"))
            await until(lambda: throttle.buffer)
            leave(mine)
            await until(lambda: not throttle.buffer)
            throttle.wake_scheduled = False  # what was set for the token then is far away
            throttle.set_rate(4.0, time.monotonic_ns())
            await client.send(request("/read/stays"))
            assert (await client.read()).status == 200  # the next token is its own
            assert [got.first.split()[1] for got in upstream.got] == ["/read/stays"]
            mine.close()

    run(test())
