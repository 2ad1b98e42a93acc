"""When an endpoint that fails is ejected, and for how long (interface types: loadbalancer/messages.py)."""

import random

from loadbalancer.policy.timers import ServeQueue, Timer
from loadbalancer.state.endpoint_pool import EndpointPool
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.fleet import Fleet
from loadbalancer.state.request import Attempt
from loadbalancer.state.timer_queue import TimerQueue
from loadbalancer.units import NANOSECONDS_PER_SECOND

EJECTION_NS = NANOSECONDS_PER_SECOND / 4  # after a first failure that says nothing of how long it may last
EJECTION_MAX = 3 * NANOSECONDS_PER_SECOND
DOUBLINGS_MAX = 5
EJECTED_PART_MAX = 0.7  # of the endpoints that a pool draws from; one beyond that is not ejected
CHANCE = 1e-3  # resets in a row less likely than this by chance are the endpoint's own fault
COMMON_RESETS_MAX = 0.3  # share of reset connections beyond which none is put down to the network
RESETS_KEPT = 0.8  # of the evidence on resets, a feedback interval


class OutlierDetection:
    """Ejects endpoints that fail, and tells resets of an endpoint from those of the network."""

    def __init__(
        self, fleet: Fleet, timers: TimerQueue[Timer], rng: random.Random, objective_ns: int
    ) -> None:
        self.fleet, self.timers, self.rng = fleet, timers, rng
        self.shortest_objective_ns = objective_ns
        self.recent_attempts = self.recent_resets = 0.0  # over the endpoints in use

    def eject_slow(self, attempt: Attempt, now_ns: int) -> None:
        """Eject an endpoint that did not finish an attempt in time, or had no capacity for it.

        Guards against one hopelessly heavy request taking its endpoint from all others for as long as it
        would have run: it is cut off, and its client asks again, at the next endpoint and the next. Harm:
        where it runs on all the same, the next one there finds out, and the ejection doubles.
        """
        self.eject(attempt.endpoint_state, now_ns, min(attempt.expected_ns, self.shortest_objective_ns))

    def eject(self, state: EndpointState, now_ns: int, base_ns: float) -> None:
        """Leave a failing endpoint alone, longer each time, unless that would leave hardly any.

        What was in flight there when it stood still fails together, and counts as one failure.
        """
        if state.ejected_until_ns <= now_ns:
            state.consecutive_failures += 1
            pools = self.fleet.pools.values()
            if all(self._may_eject_from(p, now_ns) for p in pools if state in p.endpoints[: p.draw_width]):
                doublings = min(state.consecutive_failures - 1, DOUBLINGS_MAX)
                length = min(base_ns * 2**doublings, EJECTION_MAX)
                state.ejected_until_ns = now_ns + int(length * self.rng.uniform(0.75, 1.25))
        self.timers.schedule(state.ejected_until_ns, ServeQueue())

    def _may_eject_from(self, pool: EndpointPool, now_ns: int) -> bool:
        ejected = sum(state.ejected_until_ns > now_ns for state in pool.endpoints[: pool.draw_width])
        return ejected < EJECTED_PART_MAX * pool.draw_width

    def record_attempt_end(self, state: EndpointState, was_reset: bool) -> bool:
        """Note that an attempt ended; tell whether its reset sets its endpoint apart from the others.

        Where connections break at all endpoints alike (a bad network, a box between, a close that crosses a
        request) a reset says nothing of the endpoint, and to eject on it leaves most of a sound fleet alone
        by chance. Guards as well against deploys that reset what they hold, and against any reset that
        another attempt would not meet. Harm: while much breaks everywhere, an endpoint that accepts and then
        resets all it is sent is ejected only after a few attempts; one that is dead refuses connections, and
        is ejected at once.
        """
        state.recent_attempts += 1
        self.recent_attempts += 1
        if not was_reset:
            state.consecutive_resets = 0
            return False
        state.consecutive_resets += 1
        state.recent_resets += 1
        self.recent_resets += 1
        other_attempts = max(1.0, self.recent_attempts - state.recent_attempts)
        reset_share = (self.recent_resets - state.recent_resets) / other_attempts
        return min(reset_share, COMMON_RESETS_MAX) ** state.consecutive_resets <= CHANCE

    def decay(self) -> None:
        """Let old evidence on resets count less."""
        self.recent_attempts = self.recent_resets = 0.0
        for state in self.fleet.endpoints.values():
            state.recent_attempts *= RESETS_KEPT
            state.recent_resets *= RESETS_KEPT
            self.recent_attempts += state.recent_attempts
            self.recent_resets += state.recent_resets
