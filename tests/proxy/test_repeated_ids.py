"""Requests that come again under the id of one that may have run, after their client has left."""

from __future__ import annotations

import pytest

from loadbalancer.messages import ClientDisconnected, RequestArrived
from loadbalancer.proxy.recent_request_ids import MAX_IDS_PER_WINDOW, REPEAT_WINDOW_NS, RecentRequestIds
from tests.support.clients import Disconnect, each_disconnect, plain_socket
from tests.support.fake_endpoint import FakeEndpoint, never_respond, respond_with
from tests.support.fake_policies import ScriptedPolicy
from tests.support.http_messages import request
from tests.support.running_proxy import running_proxy
from tests.support.scripted import forward_requests, forwarding_policy
from tests.support.waiting import wait_until

PAY = request("/pay", method="POST", body=b"x", request_id="one")
BOOK = request("/book", "Idempotency-Key: k", method="POST", body=b"x", request_id="one")
READ = request("/read", request_id="one")


@each_disconnect
@pytest.mark.parametrize(
    ("data", "status", "runs"),
    [
        pytest.param(PAY, 409, 1, id="non-idempotent"),
        pytest.param(BOOK, 409, 1, id="idempotency-key"),
        pytest.param(READ, 200, 2, id="idempotent"),
    ],
)
async def test_a_request_that_comes_again_after_its_client_left_runs_twice_only_if_it_is_idempotent(
    disconnect: Disconnect, data: bytes, status: int, runs: int
) -> None:
    # Guards against a meter reading that runs twice: its client left, and sent it again under its id.
    endpoint = await FakeEndpoint(never_respond).start()
    policy = forwarding_policy()
    async with running_proxy(policy, endpoint) as client, plain_socket(client) as sock:
        sock.send(data)
        await wait_until(lambda: endpoint.requests)
        disconnect(sock)
        await wait_until(lambda: policy.events_of(ClientDisconnected))
        endpoint.respond = respond_with(200)
        assert (await client.exchange(data)).status == status
        assert len(endpoint.requests) == runs


async def test_a_request_that_comes_again_after_its_response_does_not_run_twice() -> None:
    endpoint = await FakeEndpoint(respond_with(200)).start()
    async with running_proxy(forwarding_policy(), endpoint) as client:
        assert (await client.exchange(PAY)).status == 200
        assert (await client.exchange(PAY)).status == 409
        assert len(endpoint.requests) == 1


async def test_a_request_that_was_not_forwarded_before_its_client_left_may_come_again() -> None:
    endpoint = await FakeEndpoint(respond_with(200)).start()
    policy = ScriptedPolicy()
    async with running_proxy(policy, endpoint) as client:
        first = client.new_client()
        await first.send(PAY)
        await wait_until(lambda: policy.events_of(RequestArrived))
        first.close()
        await wait_until(lambda: policy.events_of(ClientDisconnected))
        forward_requests(policy)
        assert (await client.exchange(PAY)).status == 200
        assert len(endpoint.requests) == 1


def test_ids_are_remembered_for_a_window_at_least_and_two_at_most() -> None:
    ids = RecentRequestIds()
    ids.add(b"one", REPEAT_WINDOW_NS - 1)
    ids.add(b"two", REPEAT_WINDOW_NS)
    for request_id in (b"one", b"two"):
        assert ids.contains(request_id, 2 * REPEAT_WINDOW_NS - 1)
    assert not ids.contains(b"one", 3 * REPEAT_WINDOW_NS)
    assert not ids.contains(b"two", 4 * REPEAT_WINDOW_NS)
    assert len(ids) == 0


def test_the_number_of_remembered_ids_is_bounded() -> None:
    # Guards against memory that grows with a client that sends ever new ids at full speed.
    ids = RecentRequestIds()
    for number in range(5 * MAX_IDS_PER_WINDOW):
        ids.add(b"%d" % number, REPEAT_WINDOW_NS)
    assert len(ids) <= 2 * MAX_IDS_PER_WINDOW
    assert ids.contains(b"%d" % (5 * MAX_IDS_PER_WINDOW - 1), REPEAT_WINDOW_NS)
