"""A fake endpoint on loopback, and its possible responses."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from tests.support.http_messages import HOST, ReceivedMessage, format_response, read_message

Writer = asyncio.StreamWriter
Responder = Callable[[ReceivedMessage, Writer], Awaitable[None]]


def respond_with(status: int, body: bytes = b"", *headers: str) -> Responder:
    """Return a responder that sends the same response to each request."""
    return respond_raw(format_response(status, body, *headers))


def respond_raw(data: bytes, *, close: bool = False) -> Responder:
    """Return a responder that sends these bytes, then closes the connection if `close` is set."""

    async def respond(_request: ReceivedMessage, writer: Writer) -> None:
        writer.write(data)
        if close:
            writer.close()

    return respond


async def never_respond(received: ReceivedMessage, writer: Writer) -> None:
    """Send no response, and keep the connection open."""


async def abort_connection(_request: ReceivedMessage, writer: Writer) -> None:
    """Abort the connection on which a request was received."""
    writer.transport.abort()


class FakeEndpoint:
    """A server that records the requests it receives; `respond` may be replaced at any time."""

    def __init__(self, respond: Responder) -> None:
        self.respond = respond
        self.requests: list[ReceivedMessage] = []
        self.opened_connections = 0
        self.closed_connections = 0
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> FakeEndpoint:
        """Listen on a free port; return the endpoint itself."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        self.opened_connections += 1
        try:
            while True:
                self.requests.append(await read_message(reader))
                await self.respond(self.requests[-1], writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.closed_connections += 1
            writer.close()

    def stop(self) -> None:
        """Stop listening; open connections stay."""
        if self._server is not None:
            self._server.close()
