"""The subset of the ready endpoints that a proxy uses, and its reserve."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import chain

from loadbalancer.state.hash_ring import RingKey


@dataclass(frozen=True, slots=True)
class Subset:
    """The endpoints that a proxy uses, as ring keys in the order of the ring."""

    assigned: list[RingKey]
    zone_reserve: list[RingKey]  # the keys that follow the assigned ones on their ring
    remote_reserve: list[RingKey]  # further keys, from the ring of all zones
    sharing_proxies: float  # mean number of proxies that have a given assigned endpoint in their subset

    def __iter__(self) -> Iterator[RingKey]:
        return chain(self.assigned, self.zone_reserve, self.remote_reserve)
