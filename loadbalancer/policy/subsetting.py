"""Deterministic subsetting: which endpoints this proxy uses.

Types of the interface: loadbalancer/messages.py.

A subset is a run of consecutive keys on a hash ring that all proxies compute alike. Few proxies share an
endpoint, so a proxy's own requests in flight are a measure of the endpoint's load. In addition each proxy has
a reserve. If open connections have a price, the minimum size of a subset is smaller; if crossing zones has a
price too, subsets lie in the proxy's own zone, if it has enough endpoints.

In a large deployment the ring is divided into segments of the key space, and the start of a subset is a rank
in its segment. This spreads subsets evenly whatever the keys are, and a new or lost endpoint moves only the
start of the subsets in its segment, by at most one endpoint.
"""

from sortedcontainers import SortedList

from loadbalancer.policy.subset_size import FULL_SUBSET_SIZE, is_large_deployment, proxy_offset, subset_size
from loadbalancer.settings import DeduplicationScope, Settings
from loadbalancer.state.endpoint_table import EndpointTable
from loadbalancer.state.hash_ring import RingKey, mix64, ring_slice, segment_ranks
from loadbalancer.state.placement import Placement
from loadbalancer.state.subset import Subset

SEGMENT_PROXIES_MIN = 256  # with fewer, the endpoints of a segment are not used evenly
SEGMENT_ENDPOINTS_MIN = 2048
# The reserve: endpoints that replace those lost from the subset, and serve retries with idempotency keys.
ZONE_RESERVE_SIZE = 128  # endpoints that follow the subset on its ring
REMOTE_RESERVE_SIZE = 128  # further endpoints, from the ring of all zones
RESERVE_SIZE = ZONE_RESERVE_SIZE + REMOTE_RESERVE_SIZE
GOLDEN_RATIO_FRACTION = 0.618033988749895
SILVER_RATIO_FRACTION = 0.414213562373095


def choose_subset(settings: Settings, placement: Placement) -> Subset:
    """Return this proxy's subset and reserve among the ready endpoints that a placement allows."""
    ring = _subset_ring(settings, placement)
    is_partial_ring = len(ring) < len(placement.ring) or placement.allowed_zones is not None
    ring_proxy_count = _ring_proxy_count(settings, is_partial_ring=is_partial_ring)
    position = _ring_position(settings, is_partial_ring=is_partial_ring)
    size = subset_size(settings, len(ring), ring_proxy_count)
    first = _first_rank(
        settings=settings,
        ring=ring,
        position=position,
        ring_proxy_count=ring_proxy_count,
        is_partial_ring=is_partial_ring,
    )
    assigned = ring_slice(ring, first, size)
    zone_reserve = _zone_reserve(ring=ring, full_ring=placement.ring, first=first + size, assigned_count=size)
    remote_reserve = _remote_reserve(
        ring=ring, full_ring=placement.ring, position=position, assigned_count=size
    )
    in_use = {*assigned, *zone_reserve}
    return Subset(
        assigned=assigned,
        zone_reserve=zone_reserve,
        remote_reserve=[key for key in remote_reserve if key not in in_use],
        sharing_proxies=ring_proxy_count * size / max(1, len(ring)),
    )


def reserve_rank(settings: Settings, endpoint_id: int) -> int:
    """Return an endpoint's sort key in this proxy's reserve; each proxy orders its reserve differently."""
    return mix64(endpoint_id, settings.proxy_index + 1)


def new_endpoint_table(settings: Settings) -> EndpointTable:
    """Return an empty table, with rings by zone and by cell if these settings need them.

    Subsets in the proxy's own zone need rings by zone; retries with an idempotency key need those of its
    deduplication scope.
    """
    scopes = {request_class.deduplication_scope for request_class in settings.request_classes.values()}
    return EndpointTable(
        index_zones=_prefers_own_zone(settings) or DeduplicationScope.ZONE in scopes,
        index_cells=DeduplicationScope.CELL in scopes,
    )


def _prefers_own_zone(settings: Settings) -> bool:
    """Return whether subsets should lie in the proxies' zones: if connections and crossing zones have prices.

    With fewer proxies than zones they should not: endpoints in zones without a proxy would be idle.
    """
    prices = settings.prices
    has_prices = prices.connection > 0 and prices.cross_zone > 0
    all_zones_have_proxies = settings.proxy_count >= len(settings.zones)
    return has_prices and all_zones_have_proxies


def _subset_ring(settings: Settings, placement: Placement) -> SortedList[RingKey]:
    """Return the ring on which this proxy's subset lies: the ring of its zone, or the ring of all zones.

    A zone with few endpoints is not used alone: they may all fail or drain at once, and under high load no
    other zone could help.
    """
    if not _prefers_own_zone(settings):
        return placement.ring
    zone_ring = placement.by_zone.get(settings.zone, placement.ring)
    return zone_ring if len(zone_ring) >= FULL_SUBSET_SIZE else placement.ring


def _ring_proxy_count(settings: Settings, *, is_partial_ring: bool) -> int:
    """Return how many proxies have their subsets on the ring of this one.

    If a ring has only part of the ready endpoints, it is not known which proxies use it. Proxies are then
    assumed to be spread evenly over the zones.
    """
    proxies = max(1, settings.proxy_count)
    return max(1, proxies // _zone_count(settings)) if is_partial_ring else proxies


def _zone_count(settings: Settings) -> int:
    return max(1, len(settings.zones))


def _ring_position(settings: Settings, *, is_partial_ring: bool) -> float:
    """Return this proxy's position on its ring (0 to 1), from which its subset and reserve are derived.

    The subset begins there, except on the complete ring of a small deployment (`_first_rank`). Golden-ratio
    steps spread most sets of proxies evenly. The proxies of one zone may be every n-th one, which needs a
    second ratio.
    """
    index = settings.proxy_index
    if is_partial_ring and is_large_deployment(settings):
        round_number, number_in_round = divmod(index, _zone_count(settings))
        return (round_number * GOLDEN_RATIO_FRACTION + number_in_round * SILVER_RATIO_FRACTION) % 1
    return index * GOLDEN_RATIO_FRACTION % 1


def _first_rank(
    settings: Settings,
    ring: SortedList[RingKey],
    position: float,
    ring_proxy_count: int,
    *,
    is_partial_ring: bool,
) -> int:
    """Return the rank on its ring at which this proxy's subset begins."""
    if is_large_deployment(settings):
        return _first_rank_in_segment(
            settings=settings, ring=ring, position=position, ring_proxy_count=ring_proxy_count
        )
    if is_partial_ring:
        return int(position * len(ring))
    return settings.proxy_index * len(ring) // ring_proxy_count


def _first_rank_in_segment(
    settings: Settings, ring: SortedList[RingKey], position: float, ring_proxy_count: int
) -> int:
    """Return the rank at which a subset begins, at its position within a segment of the key space."""
    segments = _segment_count(settings, len(ring), ring_proxy_count)
    segment = int(position * segments)
    low, high = segment_ranks(ring, segment, segments)
    return low + int((position * segments - segment) * (high - low))


def _segment_count(settings: Settings, endpoint_count: int, ring_proxy_count: int) -> int:
    """Return the number of segments into which this proxy divides the ring, a power of two."""
    scaled_endpoints = int(endpoint_count * 2 ** proxy_offset(settings))
    segments_max = min(ring_proxy_count // SEGMENT_PROXIES_MIN, scaled_endpoints // SEGMENT_ENDPOINTS_MIN)
    return 1 << max(0, segments_max.bit_length() - 1)


def _fits_into_reserve(full_ring: SortedList[RingKey], assigned_count: int) -> bool:
    """Return whether the reserve holds all endpoints outside the subset."""
    return len(full_ring) - assigned_count <= RESERVE_SIZE


def _zone_reserve(
    ring: SortedList[RingKey], full_ring: SortedList[RingKey], first: int, assigned_count: int
) -> list[RingKey]:
    """Return the keys that follow the subset on its ring, from the rank `first` on."""
    count = len(ring) - assigned_count
    if not _fits_into_reserve(full_ring, assigned_count):
        count = min(count, ZONE_RESERVE_SIZE)
    return ring_slice(ring, first, count)


def _remote_reserve(
    ring: SortedList[RingKey], full_ring: SortedList[RingKey], position: float, assigned_count: int
) -> list[RingKey]:
    """Return keys from the ring of all zones; some may be in the subset or the zone reserve too."""
    if _fits_into_reserve(full_ring, assigned_count):
        return list(full_ring) if len(ring) < len(full_ring) else []
    remote_position = (position + GOLDEN_RATIO_FRACTION) % 1
    return ring_slice(full_ring, int(remote_position * len(full_ring)), REMOTE_RESERVE_SIZE)
