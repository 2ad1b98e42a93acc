"""The subset of endpoints that a proxy uses, as chosen by `loadbalancer/policy/subsetting.py`."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import chain

from loadbalancer.state.hash_ring import RingKey


@dataclass(frozen=True, slots=True)
class Subset:
    """The endpoints that a proxy uses, as ring keys in the order of the ring."""

    assigned: list[RingKey]
    zone_reserve: list[RingKey]  # the next ones on the ring of the subset
    remote_reserve: list[RingKey]  # others, from the ring of all zones
    proxies_sharing: float  # proxies that have an assigned endpoint in their subset, about

    def __iter__(self) -> Iterator[RingKey]:
        return chain(self.assigned, self.zone_reserve, self.remote_reserve)
