"""The order of requests in a pool's queue, and the queue that each request has recorded."""

from __future__ import annotations

from loadbalancer.policy.request_queue import RequestQueue
from loadbalancer.state.endpoint_pool import EndpointPool
from loadbalancer.state.placement import Placement
from loadbalancer.state.request import Queue
from tests.support.requests import make_request


def make_queue() -> RequestQueue:
    return RequestQueue(EndpointPool(Placement(None, None)))


def test_a_prepended_request_is_first_in_the_queue() -> None:
    queue = make_queue()
    first, second, retried = (make_request(request_id=f"r{i}") for i in range(3))
    queue.append(first)
    queue.append(second)
    queue.prepend(retried)
    assert list(queue.waiting) == [retried, first, second]
    assert {request.queued_in for request in queue.waiting} == {Queue.POOL_QUEUE}


def test_a_removed_request_is_not_queued() -> None:
    queue = make_queue()
    first, second = make_request(request_id="r1"), make_request(request_id="r2")
    queue.append(first)
    queue.append(second)
    queue.remove(second)
    assert list(queue.waiting) == [first]
    assert second.queued_in is None


def test_a_queue_keeps_the_time_at_which_it_was_first_blocked() -> None:
    queue = make_queue()
    queue.mark_blocked(5)
    queue.mark_blocked(9)
    assert queue.blocked_since_ns == 5
    queue.mark_unblocked()
    assert queue.blocked_since_ns == 0
