"""What the load that an endpoint has reported is worth (interface types: loadbalancer/messages.py)."""

from collections.abc import Iterable

from loadbalancer.messages import EndpointStatus
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.units import NANOSECONDS_PER_SECOND

FRESH_NS = 3 * NANOSECONDS_PER_SECOND  # a load reported longer ago says nothing
BUSY_LOAD = 1.0  # mean requests in flight; where endpoints hold fewer, less traffic would help nobody


def has_fresh_load(state: EndpointState, now_ns: int) -> bool:
    """Tell whether the last report is recent enough to be used."""
    return now_ns - state.reported_ns < FRESH_NS


def estimated_load(state: EndpointState, now_ns: int) -> float:
    """Return the requests thought to be in flight: as reported lately, never under this proxy's own."""
    if now_ns - state.reported_ns < FRESH_NS:
        return max(state.in_flight, state.reported_load)
    return state.in_flight + state.overdue


def is_loaded(states: Iterable[EndpointState], now_ns: int) -> bool:
    """Tell whether endpoints have more than they can work on, by their reports. Unknown counts as yes."""
    ready = EndpointStatus.READY
    loads = [s.reported_load for s in states if s.endpoint.status is ready and has_fresh_load(s, now_ns)]
    return not loads or sum(loads) >= BUSY_LOAD * len(loads)
