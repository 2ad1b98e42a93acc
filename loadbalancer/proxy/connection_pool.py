"""Pools of connections that are kept alive between exchanges, and the limits that the pools share."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from loadbalancer.proxy.addresses import Address
from loadbalancer.proxy.endpoint_connection import EndpointConnection
from loadbalancer.proxy.http import MAX_RESPONSE_BODY_BYTES

# Where the settings do not say how long an endpoint keeps an idle connection.
DEFAULT_IDLE_TIMEOUT_S = 10.0

# Part of the endpoint's idle timeout for which a connection is reused: later, the endpoint's close and the
# next request may cross.
IDLE_TIMEOUT_FRACTION = 0.8

# Each occupies the endpoint's connection table, but a new connection costs the endpoint work and time.
MAX_IDLE_CONNECTIONS_PER_ENDPOINT = 8


class ConnectionLimits:
    """The limits that several pools share, the number of their open connections and the idle ones."""

    def __init__(
        self,
        max_connections: int,
        connect_timeout_s: float,
        endpoint_idle_timeout_s: float,
        max_response_body_bytes: int = MAX_RESPONSE_BODY_BYTES,
        min_response_bytes_per_s: float = 0.0,
    ) -> None:
        """Set the limits.

        Args:
            max_connections: Of all pools together.
            connect_timeout_s: For a connection to be established.
            endpoint_idle_timeout_s: After which endpoints close an idle connection; 0 if that is unknown.
            max_response_body_bytes: Of one response.
            min_response_bytes_per_s: Each byte of a response extends its timeout by the inverse of this rate;
                0 leaves the timeout as it is.
        """
        self.max_connections = max_connections
        self.connect_timeout_s = connect_timeout_s
        self.idle_timeout_s = endpoint_idle_timeout_s * IDLE_TIMEOUT_FRACTION or DEFAULT_IDLE_TIMEOUT_S
        self.max_response_body_bytes = max_response_body_bytes
        self.min_response_bytes_per_s = min_response_bytes_per_s
        self.open_connections = 0
        """All connections, including those that are being established."""
        self.idle_connections: dict[EndpointConnection, None] = {}
        """Of all pools, the one that has been idle for longest first."""

    def reserve_connection(self, reserved_for_others: int = 0) -> bool:
        """Count one more open connection, if the limit less `reserved_for_others` allows it.

        Where the limit is reached, the connection that has been idle for longest is closed.

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
        """Count one open connection less."""
        self.open_connections -= 1

    def add_idle(self, connection: EndpointConnection) -> None:
        """Add a connection that is idle from now on."""
        self.idle_connections[connection] = None

    def remove_idle(self, connection: EndpointConnection) -> None:
        """Remove a connection that is idle no longer.

        Raises:
            KeyError: The connection was not idle.
        """
        del self.idle_connections[connection]

    def close_expired(self) -> None:
        """Close the connections that have been idle for so long that their endpoints may be closing them."""
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
    """Whether new requests may be sent there."""
    open_connections: int = 0
    """All connections, including those that are being established."""
    idle_connections: list[EndpointConnection] = field(default_factory=list)
    """Those between exchanges, the last used one last."""

    def take_idle(self) -> EndpointConnection | None:
        """Remove and return the last used connection that can be reused; close those that no longer can."""
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
        """Return a connection to be established, which counts as open; None if the limit is reached.

        Args:
            reserved_for_others: Connections of the limit that must remain.
        """
        if not self.limits.reserve_connection(reserved_for_others):
            return None
        self.open_connections += 1
        return EndpointConnection(self, self.limits.max_response_body_bytes)

    def on_idle(self, connection: EndpointConnection, quarantine_s: float) -> None:
        """Keep a connection alive for later requests, the first one after `quarantine_s`."""
        if not self.accepts_requests:
            connection.close()
            return
        connection.mark_idle(quarantine_s)
        self.idle_connections.append(connection)
        self.limits.add_idle(connection)
        if len(self.idle_connections) > MAX_IDLE_CONNECTIONS_PER_ENDPOINT:
            self.idle_connections[0].close()

    def on_closed(self, connection: EndpointConnection) -> None:
        """Remove a connection that is closed."""
        self._remove_idle(connection)
        self.open_connections -= 1
        self.limits.record_closed()

    def _remove_idle(self, connection: EndpointConnection) -> None:
        if connection in self.idle_connections:
            self.idle_connections.remove(connection)
            self.limits.remove_idle(connection)

    def close_idle(self) -> None:
        """Close all idle connections, the last used one first."""
        while self.idle_connections:
            self.idle_connections[-1].close()

    def retire(self) -> None:
        """Send nothing new to this address, and keep no connection to it."""
        self.accepts_requests = False
        self.close_idle()
