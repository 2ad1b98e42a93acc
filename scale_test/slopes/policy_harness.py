"""Runs the policy of a balancer in this process, on a simulated clock."""

from __future__ import annotations

import statistics
from collections.abc import Sequence

from loadbalancer.messages import (
    Action,
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Forward,
    RequestArrived,
)
from loadbalancer.policy.balancer import Balancer
from scale_test.slopes.measuring import Figures, timed
from scale_test.units import NS_PER_S

FEEDBACK_INTERVAL_NS = NS_PER_S // 2
TIMER_STEP_NS = NS_PER_S // 100
FEEDBACK_MARGIN_NS = NS_PER_S // 50  # no traffic for this long before a tick, so that it runs alone
EVENT_GAP_NS = 10**6
REQUEST_GAP_NS = 10**4
REQUEST_TIMEOUT_NS = 60 * NS_PER_S
ATTEMPT_DURATION_NS = 10**7
SENDING_TENANTS = 40  # tenants with traffic between feedback ticks


class PolicyHarness:
    """Holds a policy and its clock, passes events to the policy, and measures their processor time."""

    def __init__(self, balancer: Balancer) -> None:
        self.balancer = balancer
        self.now_ns = NS_PER_S
        self.requests = 0

    def handle(self, *events: Event, advance_ns: int = EVENT_GAP_NS) -> list[Action]:
        """Advance the clock, then pass these events to the policy."""
        self.now_ns += advance_ns
        return self.balancer.handle(self.now_ns, events)

    def set_endpoints(self, endpoints: Sequence[Endpoint]) -> PolicyHarness:
        """Pass a full list of endpoints to the policy, and return this harness."""
        self.handle(EndpointUpdate(EndpointUpdateKind.FULL, endpoints))
        return self

    def arrive(
        self, request_class: str = "c0", tenant: str = "t0", advance_ns: int = REQUEST_GAP_NS
    ) -> Forward | None:
        """Pass a new request to the policy; return its attempt, or None if it is not forwarded at once."""
        self.requests += 1
        arrival = RequestArrived(str(self.requests), request_class, tenant, self.now_ns + REQUEST_TIMEOUT_NS)
        for action in self.handle(arrival, advance_ns=advance_ns):
            if isinstance(action, Forward):
                return action
        return None

    def end(self, attempt: Forward | None) -> list[Action]:
        """End an attempt, and its request, with a successful response; do nothing if the attempt is None."""
        if attempt is None:
            return []
        ended = AttemptEnded(
            request_id=attempt.request_id,
            attempt=0,
            endpoint_id=attempt.endpoint_id,
            result=AttemptResult.OK,
            elapsed_ns=ATTEMPT_DURATION_NS,
            request_complete=True,
        )
        return self.handle(ended, advance_ns=REQUEST_GAP_NS)

    def measure_request_cpu_s(self, requests: int = 40) -> float:
        """Measure the processor time of one request, from its arrival to the end of its attempt."""
        classes = self.balancer.settings.request_classes

        def serve() -> None:
            for number in range(requests):
                name = f"c{number}"
                self.end(self.arrive(name if name in classes else "c0", f"t{number}"))

        return timed(serve, 3).cpu_s / requests

    def measure_feedback_ticks(self, times: int = 6) -> Figures:
        """Measure the feedback ticks of the policy, which run every half second.

        Returns:
            look_s: The mean processor time of a feedback tick.
            look_top_s: The longest.
        """
        self.handle(advance_ns=FEEDBACK_INTERVAL_NS)  # the tick that starts the first interval
        durations_s = [self._feedback_tick_cpu_s() for _ in range(times)]
        return {"look_s": statistics.mean(durations_s), "look_top_s": max(durations_s)}

    def _feedback_tick_cpu_s(self) -> float:
        end_ns = self.now_ns + FEEDBACK_INTERVAL_NS
        # Light traffic, in steps so short that no timer is late.
        while self.now_ns < end_ns - FEEDBACK_MARGIN_NS:
            self.end(self.arrive(tenant=f"t{self.requests % SENDING_TENANTS}"))
            self.handle(advance_ns=TIMER_STEP_NS)
        return timed(lambda: self.handle(advance_ns=end_ns - self.now_ns)).cpu_s
