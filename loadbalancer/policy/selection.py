"""Endpoint selection: power of two choices, plus the last choice (types: loadbalancer/messages.py)."""

import random
from collections.abc import Iterable

from loadbalancer.messages import EndpointStatus
from loadbalancer.policy.concurrency_limit import ConcurrencyLimit
from loadbalancer.policy.latency_model import LatencyModel
from loadbalancer.policy.load_reports import estimated_load, has_fresh_load
from loadbalancer.policy.retry_eligibility import same_deduplication_group
from loadbalancer.policy.slow_start import SlowStart
from loadbalancer.settings import DeduplicationScope, Idempotency
from loadbalancer.state.endpoint_pool import EndpointPool
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.endpoint_updates import EndpointUpdates
from loadbalancer.state.request import Request

DRAWS = 2  # random draws beside the last choice
LOAD_MARGIN = 1.5  # requests that an endpoint may have got since its report, the new one included
SCAN = 16  # most endpoints looked at for one send: work on a request must not grow with the fleet


class Selection:
    """Picks available endpoints."""

    def __init__(
        self,
        updates: EndpointUpdates,
        slow_start: SlowStart,
        limit: ConcurrencyLimit,
        latency_model: LatencyModel,
        rng: random.Random,
    ) -> None:
        self.updates = updates
        self.slow_start = slow_start
        self.concurrency_limit = limit
        self.latency_model = latency_model
        self.rng = rng

    def concurrency_limit_of(self, state: EndpointState, now_ns: int) -> int:
        """Return how many requests of this proxy may be in flight at an endpoint."""
        if not state.in_subset:  # other proxies fill it, and own counts say little of it
            return 0 if state.consecutive_failures or self.slow_start.is_warming_up(state, now_ns) else 1
        if state.consecutive_failures:
            return 1
        limit = self.concurrency_limit.limit
        return max(1, limit // 2) if self.slow_start.is_warming_up(state, now_ns) else limit

    def is_available(self, state: EndpointState, now_ns: int) -> bool:
        """Tell whether an endpoint may be sent a request now."""
        return (
            state.endpoint.status is EndpointStatus.READY
            and now_ns >= state.ejected_until_ns
            and state.in_flight < self.concurrency_limit_of(state, now_ns)
        )

    def draw(self, pool: EndpointPool, count: int, now_ns: int) -> list[EndpointState]:
        """Return so many random draws from the available endpoints of a pool, and its last choice."""
        width, chance = pool.draw_width, self.rng.random
        if width <= SCAN:
            scanned = pool.endpoints[:width]
        else:
            scanned = [pool.endpoints[int(chance() * width)] for _ in range(SCAN)]
        drawn = [scanned[int(chance() * len(scanned))] for _ in range(count)] if scanned else []
        # Seldom: most are available, and looking at all takes time.
        if not all(self.is_available(state, now_ns) for state in drawn):
            available = [state for state in scanned if self.is_available(state, now_ns)]
            drawn = [available[int(chance() * len(available))] for _ in range(count)] if available else []
        last = pool.last_choice
        if last is not None and self.is_available(last, now_ns) and last in pool.endpoints[:width]:
            drawn.append(last)
        return drawn

    def pick(
        self, pool: EndpointPool, now_ns: int, candidates: Iterable[EndpointState] | None = None
    ) -> EndpointState | None:
        """Return the least loaded of two draws and the last choice, or of the candidates.

        The load is that in flight, weighted by how long the endpoint takes for a request.
        """
        if candidates is None:
            drawn = self.draw(pool, DRAWS, now_ns)
        else:
            drawn = [state for state in candidates if self.is_available(state, now_ns)]
        if not drawn:
            return None
        choice = min(drawn, key=lambda state: (estimated_load(state, now_ns) + 1) * state.relative_latency)
        pool.last_choice = choice
        return choice

    def would_answer_late(self, request: Request, state: EndpointState, now_ns: int) -> bool:
        """Tell whether an endpoint that reports a load would answer too late; an idle one never does."""
        if state.reported_load < 1 or not has_fresh_load(state, now_ns):
            return False
        latency_ns = self.latency_model.latency_at(state.reported_load + LOAD_MARGIN)
        return latency_ns * state.relative_latency > request.objective_ns - now_ns

    def retry_candidates(self, request: Request, now_ns: int) -> list[EndpointState] | None:
        """Return where a request that may have run may go again; None: anywhere."""
        request_class = request.request_class
        scope = request_class.deduplication_scope
        first = next((attempt for attempt in request.attempts if attempt.may_have_run), None)
        if first is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return None
        if scope is DeduplicationScope.ALL:
            return None
        pool, like = request.pool, first.endpoint_state.endpoint
        group = [s for s in pool.endpoints if same_deduplication_group(request_class, s.endpoint, like)]
        return group + self.updates.unused_group(pool, like, scope, self.rng.random, SCAN, now_ns)
