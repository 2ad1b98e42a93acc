"""Which tenants have a throttle, and with what weight (types: loadbalancer/messages.py)."""

import random
from collections.abc import Collection

from loadbalancer.policy.rate_control import RateController
from loadbalancer.policy.throttle import Throttle
from loadbalancer.settings import Settings, Tenant

TENANT_WEIGHT_MIN = 1e-6  # the weight of a tenant without a quota


class TenantThrottles:
    """The throttles of the tenants that send.

    One is made at a tenant's first request, as if it had always been there, and dropped when it is idle:
    silent tenants cost nothing, however many there are.
    """

    def __init__(
        self, settings: Settings, rng: random.Random, now_ns: int, shortest_objective_ns: int
    ) -> None:
        self._tenants = settings.tenants or {"": Tenant("")}
        self._default_tenant = next(iter(self._tenants))  # stands for tenants that are not configured
        self._rng = rng
        self._shortest_objective_ns = shortest_objective_ns
        self._throttles: dict[str, Throttle] = {}
        total_weight = sum(self._weight(tenant) for tenant in self._tenants)
        self.rate_controller = RateController(total_weight, now_ns)

    def __len__(self) -> int:
        return len(self._throttles)

    def values(self) -> Collection[Throttle]:
        """Return the throttles of the tenants that send, in the order in which they were made."""
        return self._throttles.values()

    def of(self, tenant: str, now_ns: int) -> Throttle:
        """Return the throttle of a tenant, made anew if it has none."""
        throttle = self._throttles.get(tenant)
        if throttle is not None:
            return throttle
        if tenant not in self._tenants:
            return self.of(self._default_tenant, now_ns)
        throttle = Throttle(
            tenant=tenant,
            weight=self._weight(tenant),
            rng=self._rng,
            now_ns=now_ns,
            shortest_objective_ns=self._shortest_objective_ns,
        )
        throttle.set_rate(self.rate_controller.rate_of_idle_tenant(throttle.weight), now_ns)
        self._throttles[tenant] = throttle
        return throttle

    def existing(self, tenant: str) -> Throttle:
        """Return the throttle that a configured tenant has; KeyError if it has none."""
        return self._throttles[tenant]

    def drop_idle(self, now_ns: int) -> None:
        """Drop the throttles that a new one could replace."""
        for throttle in list(self._throttles.values()):
            if throttle.is_idle(now_ns):
                del self._throttles[throttle.tenant]

    def _weight(self, tenant: str) -> float:
        return max(TENANT_WEIGHT_MIN, self._tenants[tenant].quota_share)
