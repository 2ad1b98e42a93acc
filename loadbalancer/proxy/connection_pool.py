"""Connection pools, which keep connections alive between exchanges, and the limits that pools share."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from loadbalancer.proxy.addresses import Address
from loadbalancer.proxy.endpoint_connection import EndpointConnection
from loadbalancer.proxy.memory_budget import MemoryBudget, MemoryUse
from loadbalancer.proxy.message_reader import MAX_RESPONSE_BODY_BYTES

# Used where the settings do not say after what time endpoints close idle connections.
DEFAULT_IDLE_TIMEOUT_S = 10.0

# A connection is reused only within this fraction of the endpoint's idle timeout: near its end, the endpoint
# may close the connection while a request is on its way.
IDLE_TIMEOUT_FRACTION = 0.8

# Each idle connection takes up room in the endpoint's connection table, but a new connection costs the
# endpoint work and time.
MAX_IDLE_CONNECTIONS_PER_ENDPOINT = 8


class ConnectionLimits:
    """Limits that several pools share, with the count of their open connections and the idle ones."""

    def __init__(
        self,
        max_connections: int,
        connect_timeout_s: float,
        endpoint_idle_timeout_s: float,
        memory: MemoryBudget,
        memory_use: MemoryUse = MemoryUse.ATTEMPT,
        max_response_body_bytes: int = MAX_RESPONSE_BODY_BYTES,
        min_response_bytes_per_s: float = 0.0,
    ) -> None:
        """Set the limits.

        Args:
            max_connections: Limit on the open connections of all pools together.
            connect_timeout_s: How long establishing a connection may take.
            endpoint_idle_timeout_s: Time after which endpoints close an idle connection; 0 if unknown.
            memory: The budget of what the connections hold.
            memory_use: What the connections hold memory for.
            max_response_body_bytes: Size limit of a response body.
            min_response_bytes_per_s: Received bytes of a response extend its timeout by the time that they
                take at this rate; 0 leaves the timeout unchanged.
        """
        self.max_connections = max_connections
        self.connect_timeout_s = connect_timeout_s
        self.idle_timeout_s = endpoint_idle_timeout_s * IDLE_TIMEOUT_FRACTION or DEFAULT_IDLE_TIMEOUT_S
        self.memory = memory
        self.memory_use = memory_use
        self.max_response_body_bytes = max_response_body_bytes
        self.min_response_bytes_per_s = min_response_bytes_per_s
        self.open_connections = 0
        """Connections of all pools, including those being established."""
        self.idle_connections: dict[EndpointConnection, None] = {}
        """Idle connections of all pools, longest idle first."""

    def reserve_connection(self, reserved_for_others: int = 0) -> bool:
        """Count one more open connection, if the limit minus `reserved_for_others` allows it.

        If that limit is reached, the connection that has been idle for longest is closed to make room.

        Returns:
            Whether the connection may be opened.
        """
        if self.open_connections >= self.max_connections - reserved_for_others:
            oldest = next(iter(self.idle_connections), None)
            if oldest is None:
                return False
            oldest.close()
        self.open_connections += 1
        return True

    def record_closed(self) -> None:
        """Count one open connection fewer."""
        self.open_connections -= 1

    def add_idle(self, connection: EndpointConnection) -> None:
        """Add a connection that has become idle."""
        self.idle_connections[connection] = None

    def remove_idle(self, connection: EndpointConnection) -> None:
        """Remove a connection that is no longer idle.

        Raises:
            KeyError: The connection was not idle.
        """
        del self.idle_connections[connection]

    def close_expired(self) -> None:
        """Close connections that have been idle for so long that their endpoints may soon close them."""
        oldest_allowed_s = time.monotonic() - self.idle_timeout_s
        while self.idle_connections:
            oldest = next(iter(self.idle_connections))
            if oldest.idle_since_s >= oldest_allowed_s:
                return
            oldest.close()


@dataclass(slots=True, eq=False)
class ConnectionPool:
    """The connections to one address."""

    limits: ConnectionLimits
    address: Address
    accepts_requests: bool = True
    """Whether new requests may be sent to the address."""
    open_connections: int = 0
    """Connections of this pool, including those being established."""
    idle_connections: list[EndpointConnection] = field(default_factory=list)
    """Connections between exchanges, the most recently used one last."""

    def take_idle(self) -> EndpointConnection | None:
        """Return the most recently used idle connection that may be reused, which is then no longer idle.

        Connections in quarantine are skipped, and unusable ones are closed.
        """
        self.limits.close_expired()
        now_s = time.monotonic()
        for connection in reversed(self.idle_connections.copy()):
            if connection.quarantined_until_s > now_s:
                continue
            self._remove_idle(connection)
            if connection.usable:
                return connection
            connection.close()
        return None

    def reserve_connection(self, reserved_for_others: int = 0) -> EndpointConnection | None:
        """Return a connection yet to be established, counted as open; None if the limit is reached.

        Args:
            reserved_for_others: How many connections of the limit must stay available to others.
        """
        if not self.limits.reserve_connection(reserved_for_others):
            return None
        self.open_connections += 1
        limits = self.limits
        return EndpointConnection(self, limits.max_response_body_bytes, limits.memory, limits.memory_use)

    def on_idle(self, connection: EndpointConnection, quarantine_s: float) -> None:
        """Keep a connection alive for requests after `quarantine_s`; close it if the pool accepts none."""
        if not self.accepts_requests:
            connection.close()
            return
        connection.mark_idle(quarantine_s)
        self.idle_connections.append(connection)
        self.limits.add_idle(connection)
        if len(self.idle_connections) > MAX_IDLE_CONNECTIONS_PER_ENDPOINT:
            self.idle_connections[0].close()

    def on_closed(self, connection: EndpointConnection) -> None:
        """Remove a connection that has been closed."""
        self._remove_idle(connection)
        self.open_connections -= 1
        self.limits.record_closed()

    def _remove_idle(self, connection: EndpointConnection) -> None:
        if connection in self.idle_connections:
            self.idle_connections.remove(connection)
            self.limits.remove_idle(connection)

    def close_idle(self) -> None:
        """Close all idle connections, the most recently used one first."""
        while self.idle_connections:
            self.idle_connections[-1].close()

    def retire(self) -> None:
        """Accept no new requests, and close each connection once it is idle."""
        self.accepts_requests = False
        self.close_idle()
