"""Connections to upstream servers, kept alive between requests, and the limits that all pools share."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

from loadbalancer.proxy.addresses import Address
from loadbalancer.proxy.http import MAX_RESPONSE_BODY_BYTES
from loadbalancer.proxy.upstream import Connection, Exchange, ExchangeCallback

# Where the settings do not say how long an upstream keeps an idle connection.
DEFAULT_IDLE_TIMEOUT_S = 10.0

# Part of the upstream's idle time-out for which a connection is used again: later, the upstream's closing and
# the next request may cross.
IDLE_TIMEOUT_FRACTION = 0.8

# Each takes a place in the upstream's connection table, but a new connection costs it work and time.
MAX_IDLE_CONNECTIONS_PER_ENDPOINT = 8


@dataclass(slots=True, eq=False)
class ConnectionPool:
    """The connections to one address."""

    limits: ConnectionLimits
    address: Address
    accepts_requests: bool = True
    """Whether new requests may be sent there."""
    open_connections: int = 0
    """All connections, also those that are only coming up."""
    idle_connections: list[Connection] = field(default_factory=list)
    """Those between requests, the last used one last."""

    def start_exchange(
        self, data: bytes, timeout_s: float | None, done: ExchangeCallback, reserved_connections: int = 0
    ) -> Exchange:
        """Start an exchange whose request tells no remaining time, so that it may be built beforehand.

        Args:
            data: The request.
            timeout_s: After which it times out; None for never.
            done: Is called at the end, see `Exchange`.
            reserved_connections: Connections of the limit that it must leave to others.
        """
        exchange = Exchange(self, lambda: data, done, reserved_connections)
        end_s = None if timeout_s is None else asyncio.get_running_loop().time() + timeout_s
        exchange.start(end_s)
        return exchange

    def take_idle(self) -> Connection | None:
        """Take the last used connection out that can be used again; close those that no longer can."""
        self.limits.close_expired()
        now_s = time.monotonic()
        for connection in reversed(self.idle_connections.copy()):
            if connection.quarantined_until > now_s:
                continue
            self.remove_idle(connection)
            if connection.usable:
                return connection
            connection.close()
        return None

    def release(self, connection: Connection, quarantine_s: float) -> None:
        """Keep a connection alive for later requests, the first one after `quarantine_s`."""
        if not self.accepts_requests:
            connection.close()
            return
        connection.idle_since = time.monotonic()
        connection.quarantined_until = connection.idle_since + quarantine_s
        self.idle_connections.append(connection)
        self.limits.idle_connections[connection] = None
        if len(self.idle_connections) > MAX_IDLE_CONNECTIONS_PER_ENDPOINT:
            self.idle_connections[0].close()

    def remove_idle(self, connection: Connection) -> None:
        """Take the connection out of the idle ones, if it is one."""
        if connection in self.idle_connections:
            self.idle_connections.remove(connection)
            del self.limits.idle_connections[connection]

    def close_idle(self) -> None:
        """Close all idle connections, the last used one first."""
        while self.idle_connections:
            self.idle_connections[-1].close()

    def retire(self) -> None:
        """Send nothing new to this address, and keep no connection to it."""
        self.accepts_requests = False
        self.close_idle()


class ConnectionLimits:
    """The limits that all pools share, with the count of connections and the idle ones of all pools."""

    def __init__(
        self,
        max_connections: int,
        connect_timeout_s: float,
        upstream_idle_timeout_s: float,
        max_response_body: int = MAX_RESPONSE_BODY_BYTES,
        min_response_rate: float = 0.0,
    ) -> None:
        """Set the limits.

        Args:
            max_connections: Of all pools together.
            connect_timeout_s: For a connection to come up.
            upstream_idle_timeout_s: After which upstreams close an idle connection; 0 if that is unknown.
            max_response_body: In bytes.
            min_response_rate: Each byte of a response puts its time-out off by the inverse of this rate, in
                bytes a second; 0 lets the time-out stand.
        """
        self.max_connections = max_connections
        self.connect_timeout_s = connect_timeout_s
        self.idle_timeout_s = upstream_idle_timeout_s * IDLE_TIMEOUT_FRACTION or DEFAULT_IDLE_TIMEOUT_S
        self.max_response_body = max_response_body
        self.min_response_rate = min_response_rate
        self.open_connections = 0
        """All connections, also those that are only coming up."""
        self.pools: dict[int, ConnectionPool] = {}
        """By endpoint, for those that have been sent something of late."""
        self.idle_connections: dict[Connection, None] = {}
        """Of all pools, the one that has been idle for longest first."""

    def make_room(self, reserved: int = 0) -> bool:
        """Return whether one more connection may be opened, short of so many reserved ones.

        Where the limit is reached, the connection that has been idle for longest is closed.
        """
        if self.open_connections < self.max_connections - reserved:
            return True
        oldest = next(iter(self.idle_connections), None)
        if oldest is None:
            return False
        oldest.close()
        return True

    def close_expired(self) -> None:
        """Close the connections that have been idle for so long that their upstreams may be closing them."""
        latest = time.monotonic() - self.idle_timeout_s
        while self.idle_connections:
            oldest = next(iter(self.idle_connections))
            if oldest.idle_since >= latest:
                return
            oldest.close()

    def forget_empty_pools(self) -> None:
        """Forget the pools without a connection: upstreams come and go, and only a few are in use."""
        empty = [endpoint_id for endpoint_id, pool in self.pools.items() if not pool.open_connections]
        for endpoint_id in empty:
            del self.pools[endpoint_id]
