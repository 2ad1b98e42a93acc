"""One client's connection: reads its requests, writes the answers, ends it in good order."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol, cast

from loadbalancer.proxy.http import Headers, Message, MessageReader, write_response
from loadbalancer.proxy.socket_state import has_peer_closed, has_unread_input
from loadbalancer.proxy.wire_names import READY_PATH

# Bytes read and discarded after a rejection: closing over unread input would reset the connection, and the
# client could lose the answer.
LINGERING_CLOSE_MAX_BYTES = 256 * 1024


class RequestHandler(Protocol):
    """Answers the requests of the clients."""

    @property
    def ready(self) -> bool:
        """Whether the readiness check is answered with 200."""

    def handle_request(self, client: ClientConnection, request: Message, received_ns: int) -> None:
        """Take a whole request whose last byte came at `received_ns`; `client.respond` answers it."""

    def handle_disconnect(self, client: ClientConnection) -> None:
        """Take note that nobody waits for the current request of the client any more."""


class ConnectionOwner(Protocol):
    """Holds the connections and bounds their number and their times."""

    draining: bool

    @property
    def nearly_full(self) -> bool:
        """Whether answers end their connections to leave room for other clients."""

    def mark_busy(self, client: ClientConnection) -> None:
        """A request of the client is being handled."""

    def mark_idle(self, client: ClientConnection) -> None:
        """The client has its answer, and the connection is kept alive."""

    def expect_request(self, client: ClientConnection) -> None:
        """The first part of a request has come: the rest is due."""

    def start_closing(self, client: ClientConnection, flushing: bool = False) -> None:
        """The connection is ending; `flushing` if part of an answer is still to be written."""

    def remove(self, client: ClientConnection) -> None:
        """The connection has ended."""


class ClientConnection(asyncio.Protocol):
    """A client's connection with one request at a time.

    Pipelining is not supported: a request that is sent ahead of the answer to an earlier one is rejected, and
    the connection ends.
    """

    def __init__(self, owner: ConnectionOwner, handler: RequestHandler) -> None:
        self._owner = owner
        self._handler = handler
        self._reader = MessageReader()
        self._current: Message | None = None
        self._ended = False
        self._discarded_bytes = 0
        self._transport: asyncio.Transport | None = None
        self.entered_at = 0.0
        """When it came to its present table of the server, by the loop's clock."""

    @property
    def busy(self) -> bool:
        """Whether a request of this client is being handled."""
        return self._current is not None

    @property
    def has_disconnected(self) -> bool:
        """Whether the client has ended its sending or broken the connection, read by the loop or not."""
        return self._transport is None or self._transport.is_closing() or has_peer_closed(self._transport)

    @property
    def has_unread_data(self) -> bool:
        """Whether its socket holds something that will be read as soon as the loop comes to it."""
        return (
            self._transport is not None and self._transport.is_reading() and has_unread_input(self._transport)
        )

    @property
    def request_started(self) -> bool:
        """Whether part of a request has come."""
        return self._reader.message_started

    @property
    def has_unsent_data(self) -> bool:
        """Whether part of an answer is still to be written."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    # -- asyncio.Protocol --

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, or abort it if the connection was evicted before it was set up."""
        self._transport = cast(asyncio.Transport, transport)
        if self._ended:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Read on, and handle a request that is whole."""
        if self._ended:
            self._discard(data)
            return
        received_ns = time.monotonic_ns()
        had_started = self._reader.message_started
        requests = self._reader.feed(data)
        if self.busy:
            # An empty line is none of these.
            if requests or self._reader.message_started or self._reader.error_status:
                self._reject_pipelined()
        elif self._reader.error_status:
            self.reject(self._reader.error_status)
        elif len(requests) > 1 or (requests and self._reader.message_started):
            self.reject(400)
        elif requests:
            self._handle(requests[0], received_ns)
        elif self._reader.message_started and not had_started:
            self._owner.expect_request(self)

    def eof_received(self) -> None:
        """Take the end of the client's sending for its leave, though part of an answer may still go out."""
        self._abandon_request()
        self.close()

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002 - asyncio.Protocol's signature
        """Leave the server's tables, and give up the current request."""
        self._ended = True
        self._owner.remove(self)
        self._abandon_request()

    def pause_writing(self) -> None:
        """Read no more requests of a client that does not read its answers."""
        if self._transport is not None and not self._ended:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Read requests again."""
        if self._transport is not None and not self._ended:
            self._transport.resume_reading()

    # -- requests and answers --

    def _handle(self, request: Message, received_ns: int) -> None:
        self._current = request
        self._owner.mark_busy(self)
        path = request.target.partition(b"?")[0]
        if path == READY_PATH:
            self.respond(200 if self._handler.ready else 503)
        else:
            self._handler.handle_request(self, request, received_ns)

    def respond(self, status: int, headers: Headers = (), body: bytes | bytearray = b"") -> None:
        """Send the final answer of the current request, if the client still waits for one."""
        if self._current is None or self._transport is None:
            return
        close = not self._current.keep_alive or self._owner.draining or self._owner.nearly_full
        self._current = None
        self._transport.write(write_response(status, headers, body, close))
        if close:
            self.close()
        else:
            self._owner.mark_idle(self)

    def _reject_pipelined(self) -> None:
        """Reject what came while a request is being handled, and give up that request, too."""
        self._abandon_request()
        self.reject(400)

    def _abandon_request(self) -> None:
        """Tell the handler that nobody waits for the current request any more."""
        if self.busy:
            self._current = None
            self._handler.handle_disconnect(self)

    # -- ends --

    def reject(self, status: int) -> None:
        """Answer with an error and end the connection by a lingering close."""
        if self._ended:
            return
        self._ended = True
        self._owner.start_closing(self)
        if self._transport is None:
            return
        self._transport.write(write_response(status, (), b"", True))
        # Closing at once, with unread input, resets the connection: the answer would be lost on its way.
        if self._transport.can_write_eof():
            self._transport.write_eof()

    def _discard(self, data: bytes) -> None:
        """Drop what a rejected client goes on sending, up to a limit."""
        self._discarded_bytes += len(data)
        if self._discarded_bytes > LINGERING_CLOSE_MAX_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def close(self) -> None:
        """Close the connection gracefully: what has been answered is still written, for a limited time."""
        self._ended = True
        self._owner.start_closing(self, self.has_unsent_data)
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._ended = True
        if self._transport is not None:
            self._transport.abort()
