"""The throttles of the tenants that send."""

from __future__ import annotations

import random

from loadbalancer.policy.rate_control import RateController
from loadbalancer.policy.throttle import Throttle
from loadbalancer.settings import Settings, Tenant

WEIGHT_MIN = 1e-6  # of a tenant without a quota


class TenantThrottles(dict[str, Throttle]):
    """The throttles of the tenants that send, by name.

    One is made at a tenant's first request, as if it had always been there, and dropped when it is idle:
    silent tenants cost nothing, however many there are.
    """

    def __init__(self, settings: Settings, rng: random.Random, now_ns: int, objective_ns: int) -> None:
        super().__init__()
        self.tenants = settings.tenants or {"": Tenant("")}
        self.default_tenant = next(iter(self.tenants))  # stands for tenants that are not configured
        self.rng, self.now_ns, self.objective_ns = rng, now_ns, objective_ns
        total_weight = sum(self._weight(name) for name in self.tenants)
        self.rate_controller = RateController(self.values(), now_ns, total_weight)

    def __missing__(self, name: str) -> Throttle:
        if name not in self.tenants:
            return self[self.default_tenant]
        throttle = self[name] = Throttle(self._weight(name), self.rng, self.now_ns, self.objective_ns)
        throttle.set_rate(self.rate_controller.rate_of_idle_tenant(throttle.weight), self.now_ns)
        return throttle

    def _weight(self, name: str) -> float:
        return max(WEIGHT_MIN, self.tenants[name].quota_share)

    def forget_idle(self, now_ns: int) -> None:
        """Drop the throttles that a new one could replace."""
        for name in [name for name, throttle in self.items() if throttle.is_idle(now_ns)]:
            del self[name]
