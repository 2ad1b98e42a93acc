"""The schedule of a run, drawn whole from its seed before the start; times are seconds since readiness."""

from __future__ import annotations

import random
from dataclasses import dataclass

from tests.soak.kinds import BadClientKind, DiscoveryCondition, EndpointBehavior, RequestKind

ENDPOINT_COUNTS = (6, 24)
FAULTY_ENDPOINTS = 4
LATE_ENDPOINTS = 2
REQUESTS_PER_S = 60.0
CONNECT_TIMEOUTS_MS = (200, 1500)
DISCONNECTING_FRACTION = 0.1
DEADLINES_MS = (80, 200, 500, 1000, 1500)
CONNECTION_FLOOD_FRACTION = 0.3  # of the seeds: more connections than descriptors
FLOOD_DESCRIPTORS = (256, 1024)
DESCRIPTORS = 1024
LONG_LISTS = (0, 0, 2_000, 8_000, 20_000)  # entries
TERMINATE_S = (6.5, 7.5)  # since readiness
KILL_AFTER_GRACE_S = 0.7
MAX_DEADLINE_COUNTED_S = 3.0
MAX_OLD_ADDRESS_LISTENS_S = 1.0  # after SIGHUP
PAUSE_S = 0.14  # a balancer may be held up for 0.15 s


@dataclass(frozen=True)
class SetEndpointBehavior:
    """An endpoint changes its behavior."""

    endpoint: int
    behavior: EndpointBehavior


@dataclass(frozen=True)
class ChangeList:
    """Discovery's list changes in one entry."""

    endpoint: int
    health: str
    is_cold: bool = False


@dataclass(frozen=True)
class SetDiscoveryCondition:
    """Discovery changes its condition."""

    condition: DiscoveryCondition


@dataclass(frozen=True)
class Reload:
    """SIGHUP, with a file that names a new address of discovery and so many endpoints."""

    known_entries: int
    old_address_listens_s: float  # for so long the old address still takes connections


@dataclass(frozen=True)
class ConnectBadClient:
    """A bad client connects."""

    kind: BadClientKind


@dataclass(frozen=True)
class OpenConnectionFlood:
    """So many clients connect, and stay idle."""

    connections: int


@dataclass(frozen=True)
class Pause:
    """The process gets no processor for `PAUSE_S`."""


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
    """A step of the schedule, and when it is taken."""

    at_s: float
    step: Step


@dataclass(frozen=True)
class PlannedRequest:
    """A request of the schedule."""

    at_s: float
    kind: RequestKind
    deadline_ms: int
    disconnect_after_s: float | None  # the client closes its connection; None: it waits


@dataclass(frozen=True)
class Schedule:
    """All that happens in a run."""

    seed: int
    pushes: bool  # discovery pushes lists; else the balancer polls
    descriptors: int
    has_connection_flood: bool
    endpoint_count: int
    late_endpoints: dict[int, float]  # from when on these listen
    steps: list[TimedStep]
    requests: list[PlannedRequest]
    terminate_s: float
    max_deadline_s: float
    connect_timeout_ms: int  # of the settings; the longer one lasts beyond the grace of a drain

    @property
    def kill_s(self) -> float:
        """When SIGKILL comes, at the earliest that the platform allows."""
        return self.terminate_s + min(self.max_deadline_s, MAX_DEADLINE_COUNTED_S) + KILL_AFTER_GRACE_S


def draw_schedule(seed: int) -> Schedule:
    """Draw the schedule of a seed."""
    rng = random.Random(seed)
    terminate_s = rng.uniform(*TERMINATE_S)
    endpoint_count = rng.choice(ENDPOINT_COUNTS)
    has_connection_flood = rng.random() < CONNECTION_FLOOD_FRACTION
    descriptors = rng.choice(FLOOD_DESCRIPTORS) if has_connection_flood else DESCRIPTORS
    max_deadline_ms = rng.choice(DEADLINES_MS[2:])
    drawing = _Drawing(rng, endpoint_count, terminate_s)
    steps = [
        *drawing.behaviors(),
        *drawing.list_changes(),
        *drawing.discovery(),
        *drawing.reloads(),
        *drawing.bad_clients(),
        *drawing.late_drains(),
        *drawing.pauses(),
        *drawing.termination(),
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
        late_endpoints=drawing.late_endpoints(),
        steps=sorted(steps, key=lambda timed: timed.at_s),
        requests=drawing.requests(kill_s, max_deadline_ms),
        terminate_s=terminate_s,
        max_deadline_s=max_deadline_ms / 1000,
        connect_timeout_ms=rng.choice(CONNECT_TIMEOUTS_MS),
    )


class _Drawing:
    """Draws the parts of a schedule; the last two endpoints are late."""

    def __init__(self, rng: random.Random, endpoint_count: int, terminate_s: float) -> None:
        self._rng = rng
        self._endpoint_count = endpoint_count
        self._terminate_s = terminate_s

    def behaviors(self) -> list[TimedStep]:
        """Faults of some endpoints, of which most end again; one hangs through the shutdown."""
        steps = []
        for endpoint in self._rng.sample(range(self._endpoint_count), FAULTY_ENDPOINTS):
            behavior = self._rng.choice(
                [each for each in EndpointBehavior if each is not EndpointBehavior.NORMAL]
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
        """Half of the endpoints drain or are removed, one after another, and most come back, some cold."""
        steps = []
        for endpoint in self._rng.sample(range(self._endpoint_count), 2 * self._endpoint_count // 3):
            at_s = self._rng.uniform(0.3, self._terminate_s)
            steps.append(TimedStep(at_s, ChangeList(endpoint, self._rng.choice(["draining", "removed"]))))
            if self._rng.random() < 0.7:
                back_s = at_s + self._rng.uniform(0.4, 2.5)
                is_cold = self._rng.random() < 0.6
                steps.append(TimedStep(back_s, ChangeList(endpoint, "up", is_cold)))
        return steps

    def discovery(self) -> list[TimedStep]:
        """One outage of discovery in half of the seeds."""
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
        """SIGHUP in quick succession in half of the seeds, 1 s after readiness at the earliest."""
        if self._rng.random() < 0.5:
            return []
        at_s = self._rng.uniform(1.0, 2.0)
        steps = []
        for _ in range(self._rng.randint(1, 4)):
            steps.append(TimedStep(at_s, self._reload()))
            at_s += self._rng.uniform(0.02, 0.2)
        return steps

    def bad_clients(self) -> list[TimedStep]:
        """Some bad clients."""
        return [
            TimedStep(
                self._rng.uniform(0.0, self._terminate_s - 0.5),
                ConnectBadClient(self._rng.choice(list(BadClientKind))),
            )
            for _ in range(self._rng.randint(0, 8))
        ]

    def pauses(self) -> list[TimedStep]:
        """Some moments without a processor."""
        return [
            TimedStep(self._rng.uniform(0.5, self._terminate_s - 0.5), Pause())
            for _ in range(self._rng.randint(0, 3))
        ]

    def termination(self) -> list[TimedStep]:
        """SIGTERM, in some seeds several times, and with a last SIGHUP."""
        steps = [TimedStep(self._terminate_s, Terminate())]
        if self._rng.random() < 0.5:
            steps += [TimedStep(self._terminate_s + 0.1 * n, Terminate()) for n in range(1, 4)]
        if self._rng.random() < 0.3:
            steps.append(TimedStep(self._terminate_s + 0.2, self._reload()))
        return steps

    def _reload(self) -> Reload:
        return Reload(self._rng.choice(LONG_LISTS), self._rng.uniform(0.0, MAX_OLD_ADDRESS_LISTENS_S))

    def late_endpoints(self) -> dict[int, float]:
        """The endpoints that listen late, and from when on."""
        return {endpoint: self._rng.uniform(0.3, 1.5) for endpoint in self._last_endpoints}

    def late_drains(self) -> list[TimedStep]:
        """In half of the seeds the late endpoints drain while the first connections to them come up."""
        if self._rng.random() < 0.5:
            return []
        return [
            TimedStep(self._rng.uniform(0.1, 0.7), ChangeList(endpoint, "draining"))
            for endpoint in self._last_endpoints
        ]

    @property
    def _last_endpoints(self) -> range:
        return range(self._endpoint_count - LATE_ENDPOINTS, self._endpoint_count)

    def requests(self, end_s: float, max_deadline_ms: int) -> list[PlannedRequest]:
        """Requests at random times up to the end, with deadlines up to the longest one."""
        deadlines_ms = [each for each in DEADLINES_MS if each <= max_deadline_ms]
        requests = []
        at_s = 0.0
        while (at_s := at_s + self._rng.expovariate(REQUESTS_PER_S)) < end_s:
            deadline_ms = self._rng.choice(deadlines_ms)
            disconnects = self._rng.random() < DISCONNECTING_FRACTION
            disconnect_after_s = self._rng.uniform(0.0, deadline_ms / 1000) if disconnects else None
            kind = self._rng.choice(list(RequestKind))
            requests.append(PlannedRequest(at_s, kind, deadline_ms, disconnect_after_s))
        return requests
