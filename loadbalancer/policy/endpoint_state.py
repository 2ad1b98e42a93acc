"""What this proxy knows of one endpoint.

Types of the interface: loadbalancer/messages.py.
"""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.messages import Endpoint
from loadbalancer.units import SECOND

FRESH_NS = 3 * SECOND  # a load reported longer ago says nothing
LOAD_MAX = 1e6


@dataclass(slots=True, eq=False)
class EndpointState:
    """What this proxy knows of one upstream."""

    id: int
    endpoint: Endpoint
    in_flight: int = 0  # own requests there, but for those out too long
    overdue: int = 0  # these: lost on the way, while it answers others
    last_answered_ns: int = 0  # the latest time of a send that it has answered
    in_flight_since_ns: int = 0  # for how long it has held that many
    relative_latency: float = 1.0  # its time for a request against the fleet's
    consecutive_failures: int = 0
    ejected_until_ns: int = 0  # not to be tried before this
    recent_attempts: float = 0.0  # attempts that ended here of late
    recent_resets: float = 0.0  # and those of them whose connection broke
    consecutive_resets: int = 0  # the last so many broke, one after the other
    reserve_rank: int = 0  # its place in the reserve, this proxy's own
    in_subset: bool = False  # in a subset of this proxy
    reported_load: float = 0.0  # requests it holds from all proxies, by its last report
    reported_ns: int = 0
    checked_ns: int = 0  # the last look at it
    failed_check_ns: int = 0  # the last look that broke

    def record_load(self, load: float | None, now: int) -> None:
        """Take a reported load; what cannot be one (negative, huge, not a number) says nothing."""
        if load is not None and 0 <= load < LOAD_MAX:
            self.reported_load, self.reported_ns = load, now

    def has_fresh_load(self, now: int) -> bool:
        return now - self.reported_ns < FRESH_NS

    def estimated_load(self, now: int) -> float:
        """Requests it is thought to hold: as reported not long ago, never under this proxy's own."""
        return (
            max(self.in_flight, self.reported_load)
            if self.has_fresh_load(now)
            else self.in_flight + self.overdue
        )
