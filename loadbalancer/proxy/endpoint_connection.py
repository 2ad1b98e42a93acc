"""One connection to an endpoint or to discovery; it carries one exchange at a time."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from typing import Protocol, cast

from loadbalancer.messages import AttemptResult
from loadbalancer.proxy.http import Message
from loadbalancer.proxy.http_status import CONTENT_TOO_LARGE
from loadbalancer.proxy.memory_budget import MemoryBudget, MemoryUse
from loadbalancer.proxy.message_reader import MessageReader
from loadbalancer.proxy.receive_buffer import SharedBufferProtocol
from loadbalancer.proxy.socket_state import has_unread_input

log = logging.getLogger(__name__)


class ConnectionCallbacks(Protocol):
    """The events of which a connection notifies its pool."""

    def on_idle(self, connection: EndpointConnection, quarantine_s: float) -> None:
        """The exchange on the connection has ended; the connection may be reused after `quarantine_s`."""

    def on_closed(self, connection: EndpointConnection) -> None:
        """The connection has been closed; called once."""


class ActiveExchange(Protocol):
    """The exchange that a connection carries."""

    quarantine_s: float

    def serialize(self) -> bytes:
        """Return the bytes of the request, built at the moment when it is written."""

    def extend_timeout(self, size_bytes: int) -> None:
        """A part of the response, of `size_bytes`, has been received."""

    def on_response_too_large(self) -> None:
        """The response is larger than allowed; `finish` is called next."""

    def finish(self, result: AttemptResult, response: Message | None = None) -> None:
        """The exchange has ended; it has a response only if the result is OK."""


class EndpointConnection(SharedBufferProtocol):
    """A connection that is kept alive between exchanges."""

    def __init__(
        self,
        callbacks: ConnectionCallbacks,
        max_response_body_bytes: int,
        memory: MemoryBudget,
        memory_use: MemoryUse,
    ) -> None:
        self._callbacks = callbacks
        self._memory = memory.open_account(self)
        self._memory_use = memory_use
        self._reader = MessageReader(responses=True, max_body_bytes=max_response_body_bytes)
        self._transport: asyncio.Transport | None = None
        self._exchange: ActiveExchange | None = None
        self._request_written = False
        self._closed = False
        self.idle_since_s = 0.0
        """When the connection became idle, on the monotonic clock."""
        self.quarantined_until_s = 0.0
        """When the connection may be reused, on the monotonic clock."""

    @property
    def request_written(self) -> bool:
        """Whether the last byte of the current request has been passed to the kernel."""
        return self._request_written

    @property
    def usable(self) -> bool:
        """Whether the connection is open and has no unread input.

        If the endpoint has closed the connection, the pool is notified only some event loop turns later.
        """
        return (
            self._transport is not None
            and not self._transport.is_closing()
            and not has_unread_input(self._transport)
        )

    def mark_idle(self, quarantine_s: float) -> None:
        """Record that the connection is idle from now on, and must not be reused for `quarantine_s`."""
        self.idle_since_s = time.monotonic()
        self.quarantined_until_s = self.idle_since_s + quarantine_s

    def send(self, exchange: ActiveExchange) -> None:
        """Write the request of an exchange; the exchange is notified of the response or of a failure."""
        self._exchange = exchange
        self._request_written = False
        if self._transport is None or not self.usable:
            # Not at once: the caller is still starting the exchange.
            asyncio.get_running_loop().call_soon(self.fail)
            return
        self._transport.write(exchange.serialize())
        self._request_written = (
            not self._transport.is_closing() and not self._transport.get_write_buffer_size()
        )
        self._hold_memory()

    def _hold_memory(self) -> None:
        """Record what the connection holds: unsent data, and the parts of an incomplete response."""
        unsent_bytes = 0 if self._transport is None else self._transport.get_write_buffer_size()
        self._memory.hold(unsent_bytes + self._reader.held_bytes, self._memory_use)

    def reclaim_memory(self) -> None:
        """Free the memory of the connection at once; its exchange fails in the next event loop turn."""
        log.warning(
            "%s: over the memory of all connections, connection closed", self._memory_use.name.lower()
        )
        self._reader.close()
        self._abort_transport()
        # Not at once: the caller may still be starting the exchange.
        asyncio.get_running_loop().call_soon(self.fail)

    # -- asyncio.BufferedProtocol --

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, or abort it if the connection was closed while it was being established."""
        self._transport = cast(asyncio.Transport, transport)
        if self._closed:
            self._transport.abort()
        # With a high-water mark of 0, `resume_writing` is called when the last byte has been written.
        self._transport.set_write_buffer_limits(high=0)

    def resume_writing(self) -> None:
        """Record that the last byte of the request has been written."""
        self._request_written = True
        self._hold_memory()

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse the data, and finish the exchange if its response is complete."""
        response = self._reader.feed(data)
        exchange = self._exchange
        if exchange is None:
            self.fail()  # no request is in flight
        elif response is not None:
            self._finish_exchange(exchange, response)
        elif self._reader.error_status:
            if self._reader.error_status == CONTENT_TOO_LARGE:
                exchange.on_response_too_large()
            self.fail()
        else:
            exchange.extend_timeout(len(data))
            self._hold_memory()

    def _finish_exchange(self, exchange: ActiveExchange, response: Message) -> None:
        """Finish the exchange with its response, and keep the connection alive if nothing follows that.

        Bytes after a complete response do not invalidate it, but must not be read as the next response.
        """
        self._exchange = None
        self._hold_memory()
        followed = self._reader.message_started or self._reader.error_status
        if response.keep_alive and self._request_written and not followed:
            self._callbacks.on_idle(self, exchange.quarantine_s)
        else:
            self.close()
        exchange.finish(AttemptResult.OK, response)

    def eof_received(self) -> None:
        """Finish the exchange if its response has no length: it is complete with the end of the stream.

        A reset does not complete it. Any other exchange fails when the connection is lost, which is next.
        """
        response = self._reader.feed_eof()
        if response is not None and self._exchange is not None:
            self._finish_exchange(self._exchange, response)

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Close the connection, and fail the exchange that is waiting for its response."""
        self.fail()

    def fail(self) -> None:
        """Close the connection; the failure of its exchange depends on whether the request was written."""
        exchange = self._exchange
        self.close()
        if exchange is not None:
            # The endpoint can have run the request only if its last byte was written.
            sent = self._request_written
            exchange.finish(AttemptResult.RESET if sent else AttemptResult.CONNECT_FAILED)

    def close(self) -> None:
        """Close the connection at once; a response that arrives later is dropped."""
        self._exchange = None
        if not self._closed:
            self._closed = True
            self._callbacks.on_closed(self)
        self._reader.close()
        self._abort_transport()
        self._memory.release()

    def _abort_transport(self) -> None:
        """End the stream and the connection; unsent data is lost."""
        if self._transport is not None:
            # The transport closes its socket only in the next event loop turn. By then the request may have
            # been retried, with two copies on open connections: `write_eof` ends the stream at once.
            with contextlib.suppress(OSError):
                self._transport.write_eof()
            self._transport.abort()
