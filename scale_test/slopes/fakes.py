"""Fake upstreams and a fake discovery service on loopback, and a client."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass

import orjson

from scale_test.http_messages import END_OF_HEAD, content_length, is_ok, ok_response
from scale_test.slopes.inputs import Json, endpoint_list

HOST = "127.0.0.1"

ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@dataclass(frozen=True)
class ListChange:
    """A version of the endpoint list, and the one host that changed in it."""

    version: int
    host: str


class FakeServices:
    """Fakes of discovery and of upstreams, which share one address; counts calls, bytes and connections."""

    def __init__(self, rows: Sequence[Json]) -> None:
        self.rows = {row["host"]: row for row in rows}
        self.version = 1
        self.discovery_bytes = 0  # total of calls to discovery and of its responses
        self.responses = 0  # number of discovery's responses
        self.watches = 0  # number of calls for changes after a version
        self.upstream_connections = 0  # connections that are open now
        self.upstream_delay_s = 0.0  # pause before each response of an upstream
        self._changes: list[ListChange] = []
        self._changed = asyncio.Event()

    def change(self, host: str, **fields: object) -> None:
        """Make a new version in which these fields of a host's row change, and respond to all watches."""
        self.version += 1
        self.rows[host] |= fields
        self._changes.append(ListChange(self.version, host))
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve_discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to a balancer's calls for the full list and to its watches."""
        async for head in read_heads(reader):
            query = head.split(b" ", 2)[1].decode().partition("?")[2]
            parameters = dict(part.split("=") for part in query.split("&") if part)
            after = int(parameters["after"]) if "after" in parameters else None
            if after is not None:
                self.watches += 1
                if after >= self.version:
                    with suppress(TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), int(parameters["wait_ms"]) / 1000)
            data = ok_response(orjson.dumps(self._list_after(after)))
            self.discovery_bytes += len(head) + len(data)
            self.responses += 1
            writer.write(data)

    def _list_after(self, after: int | None) -> Json:
        if after is None:
            return endpoint_list(list(self.rows.values()), self.version, full=True)
        hosts = dict.fromkeys(change.host for change in self._changes if change.version > after)
        return endpoint_list([self.rows[host] for host in hosts], self.version, full=False)

    async def serve_upstream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to requests as an upstream, each after `upstream_delay_s`."""
        self.upstream_connections += 1
        async for _ in read_heads(reader):
            await asyncio.sleep(self.upstream_delay_s)
            writer.write(ok_response(b"served"))
        self.upstream_connections -= 1


async def read_heads(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Yield the head of each request on a connection until it is closed; requests have no body."""
    with suppress(OSError, asyncio.IncompleteReadError):
        while True:
            yield await reader.readuntil(END_OF_HEAD)


def until_cancelled(handle: ConnectionHandler) -> ConnectionHandler:
    """Wrap a handler so that it ends without an error when its task is cancelled at the event loop's end."""

    async def handle_until_cancelled(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.CancelledError):
            await handle(reader, writer)
        writer.close()

    return handle_until_cancelled


class Client:
    """A client with one connection to the balancer."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(cls, port: int) -> Client:
        """Connect to the balancer on this port."""
        return cls(*await asyncio.open_connection(HOST, port))

    async def get(self, request_id: int) -> bool:
        """Send one request.

        Returns:
            Whether it was served.

        Raises:
            OSError: The connection was lost.
            asyncio.IncompleteReadError: The connection was closed before the end of the response.
        """
        self._writer.write(
            b"GET /c0 HTTP/1.1\r\nHost: h\r\nReq-Id: %d\r\nReq-Owner: t0\r\n"
            b"Req-Deadline-Ms: 5000\r\n\r\n" % request_id
        )
        head = await self._reader.readuntil(END_OF_HEAD)
        await self._reader.readexactly(content_length(head))
        return is_ok(head)
