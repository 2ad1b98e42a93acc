"""The weighted max-min fair division of a rate among tenants."""

from __future__ import annotations

import random

import pytest

from loadbalancer.policy.fair_shares import divide_rate
from loadbalancer.policy.throttle import Throttle


def make_throttle(weight: float, demand_per_s: float) -> Throttle:
    throttle = Throttle("ash", weight, random.Random(1), 0)
    throttle.demand_per_s = demand_per_s
    return throttle


def test_tenants_with_more_demand_divide_the_remainder_by_weight() -> None:
    throttles = [make_throttle(2.0, 100.0), make_throttle(1.0, 10.0), make_throttle(1.0, 100.0)]

    allocation = divide_rate(100.0, throttles)

    assert allocation.rates == pytest.approx([60.0, 10.0, 30.0])
    assert allocation.unused_rate == pytest.approx(0.0)


def test_each_tenant_may_borrow_the_whole_unused_rate() -> None:
    allocation = divide_rate(100.0, [make_throttle(1.0, 10.0), make_throttle(1.0, 30.0)])

    assert allocation.rates == pytest.approx([70.0, 90.0])
    assert allocation.unused_rate == pytest.approx(60.0)


def test_without_tenants_the_whole_rate_is_unused() -> None:
    assert divide_rate(100.0, []).unused_rate == 100.0
