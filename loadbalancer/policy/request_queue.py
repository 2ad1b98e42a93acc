"""Queue of the requests that wait for an endpoint of one pool (types: loadbalancer/messages.py)."""

from collections import deque

from loadbalancer.state.endpoint_pool import EndpointPool
from loadbalancer.state.request import Queue, Request


class RequestQueue:
    """The requests of one pool that have their token and wait for an endpoint, in order of service."""

    def __init__(self, pool: EndpointPool) -> None:
        self.pool = pool
        self.waiting: deque[Request] = deque()
        # When no endpoint was available for the first time since the queue was last empty; 0: not blocked.
        self.blocked_since_ns = 0

    def append(self, request: Request) -> None:
        """Add a request at the end."""
        self.waiting.append(request)
        request.join_queue(Queue.POOL_QUEUE)

    def prepend(self, request: Request) -> None:
        """Add a request at the head: a retry."""
        self.waiting.appendleft(request)
        request.join_queue(Queue.POOL_QUEUE)

    def remove(self, request: Request) -> None:
        """Remove a request from any position."""
        self.waiting.remove(request)
        request.leave_queue()

    def mark_blocked(self, now_ns: int) -> None:
        """Record that no endpoint is available for the request at the head; an earlier time is kept."""
        self.blocked_since_ns = self.blocked_since_ns or now_ns

    def mark_unblocked(self) -> None:
        """Record that the queue is empty, and so not blocked."""
        self.blocked_since_ns = 0
