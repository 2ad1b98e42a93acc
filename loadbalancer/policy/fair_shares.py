"""Weighted max-min fair division of a rate among tenants (types: loadbalancer/messages.py).

Tenants are served in order of demand per weight. Each gets its demand or, if that is less, its share by
weight of the rate that the tenants before it leave.
"""

from collections.abc import Collection
from typing import NamedTuple

from loadbalancer.policy.throttle import Throttle

REMAINING_WEIGHT_MIN = 1e-9  # avoids a division by 0 or less, which rounding errors may leave


class Allocation(NamedTuple):
    """The division of a rate among tenants, in requests per second."""

    rates: list[float]  # by tenant: its share plus the whole unused rate, which each tenant may borrow
    unused_rate: float  # the rate less the demand of all tenants, at least 0


def _demand_by_weight(indexed_throttle: tuple[int, Throttle]) -> float:
    _, throttle = indexed_throttle
    return throttle.demand_per_s / throttle.weight


def divide_rate(rate: float, throttles: Collection[Throttle]) -> Allocation:
    """Divide a rate by demand and weight, starting with the tenants of the least demand per weight."""
    shares = [0.0] * len(throttles)
    available_rate = rate
    remaining_weight = sum(throttle.weight for throttle in throttles)
    for index, throttle in sorted(enumerate(throttles), key=_demand_by_weight):
        shares[index] = min(throttle.demand_per_s, available_rate * throttle.weight / remaining_weight)
        available_rate = max(0.0, available_rate - shares[index])
        remaining_weight = max(REMAINING_WEIGHT_MIN, remaining_weight - throttle.weight)
    return Allocation([share + available_rate for share in shares], available_rate)
