"""Number of endpoints that random choices are drawn from (types: loadbalancer/messages.py)."""

from loadbalancer.state.endpoint_pool import EndpointPool

EXTRA_ENDPOINTS_WHILE_BLOCKED = 1


def draw_width(pool: EndpointPool, *, queue_is_blocked: bool) -> int:
    """Return how many of a pool's endpoints, its subset first, random choices are drawn from.

    While its queue is blocked, a pool also draws from one reserve endpoint; more would cost too many
    connections.
    """
    extra = EXTRA_ENDPOINTS_WHILE_BLOCKED if queue_is_blocked else 0
    return min(len(pool.endpoints), pool.subset_size + extra)
