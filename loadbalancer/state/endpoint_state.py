"""The state that a proxy keeps for each endpoint that it uses."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.messages import Endpoint, EndpointStatus

LOAD_MAX = 1e6  # a report of this many requests in flight, or more, is invalid


@dataclass(slots=True, eq=False)
class EndpointState:
    """Counters and timestamps of one endpoint; the rules that use them are in `loadbalancer/policy`."""

    id: int
    endpoint: Endpoint  # its entry in the endpoint list
    reserve_rank: int = 0  # a hash, by which this proxy orders its reserve
    in_subset: bool = False  # in the subset of one of this proxy's pools
    # Attempts of this proxy.
    in_flight: int = 0  # attempts in flight, without those presumed lost
    presumed_lost: int = 0  # attempts in flight whose response is presumed lost
    in_flight_since_ns: int = 0  # `in_flight` is known to have had its present value since this time
    latest_answered_send_ns: int = 0  # the latest send time of the attempts that have succeeded
    relative_latency: float = 1.0  # latency of the endpoint as a multiple of the mean over the endpoints
    # Failures.
    consecutive_failures: int = 0
    ejected_until_ns: int = 0
    recent_attempts: float = 0.0  # ended attempts, neither cancelled nor unsent; decays over time
    recent_resets: float = 0.0  # number of these attempts whose connection broke
    consecutive_resets: int = 0
    # Reported load.
    reported_load: float = 0.0  # requests of all proxies in flight: last report, own starts and ends since
    reported_ns: int = 0  # when that report was received; 0: none yet
    check_sent_ns: int = 0  # when the last health check was sent, repetitions excluded
    check_reset_ns: int = 0  # when a health check was last repeated because its connection broke

    # ---- endpoint list -----------------------------------------------------------------------------------

    def update_entry(self, endpoint: Endpoint) -> None:
        """Store a new entry of the endpoint list."""
        self.endpoint = endpoint

    def mark_removed(self) -> None:
        """Record that the endpoint is no longer listed, or that this state receives no further updates."""
        self.endpoint = self.endpoint._replace(status=EndpointStatus.REMOVED)

    def join_subset(self) -> None:
        """Record that the endpoint is in the subset of one of this proxy's pools."""
        self.in_subset = True

    def leave_subset(self) -> None:
        """Record that the endpoint is in no subset of this proxy's pools."""
        self.in_subset = False

    # ---- attempts ----------------------------------------------------------------------------------------

    def add_attempt(self) -> None:
        """Count an attempt that is being sent, also in the reported load if there is one."""
        self.in_flight += 1
        if self.reported_ns > 0:
            self.reported_load += 1

    def mark_presumed_lost(self) -> None:
        """Move one attempt from `in_flight` to `presumed_lost`."""
        self.in_flight -= 1
        self.presumed_lost += 1

    def remove_attempt(self, *, presumed_lost: bool) -> None:
        """Remove an attempt that has ended from the counts and from the reported load."""
        if presumed_lost:
            self.presumed_lost -= 1
        else:
            self.in_flight -= 1
        self.reported_load = max(0.0, self.reported_load - 1)

    def record_response(self, sent_ns: int) -> None:
        """Record that an attempt that was sent at `sent_ns` has succeeded."""
        self.latest_answered_send_ns = max(self.latest_answered_send_ns, sent_ns)

    def restart_occupancy(self, now_ns: int) -> None:
        """Start to measure how long `in_flight` keeps its present value."""
        self.in_flight_since_ns = now_ns

    def adjust_relative_latency(self, ratio: float, weight: float) -> None:
        """Move the relative latency towards a new sample, by the fraction `weight` of the difference."""
        self.relative_latency += weight * (ratio - self.relative_latency)

    # ---- failures ----------------------------------------------------------------------------------------

    def record_failure(self) -> None:
        """Count one more consecutive failure."""
        self.consecutive_failures += 1

    def clear_failures_and_ejection(self) -> None:
        """Reset the count of consecutive failures, and end the ejection or pacing."""
        self.consecutive_failures = 0
        self.ejected_until_ns = 0

    def eject_until(self, until_ns: int) -> None:
        """Eject the endpoint until `until_ns`."""
        self.ejected_until_ns = until_ns

    def extend_ejection(self, until_ns: int) -> None:
        """Eject the endpoint at least until `until_ns`; a later end is kept."""
        self.ejected_until_ns = max(self.ejected_until_ns, until_ns)

    def record_ended_attempt(self, *, was_reset: bool) -> None:
        """Count an attempt that has ended, and whether its connection broke."""
        self.recent_attempts += 1
        if was_reset:
            self.recent_resets += 1
            self.consecutive_resets += 1
        else:
            self.consecutive_resets = 0

    def decay_ended_attempts(self, factor: float) -> None:
        """Multiply the counts of ended attempts and of resets by a factor."""
        self.recent_attempts *= factor
        self.recent_resets *= factor

    # ---- load reports ------------------------------------------------------------------------------------

    def record_load(self, load: float | None, now_ns: int) -> None:
        """Store a reported load; None and invalid loads (negative, NaN, `LOAD_MAX` or more) are ignored."""
        if load is not None and 0 <= load < LOAD_MAX:
            self.reported_load = load
            self.reported_ns = now_ns

    def record_check_sent(self, now_ns: int) -> None:
        """Record that a health check is being sent."""
        self.check_sent_ns = now_ns

    def record_check_reset(self, now_ns: int) -> None:
        """Record that the connection of a health check broke, and that the check is repeated."""
        self.check_reset_ns = now_ns
