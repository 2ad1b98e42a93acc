"""Range of the latency objectives of all request classes (interface types: loadbalancer/messages.py)."""

from typing import NamedTuple

from loadbalancer.settings import Settings
from loadbalancer.units import NANOSECONDS_PER_SECOND

DEFAULT_LATENCY_OBJECTIVE_NS = NANOSECONDS_PER_SECOND


class LatencyObjectives(NamedTuple):
    """The shortest and the longest latency objective, in ns."""

    shortest_ns: int
    longest_ns: int


def latency_objectives(settings: Settings) -> LatencyObjectives:
    """Return the range of the classes' objectives, or the default objective if no class is configured."""
    objectives_ns = [
        request_class.latency_objective_ns for request_class in settings.request_classes.values()
    ] or [DEFAULT_LATENCY_OBJECTIVE_NS]
    return LatencyObjectives(shortest_ns=min(objectives_ns), longest_ns=max(objectives_ns))
