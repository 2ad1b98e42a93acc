"""Requests, endpoint states and attempts for unit tests of the policy."""

from __future__ import annotations

from loadbalancer.messages import AttemptResult, Endpoint
from loadbalancer.settings import RequestClass
from loadbalancer.state.endpoint_pool import EndpointPool
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.placement import Placement
from loadbalancer.state.request import Attempt, Request
from loadbalancer.state.token_bank import TokenBank
from tests.support.policy_harness import NANOSECONDS_PER_MILLISECOND, READ, START_NS, make_endpoints


def make_request(
    request_class: RequestClass = READ, deadline_ms: int = 500, cost_hint_ns: int = 0, request_id: str = "r1"
) -> Request:
    """Return a request that arrives at START_NS, with an endpoint pool and a token bank of its own."""
    deadline_ns = START_NS + deadline_ms * NANOSECONDS_PER_MILLISECOND
    bank = TokenBank(
        rate_per_s=1.0, bank_capacity=1, buffer_capacity=1, fractional_token=0.0, now_ns=START_NS
    )
    return Request(
        id=request_id,
        request_class=request_class,
        pool=EndpointPool(Placement(None, None)),
        tenant="ash",
        token_bank=bank,
        deadline_ns=deadline_ns,
        objective_ns=min(START_NS + request_class.latency_objective_ns, deadline_ns),
        cost_hint_ns=cost_hint_ns,
    )


def make_state(endpoint: Endpoint | None = None) -> EndpointState:
    """Return the state of an endpoint that is in the proxy's subset."""
    endpoint = endpoint or make_endpoints(1)[0]
    return EndpointState(endpoint.id, endpoint, in_subset=True)


def add_attempt(
    request: Request,
    state: EndpointState,
    result: AttemptResult | None = None,
    may_have_run: bool = True,
    expected_ms: int = 20,
) -> Attempt:
    """Add an attempt that was sent at START_NS, and return it; it is in flight if `result` is None."""
    attempt = Attempt(
        endpoint_state=state,
        sent_ns=START_NS,
        expected_ns=expected_ms * NANOSECONDS_PER_MILLISECOND,
        load=1.0,
    )
    if result is not None:
        attempt.end(result, may_have_run=may_have_run)
    request.attempts.append(attempt)
    return attempt
