"""Connections to upstreams, kept between uses, and the limits that all of them share."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

from loadbalancer.proxy.addresses import Address
from loadbalancer.proxy.http import MAX_RESPONSE_BODY_BYTES
from loadbalancer.proxy.upstream import Connection, Exchange, ExchangeCallback

DEFAULT_IDLE_TIMEOUT_S = 10.0  # where the settings do not say how long an upstream keeps a connection
IDLE_TIMEOUT_FRACTION = 0.8  # of that time; later, closing and the next request may cross
MAX_IDLE_CONNECTIONS_PER_ENDPOINT = (
    8  # to one upstream: each takes a place in its table, but a new one costs it work and time
)


@dataclass(slots=True, eq=False)
class ConnectionPool:
    """The connections to one address; those between uses, the last used one last."""

    limits: ConnectionLimits
    address: Address
    accepts_requests: bool = True  # it may be sent something new
    open_connections: int = 0  # connections, also those that are only coming up
    idle_connections: list[Connection] = field(default_factory=list)

    def start_exchange(
        self, data: bytes, timeout_s: float | None, done: ExchangeCallback, reserved_connections: int = 0
    ) -> Exchange:
        """Begin an exchange whose request tells no time left, so that it may be built beforehand."""
        exchange = Exchange(self, lambda: data, done, reserved_connections)
        exchange.start(None if timeout_s is None else asyncio.get_running_loop().time() + timeout_s)
        return exchange

    def take_idle(self) -> Connection | None:
        self.limits.close_expired()
        now = time.monotonic()
        for connection in reversed(self.idle_connections.copy()):
            if connection.quarantined_until <= now:
                self.remove_idle(connection)
                if connection.usable:
                    return connection
                connection.close()
        return None

    def release(self, connection: Connection, quarantine_s: float) -> None:
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
        if connection in self.idle_connections:
            self.idle_connections.remove(connection)
            del self.limits.idle_connections[connection]

    def close_idle(self) -> None:
        while self.idle_connections:
            self.idle_connections[-1].close()

    def retire(self) -> None:
        """Nothing new goes to this address, and no connection to it is kept."""
        self.accepts_requests = False
        self.close_idle()


class ConnectionLimits:
    """What all pools share: the limits, and the count of connections."""

    def __init__(
        self,
        max_connections: int,
        connect_timeout_s: float,
        upstream_idle_timeout_s: float,
        max_response_body: int = MAX_RESPONSE_BODY_BYTES,
        min_response_rate: float = 0.0,
    ) -> None:
        self.min_response_rate = (
            min_response_rate  # bytes a second of an answer that put off its time-out; 0: it stands
        )
        self.max_connections = max_connections
        self.connect_timeout_s = connect_timeout_s
        self.idle_timeout_s = upstream_idle_timeout_s * IDLE_TIMEOUT_FRACTION or DEFAULT_IDLE_TIMEOUT_S
        self.max_response_body = max_response_body
        self.open_connections = 0  # connections, also those that are only coming up
        self.pools: dict[int, ConnectionPool] = {}  # of the upstreams that have been sent something of late
        self.idle_connections: dict[Connection, None] = {}  # of all pools, the longest so first

    def reserve_connection(self, reserved: int = 0) -> bool:
        """Is there room for one more connection? An idle one is given up for it."""
        if self.open_connections < self.max_connections - reserved:
            return True
        oldest = next(iter(self.idle_connections), None)
        if oldest is not None:
            oldest.close()
        return oldest is not None

    def close_expired(self) -> None:
        """Close what has been idle for so long that its upstream may be closing it too."""
        latest = time.monotonic() - self.idle_timeout_s
        while self.idle_connections and next(iter(self.idle_connections)).idle_since < latest:
            next(iter(self.idle_connections)).close()

    def forget_empty_pools(self) -> None:
        """Keep no pool without a connection: upstreams come and go, and only a few are in use."""
        for number in [number for number, pool in self.pools.items() if not pool.open_connections]:
            del self.pools[number]
