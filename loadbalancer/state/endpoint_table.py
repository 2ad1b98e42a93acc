"""Every endpoint of the list, stored compactly, and the rings of those that are ready.

Of each endpoint a row is kept, and where it is ready its place on the rings of the placements that admit it.
A change costs what changed, and nothing that is looked at again and again grows with the list.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from loadbalancer.messages import Endpoint, EndpointStatus
from loadbalancer.settings import DeduplicationScope, Settings
from loadbalancer.state.hash_ring import RingKey, mix64, ring_slice, unmix64

RESERVE_SIZE = (
    256  # upstreams that are known in full beside the subset: for its losses, and for keyed retries
)
EndpointAttributes = tuple[EndpointStatus, str, int, float, int, str]  # an `Upstream` but for its id


@dataclass(slots=True, eq=False)
class Placement:
    """The ready upstreams that one placement admits, in the order of the ring: all, and by zone and cell."""

    allowed_zones: frozenset[str] | None
    allowed_machine_types: frozenset[str] | None
    ring: SortedList[RingKey] = field(default_factory=SortedList)
    by_zone: dict[str, SortedList[RingKey]] = field(default_factory=lambda: defaultdict(SortedList))
    by_cell: dict[tuple[str, int], list[RingKey]] = field(default_factory=lambda: defaultdict(list))

    def admits(self, zone: str, kind: str) -> bool:
        return (self.allowed_zones is None or zone in self.allowed_zones) and (
            self.allowed_machine_types is None or kind in self.allowed_machine_types
        )

    def remove(self, left: Iterable[tuple[int, EndpointAttributes]], zoned: bool, celled: bool) -> None:
        for number, (_, zone, cell, _, _, kind) in left:
            if self.admits(zone, kind):
                key = mix64(number, 0)
                self.ring.remove(key)
                if zoned:
                    self.by_zone[zone].remove(key)
                if celled:
                    keys = self.by_cell[zone, cell]
                    del keys[bisect_left(keys, key)]
                    if not keys:
                        del self.by_cell[zone, cell]

    def add(self, came: Iterable[tuple[int, EndpointAttributes]], zoned: bool, celled: bool) -> None:
        keys, zones = [], defaultdict(list)
        for number, (_, zone, cell, _, _, kind) in came:
            if self.admits(zone, kind):
                key = mix64(number, 0)
                keys.append(key)
                if zoned:
                    zones[zone].append(key)
                if celled:
                    insort(self.by_cell[zone, cell], key)
        self.ring.update(keys)
        for zone, inside in zones.items():
            self.by_zone[zone].update(inside)

    def clear(self) -> None:
        self.ring.clear()
        self.by_zone.clear()
        self.by_cell.clear()


class EndpointTable:
    """The table of upstreams. `put` and `drop` note what discovery says, `settle` puts it in force."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.attributes: dict[int, EndpointAttributes] = {}
        self.placements: list[Placement] = []
        prices, scopes = settings.prices, {c.deduplication_scope for c in settings.request_classes.values()}
        # With fewer proxies than zones, zones without one would be left idle.
        enough = settings.proxy_count >= len(settings.zones)
        self.zone_aware = prices.connection > 0 < prices.cross_zone and enough
        self._zoned, self._celled = (
            self.zone_aware or DeduplicationScope.ZONE in scopes,
            DeduplicationScope.CELL in scopes,
        )
        self._interned: dict[EndpointAttributes, EndpointAttributes] = {}  # one object for all that are alike
        self._changed: dict[
            int, EndpointAttributes | None
        ] = {}  # since `settle`: what the rings still hold of these
        self._rebuild = False  # instead: the rings are of no more use

    def upsert(self, entry: Endpoint) -> None:
        profile = entry[1:]
        old = self.attributes.get(entry[0])
        if profile == old:
            return
        if profile[0] is EndpointStatus.REMOVED:
            self.remove(entry[0])
            return
        # A new weight or start alone, as comes all the time, moves nothing on the rings.
        if old is None or (old[:3], old[5]) != (profile[:3], profile[5]):
            self._move(entry[0], old)
        self.attributes[entry[0]] = self._interned.setdefault(profile, profile)

    def remove(self, number: int) -> None:
        old = self.attributes.pop(number, None)
        if old is not None:
            self._move(number, old)

    def _move(self, number: int, old: EndpointAttributes | None) -> None:
        if not self._rebuild:
            self._changed.setdefault(number, old)
            if len(self._changed) > RESERVE_SIZE + len(self.attributes) // 2:
                self._rebuild = (
                    True  # so much has changed, as with the first list, that the rings are made anew
                )
                self._changed.clear()

    def apply_changes(self) -> bool:
        """Bring the rings up to date; has any upstream come to them or left them?"""
        if len(self._interned) > 2 * len(self.attributes) + RESERVE_SIZE:
            self._interned = {profile: profile for profile in self.attributes.values()}
        ready, profiles, anew, moved = EndpointStatus.READY, self.attributes, self._rebuild, self._changed
        left = [(n, old) for n, old in moved.items() if old is not None and old[0] is ready]
        came = [(n, profiles[n]) for n in moved if n in profiles and profiles[n][0] is ready]
        self._rebuild, self._changed = False, {}
        for placement in self.placements:
            if anew:
                placement.clear()
                placement.add(
                    ((n, profile) for n, profile in profiles.items() if profile[0] is ready),
                    self._zoned,
                    self._celled,
                )
            placement.remove(left, self._zoned, self._celled)
            placement.add(came, self._zoned, self._celled)
        return anew or bool(left or came)

    def entry(self, number: int) -> Endpoint:
        return Endpoint(number, *self.attributes[number])

    def group(
        self,
        placement: Placement,
        like: Endpoint,
        scope: DeduplicationScope,
        place: float,
        count: int,
    ) -> list[int]:
        """So many ready upstreams of the zone or cell of this one, from a place on its ring on (0 to 1)."""
        groups = (
            placement.by_zone.get(like.zone)
            if scope is DeduplicationScope.ZONE
            else placement.by_cell.get((like.zone, like.cell))
        )
        return [unmix64(key) for key in ring_slice(groups, int(place * len(groups)), count)] if groups else []
