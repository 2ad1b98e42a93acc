"""Max-min fair division of a rate among the tenants that send (types: loadbalancer/messages.py).

Each tenant gets its demand or, if that is less, its part by weight of what tenants with less demand leave.
"""

from collections.abc import Collection
from typing import NamedTuple

from loadbalancer.policy.throttle import Throttle

REMAINING_WEIGHT_MIN = 1e-9  # rounding may leave less than no weight: no division by it


class Allocation(NamedTuple):
    """A rate as it is divided among the tenants, in requests a second."""

    rates: list[float]  # one for each tenant: its share and, on top, all of the unused rate
    unused_rate: float  # what the demand of all tenants leaves


def _demand_by_weight(indexed_throttle: tuple[int, Throttle]) -> float:
    _, throttle = indexed_throttle
    return throttle.demand_per_s / throttle.weight


def divide_rate(rate: float, throttles: Collection[Throttle]) -> Allocation:
    """Divide a rate by demand and weight, the tenants with the least demand for their weight first."""
    shares = [0.0] * len(throttles)
    available_rate = rate
    remaining_weight = sum(throttle.weight for throttle in throttles)
    for index, throttle in sorted(enumerate(throttles), key=_demand_by_weight):
        shares[index] = min(throttle.demand_per_s, available_rate * throttle.weight / remaining_weight)
        available_rate = max(0.0, available_rate - shares[index])
        remaining_weight = max(REMAINING_WEIGHT_MIN, remaining_weight - throttle.weight)
    return Allocation([share + available_rate for share in shares], available_rate)
