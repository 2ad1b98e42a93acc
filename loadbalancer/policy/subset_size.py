"""The size of a proxy's subset (interface types: loadbalancer/messages.py)."""

from loadbalancer.settings import Settings
from loadbalancer.state.hash_ring import unit_hash

FULL_SUBSET_SIZE = 10  # large enough that pauses of single endpoints don't matter
SUBSET_SIZE_MIN = 4
SUBSET_SIZE_MIN_WITH_CONNECTION_PRICE = 1
SHARING_PROXIES_MAX = 6  # proxies that may share an endpoint so that subsets are larger
LARGE_DEPLOYMENT_PROXIES = 512
# In a large deployment several proxies share each endpoint: a proxy with little traffic leaves none idle.
LARGE_DEPLOYMENT_SUBSET_SIZE = 64
# Golden-ratio steps are up to 1.9 times the mean: with 1, some endpoints would be in no subset.
LARGE_DEPLOYMENT_SHARING_PROXIES_MIN = 2
PROXY_OFFSET_SALT = 1


def is_large_deployment(settings: Settings) -> bool:
    """Return whether there are so many proxies that subsets are large and lie in segments of the ring."""
    return settings.proxy_count >= LARGE_DEPLOYMENT_PROXIES


def proxy_offset(settings: Settings) -> float:
    """Return a number from 0 to 1, different for each proxy.

    Because of it, no change of the endpoint list alters the subset sizes or segments of all proxies at once.
    """
    return unit_hash(settings.proxy_index, PROXY_OFFSET_SALT)


def subset_size(settings: Settings, endpoint_count: int, ring_proxy_count: int) -> int:
    """Return the size of this proxy's subset, given the numbers of endpoints and proxies of its ring.

    It is the full size or, if that is less, the size with which SHARING_PROXIES_MAX proxies share each
    endpoint. It is never so small that some endpoint would be in no subset, nor below the minimum unless
    there are fewer endpoints.
    """
    size_at_max_sharing = SHARING_PROXIES_MAX * endpoint_count / ring_proxy_count
    if is_large_deployment(settings):
        size = _large_deployment_subset_size(
            settings=settings,
            endpoint_count=endpoint_count,
            ring_proxy_count=ring_proxy_count,
            size_at_max_sharing=size_at_max_sharing,
        )
    else:
        size_to_cover_all = -(-endpoint_count // ring_proxy_count)
        size = max(min(FULL_SUBSET_SIZE, int(size_at_max_sharing)), size_to_cover_all)
    has_connection_price = settings.prices.connection > 0
    size_min = SUBSET_SIZE_MIN_WITH_CONNECTION_PRICE if has_connection_price else SUBSET_SIZE_MIN
    return min(endpoint_count, max(size_min, size))


def _large_deployment_subset_size(
    settings: Settings, endpoint_count: int, ring_proxy_count: int, size_at_max_sharing: float
) -> int:
    """Return the subset size in a large deployment, before the minimum is applied."""
    offset = proxy_offset(settings)
    size_to_cover_all = int(LARGE_DEPLOYMENT_SHARING_PROXIES_MIN * endpoint_count / ring_proxy_count + offset)
    return max(min(LARGE_DEPLOYMENT_SUBSET_SIZE, int(size_at_max_sharing + offset)), size_to_cover_all)
