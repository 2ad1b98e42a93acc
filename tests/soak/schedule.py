"""The schedule of a run, drawn completely from its seed before the start.

Times are in seconds since the balancer was ready.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from tests.soak.kinds import BadClientKind, DiscoveryCondition, EndpointBehavior, RequestKind

ENDPOINT_COUNTS = (6, 24)
FAULTY_ENDPOINT_COUNT = 4
LATE_ENDPOINT_COUNT = 2
REQUESTS_PER_S = 60.0
CONNECT_TIMEOUTS_MS = (200, 1500)  # one below and one above the grace period of a drain
DISCONNECTING_FRACTION = 0.1  # fraction of the requests whose client disconnects before the deadline
DEADLINES_MS = (80, 200, 500, 1000, 1500)
CONNECTION_FLOOD_FRACTION = 0.3  # fraction of the seeds that open more connections than descriptors
FLOOD_DESCRIPTORS = (256, 1024)  # limits on open descriptors, for seeds with a connection flood
DEFAULT_DESCRIPTORS = 1024
RELOADED_LIST_LENGTHS = (0, 0, 2_000, 8_000, 20_000)  # numbers of entries; 0: the current list
TERMINATE_RANGE_S = (6.5, 7.5)  # earliest and latest time of SIGTERM
KILL_AFTER_GRACE_S = 0.7  # SIGKILL follows SIGTERM after the longest deadline plus this time
MAX_DEADLINE_IN_GRACE_S = 3.0  # longer deadlines do not delay SIGKILL further
MAX_OLD_ADDRESS_LISTENS_S = 1.0  # longest time that the old address of discovery listens after SIGHUP
PAUSE_S = 0.14  # the service rules let a balancer stall for up to 0.15 s


@dataclass(frozen=True)
class SetEndpointBehavior:
    """An endpoint changes its behavior."""

    endpoint: int
    behavior: EndpointBehavior


@dataclass(frozen=True)
class ChangeList:
    """One entry of discovery's list changes."""

    endpoint: int
    health: str
    is_cold: bool = False  # the endpoint has just restarted, so that slow start applies


@dataclass(frozen=True)
class SetDiscoveryCondition:
    """Discovery changes its condition."""

    condition: DiscoveryCondition


@dataclass(frozen=True)
class Reload:
    """SIGHUP, with a configuration that has a new address of discovery and a list of endpoints."""

    known_entries: int  # number of made-up entries in the list; 0: the current list of discovery
    old_address_listens_s: float  # how long the old address still accepts connections


@dataclass(frozen=True)
class ConnectBadClient:
    """A bad client connects."""

    kind: BadClientKind


@dataclass(frozen=True)
class OpenConnectionFlood:
    """This many clients connect, and stay idle."""

    connections: int


@dataclass(frozen=True)
class Pause:
    """The balancer process is stopped for `PAUSE_S`."""


@dataclass(frozen=True)
class Terminate:
    """SIGTERM."""


Step = (
    SetEndpointBehavior
    | ChangeList
    | SetDiscoveryCondition
    | Reload
    | ConnectBadClient
    | OpenConnectionFlood
    | Pause
    | Terminate
)


@dataclass(frozen=True)
class TimedStep:
    """A step of the schedule, and when it is carried out."""

    at_s: float
    step: Step


@dataclass(frozen=True)
class PlannedRequest:
    """A request of the schedule."""

    at_s: float
    kind: RequestKind
    deadline_ms: int
    disconnect_after_s: float | None  # None: the client waits for the response


@dataclass(frozen=True)
class Schedule:
    """Everything that happens in a run."""

    seed: int
    pushes: bool  # whether discovery pushes lists; otherwise the balancer polls
    descriptors: int  # the balancer's limit on open descriptors
    has_connection_flood: bool
    endpoint_count: int
    late_endpoints: dict[int, float]  # endpoint number to the time from which it accepts connections
    steps: list[TimedStep]
    requests: list[PlannedRequest]
    terminate_s: float
    max_deadline_s: float
    connect_timeout_ms: int  # the balancer's timeout for connections to endpoints

    @property
    def kill_s(self) -> float:
        """When SIGKILL comes: the earliest time that the platform allows."""
        return self.terminate_s + min(self.max_deadline_s, MAX_DEADLINE_IN_GRACE_S) + KILL_AFTER_GRACE_S


def draw_schedule(seed: int) -> Schedule:
    """Draw the schedule of a seed."""
    rng = random.Random(seed)
    terminate_s = rng.uniform(*TERMINATE_RANGE_S)
    endpoint_count = rng.choice(ENDPOINT_COUNTS)
    has_connection_flood = rng.random() < CONNECTION_FLOOD_FRACTION
    descriptors = rng.choice(FLOOD_DESCRIPTORS) if has_connection_flood else DEFAULT_DESCRIPTORS
    max_deadline_ms = rng.choice(DEADLINES_MS[2:])
    generator = _ScheduleGenerator(rng, endpoint_count, terminate_s)
    steps = [
        *generator.endpoint_faults(),
        *generator.list_changes(),
        *generator.discovery_fault(),
        *generator.reloads(),
        *generator.bad_clients(),
        *generator.late_drains(),
        *generator.pauses(),
        *generator.termination(),
    ]
    if has_connection_flood:
        steps.append(TimedStep(rng.uniform(0.5, 3.0), OpenConnectionFlood(descriptors + descriptors // 5)))
    kill_s = terminate_s + max_deadline_ms / 1000 + KILL_AFTER_GRACE_S
    return Schedule(
        seed=seed,
        pushes=rng.random() < 0.5,
        descriptors=descriptors,
        has_connection_flood=has_connection_flood,
        endpoint_count=endpoint_count,
        late_endpoints=generator.late_endpoints(),
        steps=sorted(steps, key=lambda timed: timed.at_s),
        requests=generator.requests(kill_s, max_deadline_ms),
        terminate_s=terminate_s,
        max_deadline_s=max_deadline_ms / 1000,
        connect_timeout_ms=rng.choice(CONNECT_TIMEOUTS_MS),
    )


class _ScheduleGenerator:
    """Draws the parts of a schedule; the last `LATE_ENDPOINT_COUNT` endpoints listen late.

    Each method draws from the same random generator, so that the order of the calls changes the schedule.
    """

    def __init__(self, rng: random.Random, endpoint_count: int, terminate_s: float) -> None:
        self._rng = rng
        self._endpoint_count = endpoint_count
        self._terminate_s = terminate_s

    def endpoint_faults(self) -> list[TimedStep]:
        """Draw temporary faults of some endpoints; in half of the seeds, one hangs through the shutdown."""
        steps = []
        for endpoint in self._rng.sample(range(self._endpoint_count), FAULTY_ENDPOINT_COUNT):
            behavior = self._rng.choice(
                [candidate for candidate in EndpointBehavior if candidate is not EndpointBehavior.NORMAL]
            )
            begin_s = self._rng.uniform(0.0, self._terminate_s - 1.0)
            steps.append(TimedStep(begin_s, SetEndpointBehavior(endpoint, behavior)))
            end_s = begin_s + self._rng.uniform(0.3, 2.0)
            steps.append(TimedStep(end_s, SetEndpointBehavior(endpoint, EndpointBehavior.NORMAL)))
        if self._rng.random() < 0.5:
            endpoint = self._rng.randrange(self._endpoint_count)
            hung = SetEndpointBehavior(endpoint, EndpointBehavior.HUNG)
            steps.append(TimedStep(self._terminate_s - 0.1, hung))
        return steps

    def list_changes(self) -> list[TimedStep]:
        """Draw the drain or removal of two thirds of the endpoints; most return, many of these restarted."""
        steps = []
        for endpoint in self._rng.sample(range(self._endpoint_count), 2 * self._endpoint_count // 3):
            at_s = self._rng.uniform(0.3, self._terminate_s)
            steps.append(TimedStep(at_s, ChangeList(endpoint, self._rng.choice(["draining", "removed"]))))
            if self._rng.random() < 0.7:
                back_s = at_s + self._rng.uniform(0.4, 2.5)
                is_cold = self._rng.random() < 0.6
                steps.append(TimedStep(back_s, ChangeList(endpoint, "up", is_cold)))
        return steps

    def discovery_fault(self) -> list[TimedStep]:
        """Draw, in half of the seeds, a period in which discovery is down, slow or silent."""
        if self._rng.random() < 0.5:
            return []
        begin_s = self._rng.uniform(0.5, self._terminate_s - 2.5)
        end_s = begin_s + self._rng.uniform(0.3, 2.0)
        condition = self._rng.choice(
            [DiscoveryCondition.DOWN, DiscoveryCondition.SLOW, DiscoveryCondition.SILENT]
        )
        return [
            TimedStep(begin_s, SetDiscoveryCondition(condition)),
            TimedStep(end_s, SetDiscoveryCondition(DiscoveryCondition.UP)),
        ]

    def reloads(self) -> list[TimedStep]:
        """Draw, in half of the seeds, up to four SIGHUPs in rapid succession, from 1 s after readiness on."""
        if self._rng.random() < 0.5:
            return []
        at_s = self._rng.uniform(1.0, 2.0)
        steps = []
        for _ in range(self._rng.randint(1, 4)):
            steps.append(TimedStep(at_s, self._reload()))
            at_s += self._rng.uniform(0.02, 0.2)
        return steps

    def bad_clients(self) -> list[TimedStep]:
        """Draw up to eight bad clients, which connect before SIGTERM."""
        return [
            TimedStep(
                self._rng.uniform(0.0, self._terminate_s - 0.5),
                ConnectBadClient(self._rng.choice(list(BadClientKind))),
            )
            for _ in range(self._rng.randint(0, 8))
        ]

    def pauses(self) -> list[TimedStep]:
        """Draw up to three pauses of the balancer process."""
        return [
            TimedStep(self._rng.uniform(0.5, self._terminate_s - 0.5), Pause())
            for _ in range(self._rng.randint(0, 3))
        ]

    def termination(self) -> list[TimedStep]:
        """Draw SIGTERM, in some seeds repeated, and in some followed by a SIGHUP."""
        steps = [TimedStep(self._terminate_s, Terminate())]
        if self._rng.random() < 0.5:
            steps += [TimedStep(self._terminate_s + 0.1 * n, Terminate()) for n in range(1, 4)]
        if self._rng.random() < 0.3:
            steps.append(TimedStep(self._terminate_s + 0.2, self._reload()))
        return steps

    def _reload(self) -> Reload:
        return Reload(
            self._rng.choice(RELOADED_LIST_LENGTHS), self._rng.uniform(0.0, MAX_OLD_ADDRESS_LISTENS_S)
        )

    def late_endpoints(self) -> dict[int, float]:
        """Draw the times from which the late endpoints accept connections."""
        return {endpoint: self._rng.uniform(0.3, 1.5) for endpoint in self._last_endpoints}

    def late_drains(self) -> list[TimedStep]:
        """Draw, in half of the seeds, drains of the late endpoints during the first attempts to connect."""
        if self._rng.random() < 0.5:
            return []
        return [
            TimedStep(self._rng.uniform(0.1, 0.7), ChangeList(endpoint, "draining"))
            for endpoint in self._last_endpoints
        ]

    @property
    def _last_endpoints(self) -> range:
        return range(self._endpoint_count - LATE_ENDPOINT_COUNT, self._endpoint_count)

    def requests(self, end_s: float, max_deadline_ms: int) -> list[PlannedRequest]:
        """Draw requests at random times until SIGKILL, with deadlines up to the longest of the run."""
        deadlines_ms = [candidate_ms for candidate_ms in DEADLINES_MS if candidate_ms <= max_deadline_ms]
        requests = []
        at_s = 0.0
        while (at_s := at_s + self._rng.expovariate(REQUESTS_PER_S)) < end_s:
            deadline_ms = self._rng.choice(deadlines_ms)
            disconnects = self._rng.random() < DISCONNECTING_FRACTION
            disconnect_after_s = self._rng.uniform(0.0, deadline_ms / 1000) if disconnects else None
            kind = self._rng.choice(list(RequestKind))
            requests.append(PlannedRequest(at_s, kind, deadline_ms, disconnect_after_s))
        return requests
