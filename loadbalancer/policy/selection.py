"""Endpoint selection: power of two choices with memory (interface types: loadbalancer/messages.py).

The endpoint that was selected last competes with the two random choices.
"""

import random
from collections.abc import Iterable

from loadbalancer.messages import EndpointStatus
from loadbalancer.policy.concurrency_limit import ConcurrencyLimit
from loadbalancer.policy.latency_model import LatencyModel
from loadbalancer.policy.load_estimate import estimated_load, has_fresh_load
from loadbalancer.policy.slow_start import SlowStart
from loadbalancer.state.endpoint_pool import EndpointPool
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.request import Request

RANDOM_CHOICES = 2
SCANNED_ENDPOINTS_MAX = 16  # for one request: its cost must not grow with the pool
RESERVE_MAX_IN_FLIGHT = 1  # requests in flight at an endpoint outside the subset
FAILING_ENDPOINT_MAX_IN_FLIGHT = 1  # requests in flight at an endpoint that failed since its last success
WARMING_UP_LIMIT_DIVISOR = 2
REQUESTS_SINCE_REPORT = 1.5  # assumed to reach an endpoint after its load report, including the new one


class Selection:
    """Selects an available endpoint for each attempt."""

    def __init__(
        self,
        slow_start: SlowStart,
        concurrency_limit: ConcurrencyLimit,
        latency_model: LatencyModel,
        rng: random.Random,
    ) -> None:
        self.slow_start = slow_start
        self.concurrency_limit = concurrency_limit
        self.latency_model = latency_model
        self.rng = rng

    def concurrency_limit_of(self, state: EndpointState, now_ns: int) -> int:
        """Return how many requests of this proxy may be in flight at an endpoint at once."""
        if not state.in_subset:
            return self._reserve_limit(state, now_ns)
        if state.consecutive_failures:
            return FAILING_ENDPOINT_MAX_IN_FLIGHT
        limit = self.concurrency_limit.limit
        if self.slow_start.is_warming_up(state, now_ns):
            return max(1, limit // WARMING_UP_LIMIT_DIVISOR)
        return limit

    def _reserve_limit(self, state: EndpointState, now_ns: int) -> int:
        """Return the limit outside the subset, where the number of other proxies' requests is unknown."""
        if state.consecutive_failures or self.slow_start.is_warming_up(state, now_ns):
            return 0
        return RESERVE_MAX_IN_FLIGHT

    def is_available(self, state: EndpointState, now_ns: int) -> bool:
        """Return whether an endpoint may be sent a request now."""
        return (
            state.endpoint.status is EndpointStatus.READY
            and now_ns >= state.ejected_until_ns
            and state.in_flight < self.concurrency_limit_of(state, now_ns)
        )

    def draw(self, pool: EndpointPool, count: int, now_ns: int) -> list[EndpointState]:
        """Return `count` random draws from a pool's available endpoints, and its last choice if available."""
        scanned = self._scan(pool)
        drawn = self._random_choices(scanned, count)
        if not all(self.is_available(state, now_ns) for state in drawn):
            # Rarely needed: most endpoints are available, and checking all that are scanned takes time.
            drawn = self._random_choices(self._available(scanned, now_ns), count)
        last = pool.last_choice
        if last is not None and self.is_available(last, now_ns) and last in pool.endpoints[: pool.draw_width]:
            drawn.append(last)
        return drawn

    def _scan(self, pool: EndpointPool) -> list[EndpointState]:
        """Return the endpoints that a pool draws from, or a random sample if there are many."""
        width = pool.draw_width
        if width <= SCANNED_ENDPOINTS_MAX:
            return pool.endpoints[:width]
        random_unit = self.rng.random
        return [pool.endpoints[int(random_unit() * width)] for _ in range(SCANNED_ENDPOINTS_MAX)]

    def _random_choices(self, endpoints: list[EndpointState], count: int) -> list[EndpointState]:
        """Return `count` random draws, with replacement; none if there are no endpoints."""
        if not endpoints:
            return []
        random_unit = self.rng.random
        return [endpoints[int(random_unit() * len(endpoints))] for _ in range(count)]

    def _available(self, endpoints: Iterable[EndpointState], now_ns: int) -> list[EndpointState]:
        return [state for state in endpoints if self.is_available(state, now_ns)]

    def pick(
        self, pool: EndpointPool, now_ns: int, candidates: Iterable[EndpointState] | None = None
    ) -> EndpointState | None:
        """Return the least loaded of two random draws and the last choice, or of the available candidates.

        The endpoint is recorded as the pool's last choice. Returns None if no endpoint is available.
        """
        if candidates is None:
            available = self.draw(pool, RANDOM_CHOICES, now_ns)
        else:
            available = self._available(candidates, now_ns)
        if not available:
            return None
        choice = _least_loaded(available, now_ns)
        pool.record_choice(choice)
        return choice

    def would_respond_late(self, request: Request, state: EndpointState, now_ns: int) -> bool:
        """Return whether an endpoint, by its load report, would respond after the latency objective.

        False without a recent load report, or if the reported load is less than one request.
        """
        if state.reported_load < 1 or not has_fresh_load(state, now_ns):
            return False
        load = state.reported_load + REQUESTS_SINCE_REPORT
        latency_ns = self.latency_model.latency_at(load)
        return latency_ns * state.relative_latency > request.objective_ns - now_ns


def _least_loaded(endpoints: Iterable[EndpointState], now_ns: int) -> EndpointState:
    """Return the endpoint with the least load, weighted by its relative latency."""

    def weighted_load(state: EndpointState) -> float:
        return (estimated_load(state, now_ns) + 1) * state.relative_latency

    return min(endpoints, key=weighted_load)
