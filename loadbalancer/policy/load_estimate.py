"""The load of an endpoint, estimated from its last load report (types: loadbalancer/messages.py).

The load of an endpoint is the number of requests in flight there, from all proxies. A load report includes
the other proxies' requests; once it is too old, only this proxy's own requests are known.
"""

from collections.abc import Iterable

from loadbalancer.messages import EndpointStatus
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.units import NANOSECONDS_PER_SECOND

IN_FLIGHT_COLUMN = "inflight"  # the name, on the wire, of the column with the requests in flight
LOAD_REPORT_MAX_AGE_NS = 3 * NANOSECONDS_PER_SECOND
LOADED_MEAN_IN_FLIGHT_MIN = 1.0


def has_fresh_load(state: EndpointState, now_ns: int) -> bool:
    """Return whether the last load report is recent enough to be used."""
    return now_ns - state.reported_ns < LOAD_REPORT_MAX_AGE_NS


def estimated_load(state: EndpointState, now_ns: int) -> float:
    """Return the load of an endpoint: as reported, but at least this proxy's requests in flight.

    Without a fresh report it is this proxy's attempts, including those presumed lost.
    """
    if has_fresh_load(state, now_ns):
        return max(state.in_flight, state.reported_load)
    return state.in_flight + state.presumed_lost


def is_loaded(states: Iterable[EndpointState], now_ns: int) -> bool:
    """Return whether ready endpoints report one request in flight each or more, on average.

    With fewer, endpoints are not overloaded, and less traffic would not help. Also true if no endpoint has a
    fresh report, because overload is then possible.
    """
    loads = [
        state.reported_load
        for state in states
        if state.endpoint.status is EndpointStatus.READY and has_fresh_load(state, now_ns)
    ]
    return not loads or sum(loads) >= LOADED_MEAN_IN_FLIGHT_MIN * len(loads)
