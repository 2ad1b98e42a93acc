"""The endpoints that the requests of one placement may use, and the requests that wait for them.

Types of the interface: loadbalancer/messages.py.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from loadbalancer.messages import Endpoint
from loadbalancer.policy.endpoint_state import EndpointState
from loadbalancer.policy.request import Request
from loadbalancer.state.endpoint_table import Placement
from loadbalancer.state.subset import Subset


@dataclass(slots=True, eq=False)
class EndpointPool:
    """The upstreams that one placement admits and this proxy uses, and the requests that wait for them."""

    placement: Placement
    endpoints: list[EndpointState] = field(default_factory=list)  # ready ones, this proxy's subset first
    subset_size: int = 0  # how many of `order` are its subset
    proxies_sharing: float = 0.0  # proxies that have one of these in their subset
    draw_width: int = 0  # how many of `order` it draws from
    current_subset: Subset | None = None  # what `order` was made of
    last_choice: EndpointState | None = None  # the previous winner
    queue: deque[Request] = field(default_factory=deque)
    blocked_since_ns: int = 0  # the queue found no upstream since

    def admits(self, entry: Endpoint) -> bool:
        return self.placement.admits(entry.zone, entry.machine_type)
