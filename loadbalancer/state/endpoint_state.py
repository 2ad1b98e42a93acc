"""What this proxy knows of one endpoint that it uses."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.messages import Endpoint

LOAD_MAX = 1e6  # no endpoint has so many requests in flight: a report of more is not believed


@dataclass(slots=True, eq=False)
class EndpointState:
    """The counters and times kept for one endpoint; `policy` says what follows from them."""

    id: int
    endpoint: Endpoint
    in_flight: int = 0  # own attempts there, without the overdue ones
    overdue: int = 0  # own attempts whose answer is lost, while the endpoint answers others
    last_answered_ns: int = 0  # the latest time of a send that it has answered
    in_flight_since_ns: int = 0  # since when `in_flight` has had its value
    relative_latency: float = 1.0  # its time for a request, as a multiple of the mean over the endpoints
    consecutive_failures: int = 0
    ejected_until_ns: int = 0  # it is not tried before this time
    recent_attempts: float = 0.0  # attempts that ended here, old ones counting less
    recent_resets: float = 0.0  # those of them whose connection broke
    consecutive_resets: int = 0  # how many of the last attempts in a row had their connection broken
    reserve_rank: int = 0  # its place in the reserve, different for each proxy
    in_subset: bool = False  # in the subset of one of this proxy's pools
    reported_load: float = 0.0  # requests in flight there from all proxies, by its last report
    reported_ns: int = 0  # when that report came
    checked_ns: int = 0  # the last health check sent to it
    failed_check_ns: int = 0  # the last health check whose connection broke

    def record_load(self, load: float | None, now_ns: int) -> None:
        """Take a reported load; what cannot be one (negative, huge, not a number) says nothing."""
        if load is not None and 0 <= load < LOAD_MAX:
            self.reported_load = load
            self.reported_ns = now_ns

    def add_attempt(self) -> None:
        """Count an attempt that is sent to it, in its reported load too."""
        self.in_flight += 1
        if self.reported_ns > 0:
            self.reported_load += 1

    def mark_overdue(self) -> None:
        """Count one of its attempts as overdue from now on."""
        self.in_flight -= 1
        self.overdue += 1

    def remove_attempt(self, overdue: bool) -> None:
        """Count an attempt that has ended no longer."""
        if overdue:
            self.overdue -= 1
        else:
            self.in_flight -= 1
        self.reported_load = max(0.0, self.reported_load - 1)

    def record_response(self, sent_ns: int) -> None:
        """Record that it has answered a request sent at `sent_ns`."""
        self.last_answered_ns = max(self.last_answered_ns, sent_ns)

    def restart_occupancy(self, now_ns: int) -> None:
        """Measure from now on how long `in_flight` has its value."""
        self.in_flight_since_ns = now_ns

    def clear_failures(self) -> None:
        """Clear the failures in a row and end the ejection."""
        self.consecutive_failures = 0
        self.ejected_until_ns = 0
