"""Clients' connections by the time at which they came to their present state."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterator

from loadbalancer.proxy.client_connection import ClientConnection


class ConnectionTable:
    """Connections in one state, oldest first."""

    def __init__(self) -> None:
        self._members: dict[ClientConnection, None] = {}

    def __iter__(self) -> Iterator[ClientConnection]:
        """Walk over a copy: the table may change meanwhile."""
        return iter(list(self._members))

    def __len__(self) -> int:
        return len(self._members)

    def __contains__(self, client: ClientConnection) -> bool:
        return client in self._members

    def add(self, client: ClientConnection) -> None:
        """Add the connection as the youngest one; one that is here already begins anew."""
        self._members.pop(client, None)
        client.entered_at = asyncio.get_running_loop().time()
        self._members[client] = None

    def discard(self, client: ClientConnection) -> None:
        """Remove the connection if it is here."""
        self._members.pop(client, None)

    def oldest(self, min_age_s: float = 0.0) -> ClientConnection | None:
        """Return the oldest connection, if it has been here for that long."""
        client = next(iter(self._members), None)
        if client is None or asyncio.get_running_loop().time() - client.entered_at < min_age_s:
            return None
        return client

    def closeable(self, min_age_s: float = 0.0) -> Iterator[ClientConnection]:
        """Yield those that have been here for that long and may be closed between requests, oldest first.

        What lies unread in a socket may be a request: TCP has acknowledged it, and a close would lose it.
        """
        latest = asyncio.get_running_loop().time() - min_age_s
        aged = itertools.takewhile(lambda client: client.entered_at <= latest, self)
        return (client for client in aged if not client.has_unread_data)
