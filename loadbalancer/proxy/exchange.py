"""Exchanges: one request and its response, sent on a pooled connection, with a timeout."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loadbalancer.messages import AttemptResult
from loadbalancer.proxy.connection_pool import ConnectionPool
from loadbalancer.proxy.endpoint_connection import EndpointConnection
from loadbalancer.proxy.http import Message

# An endpoint may send a second response some milliseconds late, which must not be read as the response to the
# next request. A connection is not reused for this time after a response; data received meanwhile closes it.
QUARANTINE_S = 0.01

OnExchangeEnded = Callable[[AttemptResult, Message | None], None]
"""Called with OK and the response, whatever its status, or with the failure and None."""

RequestSerializer = Callable[[], bytes]
"""Serializes a request at the moment it is written."""


class Exchange:
    """One request and its response on one connection: an attempt, a health check or a call to discovery."""

    def __init__(
        self,
        pool: ConnectionPool,
        serialize: RequestSerializer,
        on_ended: OnExchangeEnded,
        reserved_for_others: int = 0,
        check_still_needed: Callable[[], bool] = lambda: True,
        quarantine_s: float = 0.0,
    ) -> None:
        """Prepare an exchange; `start` begins it.

        Args:
            pool: The connections to the address.
            serialize: Serializes the request when it is written. That may be as late as the connect timeout
                after the start, and the remaining time in the request must still be right then.
            on_ended: Called once at the end, unless the exchange is abandoned.
            reserved_for_others: How many connections of the limit must stay available to other exchanges.
            check_still_needed: Called before a connection is taken, and again once a new one is established;
                the request is not sent if the result is False. The callback must then have ended the exchange
                itself, for example with `finish`: `on_ended` is not called otherwise.
            quarantine_s: How long the connection is not reused after the response.
        """
        self.pool = pool
        self.reserved_for_others = reserved_for_others
        self.quarantine_s = quarantine_s
        self.serialize = serialize
        self.finished = False
        self.response_too_large = False
        """Whether the exchange failed because its response was larger than allowed."""
        self._on_ended = on_ended
        self._check_still_needed = check_still_needed
        self._connection: EndpointConnection | None = None
        self._connecting: EndpointConnection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._timeout_timer: asyncio.TimerHandle | None = None

    @property
    def unsent(self) -> bool:
        """Whether the exchange still waits for a connection: no byte of the request has been sent."""
        return not self.finished and self._connection is None

    @property
    def request_written(self) -> bool:
        """Whether the request's last byte has been passed to the kernel; else the request can't have run."""
        return self._connection is not None and self._connection.request_written

    def start(self, deadline_s: float | None) -> None:
        """Send the request as soon as there is a connection.

        Args:
            deadline_s: When the exchange times out, on the event loop's clock; None for never.
        """
        if not self._check_still_needed():
            return
        if deadline_s is not None:
            self._set_timeout(deadline_s)
        connection = self.pool.take_idle()
        if connection is not None:
            self._send_on(connection)
            return
        # Reserved before it is established, so that other exchanges of this event loop turn count it.
        connection = self.pool.reserve_connection(self.reserved_for_others)
        if connection is not None:
            self._connect(connection)
        else:
            asyncio.get_running_loop().call_soon(self.finish, AttemptResult.CONNECT_FAILED)

    def _set_timeout(self, deadline_s: float) -> None:
        self._timeout_timer = asyncio.get_running_loop().call_at(
            deadline_s, self.finish, AttemptResult.TIMEOUT
        )

    def _connect(self, connection: EndpointConnection) -> None:
        self._connecting = connection
        self._connect_task = asyncio.get_running_loop().create_task(self._connect_and_send(connection))

    async def _connect_and_send(self, connection: EndpointConnection) -> None:
        host, port = self.pool.address
        try:
            async with asyncio.timeout(self.pool.limits.connect_timeout_s):
                await asyncio.get_running_loop().create_connection(lambda: connection, host, port)
        except (OSError, TimeoutError):
            self._connect_task = None
            self.finish(AttemptResult.CONNECT_FAILED)
            return
        self._connect_task = None
        self._connecting = None
        if self._check_still_needed():  # the client may have disconnected meanwhile
            self._send_on(connection)
        else:
            connection.close()

    def _send_on(self, connection: EndpointConnection) -> None:
        self._connection = connection
        connection.send(self)

    def extend_timeout(self, size_bytes: int) -> None:
        """Extend the timeout by the time for `size_bytes` at the minimum response rate, if one is set."""
        min_bytes_per_s = self.pool.limits.min_response_bytes_per_s
        if min_bytes_per_s and self._timeout_timer is not None:
            deadline_s = self._timeout_timer.when() + size_bytes / min_bytes_per_s
            self._timeout_timer.cancel()
            self._set_timeout(deadline_s)

    def on_response_too_large(self) -> None:
        """Record that the exchange is about to fail because of the size of its response."""
        self.response_too_large = True

    def finish(self, result: AttemptResult, response: Message | None = None) -> None:
        """End the exchange and report its result; has no effect once it has ended."""
        if not self.finished:
            self._release(close_connection=response is None)
            self._on_ended(result, response)

    def abandon(self) -> None:
        """End the exchange without reporting a result, and close its connection."""
        self._release(close_connection=True)

    def _release(self, *, close_connection: bool) -> None:
        """Mark the exchange as finished, and release its timer, its connect task and its connection."""
        self.finished = True
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self._connecting is not None:
            self._connecting.close()
        if self._connection is not None and close_connection:
            self._connection.close()


def start_exchange(
    pool: ConnectionPool,
    data: bytes,
    timeout_s: float | None,
    on_ended: OnExchangeEnded,
    reserved_for_others: int = 0,
    quarantine_s: float = 0.0,
) -> Exchange:
    """Start an exchange whose request contains no remaining time, and can be serialized in advance.

    Args:
        pool: The connections to the address.
        data: The serialized request.
        timeout_s: Time after which the exchange times out; None for never.
        on_ended: Called at the end, see `Exchange`.
        reserved_for_others: How many connections of the limit must stay available to other exchanges.
        quarantine_s: How long the connection is not reused after the response.
    """
    exchange = Exchange(pool, lambda: data, on_ended, reserved_for_others, quarantine_s=quarantine_s)
    deadline_s = None if timeout_s is None else asyncio.get_running_loop().time() + timeout_s
    exchange.start(deadline_s)
    return exchange
