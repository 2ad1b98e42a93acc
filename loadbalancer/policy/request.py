"""One request and its attempts: which further attempt or rejection is legal.

Types of the interface: loadbalancer/messages.py.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from loadbalancer.messages import NEVER_RAN, AttemptResult, EndpointStatus
from loadbalancer.settings import DeduplicationScope, Idempotency, Limits, RequestClass, Rules

if TYPE_CHECKING:
    from loadbalancer.policy.endpoint_state import EndpointState
    from loadbalancer.policy.throttle import Throttle
    from loadbalancer.state.endpoint_pool import EndpointPool


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request."""

    endpoint_state: EndpointState
    sent_ns: int
    expected_ns: float
    load: float  # what the upstream was thought to hold then, this one included
    result: AttemptResult | None = None
    may_have_run: bool = True  # until its outcome proves the contrary
    overdue: bool = False  # out longer than its upstream should take: no longer in flight there

    def record_result(self, result: AttemptResult, rules: Rules) -> None:
        """Note its outcome. "Full" proves nothing where upstreams also drop what they had begun."""
        self.result = result
        self.may_have_run = result not in NEVER_RAN or (
            result is AttemptResult.REJECTED and rules.rejected_may_have_run
        )


@dataclass(slots=True, eq=False)
class Request:
    """What one request may still do: each send and refusal is proved legal here (rules 1 to 3, placement)."""

    id: str
    request_class: RequestClass
    pool: EndpointPool  # the upstreams that its class may use
    throttle: Throttle
    deadline_ns: int
    objective_ns: int  # an answer by then earns the full worth
    cost_hint_ns: int
    attempts: list[Attempt] = field(default_factory=list)
    finished: bool = False
    streaming: bool = False  # its stream has begun
    delayed_by_throttle: bool = (
        False  # half its time went by in its throttle: a late end says nothing of the upstreams
    )
    stalled: bool = False  # the proxy stood still while it was open: nor does any of its times
    place: str = ""  # "held" by its throttle, "queued", or ""
    give_up_ns: int = 0  # waiting longer than this is of no use
    probed_endpoints: list[EndpointState] = field(default_factory=list)  # asked for their load on its behalf
    probed_ns: int = 0

    @property
    def attempts_in_flight(self) -> int:
        return sum(a.result is None for a in self.attempts)

    def may_forward(self, server: EndpointState, now: int, limits: Limits) -> bool:
        if (
            self.finished
            or self.streaming
            or now >= self.deadline_ns
            or len(self.attempts) >= limits.max_attempts
            or not self.pool.admits(server.endpoint)
        ):
            return False
        if server.endpoint.status is not EndpointStatus.READY or self.attempts_in_flight >= (
            2 if limits.hedging else 1
        ):
            return False
        risky = [a for a in self.attempts if a.may_have_run]
        if not risky or self.request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        up_ns = now + limits.connect_timeout_ns  # it may go out as late as this, if it needs a new connection
        fresh = (
            self.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
            and up_ns - risky[0].sent_ns < self.request_class.deduplication_window_ns
        )
        return fresh and all(self._same_group(a.endpoint_state, server) for a in risky)

    def may_reject(self) -> bool:
        everywhere = (
            self.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
            and self.request_class.deduplication_scope is DeduplicationScope.ALL
        )
        return (
            self.request_class.idempotency is Idempotency.IDEMPOTENT
            or everywhere
            or not any(a.may_have_run for a in self.attempts)
        )

    def _same_group(self, x: EndpointState, y: EndpointState) -> bool:
        if self.request_class.deduplication_scope is DeduplicationScope.ALL:
            return True
        a, b = x.endpoint, y.endpoint
        return a.zone == b.zone and (
            self.request_class.deduplication_scope is DeduplicationScope.ZONE or a.cell == b.cell
        )
