"""Ejection of endpoints that fail (interface types: loadbalancer/messages.py).

`OutlierDetection.eject` ejects an endpoint for a base time after its first failure. The time doubles with
each further failure in a row, at most EJECTION_DOUBLINGS_MAX times, and is capped at EJECTION_MAX_NS. It is
then multiplied by a random factor from EJECTION_JITTER_MIN to EJECTION_JITTER_MAX. The base time depends on
the failure:

- no connection (also if this proxy's own connection limit is reached), or a reset that is attributed to the
  endpoint: BASE_EJECTION_NS;
- an attempt that took too long or was rejected (`eject_overloaded`): its expected duration, at most the
  shortest latency objective.

An endpoint is not ejected while at least EJECTED_FRACTION_MAX of the endpoints that one of its pools draws
from are ejected. Pacing (`SlowStart.apply_pacing`) uses the same `ejected_until_ns`, so paced endpoints are
included. The next successful response of an endpoint that has failed clears its failures and ends its
ejection or pacing; so does a restart that the endpoint list reports.
"""

import random

from loadbalancer.policy.timers import ServeQueue, Timer
from loadbalancer.state.endpoint_pool import EndpointPool
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.fleet import Fleet
from loadbalancer.state.request import Attempt
from loadbalancer.state.timer_queue import TimerQueue
from loadbalancer.units import NANOSECONDS_PER_SECOND

BASE_EJECTION_NS = NANOSECONDS_PER_SECOND / 4
EJECTION_MAX_NS = 3 * NANOSECONDS_PER_SECOND
EJECTION_DOUBLINGS_MAX = 5
EJECTION_JITTER_MIN = 0.75
EJECTION_JITTER_MAX = 1.25
# No more endpoints are ejected once at least this fraction of those that a pool draws from is ejected.
EJECTED_FRACTION_MAX = 0.7
RESET_PROBABILITY_MAX = 1e-3  # resets in a row with at most this probability are attributed to the endpoint
# The assumed probability of a reset is capped at this, so that 6 resets in a row are always attributed.
COMMON_RESET_FRACTION_MAX = 0.3
RESET_COUNTS_DECAY = 0.8  # factor applied at each feedback tick


class OutlierDetection:
    """Ejects endpoints that fail, and tells resets by an endpoint from those that the network causes."""

    def __init__(
        self, fleet: Fleet, timers: TimerQueue[Timer], rng: random.Random, shortest_objective_ns: int
    ) -> None:
        self.fleet = fleet
        self.timers = timers
        self.rng = rng
        self.shortest_objective_ns = shortest_objective_ns
        self.recent_attempts = 0.0  # ended attempts at all endpoints in use, decayed over time
        self.recent_resets = 0.0  # those of these attempts whose connection broke

    def eject_overloaded(self, attempt: Attempt, now_ns: int) -> None:
        """Eject an endpoint that did not finish an attempt in time, or had no capacity for it.

        The base time is capped because a very costly request that times out is retried by its client, and
        would eject one endpoint after another for as long as it should have run there.
        """
        base_ns = min(attempt.expected_ns, self.shortest_objective_ns)
        self.eject(attempt.endpoint_state, now_ns, base_ns)

    def eject(self, state: EndpointState, now_ns: int, base_ns: float) -> None:
        """Count a failure of an endpoint; eject the endpoint unless too many are ejected already.

        The ejection time is `base_ns`, doubled for each failure in a row before this one. Failures of an
        ejected or paced endpoint are ignored, because attempts in flight at a hung endpoint fail together.
        """
        if state.ejected_until_ns <= now_ns:
            state.record_failure()
            if self._may_eject(state, now_ns):
                ejection_ns = self._ejection_ns(state.consecutive_failures, base_ns)
                state.eject_until(now_ns + ejection_ns)
        self.timers.schedule(state.ejected_until_ns, ServeQueue())

    def _ejection_ns(self, consecutive_failures: int, base_ns: float) -> int:
        """Return how long an endpoint is ejected, given its failures in a row including the newest."""
        doublings = min(consecutive_failures - 1, EJECTION_DOUBLINGS_MAX)
        ejection_ns = min(base_ns * 2**doublings, EJECTION_MAX_NS)
        return int(ejection_ns * self.rng.uniform(EJECTION_JITTER_MIN, EJECTION_JITTER_MAX))

    def _may_eject(self, state: EndpointState, now_ns: int) -> bool:
        """Return whether each pool that draws from this endpoint has few ejected or paced ones."""
        pools = self.fleet.pools.values()
        return all(
            self._has_few_ejected(pool, now_ns)
            for pool in pools
            if state in pool.endpoints[: pool.draw_width]
        )

    def _has_few_ejected(self, pool: EndpointPool, now_ns: int) -> bool:
        """Return whether less than EJECTED_FRACTION_MAX of a pool's endpoints are ejected or paced.

        The only endpoint of a pool may be ejected too.
        """
        ejected = sum(state.ejected_until_ns > now_ns for state in pool.endpoints[: pool.draw_width])
        return ejected < EJECTED_FRACTION_MAX * pool.draw_width

    def record_attempt_end(self, state: EndpointState, *, was_reset: bool) -> bool:
        """Count an attempt that has ended; return whether it is a reset attributed to its endpoint."""
        state.record_ended_attempt(was_reset=was_reset)
        self.recent_attempts += 1
        if not was_reset:
            return False
        self.recent_resets += 1
        return self._are_resets_unlikely_by_chance(state)

    def _are_resets_unlikely_by_chance(self, state: EndpointState) -> bool:
        """Return whether an endpoint's resets in a row are unlikely at the rate of the others' resets.

        If connections break at all endpoints alike (a bad network, a middlebox, connections closed as a
        request is sent), a reset is not attributed to the endpoint: most of a healthy fleet would be ejected
        by chance.
        """
        other_attempts = max(1.0, self.recent_attempts - state.recent_attempts)
        reset_fraction = (self.recent_resets - state.recent_resets) / other_attempts
        probability = min(reset_fraction, COMMON_RESET_FRACTION_MAX) ** state.consecutive_resets
        return probability <= RESET_PROBABILITY_MAX

    def decay(self) -> None:
        """Decay the counts of attempts and resets, so that recent ones have more weight."""
        self.recent_attempts = 0.0
        self.recent_resets = 0.0
        for state in self.fleet.endpoints.values():
            state.decay_ended_attempts(RESET_COUNTS_DECAY)
            self.recent_attempts += state.recent_attempts
            self.recent_resets += state.recent_resets
