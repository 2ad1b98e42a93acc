"""How many endpoints random choices are drawn from (interface types: loadbalancer/messages.py)."""

from loadbalancer.state.endpoint_pool import EndpointPool

EXTRA_ENDPOINTS_WHILE_BLOCKED = 1


def draw_width(pool: EndpointPool, *, queue_is_blocked: bool) -> int:
    """Return how many of a pool's endpoints, its subset first, random choices are drawn from.

    A blocked queue may use one endpoint beyond the subset; more would cost too many connections.
    """
    extra = EXTRA_ENDPOINTS_WHILE_BLOCKED if queue_is_blocked else 0
    return min(len(pool.endpoints), pool.subset_size + extra)
