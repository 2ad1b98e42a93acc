"""Every endpoint of the list, stored compactly, and the hash rings of those that are ready.

The table stores the attributes of each endpoint, and for each ready one a key on the ring of every placement
that admits it. An update costs in proportion to what changed, and no structure that is read often grows with
the length of the list. Only this proxy's subset and reserve (`loadbalancer/policy/subsetting.py`) are kept
as full endpoint states.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from sortedcontainers import SortedList

from loadbalancer.messages import Endpoint, EndpointStatus
from loadbalancer.settings import DeduplicationScope, Settings
from loadbalancer.state.hash_ring import RingKey, mix64, ring_slice, unmix64

# Endpoints that are known in full beside the subset: they replace its losses, and serve keyed retries.
RESERVE_SIZE = 256


class EndpointAttributes(NamedTuple):
    """The fields of an `Endpoint` but for its id, in the same order.

    Endpoints with equal attributes share one object: in a list of 160,000 most differ by their id alone.
    """

    status: EndpointStatus
    zone: str
    cell: int
    weight: float
    started_ns: int
    machine_type: str


EndpointFields = tuple[EndpointStatus, str, int, float, int, str]  # the same as a plain tuple, equal to it
NumberedAttributes = tuple[int, EndpointAttributes]  # an endpoint's id, and what the list says of it


@dataclass(slots=True, eq=False)
class Placement:
    """The ready endpoints that one placement admits, in ring order: all, by zone, and by cell.

    A placement is the pair of zones and machine types that a request class is restricted to. The rings by
    zone and by cell are kept only if `index_zones` and `index_cells` say so: the endpoint table sets them.
    """

    allowed_zones: frozenset[str] | None  # None: all zones
    allowed_machine_types: frozenset[str] | None  # None: all machine types
    index_zones: bool = False
    index_cells: bool = False
    ring: SortedList[RingKey] = field(default_factory=SortedList)
    by_zone: dict[str, SortedList[RingKey]] = field(default_factory=lambda: defaultdict(SortedList))
    by_cell: dict[tuple[str, int], list[RingKey]] = field(default_factory=lambda: defaultdict(list))

    def admits(self, zone: str, machine_type: str) -> bool:
        """Return whether requests of this placement may go to such an endpoint."""
        return (self.allowed_zones is None or zone in self.allowed_zones) and (
            self.allowed_machine_types is None or machine_type in self.allowed_machine_types
        )

    def remove(self, endpoints: Iterable[NumberedAttributes]) -> None:
        """Take the admitted among these off the rings, by the attributes with which they were added."""
        for number, attributes in endpoints:
            if not self.admits(attributes.zone, attributes.machine_type):
                continue
            key = mix64(number, 0)
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

    def add(self, endpoints: Iterable[NumberedAttributes]) -> None:
        """Put the admitted among these ready endpoints on the rings."""
        keys: list[RingKey] = []
        zones: dict[str, list[RingKey]] = defaultdict(list)
        for number, attributes in endpoints:
            if not self.admits(attributes.zone, attributes.machine_type):
                continue
            key = mix64(number, 0)
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


class EndpointTable:
    """The attributes of all listed endpoints, and the rings of the placements.

    `upsert` and `remove` record what discovery says; `apply_changes` brings the rings up to date with all of
    it at once.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.attributes: dict[int, EndpointAttributes] = {}  # by endpoint id
        self.placements: list[Placement] = []
        prices = settings.prices
        # With fewer proxies than zones, zones without a proxy would be left idle.
        all_zones_have_proxies = settings.proxy_count >= len(settings.zones)
        self.zone_aware = prices.connection > 0 < prices.cross_zone and all_zones_have_proxies
        scopes = {request_class.deduplication_scope for request_class in settings.request_classes.values()}
        self._index_zones = self.zone_aware or DeduplicationScope.ZONE in scopes
        self._index_cells = DeduplicationScope.CELL in scopes
        self._interned: dict[EndpointFields, EndpointAttributes] = {}  # the shared object of equal ones
        # Endpoints changed since `apply_changes`, with the attributes by which the rings hold them.
        self._changed: dict[int, EndpointAttributes | None] = {}
        self._rebuild = False  # so much has changed that the rings are built again

    def add_placement(self, placement: Placement) -> None:
        """Keep the rings of one more placement, from the next `apply_changes` that changes something on."""
        placement.index_zones = self._index_zones
        placement.index_cells = self._index_cells
        self.placements.append(placement)

    def upsert(self, endpoint: Endpoint) -> None:
        """Record an entry of the endpoint list; one whose status is removed takes its endpoint away."""
        number, fields = endpoint.id, endpoint[1:]
        old = self.attributes.get(number)
        if fields == old:
            return
        if endpoint.status is EndpointStatus.REMOVED:
            self.remove(number)
            return
        new = self._shared_attributes(fields)
        if old is None or not _same_ring_position(old, new):
            self._record_change(number, old)
        self.attributes[number] = new

    def remove(self, number: int) -> None:
        """Record that the endpoint with this id, if it is known, is no longer listed."""
        old = self.attributes.pop(number, None)
        if old is not None:
            self._record_change(number, old)

    def _shared_attributes(self, fields: EndpointFields) -> EndpointAttributes:
        attributes = self._interned.get(fields)
        if attributes is None:
            attributes = EndpointAttributes._make(fields)
            self._interned[attributes] = attributes  # its own key: a second tuple would cost as much again
        return attributes

    def _record_change(self, number: int, old: EndpointAttributes | None) -> None:
        if self._rebuild:
            return
        self._changed.setdefault(number, old)
        if len(self._changed) > RESERVE_SIZE + len(self.attributes) // 2:
            self._rebuild = True  # as with the first list: cheaper than so many changes one by one
            self._changed.clear()

    def apply_changes(self) -> bool:
        """Bring the rings up to date; return whether any endpoint was put on them or taken off."""
        self._drop_unused_attributes()
        rebuild, changed = self._rebuild, self._changed
        self._rebuild, self._changed = False, {}
        if rebuild:
            self._rebuild_rings()
            return True
        ready, attributes = EndpointStatus.READY, self.attributes
        removed = [(n, old) for n, old in changed.items() if old is not None and old.status is ready]
        added = [(n, attributes[n]) for n in changed if n in attributes and attributes[n].status is ready]
        for placement in self.placements:
            placement.remove(removed)
            placement.add(added)
        return bool(removed or added)

    def _drop_unused_attributes(self) -> None:
        if len(self._interned) > 2 * len(self.attributes) + RESERVE_SIZE:
            self._interned = {attributes: attributes for attributes in self.attributes.values()}

    def _rebuild_rings(self) -> None:
        ready = EndpointStatus.READY
        for placement in self.placements:
            placement.clear()
            placement.add((n, row) for n, row in self.attributes.items() if row.status is ready)

    def local_ring(self, placement: Placement) -> SortedList[RingKey]:
        """Return the ring of this proxy's zone if proxies keep to their zones, else that of all zones."""
        if not self.zone_aware:
            return placement.ring
        return placement.by_zone.get(self.settings.zone, placement.ring)

    def endpoint(self, number: int) -> Endpoint:
        """Return the list entry of a known endpoint; KeyError if it is not listed."""
        return Endpoint(number, *self.attributes[number])

    def ready_in_group(
        self,
        placement: Placement,
        like: Endpoint,
        scope: DeduplicationScope,
        position: float,
        count: int,
    ) -> list[int]:
        """Return ids of ready endpoints in the zone or cell of `like`, as `scope` says.

        At most `count`, consecutive on the ring of that zone or cell from `position` on (0 to 1).
        """
        if scope is DeduplicationScope.ZONE:
            ring: SortedList[RingKey] | list[RingKey] | None = placement.by_zone.get(like.zone)
        else:
            ring = placement.by_cell.get((like.zone, like.cell))
        if not ring:
            return []
        return [unmix64(key) for key in ring_slice(ring, int(position * len(ring)), count)]


def _same_ring_position(old: EndpointAttributes, new: EndpointAttributes) -> bool:
    """Return whether only weight or start time differ, as they do all the time: no ring depends on these."""
    return (old[:3], old.machine_type) == (new[:3], new.machine_type)
