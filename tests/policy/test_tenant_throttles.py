"""Creation and removal of tenants' throttles, and their cost with many configured tenants."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from loadbalancer.messages import AttemptEnded, AttemptResult, EndpointUpdate, EndpointUpdateKind, Forward
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.rate_control import FEEDBACK_INTERVAL_NS
from loadbalancer.settings import Tenant
from loadbalancer.state.token_bank import TokenBank
from tests.support.policy_harness import START_NS, PolicyHarness, arrival, make_endpoints, make_settings


def make_tenants(count: int) -> dict[str, Tenant]:
    """Return tenants t0, t1, ... with equal quotas."""
    return {f"t{i}": Tenant(f"t{i}", 1 / count) for i in range(count)}


@dataclass
class Cost:
    """Measures of the memory and processor time that the throttles of a proxy take."""

    throttles: int  # number of throttles at the end
    accruals: int  # number of calls of `TokenBank.accrue`


def measure_cost(count: int, monkeypatch: pytest.MonkeyPatch) -> Cost:
    """Serve 10 seconds of requests from 20 tenants while `count` tenants are configured; return the cost."""
    balancer = Balancer(make_settings(tenants=make_tenants(count)), 1, START_NS)
    now_ns = START_NS
    accruals = 0
    accrue = TokenBank.accrue

    def count_and_accrue(bank: TokenBank, now_ns: int) -> None:
        nonlocal accruals
        accruals += 1
        accrue(bank, now_ns)

    monkeypatch.setattr(TokenBank, "accrue", count_and_accrue)
    balancer.handle(now_ns, [EndpointUpdate(EndpointUpdateKind.FULL, make_endpoints(6))])
    for i in range(200):
        now_ns += FEEDBACK_INTERVAL_NS // 10
        for action in balancer.handle(now_ns, [arrival(i, now_ns, tenant=f"t{i % 20}")]):
            if isinstance(action, Forward):
                ended = AttemptEnded(action.request_id, 0, action.endpoint_id, AttemptResult.OK, 1, True)
                balancer.handle(now_ns, [ended])
    monkeypatch.undo()
    return Cost(len(balancer.throttles), accruals)


def test_tenants_that_send_nothing_cost_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    few = measure_cost(100, monkeypatch)
    many = measure_cost(100_000, monkeypatch)
    assert few == many
    assert many.throttles == 20


def test_a_tenant_that_sends_again_has_a_full_bank() -> None:
    harness = PolicyHarness(make_settings(tenants=make_tenants(3)))
    for i in range(60):  # t1 takes tokens from its bank, then only t0 sends requests
        tenant = "t1" if i < 10 else "t0"
        harness.deliver(arrival(i, harness.now_ns, tenant=tenant))
        harness.finish(f"r{i}")
        harness.now_ns += FEEDBACK_INTERVAL_NS
    throttles = harness.balancer.throttles
    assert {throttle.tenant for throttle in throttles.values()} == {"t0"}

    recreated = throttles.get_or_create("t1", harness.now_ns)

    assert recreated.bank.counter == recreated.bank.bank_capacity + recreated.bank.buffer_capacity
    assert recreated.bank.rate_per_s == harness.balancer.rate_controller.guaranteed_rate(recreated.weight)


def test_an_unknown_tenant_uses_the_throttle_of_the_first_tenant() -> None:
    throttles = PolicyHarness(make_settings(tenants=make_tenants(3))).balancer.throttles
    assert throttles.get_or_create("nobody", START_NS) is throttles.get_or_create("t0", START_NS)


def test_the_throttle_of_a_buffered_request_is_not_dropped() -> None:
    harness = PolicyHarness(make_settings(tenants=make_tenants(2)))
    throttle = harness.balancer.throttles.get_or_create("t1", harness.now_ns)
    throttle.set_rate(0.5, harness.now_ns)
    throttle.bank.counter = throttle.bank.buffer_capacity
    harness.deliver(arrival("buffered", harness.now_ns, tenant="t1"))
    assert throttle.buffer

    harness.balancer.throttles.drop_idle(harness.now_ns)

    assert harness.balancer.throttles.get("t1") is throttle
