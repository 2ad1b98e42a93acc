"""The addresses of the listed endpoints and their connection pools."""

from __future__ import annotations

from collections.abc import Iterable

from loadbalancer.proxy.addresses import Address, CompactAddress, expand_address
from loadbalancer.proxy.connection_pool import ConnectionLimits, ConnectionPool


class EndpointAddresses:
    """Addresses and pools by endpoint; a pool is retired when its endpoint moves, drains or is removed.

    A draining endpoint stays listed, but without an address: it accepts no new requests.
    """

    def __init__(self, limits: ConnectionLimits) -> None:
        self._limits = limits
        self.by_id: dict[int, CompactAddress | None] = {}
        self.pools: dict[int, ConnectionPool] = {}
        """By endpoint id, only for endpoints that were sent something recently."""

    def __len__(self) -> int:
        return len(self.by_id)

    def set(self, endpoint_id: int, address: CompactAddress | None) -> None:
        """Store an endpoint's address; None if it accepts no new requests."""
        if self.by_id.get(endpoint_id, 0) == address:
            return
        self.by_id[endpoint_id] = address
        self._retire_pool(endpoint_id)

    def remove(self, endpoint_ids: Iterable[int]) -> None:
        """Remove endpoints that are no longer listed."""
        for endpoint_id in endpoint_ids:
            self.by_id.pop(endpoint_id, None)
            self._retire_pool(endpoint_id)

    def _retire_pool(self, endpoint_id: int) -> None:
        # A server that later listens at the old address is a different endpoint.
        pool = self.pools.pop(endpoint_id, None)
        if pool is not None:
            pool.retire()

    def connection_pool(self, endpoint_id: int) -> ConnectionPool | None:
        """Return the pool of an endpoint, created on first use; None if it accepts no new requests."""
        pool = self.pools.get(endpoint_id)
        if pool is not None:
            return pool
        address = self.by_id.get(endpoint_id)
        if address is None:
            return None
        pool = ConnectionPool(self._limits, expand_address(address))
        self.pools[endpoint_id] = pool
        return pool

    def close_idle_connections(self, endpoint_id: int) -> None:
        """Close the idle connections to one endpoint."""
        pool = self.pools.get(endpoint_id)
        if pool is not None:
            pool.close_idle()

    def close_all_idle_connections(self) -> None:
        """Close the idle connections to all endpoints."""
        for pool in self.pools.values():
            pool.close_idle()

    def forget_empty_pools(self) -> None:
        """Delete pools without a connection, since endpoints come and go and only a few are in use."""
        empty = [endpoint_id for endpoint_id, pool in self.pools.items() if not pool.open_connections]
        for endpoint_id in empty:
            del self.pools[endpoint_id]

    def ready(self) -> dict[int, Address]:
        """Return the addresses of the endpoints that accept new requests."""
        return {
            endpoint_id: expand_address(address)
            for endpoint_id, address in self.by_id.items()
            if address is not None
        }
