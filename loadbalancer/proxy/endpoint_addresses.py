"""The addresses of the listed endpoints, and the connection pools to them."""

from __future__ import annotations

from collections.abc import Iterable

from loadbalancer.proxy.addresses import Address, PackedAddress, unpack_address
from loadbalancer.proxy.connection_pool import ConnectionLimits, ConnectionPool


class EndpointAddresses:
    """The address of each listed endpoint; a pool is retired when its endpoint moves, drains or is removed.

    An endpoint that drains stays listed with no address: it takes no new requests.
    """

    def __init__(self, limits: ConnectionLimits) -> None:
        self._limits = limits
        self.by_id: dict[int, PackedAddress | None] = {}

    def __len__(self) -> int:
        return len(self.by_id)

    def set(self, endpoint_id: int, address: PackedAddress | None) -> None:
        """Store an endpoint's address; None if it takes no new requests."""
        if self.by_id.get(endpoint_id, 0) == address:
            return
        self.by_id[endpoint_id] = address
        self._retire_pool(endpoint_id)

    def remove(self, endpoint_ids: Iterable[int]) -> None:
        """Forget endpoints that are no longer listed."""
        for endpoint_id in endpoint_ids:
            self.by_id.pop(endpoint_id, None)
            self._retire_pool(endpoint_id)

    def _retire_pool(self, endpoint_id: int) -> None:
        # What comes up later at the old address belongs to another endpoint.
        pool = self._limits.pools.pop(endpoint_id, None)
        if pool is not None:
            pool.retire()

    def connection_pool(self, endpoint_id: int) -> ConnectionPool | None:
        """Return the pool of an endpoint, made at its first use; None if it takes no new requests."""
        pool = self._limits.pools.get(endpoint_id)
        if pool is not None:
            return pool
        address = self.by_id.get(endpoint_id)
        if address is None:
            return None
        pool = ConnectionPool(self._limits, unpack_address(address))
        self._limits.pools[endpoint_id] = pool
        return pool

    def ready(self) -> dict[int, Address]:
        """Return the addresses of the endpoints that take new requests."""
        return {
            endpoint_id: unpack_address(packed)
            for endpoint_id, packed in self.by_id.items()
            if packed is not None
        }
