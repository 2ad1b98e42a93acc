"""The listener for clients: admission and eviction of connections, their timeouts and graceful close."""

from __future__ import annotations

import asyncio
import logging
import socket

from loadbalancer.proxy import client_eviction
from loadbalancer.proxy.client_connection import ClientConnection, RequestHandler
from loadbalancer.proxy.client_timeouts import (
    FLUSH_TIMEOUT_S,
    KEEP_ALIVE_TIMEOUT_S,
    LINGERING_CLOSE_TIMEOUT_S,
    REQUEST_RECEIVE_TIMEOUT_S,
    TIMEOUT_CHECK_INTERVAL_S,
)
from loadbalancer.proxy.connection_table import ConnectionTable
from loadbalancer.proxy.http_status import REQUEST_TIMEOUT
from loadbalancer.proxy.memory_budget import MemoryBudget

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 1024

# Maximum number of connections accepted in one event loop turn.
MAX_ACCEPTS_PER_TURN = 16

# How long accepting is paused after the system had no file descriptor left.
ACCEPT_BACKOFF_S = 0.05

# Fraction of the connection limit; while more connections are open, each response closes its connection.
KEEP_ALIVE_MAX_OCCUPANCY = 0.6


class DownstreamServer:
    """Listens for clients, and limits the number of connections and the time that they spend in each state.

    There is one table for each state. A connection whose request is being handled is in none of them.
    """

    def __init__(self, handler: RequestHandler, max_connections: int, memory: MemoryBudget) -> None:
        """Set up the server; `listen` opens its port.

        Args:
            handler: Responds to the requests.
            max_connections: Maximum number of connections that are open at once.
            memory: The budget of what the connections hold.
        """
        self._handler = handler
        self._memory = memory
        self._max_connections = max_connections
        self._connections: set[ClientConnection] = set()
        self._idle = ConnectionTable()  # kept alive between requests
        self._awaiting_request = ConnectionTable()  # the first request is due, or one has started
        self._closing = ConnectionTable()  # closed with nothing left to write, or rejected
        self._flushing = ConnectionTable()  # closed, and part of a response is still to be written
        self._accept_tasks: set[asyncio.Task[object]] = set()
        self._socket: socket.socket | None = None
        self._accepting = False
        self._timeout_timer: asyncio.TimerHandle | None = None
        self.draining = False

    def listen(self, host: str, port: int) -> int:
        """Start to listen.

        Returns:
            The port, chosen by the system if `port` is 0.

        Raises:
            OSError: The port can't be opened.
        """
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)  # noqa: FBT003 - takes no keyword
        self._socket.bind((host, port))
        self._socket.listen(LISTEN_BACKLOG)
        self._resume_accepting()
        self._enforce_timeouts()
        return int(self._socket.getsockname()[1])

    @property
    def nearly_full(self) -> bool:
        """Whether so many connections are open that none is kept alive after a response."""
        return len(self._connections) > KEEP_ALIVE_MAX_OCCUPANCY * self._max_connections

    @property
    def flushing(self) -> bool:
        """Whether part of at least one response is still to be written."""
        return bool(self._flushing) or any(client.has_unsent_data for client in self._connections)

    # -- admission --

    def _resume_accepting(self) -> None:
        if self._socket is not None and not self._accepting:
            self._accepting = True
            asyncio.get_running_loop().add_reader(self._socket, self._accept)

    def _pause_accepting(self, duration_s: float | None = None) -> None:
        """Leave new connections in the listen backlog.

        Accepting resumes after `duration_s` if that is set, or as soon as a connection ends or becomes idle.
        """
        if self._socket is not None and self._accepting:
            self._accepting = False
            asyncio.get_running_loop().remove_reader(self._socket)
            if duration_s is not None:
                asyncio.get_running_loop().call_later(duration_s, self._resume_accepting)

    def _accept(self) -> bool:
        """Accept connections from the listen backlog as far as the connection limit allows.

        Returns:
            Whether the listen backlog was found empty.
        """
        assert self._socket is not None
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self._full and self._eviction_candidate() is None:
                self._pause_until_eviction()
                return False
            try:
                accepted, _ = self._socket.accept()
            except BlockingIOError:
                return True
            except (InterruptedError, ConnectionAbortedError):
                return False
            except OSError as error:  # no descriptor left; asyncio's own server would pause for 1 s
                log.warning("accept: %s", error)
                self._evict_one()
                self._pause_accepting(ACCEPT_BACKOFF_S)
                return False
            if self._full:
                self._evict_one()  # not before the accept: the listen backlog might have been empty
            self._start_connection(accepted)
        return False

    def _pause_until_eviction(self) -> None:
        """Pause accepting: briefly if a connection awaits a request, since it can be evicted soon.

        Otherwise the pause lasts until a connection ends or becomes idle.
        """
        self._pause_accepting(client_eviction.MIN_EVICTION_AGE_S if self._awaiting_request else None)

    @property
    def _full(self) -> bool:
        return len(self._connections) >= self._max_connections

    def _start_connection(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)  # noqa: FBT003 - takes no keyword
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = ClientConnection(self, self._handler, self._memory, accepted)
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
        except OSError:  # the client has disconnected
            accepted.close()
            self.remove(client)

    # -- eviction --

    def _eviction_candidate(self) -> ClientConnection | None:
        return client_eviction.eviction_candidate(self._closing, self._awaiting_request, self._idle)

    def _evict_one(self) -> bool:
        """Abort one connection at once, for a new one.

        Returns:
            Whether there was one that could be aborted.
        """
        client = self._eviction_candidate()
        if client is None:
            return False
        self.remove(client)
        client.abort()
        return True

    # -- states of the connections --

    def mark_busy(self, client: ClientConnection) -> None:
        """Record that a request of the client is being handled."""
        self._awaiting_request.discard(client)
        self._idle.discard(client)

    def mark_idle(self, client: ClientConnection) -> None:
        """Record that the connection is kept alive for the client's next request."""
        self._awaiting_request.discard(client)
        self._idle.add(client)
        self._resume_accepting()

    def mark_receiving(self, client: ClientConnection) -> None:
        """Record that a request has started, and that the rest is due."""
        if client in self._idle:  # for the first request, the timeout counts from the connect
            self._idle.discard(client)
            self._awaiting_request.add(client)

    def start_closing(self, client: ClientConnection, *, flushing: bool = False) -> None:
        """Record that the connection is closing; `flushing` if part of a response is still to be written."""
        self._awaiting_request.discard(client)
        self._idle.discard(client)
        if client in self._connections:
            (self._flushing if flushing else self._closing).add(client)

    def remove(self, client: ClientConnection) -> None:
        """Remove a connection that has ended, and resume accepting."""
        self._connections.discard(client)
        for table in (self._idle, self._awaiting_request, self._closing, self._flushing):
            table.discard(client)
        self._resume_accepting()

    # -- timeouts --

    def _enforce_timeouts(self) -> None:
        """Close the connections that have timed out, and schedule the next check."""
        for client in self._awaiting_request.closeable(REQUEST_RECEIVE_TIMEOUT_S):
            if client.request_started:
                client.reject(REQUEST_TIMEOUT)
            else:
                client.close()
        for client in self._idle.closeable(KEEP_ALIVE_TIMEOUT_S):
            client.close()
        self._abort_older_than(self._closing, LINGERING_CLOSE_TIMEOUT_S)
        self._abort_older_than(self._flushing, FLUSH_TIMEOUT_S)
        self._timeout_timer = asyncio.get_running_loop().call_later(
            TIMEOUT_CHECK_INTERVAL_S, self._enforce_timeouts
        )

    def _abort_older_than(self, table: ConnectionTable, max_age_s: float) -> None:
        while (client := table.oldest(max_age_s)) is not None:
            self.remove(client)
            client.abort()

    # -- shutdown --

    def start_draining(self) -> None:
        """From now on, close each connection with its next response."""
        self.draining = True

    def continue_shutdown(self) -> bool:
        """Take the next step of the graceful shutdown; called repeatedly.

        The listening socket is closed once the listen backlog is empty. Connections on which no request has
        started are closed, except those with unread data and new ones whose first request may be in transit.

        Returns:
            Whether the listener is closed and no connection is left that may still send a request.
        """
        if self._socket is not None and self._accept():
            self.stop_listening()
        awaiting = self._awaiting_request.closeable(client_eviction.MIN_EVICTION_AGE_S)
        for client in [*self._idle.closeable(), *awaiting]:
            if not client.request_started:
                client.close()
        return self._socket is None and not (self._idle or self._awaiting_request)

    def stop_listening(self) -> None:
        """Close the listening socket."""
        self._pause_accepting()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def close_all(self) -> None:
        """Stop listening and close all connections, when the process ends."""
        self.stop_listening()
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        for task in self._accept_tasks:
            task.cancel()
        for client in list(self._connections):
            client.close()
