"""The endpoints at which a request may be retried (interface types: loadbalancer/messages.py)."""

import random

from loadbalancer.messages import Endpoint
from loadbalancer.policy.fleet_updates import FleetUpdater
from loadbalancer.policy.retry_eligibility import same_deduplication_group
from loadbalancer.settings import DeduplicationScope, Idempotency
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.request import Attempt, Request

ENDPOINTS_OUTSIDE_POOL_MAX = 16  # for one request: its cost must not grow with the endpoint list
UNUSED_STATES_MAX = 64  # states of endpoints outside the pools; beyond this, unused ones are discarded


class RetryCandidates:
    """Finds the endpoints that recognise the idempotency key of a request that may have run."""

    def __init__(self, fleet_updater: FleetUpdater, rng: random.Random) -> None:
        self.fleet_updater = fleet_updater
        self.rng = rng

    def find(self, request: Request, now_ns: int) -> list[EndpointState] | None:
        """Return where a request may be retried; None if the deduplication scope excludes none of its pool.

        Once a request may have run at an endpoint, its retries must stay in that endpoint's zone or cell if
        only the endpoints there recognise its idempotency key. The result does not say whether a retry is
        allowed at all: `may_forward` decides that.
        """
        request_class = request.request_class
        if request_class.idempotency is Idempotency.IDEMPOTENT:
            return None
        if request_class.deduplication_scope is DeduplicationScope.ALL:
            return None
        first = _first_that_may_have_run(request)
        if first is None:
            return None
        reference = first.endpoint_state.endpoint
        in_pool = [
            state
            for state in request.pool.endpoints
            if same_deduplication_group(request_class, state.endpoint, reference)
        ]
        return in_pool + self._group_outside_pool(request, reference, now_ns)

    def _group_outside_pool(self, request: Request, reference: Endpoint, now_ns: int) -> list[EndpointState]:
        """Return some endpoints in the zone or cell of `reference` that are in none of this proxy's pools."""
        pool = request.pool
        fleet = self.fleet_updater.fleet
        if len(pool.endpoints) == len(pool.placement.ring):
            return []
        if len(fleet.endpoints) > len(fleet.pooled_ids) + UNUSED_STATES_MAX:
            self.fleet_updater.discard_unused_states()
        group_ids = fleet.table.ready_in_deduplication_group(
            placement=pool.placement,
            reference=reference,
            scope=request.request_class.deduplication_scope,
            position=self.rng.random(),
            count=ENDPOINTS_OUTSIDE_POOL_MAX,
        )
        outside_ids = [endpoint_id for endpoint_id in group_ids if endpoint_id not in fleet.pooled_ids]
        return self.fleet_updater.get_or_add_states(outside_ids, now_ns)


def _first_that_may_have_run(request: Request) -> Attempt | None:
    return next((attempt for attempt in request.attempts if attempt.may_have_run), None)
