"""Client connections ordered by how long they have been in one state."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from loadbalancer.proxy.client_connection import ClientConnection


class ConnectionTable:
    """Connections in one state, longest in it first; ages are in seconds of the event loop's clock."""

    def __init__(self) -> None:
        self._entered_at_s: dict[ClientConnection, float] = {}

    def __iter__(self) -> Iterator[ClientConnection]:
        """Iterate over a copy, since the table may change during the iteration."""
        return iter(list(self._entered_at_s))

    def __len__(self) -> int:
        return len(self._entered_at_s)

    def __contains__(self, client: ClientConnection) -> bool:
        return client in self._entered_at_s

    def add(self, client: ClientConnection) -> None:
        """Add the connection as the newest one, even if it is already in the table."""
        self._entered_at_s.pop(client, None)
        self._entered_at_s[client] = asyncio.get_running_loop().time()

    def discard(self, client: ClientConnection) -> None:
        """Remove the connection if it is in the table."""
        self._entered_at_s.pop(client, None)

    def oldest(self, min_age_s: float = 0.0) -> ClientConnection | None:
        """Return the oldest connection if it has been in the table for at least `min_age_s`, else None."""
        client = next(iter(self._entered_at_s), None)
        if client is None or asyncio.get_running_loop().time() - self._entered_at_s[client] < min_age_s:
            return None
        return client

    def closeable(self, min_age_s: float = 0.0) -> Iterator[ClientConnection]:
        """Yield connections that are at least `min_age_s` old and have no unread data, oldest first.

        Unread data may be a request that TCP has acknowledged; closing the connection would lose it.
        """
        latest_s = asyncio.get_running_loop().time() - min_age_s
        for client, entered_at_s in list(self._entered_at_s.items()):
            if entered_at_s > latest_s:
                return
            if not client.has_unread_data:
                yield client
