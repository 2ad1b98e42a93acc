"""Exchanges with upstreams, and the connections that carry them."""

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
RequestSerializer = Callable[[], bytes]


class Exchange:
    """One request on one connection: an attempt, a probe or a call to discovery.

    `serialize` builds the request at the moment it is written, up to the connect timeout after the start, so
    that a time left that it tells is still true.
    `done` is called once: with RESULT OK and the response, whatever its status, or with what went wrong.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        serialize: RequestSerializer,
        done: ExchangeCallback,
        reserved_connections: int = 0,
        is_wanted: Callable[[], bool] = lambda: True,
        quarantine_s: float = 0.0,
    ) -> None:
        self.pool = pool
        self.reserved_connections = reserved_connections  # places that it must leave to others
        self.quarantine_s = quarantine_s  # for which its connection is left alone afterwards
        self.serialize = serialize
        self.finished = False
        self.response_too_large = False  # its answer was, and so it ended
        self._done = done
        self._is_wanted = (
            is_wanted  # asked before it takes a connection and before its first byte; may end it
        )
        self._connection: Connection | None = None
        self._connecting: Connection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._timeout_timer: asyncio.TimerHandle | None = None

    @property
    def unsent(self) -> bool:
        """No byte of it has been sent yet."""
        return not self.finished and self._connection is None

    def start(self, end_s: float | None) -> None:
        """Send it as soon as there is a connection; it times out at that time of the loop's clock."""
        if not self._is_wanted():
            return
        if end_s is not None:
            self._timeout_timer = asyncio.get_running_loop().call_at(
                end_s, self.finish, AttemptResult.TIMEOUT
            )
        connection = self.pool.take_idle()
        if connection is not None:
            self.send_on(connection)
        elif not self.pool.limits.reserve_connection(self.reserved_connections):
            asyncio.get_running_loop().call_soon(self.finish, AttemptResult.CONNECT_FAILED)
        else:
            # Its place is taken here: what is begun in the same turn must find it taken.
            self._connecting = Connection(self.pool)
            self._connect_task = asyncio.get_running_loop().create_task(self._open(self._connecting))

    async def _open(self, connection: Connection) -> None:
        host, port = self.pool.address
        try:
            async with asyncio.timeout(self.pool.limits.connect_timeout_s):
                await asyncio.get_running_loop().create_connection(lambda: connection, host, port)
        except (OSError, TimeoutError):
            self._connect_task = None
            self.finish(AttemptResult.CONNECT_FAILED)
        else:
            self._connect_task = self._connecting = None
            if self._is_wanted():  # it may have ended unread while the connection came up
                self.send_on(connection)
            else:
                connection.close()

    def extend_timeout(self, size: int) -> None:
        """So much of its answer has come: where a rate is set, that puts its end off."""
        if self.pool.limits.min_response_rate and self._timeout_timer is not None:
            end_s = self._timeout_timer.when() + size / self.pool.limits.min_response_rate
            self._timeout_timer.cancel()
            self._timeout_timer = asyncio.get_running_loop().call_at(
                end_s, self.finish, AttemptResult.TIMEOUT
            )

    def send_on(self, connection: Connection) -> None:
        self._connection = connection
        connection.send(self)

    def finish(self, result: AttemptResult, response: Message | None = None) -> None:
        """End it and say so, once."""
        if not self.finished:
            self.abandon(response is not None)
            self._done(result, response)

    def abandon(self, answered: bool = False) -> None:
        """End it; a connection on which the answer is still to come is closed and never used again."""
        self.finished = True
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self._connecting is not None:
            self._connecting.close()
        if self._connection is not None and not answered:
            self._connection.close()


class Connection(asyncio.Protocol):
    """A connection to an upstream; it carries one exchange at a time."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._reader = MessageReader(responses=True, max_body=pool.limits.max_response_body)
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._written = False
        self._closed = False
        self.idle_since = self.quarantined_until = 0.0
        pool.open_connections += 1
        pool.limits.open_connections += 1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self._closed:  # given up while it came up
            self._transport.abort()
        self._transport.set_write_buffer_limits(high=0)  # to be told when the last byte is written

    @property
    def usable(self) -> bool:
        """Still open, with nothing unread. One that was closed there leaves its pool some turns later."""
        return (
            self._transport is not None
            and not self._transport.is_closing()
            and not has_unread_input(self._transport)
        )

    def send(self, exchange: Exchange) -> None:
        self._exchange, self._written = exchange, False
        if self._transport is None or not self.usable:
            asyncio.get_running_loop().call_soon(self.fail)  # not at once: its sender still sets it up
            return
        self._transport.write(exchange.serialize())
        self._written = not self._transport.is_closing() and not self._transport.get_write_buffer_size()

    def resume_writing(self) -> None:
        self._written = True

    def data_received(self, data: bytes) -> None:
        responses = self._reader.feed(data)
        exchange = self._exchange
        if exchange is None or (self._reader.error_status and not responses):
            if exchange is not None:
                exchange.response_too_large = self._reader.error_status == CONTENT_TOO_LARGE
            self.fail()  # nobody asked for it, or it can't be read
        elif responses:
            self._exchange = None
            # What comes behind a whole answer takes nothing from it, but it must not meet the next request.
            alone = len(responses) == 1 and not (self._reader.message_started or self._reader.error_status)
            if alone and responses[0].keep_alive and self._written:
                self._pool.release(self, exchange.quarantine_s)
            else:
                self.close()
            exchange.finish(AttemptResult.OK, responses[0])
        else:
            exchange.extend_timeout(len(data))

    def connection_lost(self, error: Exception | None) -> None:
        self.fail()

    def fail(self) -> None:
        """The connection is of no more use; an exchange on it ends by what had been written."""
        exchange = self._exchange
        self.close()
        if exchange is not None:
            # Up to its last byte nothing can have run; from then on it may have.
            exchange.finish(AttemptResult.RESET if self._written else AttemptResult.CONNECT_FAILED)

    def close(self) -> None:
        self._exchange = None  # a late answer finds nobody
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
