"""A client's connection: reads requests, writes responses, and closes without losing either."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
import time
from typing import Protocol, cast

from loadbalancer.proxy.http import Headers, Message, write_response
from loadbalancer.proxy.http_status import BAD_REQUEST, OK, SERVICE_UNAVAILABLE
from loadbalancer.proxy.memory_budget import MemoryBudget, MemoryUse
from loadbalancer.proxy.message_reader import MessageReader
from loadbalancer.proxy.receive_buffer import SharedBufferProtocol
from loadbalancer.proxy.request_validation import TOO_MANY_PENDING
from loadbalancer.proxy.socket_state import has_peer_closed, has_unread_input, has_unread_message
from loadbalancer.proxy.wire_names import READY_PATH

log = logging.getLogger(__name__)

# Limit on the bytes that are read and discarded after a rejection. Closing a socket with unread data resets
# the connection, and the client could lose the response.
LINGERING_CLOSE_MAX_BYTES = 256 * 1024


class RequestHandler(Protocol):
    """Responds to the requests of the clients."""

    @property
    def ready(self) -> bool:
        """Whether the response to a readiness check is 200."""

    def handle_request(self, client: ClientConnection, request: Message, received_ns: int) -> None:
        """Handle a request whose last byte was read at `received_ns`, and call `client.respond` for it."""

    def handle_disconnect(self, client: ClientConnection) -> None:
        """Handle the disconnect of a client whose request is being handled."""


class ConnectionOwner(Protocol):
    """Holds the connections, and limits their number and the time that they spend in each state."""

    draining: bool

    @property
    def nearly_full(self) -> bool:
        """Whether the connection limit is so near that each response closes its connection."""

    def mark_busy(self, client: ClientConnection) -> None:
        """Record that a request of the client is being handled."""

    def mark_idle(self, client: ClientConnection) -> None:
        """Record that the connection is kept alive after a response, of which part may still be unsent."""

    def mark_receiving(self, client: ClientConnection) -> None:
        """Record that the first part of a request has been received, and that the rest is due."""

    def start_closing(self, client: ClientConnection, *, flushing: bool = False) -> None:
        """Record that the connection is closing; `flushing` if part of a response is still to be written."""

    def remove(self, client: ClientConnection) -> None:
        """Remove a connection that is lost."""


class ClientConnection(SharedBufferProtocol):
    """A client's connection, which carries one request at a time.

    Pipelining is not supported: if a request is sent before the response to an earlier one, both are dropped,
    and the connection is closed after one error response.
    """

    def __init__(
        self,
        owner: ConnectionOwner,
        handler: RequestHandler,
        memory: MemoryBudget,
        accepted: socket.socket,
    ) -> None:
        self._owner = owner
        self._socket = accepted  # the transport owns it
        self._handler = handler
        self._memory = memory.open_account(self)
        self._reader = MessageReader()
        self._current_request: Message | None = None
        self._ended = False
        self._discarded_bytes = 0
        self._transport: asyncio.Transport | None = None

    @property
    def busy(self) -> bool:
        """Whether a request of this client is being handled."""
        return self._current_request is not None

    @property
    def has_disconnected(self) -> bool:
        """Whether the client has closed, half-closed or reset the connection, as far as the kernel knows."""
        return self._transport is None or self._transport.is_closing() or has_peer_closed(self._transport)

    @property
    def has_unread_data(self) -> bool:
        """Whether the event loop has not yet read all input of the socket; False while reading is paused."""
        return (
            self._transport is not None and self._transport.is_reading() and has_unread_input(self._transport)
        )

    @property
    def has_pipelined_data(self) -> bool:
        """Whether the client has sent more after its current request, which the event loop has not read yet.

        If there is much of it, the kernel can't tell whether the client has disconnected behind it.
        """
        return self.busy and self.has_unread_data and has_unread_message(self._socket)

    @property
    def request_started(self) -> bool:
        """Whether a request has been received in part."""
        return self._reader.message_started

    @property
    def has_unsent_data(self) -> bool:
        """Whether part of a response is still to be written."""
        return self._unsent_bytes > 0

    @property
    def _unsent_bytes(self) -> int:
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    # -- asyncio.BufferedProtocol --

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, or abort it if the connection was closed before it was established."""
        self._transport = cast(asyncio.Transport, transport)
        if self._ended:
            self._transport.abort()

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse the data, and handle the request once it is complete."""
        if self._ended:
            self._discard(data)
            return
        received_ns = time.monotonic_ns()
        had_started = self._reader.message_started
        request = self._reader.feed(data)
        if self.busy:
            # Anything but an empty line is the start of another request.
            if request or self._reader.message_started or self._reader.error_status:
                self.reject_pipelined()
        elif self._reader.error_status:
            self.reject(self._reader.error_status)
        elif request:
            self._handle(request, received_ns)
        elif self._reader.message_started:
            if not had_started:
                self._owner.mark_receiving(self)
            # May reject this request.
            self._memory.hold(self._reader.held_bytes, MemoryUse.PARTIAL_REQUEST)

    def eof_received(self) -> None:
        """Treat a half-close as a disconnect; a response that is being written is completed."""
        self._abandon_request()
        self.close()

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Remove the connection from its owner, and abandon the current request."""
        self._end()
        self._owner.remove(self)
        self._abandon_request()

    def pause_writing(self) -> None:
        """Stop reading requests from a client that does not read its responses."""
        if self._transport is not None and not self._ended:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading requests: only little of the responses is still unsent."""
        if not self.busy:
            self._hold_unsent()
        if self._transport is not None and not self._ended:
            self._transport.resume_reading()

    # -- requests and responses --

    def _handle(self, request: Message, received_ns: int) -> None:
        self._current_request = request
        self._owner.mark_busy(self)
        path = request.target.partition(b"?")[0]
        if path == READY_PATH:
            self.respond(OK if self._handler.ready else SERVICE_UNAVAILABLE)
        elif self._memory.try_pin(request.held_bytes):
            self._handler.handle_request(self, request, received_ns)
        else:
            self.respond(TOO_MANY_PENDING.status, TOO_MANY_PENDING.headers)

    def respond(self, status: int, headers: Headers = (), body: bytes | bytearray = b"") -> None:
        """Send the final response to the current request, if there still is one."""
        if self._current_request is None or self._transport is None:
            return
        close = not self._current_request.keep_alive or self._owner.draining or self._owner.nearly_full
        self._current_request = None
        self._memory.release()
        self._transport.write(write_response(status, headers, body, close=close))
        if close:
            self.close()
        else:
            self._owner.mark_idle(self)
            self._hold_unsent()

    def reject_pipelined(self) -> None:
        """Abandon the current request, and reject the one that was sent before the response to it."""
        self._abandon_request()
        self.reject(BAD_REQUEST)

    def _abandon_request(self) -> None:
        """Notify the handler that the client no longer waits for the current request."""
        if self.busy:
            self._current_request = None
            self._memory.release()
            self._handler.handle_disconnect(self)

    # -- close --

    def _end(self) -> None:
        """Handle no further request, and free the parts of one that is incomplete."""
        self._ended = True
        self._reader.close()
        if not self.busy:
            self._hold_unsent()

    def _hold_unsent(self) -> None:
        """Record that the connection holds no more than what is unsent of its responses.

        The transport does not tell when a small rest has been sent, so the record may be out of date.
        """
        self._memory.hold(self._unsent_bytes, MemoryUse.UNSENT_RESPONSE)

    def reclaim_memory(self) -> None:
        """Give up what the connection holds: unsent data, or else a request that is incomplete."""
        if self.has_unsent_data:
            log.warning("client: over the memory of all connections, %d bytes unsent", self._unsent_bytes)
            self.abort()
        elif self._reader.message_started:
            log.warning("client: over the memory of all connections, incomplete request rejected")
            self.reject(SERVICE_UNAVAILABLE)

    def reject(self, status: int) -> None:
        """Respond with an error, and close the connection with a lingering close."""
        if self._ended:
            return
        self._end()
        self._owner.start_closing(self)
        if self._transport is None:
            return
        self._transport.write(write_response(status, (), b"", close=True))
        # Only half-closed, so that the client can read the response, see LINGERING_CLOSE_MAX_BYTES.
        with contextlib.suppress(OSError):  # the client has reset the connection
            self._transport.write_eof()

    def _discard(self, data: bytes | memoryview) -> None:
        """Discard what a rejected client continues to send, and stop reading at a limit."""
        self._discarded_bytes += len(data)
        if self._discarded_bytes > LINGERING_CLOSE_MAX_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def close(self) -> None:
        """Close the connection gracefully: buffered response data is still sent, for a limited time."""
        self._end()
        self._owner.start_closing(self, flushing=self.has_unsent_data)
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once; unsent data is lost."""
        if self._transport is not None:
            self._transport.abort()
        self._end()
