"""Every upstream that the list names, compactly, and the subset of them that this proxy uses.

The types it takes are in `loadbalancer/interface.py`. Of each upstream a row is kept, and where it is ready
its place on the rings of the placements that admit it; whatever costs more is kept by the fleet
(`policy.py`), and only for those in use. So a change costs what changed, and nothing that is looked at again
and again grows with the list."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import chain

from sortedcontainers import SortedList

from loadbalancer import interface as api

WORD = 1 << 64
SPREAD, STIR, STEP, START = 0x9E3779B97F4A7C15, 0xBF58476D1CE4E5B9, 0xD1B54A32D192ED03, 0x632BE59BD9B4E019
UNSPREAD, UNSTIR = pow(SPREAD, -1, WORD), pow(STIR, -1, WORD)
SUBSET, SHARED = (4, 10), 6  # least subset, one large enough for pauses; proxies that may share it
DEAR_SUBSET = 1  # the same for the first figure where each open connection has a price, or is work there
MANY = 512  # so many proxies share out the ring in segments, and a subset may be so wide as to be shared:
WIDE = 64  # each upstream by a few, that one which ends or has little traffic leaves none without
COVER = 2  # proxies an upstream at least: golden-ratio steps are up to 1.9 times their mean apart
SEGMENT = (256, 2048)  # least proxies and upstreams of a segment: its upstreams are even to some hundredths
RESERVE = 256  # upstreams that are known in full beside the subset: for its losses, and for keyed retries
GOLDEN, SILVER = 0.618033988749895, 0.414213562373095

Profile = tuple[api.EndpointStatus, str, int, float, int, str]  # an `Upstream` but for its id
Key = int  # an upstream's place on a ring: its id, scrambled


def mixed(number: int, salt: int) -> int:
    """A fixed scramble of an id below 2^64: the same on every proxy, whatever the hash seed."""
    x = (number * SPREAD + salt * STEP + START) % WORD
    x = (x ^ (x >> 29)) * STIR % WORD
    return x ^ (x >> 32)


def unmixed(key: Key) -> int:
    """The id of which `mixed` makes this with salt 0."""
    x = (key ^ (key >> 32)) * UNSTIR % WORD
    x = x ^ (x >> 29) ^ (x >> 58)
    return (x - START) * UNSPREAD % WORD


def stretch(ring: SortedList[Key] | list[Key], first: int, count: int) -> list[Key]:
    """So many keys of a ring from a rank on, over its end to its start; none twice."""
    n = len(ring)
    if not n:
        return []
    first, count = first % n, min(count, n)
    if isinstance(ring, SortedList):
        return [*ring.islice(first, first + count), *ring.islice(0, max(0, first + count - n))]
    return [*ring[first : first + count], *ring[: max(0, first + count - n)]]


@dataclass(slots=True, eq=False)
class Placement:
    """The ready upstreams that one placement admits, in the order of the ring: all, and by zone and cell."""

    zones: frozenset[str] | None
    kinds: frozenset[str] | None
    ring: SortedList[Key] = field(default_factory=SortedList)
    by_zone: dict[str, SortedList[Key]] = field(default_factory=lambda: defaultdict(SortedList))
    by_cell: dict[tuple[str, int], list[Key]] = field(default_factory=lambda: defaultdict(list))

    def admits(self, zone: str, kind: str) -> bool:
        return (self.zones is None or zone in self.zones) and (self.kinds is None or kind in self.kinds)

    def leave(self, left: Iterable[tuple[int, Profile]], zoned: bool, celled: bool) -> None:
        for number, (_, zone, cell, _, _, kind) in left:
            if self.admits(zone, kind):
                key = mixed(number, 0)
                self.ring.remove(key)
                if zoned:
                    self.by_zone[zone].remove(key)
                if celled:
                    keys = self.by_cell[zone, cell]
                    del keys[bisect_left(keys, key)]
                    if not keys:
                        del self.by_cell[zone, cell]

    def join(self, came: Iterable[tuple[int, Profile]], zoned: bool, celled: bool) -> None:
        keys, zones = [], defaultdict(list)
        for number, (_, zone, cell, _, _, kind) in came:
            if self.admits(zone, kind):
                key = mixed(number, 0)
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


@dataclass(frozen=True, slots=True)
class Subset:
    """Which upstreams a proxy uses: its own, those in reserve near by, and elsewhere. Keys, in ring order."""

    own: list[Key]
    near: list[Key]
    far: list[Key]
    sharers: float  # proxies that have one of its own in their subset, about

    def __iter__(self) -> Iterator[Key]:
        return chain(self.own, self.near, self.far)


class Membership:
    """The table of upstreams. `put` and `drop` note what discovery says, `settle` puts it in force."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.profiles: dict[int, Profile] = {}
        self.placements: list[Placement] = []
        prices, scopes = settings.prices, {c.deduplication_scope for c in settings.request_classes.values()}
        # With fewer proxies than zones, zones without one would be left idle.
        enough = settings.proxy_count >= len(settings.zones)
        self.zonal = prices.connection > 0 < prices.cross_zone and enough
        self._zoned, self._celled = (
            self.zonal or api.DeduplicationScope.ZONE in scopes,
            api.DeduplicationScope.CELL in scopes,
        )
        self._shared: dict[Profile, Profile] = {}  # one object for all that are alike
        self._moved: dict[int, Profile | None] = {}  # since `settle`: what the rings still hold of these
        self._anew = False  # instead: the rings are of no more use

    def put(self, entry: api.Endpoint) -> None:
        profile = entry[1:]
        old = self.profiles.get(entry[0])
        if profile == old:
            return
        if profile[0] is api.EndpointStatus.REMOVED:
            self.drop(entry[0])
            return
        # A new weight or start alone, as comes all the time, moves nothing on the rings.
        if old is None or (old[:3], old[5]) != (profile[:3], profile[5]):
            self._move(entry[0], old)
        self.profiles[entry[0]] = self._shared.setdefault(profile, profile)

    def drop(self, number: int) -> None:
        old = self.profiles.pop(number, None)
        if old is not None:
            self._move(number, old)

    def _move(self, number: int, old: Profile | None) -> None:
        if not self._anew:
            self._moved.setdefault(number, old)
            if len(self._moved) > RESERVE + len(self.profiles) // 2:
                self._anew = True  # so much has changed, as with the first list, that the rings are made anew
                self._moved.clear()

    def settle(self) -> bool:
        """Bring the rings up to date; has any upstream come to them or left them?"""
        if len(self._shared) > 2 * len(self.profiles) + RESERVE:
            self._shared = {profile: profile for profile in self.profiles.values()}
        ready, profiles, anew, moved = api.EndpointStatus.READY, self.profiles, self._anew, self._moved
        left = [(n, old) for n, old in moved.items() if old is not None and old[0] is ready]
        came = [(n, profiles[n]) for n in moved if n in profiles and profiles[n][0] is ready]
        self._anew, self._moved = False, {}
        for placement in self.placements:
            if anew:
                placement.clear()
                placement.join(
                    ((n, profile) for n, profile in profiles.items() if profile[0] is ready),
                    self._zoned,
                    self._celled,
                )
            placement.leave(left, self._zoned, self._celled)
            placement.join(came, self._zoned, self._celled)
        return anew or bool(left or came)

    def entry(self, number: int) -> api.Endpoint:
        return api.Endpoint(number, *self.profiles[number])

    def group(
        self,
        placement: Placement,
        like: api.Endpoint,
        scope: api.DeduplicationScope,
        place: float,
        count: int,
    ) -> list[int]:
        """So many ready upstreams of the zone or cell of this one, from a place on its ring on (0 to 1)."""
        groups = (
            placement.by_zone.get(like.zone)
            if scope is api.DeduplicationScope.ZONE
            else placement.by_cell.get((like.zone, like.cell))
        )
        return [unmixed(key) for key in stretch(groups, int(place * len(groups)), count)] if groups else []

    def subset(self, placement: Placement) -> Subset:
        """Extension: a proxy's subset is its stretch of one ring that all proxies compute alike, so that its
        own requests in flight say something of the upstream. Beyond it, a reserve. Where open connections
        have a price it is small, and in the proxy's own zone if crossing has one too.

        Many proxies cut the ring into segments by key: a stretch begins by rank in its segment, even with its
        neighbours' whatever the keys, and a change moves those of one segment alone, by one upstream."""
        settings, whole = self.settings, placement.ring
        me, proxies, zones = settings.proxy_index, max(1, settings.proxy_count), max(1, len(settings.zones))
        many = proxies >= MANY
        ring = placement.by_zone.get(settings.zone, whole) if self.zonal else whole
        if len(ring) < SUBSET[1]:
            ring = whole  # so few are sick, cold or draining together, and a busy zone finds no help
        n, place, own_size = len(ring), me * GOLDEN % 1, mixed(me, 1) / WORD
        # Which peers share the zone is not told: golden-ratio steps are even over most parts of them.
        apart = n < len(whole) or placement.zones is not None
        if apart:
            proxies = max(1, proxies // zones)
            if many:  # even as well where each zone has every so-manieth, which golden steps may not be
                place = (me // zones * GOLDEN + me % zones * SILVER) % 1
        least = DEAR_SUBSET if settings.prices.connection > 0 else SUBSET[0]  # they add up
        shared = SHARED * n / proxies
        if many:  # each goes over to one more at a size of its own, so that no change moves all
            size = max(min(WIDE, int(shared + own_size)), int(COVER * n / proxies + own_size))
        else:
            size = max(min(SUBSET[1], int(shared)), -(-n // proxies))
        size = min(n, max(least, size))
        first = self._first(ring, place, proxies) if many else int(place * n) if apart else me * n // proxies
        own = stretch(ring, first, size)
        if len(whole) - size <= RESERVE:
            near = stretch(ring, first + size, n - size)
            inside = {*own, *near}
            far = [key for key in whole if key not in inside] if n < len(whole) else []
        else:
            near = stretch(ring, first + size, min(n - size, RESERVE // 2))
            inside = {*own, *near}
            far = [
                key
                for key in stretch(whole, int((place + GOLDEN) % 1 * len(whole)), RESERVE // 2)
                if key not in inside
            ]
        return Subset(own, near, far, proxies * size / max(1, n))

    def _first(self, ring: SortedList[Key], place: float, proxies: int) -> int:
        """The rank at which a stretch begins. Each proxy goes over to more segments at a length of the ring
        of its own, so that no change of the list moves many at once."""
        turn = len(ring) * 2 ** (mixed(self.settings.proxy_index, 1) / WORD)
        segments = 1 << max(0, min(proxies // SEGMENT[0], int(turn) // SEGMENT[1]).bit_length() - 1)
        number = int(place * segments)
        low, high = (ring.bisect_left(WORD // segments * (number + i)) for i in (0, 1))
        return low + int((place * segments - number) * (high - low))
