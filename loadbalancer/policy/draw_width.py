"""Number of endpoints that random choices are drawn from (types: loadbalancer/messages.py)."""

from loadbalancer.state.endpoint_pool import EndpointPool

EXTRA_ENDPOINTS_WHILE_BLOCKED = 1


def draw_width(pool: EndpointPool, *, queue_is_blocked: bool) -> int:
    """Return the number of endpoints, from the first of the pool on, that random choices are drawn from.

    This is the subset and, while the queue is blocked, one endpoint of the reserve. More would cost too many
    connections.
    """
    extra = EXTRA_ENDPOINTS_WHILE_BLOCKED if queue_is_blocked else 0
    return min(len(pool.endpoints), pool.subset_size + extra)
