"""Exchanges with upstream servers, and the connections that carry them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

from loadbalancer.messages import AttemptResult
from loadbalancer.proxy.http import CONTENT_TOO_LARGE, Message, MessageReader
from loadbalancer.proxy.socket_state import has_unread_input

if TYPE_CHECKING:
    from loadbalancer.proxy.connection_pool import ConnectionPool

ExchangeCallback = Callable[[AttemptResult, Message | None], None]
"""Takes OK and the response, whatever its status, or what went wrong and None."""

RequestSerializer = Callable[[], bytes]
"""Builds a request at the moment it is written."""


class Exchange:
    """One request and its response on one connection: an attempt, a health check or a call to discovery."""

    def __init__(
        self,
        pool: ConnectionPool,
        serialize: RequestSerializer,
        done: ExchangeCallback,
        reserved_connections: int = 0,
        is_wanted: Callable[[], bool] = lambda: True,
        quarantine_s: float = 0.0,
    ) -> None:
        """Prepare an exchange; `start` begins it.

        Args:
            pool: The connections to the upstream.
            serialize: Builds the request when it is written, which is up to the connect timeout after the
                start, so that a remaining time that it tells is still true.
            done: Is called once at the end, unless the exchange is abandoned.
            reserved_connections: Connections of the limit that it must leave to others.
            is_wanted: Is asked before a connection is taken and before the first byte; may abandon the
                exchange. It is not carried on if the answer is no.
            quarantine_s: For so long its connection is not used again afterwards.
        """
        self.pool = pool
        self.reserved_connections = reserved_connections
        self.quarantine_s = quarantine_s
        self.serialize = serialize
        self.finished = False
        self.response_too_large = False
        """It has ended because its response was larger than allowed."""
        self._done = done
        self._is_wanted = is_wanted
        self._connection: Connection | None = None
        self._connecting: Connection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._timeout_timer: asyncio.TimerHandle | None = None

    @property
    def unsent(self) -> bool:
        """Whether it still waits for its connection: no byte of it has been sent."""
        return not self.finished and self._connection is None

    def start(self, end_s: float | None) -> None:
        """Send the request as soon as there is a connection.

        Args:
            end_s: When it times out, by the loop's clock; None for never.
        """
        if not self._is_wanted():
            return
        if end_s is not None:
            self._set_timeout(end_s)
        connection = self.pool.take_idle()
        if connection is not None:
            self._send_on(connection)
        elif self.pool.limits.make_room(self.reserved_connections):
            self._connect()
        else:
            asyncio.get_running_loop().call_soon(self.finish, AttemptResult.CONNECT_FAILED)

    def _set_timeout(self, end_s: float) -> None:
        self._timeout_timer = asyncio.get_running_loop().call_at(end_s, self.finish, AttemptResult.TIMEOUT)

    def _connect(self) -> None:
        # The connection is counted from here on: other exchanges of this turn must find its place taken.
        connection = self._connecting = Connection(self.pool)
        self._connect_task = asyncio.get_running_loop().create_task(self._connect_and_send(connection))

    async def _connect_and_send(self, connection: Connection) -> None:
        host, port = self.pool.address
        try:
            async with asyncio.timeout(self.pool.limits.connect_timeout_s):
                await asyncio.get_running_loop().create_connection(lambda: connection, host, port)
        except (OSError, TimeoutError):
            self._connect_task = None
            self.finish(AttemptResult.CONNECT_FAILED)
            return
        self._connect_task = self._connecting = None
        if self._is_wanted():  # the client may have left, unread, while the connection came up
            self._send_on(connection)
        else:
            connection.close()

    def _send_on(self, connection: Connection) -> None:
        self._connection = connection
        connection.send(self)

    def extend_timeout(self, size: int) -> None:
        """Put the time-out off for so many bytes of the response, where a least rate of it is set."""
        min_rate = self.pool.limits.min_response_rate
        if min_rate and self._timeout_timer is not None:
            end_s = self._timeout_timer.when() + size / min_rate
            self._timeout_timer.cancel()
            self._set_timeout(end_s)

    def finish(self, result: AttemptResult, response: Message | None = None) -> None:
        """End the exchange and say how, once; without effect on one that has ended."""
        if not self.finished:
            self._release(close_connection=response is None)
            self._done(result, response)

    def abandon(self) -> None:
        """End the exchange without a word; the connection on which its response is due is closed."""
        self._release(close_connection=True)

    def _release(self, close_connection: bool) -> None:
        """Mark it as finished and release all that it holds."""
        self.finished = True
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self._connecting is not None:
            self._connecting.close()
        if self._connection is not None and close_connection:
            self._connection.close()


class Connection(asyncio.Protocol):
    """A connection to an upstream; it carries one exchange at a time, and is kept alive between them."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._reader = MessageReader(responses=True, max_body=pool.limits.max_response_body)
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._request_written = False
        self._closed = False
        self.idle_since = 0.0
        """By the monotonic clock; so is `quarantined_until`, before which it is not used again."""
        self.quarantined_until = 0.0
        pool.open_connections += 1
        pool.limits.open_connections += 1

    @property
    def usable(self) -> bool:
        """Whether it is open, with nothing unread.

        One that the upstream has closed leaves its pool only some turns of the loop later.
        """
        return (
            self._transport is not None
            and not self._transport.is_closing()
            and not has_unread_input(self._transport)
        )

    def send(self, exchange: Exchange) -> None:
        """Write the request of an exchange, which is told how it ends."""
        self._exchange = exchange
        self._request_written = False
        if self._transport is None or not self.usable:
            asyncio.get_running_loop().call_soon(self.fail)  # not at once: its sender still sets it up
            return
        self._transport.write(exchange.serialize())
        self._request_written = (
            not self._transport.is_closing() and not self._transport.get_write_buffer_size()
        )

    # -- asyncio.Protocol --

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, or abort it if the connection was given up while it came up."""
        self._transport = cast(asyncio.Transport, transport)
        if self._closed:
            self._transport.abort()
        # With no high-water mark, `resume_writing` comes when the last byte is written.
        self._transport.set_write_buffer_limits(high=0)

    def resume_writing(self) -> None:
        """Take note that the last byte of the request is written."""
        self._request_written = True

    def data_received(self, data: bytes) -> None:
        """Read on, and finish the exchange if its response is whole."""
        responses = self._reader.feed(data)
        exchange = self._exchange
        if exchange is None:
            self.fail()  # nobody asked for it
        elif responses:
            self._finish_exchange(exchange, responses)
        elif self._reader.error_status:
            exchange.response_too_large = self._reader.error_status == CONTENT_TOO_LARGE
            self.fail()
        else:
            exchange.extend_timeout(len(data))

    def _finish_exchange(self, exchange: Exchange, responses: list[Message]) -> None:
        """Finish the exchange with the first response, and keep the connection alive if it is clean.

        What comes behind a whole response takes nothing from it, but it must not meet the next request.
        """
        self._exchange = None
        response = responses[0]
        followed = len(responses) > 1 or self._reader.message_started or self._reader.error_status
        if response.keep_alive and self._request_written and not followed:
            self._pool.release(self, exchange.quarantine_s)
        else:
            self.close()
        exchange.finish(AttemptResult.OK, response)

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002 - asyncio.Protocol's signature
        """Close what is left, and fail the exchange that waits for its response."""
        self.fail()

    def fail(self) -> None:
        """Close the connection; an exchange on it ends by how much of its request had been written."""
        exchange = self._exchange
        self.close()
        if exchange is not None:
            # Up to its last byte nothing can have run; from then on it may have.
            sent = self._request_written
            exchange.finish(AttemptResult.RESET if sent else AttemptResult.CONNECT_FAILED)

    def close(self) -> None:
        """Close the connection at once and give its place in the limits back; a late response is dropped."""
        self._exchange = None
        self._pool.remove_idle(self)
        if not self._closed:
            self._closed = True
            self._pool.open_connections -= 1
            self._pool.limits.open_connections -= 1
        if self._transport is not None:
            # The transport closes its socket only in the loop's next turn, when the request may have gone out
            # again: two copies on open connections. What is written here ends at once.
            with contextlib.suppress(OSError):
                self._transport.write_eof()
            self._transport.abort()
