"""Which endpoints this proxy uses.

Types of the interface: loadbalancer/messages.py.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import chain

from sortedcontainers import SortedList

from loadbalancer.state.endpoint_table import RESERVE_SIZE, EndpointTable, Placement
from loadbalancer.state.hash_ring import KEY_SPACE, RingKey, mix64, ring_slice

SUBSET, SHARED = (4, 10), 6  # least subset, one large enough for pauses; proxies that may share it
DEAR_SUBSET = 1  # the same for the first figure where each open connection has a price, or is work there
MANY = 512  # so many proxies share out the ring in segments, and a subset may be so wide as to be shared:
WIDE = 64  # each upstream by a few, that one which ends or has little traffic leaves none without
COVER = 2  # proxies an upstream at least: golden-ratio steps are up to 1.9 times their mean apart
SEGMENT = (256, 2048)  # least proxies and upstreams of a segment: its upstreams are even to some hundredths
GOLDEN, SILVER = 0.618033988749895, 0.414213562373095


@dataclass(frozen=True, slots=True)
class Subset:
    """Which upstreams a proxy uses: its own, those in reserve near by, and elsewhere. Keys, in ring order."""

    assigned: list[RingKey]
    zone_reserve: list[RingKey]
    remote_reserve: list[RingKey]
    proxies_sharing: float  # proxies that have one of its own in their subset, about

    def __iter__(self) -> Iterator[RingKey]:
        return chain(self.assigned, self.zone_reserve, self.remote_reserve)


def choose_subset(table: EndpointTable, placement: Placement) -> Subset:
    """Extension: a proxy's subset is its stretch of one ring that all proxies compute alike, so that its
    own requests in flight say something of the upstream. Beyond it, a reserve. Where open connections
    have a price it is small, and in the proxy's own zone if crossing has one too.

    Many proxies cut the ring into segments by key: a stretch begins by rank in its segment, even with its
    neighbours' whatever the keys, and a change moves those of one segment alone, by one upstream."""
    settings, whole = table.settings, placement.ring
    me, proxies, zones = settings.proxy_index, max(1, settings.proxy_count), max(1, len(settings.zones))
    many = proxies >= MANY
    ring = placement.by_zone.get(settings.zone, whole) if table.zone_aware else whole
    if len(ring) < SUBSET[1]:
        ring = whole  # so few are sick, cold or draining together, and a busy zone finds no help
    n, place, own_size = len(ring), me * GOLDEN % 1, mix64(me, 1) / KEY_SPACE
    # Which peers share the zone is not told: golden-ratio steps are even over most parts of them.
    apart = n < len(whole) or placement.allowed_zones is not None
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
    first = _first(me, ring, place, proxies) if many else int(place * n) if apart else me * n // proxies
    own = ring_slice(ring, first, size)
    if len(whole) - size <= RESERVE_SIZE:
        near = ring_slice(ring, first + size, n - size)
        inside = {*own, *near}
        far = [key for key in whole if key not in inside] if n < len(whole) else []
    else:
        near = ring_slice(ring, first + size, min(n - size, RESERVE_SIZE // 2))
        inside = {*own, *near}
        far = [
            key
            for key in ring_slice(whole, int((place + GOLDEN) % 1 * len(whole)), RESERVE_SIZE // 2)
            if key not in inside
        ]
    return Subset(own, near, far, proxies * size / max(1, n))


def _first(me: int, ring: SortedList[RingKey], place: float, proxies: int) -> int:
    """The rank at which a stretch begins. Each proxy goes over to more segments at a length of the ring
    of its own, so that no change of the list moves many at once."""
    turn = len(ring) * 2 ** (mix64(me, 1) / KEY_SPACE)
    segments = 1 << max(0, min(proxies // SEGMENT[0], int(turn) // SEGMENT[1]).bit_length() - 1)
    number = int(place * segments)
    low, high = (ring.bisect_left(KEY_SPACE // segments * (number + i)) for i in (0, 1))
    return low + int((place * segments - number) * (high - low))
