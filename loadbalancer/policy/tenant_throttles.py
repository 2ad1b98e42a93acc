"""The throttles of the tenants that send.

Types of the interface: loadbalancer/messages.py.
"""

from __future__ import annotations

import random

from loadbalancer.policy.rate_control import RateController
from loadbalancer.policy.throttle import Throttle
from loadbalancer.settings import Settings, Tenant


class TenantThrottles(dict[str, Throttle]):
    """The throttles of the tenants that send. One is made at a tenant's first request, as if it had always
    been there, and dropped when it is idle: tenants that are silent cost nothing, however many there are."""

    def __init__(self, settings: Settings, rng: random.Random, now: int, aim_ns: int) -> None:
        super().__init__()
        self.tenants = settings.tenants or {"": Tenant("")}
        self.default_tenant = next(iter(self.tenants))  # who is not known passes for this one
        self.rng, self.now, self.aim_ns = rng, now, aim_ns
        self.rate_controller = RateController(
            self.values(), now, sum(max(1e-6, t.quota_share) for t in self.tenants.values())
        )

    def __missing__(self, name: str) -> Throttle:
        if name not in self.tenants:
            return self[self.default_tenant]
        self[name] = made = Throttle(
            max(1e-6, self.tenants[name].quota_share), self.rng, self.now, self.aim_ns
        )
        made.set_rate(self.rate_controller.rate_of_idle_tenant(made.weight), self.now)
        return made

    def forget_idle(self, now: int) -> None:
        for name in [name for name, throttle in self.items() if throttle.is_idle(now)]:
            del self[name]
