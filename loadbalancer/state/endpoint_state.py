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

    def clear_failures(self) -> None:
        """Clear the failures in a row and end the ejection."""
        self.consecutive_failures = 0
        self.ejected_until_ns = 0

    def record_failure(self) -> None:
        """Count one more failure in a row."""
        self.consecutive_failures += 1

    def eject_until(self, until_ns: int) -> None:
        """Eject the endpoint until a time."""
        self.ejected_until_ns = until_ns

    def extend_ejection(self, until_ns: int) -> None:
        """Eject the endpoint until a time, or for as long as it is ejected already."""
        self.ejected_until_ns = max(self.ejected_until_ns, until_ns)

    def record_response(self, sent_ns: int) -> None:
        """Record that the endpoint has answered an attempt that was sent at a time."""
        self.last_answered_ns = max(self.last_answered_ns, sent_ns)

    def record_ended_attempt(self, was_reset: bool) -> None:
        """Count an attempt that has ended, and whether its connection broke."""
        self.recent_attempts += 1
        if was_reset:
            self.recent_resets += 1
            self.consecutive_resets += 1
        else:
            self.consecutive_resets = 0

    def decay_ended_attempts(self, factor: float) -> None:
        """Multiply the counts of ended attempts and resets by a factor."""
        self.recent_attempts *= factor
        self.recent_resets *= factor

    def restart_occupancy(self, now_ns: int) -> None:
        """Measure from now on for how long the endpoint has held its requests in flight."""
        self.in_flight_since_ns = now_ns

    def adjust_relative_latency(self, ratio: float, weight: float) -> None:
        """Move the relative latency towards a new sample of it, which has this weight (0 to 1)."""
        self.relative_latency += weight * (ratio - self.relative_latency)

    def record_check_sent(self, now_ns: int) -> None:
        """Record that a health check is sent."""
        self.checked_ns = now_ns

    def record_check_reset(self, now_ns: int) -> None:
        """Record that the connection of a health check broke."""
        self.failed_check_ns = now_ns

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
