"""Throttles of the tenants that send requests, and tenant weights (types: loadbalancer/messages.py)."""

import random
from collections.abc import Collection, Mapping

from loadbalancer.policy.rate_control import RateController
from loadbalancer.policy.throttle import Throttle
from loadbalancer.settings import Settings, Tenant

TENANT_WEIGHT_MIN = 1e-6  # the weight of a tenant without a quota


def _tenants(settings: Settings) -> Mapping[str, Tenant]:
    """Return the configured tenants by name, or a single tenant with an empty name if there are none."""
    return settings.tenants or {"": Tenant("")}


def _weight(tenant: Tenant) -> float:
    return max(TENANT_WEIGHT_MIN, tenant.quota_share)


def total_tenant_weight(settings: Settings) -> float:
    """Return the sum of the weights of all configured tenants."""
    return sum(_weight(tenant) for tenant in _tenants(settings).values())


class TenantThrottles:
    """The throttles of the tenants that send requests.

    A throttle is created at the first request of its tenant, in the state that it would have if it had always
    existed, and dropped when it is idle. Tenants that send nothing therefore have no throttle that takes
    memory or processor time, however many are configured.
    """

    def __init__(
        self,
        settings: Settings,
        rate_controller: RateController,
        rng: random.Random,
        shortest_objective_ns: int,
    ) -> None:
        self._tenants = _tenants(settings)
        self._default_tenant = next(iter(self._tenants))  # fallback for unknown tenants
        self._rate_controller = rate_controller
        self._rng = rng
        self._shortest_objective_ns = shortest_objective_ns
        self._throttles: dict[str, Throttle] = {}

    def __len__(self) -> int:
        return len(self._throttles)

    def values(self) -> Collection[Throttle]:
        """Return the throttles of the tenants that send requests, in order of creation."""
        return self._throttles.values()

    def get_or_create(self, tenant: str, now_ns: int) -> Throttle:
        """Return a tenant's throttle, created if missing; unknown tenants share the default tenant's."""
        throttle = self._throttles.get(tenant)
        if throttle is not None:
            return throttle
        if tenant not in self._tenants:
            return self.get_or_create(self._default_tenant, now_ns)
        throttle = Throttle(
            tenant=tenant,
            weight=_weight(self._tenants[tenant]),
            rng=self._rng,
            now_ns=now_ns,
            shortest_objective_ns=self._shortest_objective_ns,
        )
        throttle.set_rate(self._rate_controller.guaranteed_rate(throttle.weight), now_ns)
        self._throttles[tenant] = throttle
        return throttle

    def get(self, tenant: str) -> Throttle:
        """Return the existing throttle of a configured tenant.

        Raises:
            KeyError: The tenant has no throttle now.
        """
        return self._throttles[tenant]

    def drop_idle(self, now_ns: int) -> None:
        """Drop the throttles that a new one can replace without any effect (`Throttle.is_idle`)."""
        for throttle in list(self._throttles.values()):
            if throttle.is_idle(now_ns):
                del self._throttles[throttle.tenant]
