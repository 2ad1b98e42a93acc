"""The hash rings of the ready endpoints that one placement allows."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from loadbalancer.state.endpoint_attributes import IdentifiedAttributes
from loadbalancer.state.hash_ring import RingKey, mix64


@dataclass(slots=True, eq=False)
class Placement:
    """The ready endpoints that one placement allows, on hash rings: all of them, by zone, and by cell.

    A placement is the pair of zones and machine types that a request class is restricted to. The rings by
    zone and by cell are filled only if `index_zones` and `index_cells` are set.
    """

    allowed_zones: frozenset[str] | None  # None: all zones
    allowed_machine_types: frozenset[str] | None  # None: all machine types
    index_zones: bool = False
    index_cells: bool = False
    ring: SortedList[RingKey] = field(default_factory=SortedList)
    by_zone: dict[str, SortedList[RingKey]] = field(default_factory=lambda: defaultdict(SortedList))
    by_cell: dict[tuple[str, int], list[RingKey]] = field(default_factory=lambda: defaultdict(list))

    def allows(self, zone: str, machine_type: str) -> bool:
        """Return whether requests of this placement may be forwarded to a zone and machine type."""
        return (self.allowed_zones is None or zone in self.allowed_zones) and (
            self.allowed_machine_types is None or machine_type in self.allowed_machine_types
        )

    def remove(self, endpoints: Iterable[IdentifiedAttributes]) -> None:
        """Remove endpoints, given with the attributes with which they were added; skip those not allowed."""
        for endpoint_id, attributes in endpoints:
            if not self.allows(attributes.zone, attributes.machine_type):
                continue
            key = mix64(endpoint_id, 0)
            self.ring.remove(key)
            if self.index_zones:
                self.by_zone[attributes.zone].remove(key)
            if self.index_cells:
                self._remove_from_cell((attributes.zone, attributes.cell), key)

    def _remove_from_cell(self, cell: tuple[str, int], key: RingKey) -> None:
        keys = self.by_cell[cell]
        del keys[bisect_left(keys, key)]
        if not keys:
            del self.by_cell[cell]

    def add(self, endpoints: Iterable[IdentifiedAttributes]) -> None:
        """Add ready endpoints to the rings; skip those that the placement does not allow."""
        keys: list[RingKey] = []
        zones: dict[str, list[RingKey]] = defaultdict(list)
        for endpoint_id, attributes in endpoints:
            if not self.allows(attributes.zone, attributes.machine_type):
                continue
            key = mix64(endpoint_id, 0)
            keys.append(key)
            if self.index_zones:
                zones[attributes.zone].append(key)
            if self.index_cells:
                insort(self.by_cell[attributes.zone, attributes.cell], key)
        self.ring.update(keys)
        for zone, zone_keys in zones.items():
            self.by_zone[zone].update(zone_keys)

    def clear(self) -> None:
        """Empty all rings."""
        self.ring.clear()
        self.by_zone.clear()
        self.by_cell.clear()
