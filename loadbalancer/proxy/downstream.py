"""TODO"""

from __future__ import annotations

import asyncio
import itertools
import logging
import socket
import time
from collections.abc import Iterator
from typing import Protocol, cast

from loadbalancer.proxy.http import Headers, Message, MessageReader, write_response
from loadbalancer.proxy.socket_state import CLOSED, UNREAD, socket_shows

log = logging.getLogger(__name__)
READY_PATH = b"/health/ready"
LISTEN_BACKLOG = 1024
MAX_ACCEPTS_PER_TURN = 16  # connections accepted before other work gets its turn
ACCEPT_BACKOFF_S = 0.05  # after the system had no descriptor to give
LINGERING_CLOSE_TIMEOUT_S = 0.5  # a client that was turned away may still read the answer for so long
LINGERING_CLOSE_MAX_BYTES = (
    256 * 1024
)  # and so much of what it goes on sending is read: unread input would reset the answer
FLUSH_TIMEOUT_S = 3.0  # and for the last bytes of a large answer to go out
REQUEST_RECEIVE_TIMEOUT_S = 2.25  # from connecting, or a request's first byte, to its last one
KEEP_ALIVE_TIMEOUT_S = 2.0  # between requests, the least that is promised: some keep theirs for good
KEEP_ALIVE_MAX_OCCUPANCY = 0.6  # of the places; while more are taken, answers end their connections
MIN_EVICTION_AGE_S = 0.05  # so young a connection makes no place for others: its request may be on the way
TIMEOUT_CHECK_INTERVAL_S = 0.1  # how often the times above are looked at


class RequestHandler(Protocol):
    """What answers the requests."""

    @property
    def ready(self) -> bool: ...

    def handle_request(self, client: ClientConnection, request: Message, received_ns: int) -> None: ...

    def handle_disconnect(self, client: ClientConnection) -> None: ...


class ClientConnection(asyncio.Protocol):
    """One client's connection: one request at a time. Sending one ahead of an answer ends it."""

    def __init__(self, server: DownstreamServer, service: RequestHandler) -> None:
        self._server = server
        self._service = service
        self._reader = MessageReader()
        self._current: Message | None = None
        self._ended = False
        self._discarded_bytes = 0  # bytes read since its end
        self._transport: asyncio.Transport | None = None
        self.entered_at = 0.0  # it has been in its place of the server's tables since then

    @property
    def busy(self) -> bool:
        return self._current is not None

    @property
    def has_disconnected(self) -> bool:
        """The client has ended its sending or broken the connection, whether that has been read or not."""
        return (
            self._transport is None or self._transport.is_closing() or socket_shows(self._transport, CLOSED)
        )

    @property
    def has_unread_data(self) -> bool:
        """Something lies in its socket that will be read as soon as the loop comes to it."""
        return (
            self._transport is not None
            and self._transport.is_reading()
            and socket_shows(self._transport, UNREAD)
        )

    @property
    def request_started(self) -> bool:
        """A request has begun to come."""
        return self._reader.message_started

    @property
    def has_unsent_data(self) -> bool:
        """Part of an answer is still to be written."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self._ended:  # it had to make place before it came up
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        if self._ended:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > LINGERING_CLOSE_MAX_BYTES and self._transport is not None:
                self._transport.pause_reading()
            return
        received, began = time.monotonic_ns(), self._reader.message_started
        requests = self._reader.feed(data)
        if self.busy:
            if (
                requests or self._reader.message_started or self._reader.error_status
            ):  # an empty line is none of these
                self._reject_pipelined()
        elif self._reader.error_status:
            self.reject(self._reader.error_status)
        elif len(requests) > 1 or (requests and self._reader.message_started):
            self.reject(400)
        elif requests:
            self._begin(requests[0], received)
        elif self._reader.message_started and not began:
            self._server.expect_request(self)

    def _reject_pipelined(self) -> None:
        """More came while a request is in hand: neither is served."""
        self._abandon_request()
        self.reject(400)

    def eof_received(self) -> None:
        """A client that ends its sending has gone away, though part of an earlier answer may still go out."""
        self._abandon_request()
        self.close()

    def connection_lost(self, error: Exception | None) -> None:
        self._ended = True
        self._server.remove(self)
        self._abandon_request()

    def _abandon_request(self) -> None:
        """Nobody waits for the current request any more."""
        if self.busy:
            self._current = None
            self._service.handle_disconnect(self)

    def pause_writing(self) -> None:
        """It does not read its answers: no more requests of it, and its time runs."""
        if self._transport is not None and not self._ended:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        if self._transport is not None and not self._ended:
            self._transport.resume_reading()

    def _begin(self, request: Message, received_ns: int) -> None:
        self._current = request
        self._server.update_idle(self)
        if request.target.partition(b"?")[0] == READY_PATH:
            self.respond(200 if self._service.ready else 503)
        else:
            self._service.handle_request(self, request, received_ns)

    def respond(self, status: int, headers: Headers = (), body: bytes | bytearray = b"") -> None:
        """The final answer of the current request."""
        if self._current is None or self._transport is None:
            return
        last = not self._current.keep_alive or self._server.draining or self._server.nearly_full
        self._current = None
        self._transport.write(write_response(status, headers, body, last))
        if last:
            self.close()
        else:
            self._server.update_idle(self)

    def reject(self, status: int) -> None:
        """Say what is wrong and end the connection."""
        if self._ended:
            return
        self._ended = True
        self._server.start_closing(self)
        if self._transport is None:
            return
        self._transport.write(write_response(status, (), b"", True))
        # Closing at once, with unread input, resets the connection: the answer would be lost on its way.
        if self._transport.can_write_eof():
            self._transport.write_eof()

    def close(self) -> None:
        """Close the connection between requests; what has been answered is still written, for a while."""
        self._ended = True
        self._server.start_closing(self, self.has_unsent_data)
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        self._ended = True
        if self._transport is not None:
            self._transport.abort()


class ConnectionTable:
    """Connections in the order in which they came to it."""

    def __init__(self) -> None:
        self._members: dict[ClientConnection, None] = {}

    def __iter__(self) -> Iterator[ClientConnection]:
        return iter(list(self._members))

    def __len__(self) -> int:
        return len(self._members)

    def __contains__(self, client: ClientConnection) -> bool:
        return client in self._members

    def add(self, client: ClientConnection) -> None:
        self._members.pop(client, None)
        client.entered_at = asyncio.get_running_loop().time()
        self._members[client] = None

    def discard(self, client: ClientConnection) -> None:
        self._members.pop(client, None)

    def oldest(self, age_s: float = 0.0) -> ClientConnection | None:
        """The first that came, if it has been here for so long."""
        client = next(iter(self._members), None)
        if client is None or asyncio.get_running_loop().time() - client.entered_at < age_s:
            return None
        return client

    def closeable(self, age_s: float = 0.0) -> Iterator[ClientConnection]:
        """Who has been here for so long and may be closed between requests, oldest first: what lies unread
        in a socket may be a request, which has been taken."""
        latest = asyncio.get_running_loop().time() - age_s
        return (
            c for c in itertools.takewhile(lambda c: c.entered_at <= latest, self) if not c.has_unread_data
        )


class DownstreamServer:
    """Listens, bounds the connections and the times that clients may take for what they owe."""

    def __init__(self, service: RequestHandler, capacity: int) -> None:
        self._service = service
        self._capacity = capacity
        self._connections: set[ClientConnection] = set()
        self._idle = ConnectionTable()  # between requests
        self._awaiting_request = (
            ConnectionTable()
        )  # a request of theirs is due: the first one, or one that has begun
        self._closing = ConnectionTable()  # closed or turned away, their last bytes still on the way
        self._flushing = ConnectionTable()  # closed, but a good part of an answer is still to be written
        self._accept_tasks: set[asyncio.Task[object]] = set()
        self._socket: socket.socket | None = None
        self._accepting = False
        self._timeout_timer: asyncio.TimerHandle | None = None
        self.draining = False

    def listen(self, host: str, port: int) -> int:
        """Start to listen; gives the port."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind((host, port))
        self._socket.listen(LISTEN_BACKLOG)
        self._resume_accepting()
        self._enforce_timeouts()
        return int(self._socket.getsockname()[1])

    def _enforce_timeouts(self) -> None:
        for client in self._awaiting_request.closeable(REQUEST_RECEIVE_TIMEOUT_S):
            if client.request_started:
                client.reject(408)
            else:
                client.close()
        for client in self._idle.closeable(KEEP_ALIVE_TIMEOUT_S):
            client.close()
        for table, limit_s in ((self._closing, LINGERING_CLOSE_TIMEOUT_S), (self._flushing, FLUSH_TIMEOUT_S)):
            while (late := table.oldest(limit_s)) is not None:
                self.remove(late)
                late.abort()
        self._timeout_timer = asyncio.get_running_loop().call_later(
            TIMEOUT_CHECK_INTERVAL_S, self._enforce_timeouts
        )

    def _resume_accepting(self) -> None:
        if self._socket is not None and not self._accepting:
            self._accepting = True
            asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _pause_accepting(self, for_s: float | None = None) -> None:
        if self._socket is not None and self._accepting:
            self._accepting = False
            asyncio.get_running_loop().remove_reader(self._socket)
            if for_s is not None:
                asyncio.get_running_loop().call_later(for_s, self._resume_accepting)

    def _accept(self) -> bool:
        """Take in who waits; has nobody been left?"""
        assert self._socket is not None
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if len(self._connections) >= self._capacity and self._eviction_candidate() is None:
                # Where all are busy, the first to end lets the next one in.
                self._pause_accepting(MIN_EVICTION_AGE_S if self._awaiting_request else None)
                return False
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError) as error:
                return isinstance(error, BlockingIOError)
            except OSError as error:  # no descriptor left: asyncio's own server would stop for a second
                log.warning("accept: %s", error)
                self._evict_one()
                self._pause_accepting(ACCEPT_BACKOFF_S)
                return False
            if len(self._connections) >= self._capacity:
                self._evict_one()  # not before one has come: it might be the last that came
            self._start_connection(accepted)
        return False

    def _eviction_candidate(self) -> ClientConnection | None:
        """Who makes place for a new one: first who is leaving, then who owes a request, then who is idle."""
        owing = self._closing.oldest() or next(self._awaiting_request.closeable(MIN_EVICTION_AGE_S), None)
        idle = next(self._idle.closeable(REQUEST_RECEIVE_TIMEOUT_S if self._awaiting_request else 0.0), None)
        return owing or (idle if idle is not None and not idle.has_unsent_data else None)

    def _start_connection(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = ClientConnection(self, self._service)
        self._connections.add(client)
        self._awaiting_request.add(client)
        task: asyncio.Task[object] = asyncio.get_running_loop().create_task(
            self._attach_transport(client, accepted)
        )
        self._accept_tasks.add(task)
        task.add_done_callback(self._accept_tasks.discard)

    async def _attach_transport(self, client: ClientConnection, accepted: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: client, accepted)
        except OSError:  # it has gone in the meantime
            accepted.close()
            self.remove(client)

    def update_idle(self, client: ClientConnection) -> None:
        """The connection has become busy or idle."""
        self._awaiting_request.discard(client)
        self._idle.discard(client)
        if not client.busy:
            self._idle.add(client)
            self._resume_accepting()

    def expect_request(self, client: ClientConnection) -> None:
        """A request has begun to come: the rest is due."""
        if client in self._idle:  # for the first request, the time runs from connecting
            self._idle.discard(client)
            self._awaiting_request.add(client)

    def start_closing(self, client: ClientConnection, flushing: bool = False) -> None:
        self._awaiting_request.discard(client)
        self._idle.discard(client)
        if client in self._connections:
            (self._flushing if flushing else self._closing).add(client)

    @property
    def nearly_full(self) -> bool:
        """So many connections are held that clients without one may find none."""
        return len(self._connections) > KEEP_ALIVE_MAX_OCCUPANCY * self._capacity

    @property
    def flushing(self) -> bool:
        return bool(self._flushing) or any(client.has_unsent_data for client in self._connections)

    def remove(self, client: ClientConnection) -> None:
        self._connections.discard(client)
        for table in (self._idle, self._awaiting_request, self._closing, self._flushing):
            table.discard(client)
        self._resume_accepting()

    def _evict_one(self) -> bool:
        """Make place for one connection at once."""
        client = self._eviction_candidate()
        if client is None:
            return False
        self.remove(client)
        client.abort()
        return True

    def continue_shutdown(self) -> bool:
        """Close to new clients once all that the system has accepted are taken in, and close connections on
        which no request has begun to come. Are none left of either?"""
        if self._socket is not None and self._accept():
            self.stop_listening()
        for client in [*self._idle.closeable(), *self._awaiting_request.closeable(MIN_EVICTION_AGE_S)]:
            if not client.request_started:
                client.close()
        return self._socket is None and not (self._idle or self._awaiting_request)

    def stop_listening(self) -> None:
        self._pause_accepting()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def abort(self) -> None:
        """Give up what is left, at the end of the process."""
        self.stop_listening()
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        for task in self._accept_tasks:
            task.cancel()
        for client in list(self._connections):
            client.close()
