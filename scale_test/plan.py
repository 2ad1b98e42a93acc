"""The arguments of an experiment, and the limits on what it may use of the machine."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

import psutil

from scale_test.errors import PlanError
from scale_test.units import BYTES_PER_MB

SECONDS_PER_DAY = 86_400
SINGLE_HELPERS = 3  # helper processes that run once: discovery, upstreams, clients
MAX_PROCESSES = 200
MAX_ZONES = 40
ZONES_PER_REGION = 10
MAX_MEMORY_FRACTION = 0.5  # of the machine's memory that an experiment may use
PROCESS_MB = 40  # used by a Python process that holds no data
ROW_BYTES = 700  # used by the fake discovery for a row: as text, and within a full list that is being sent

# Changes on an ordinary day in a list of TARGET_UPSTREAMS.
TARGET_UPSTREAMS = 160_000
CONFIGURED_PER_DAY = 84_000
RESTARTED_PER_DAY = 59_000
FAILED_PER_DAY = 300


class Scenario(StrEnum):
    """What happens to the endpoint list; the values are those of the option `--course`."""

    CHURN = "day"
    ZONE_OUTAGE = "zone"
    DISCOVERY_OUTAGE = "back"


class ChangeKind(StrEnum):
    """What happens to single upstreams on an ordinary day."""

    CONFIGURED = "configured"
    RESTARTED = "restarted"
    FAILED = "failed"


# List changes for one change of an upstream: one that restarts drains and returns, one that fails is removed
# and returns.
LIST_CHANGES_PER_KIND = {ChangeKind.CONFIGURED: 1, ChangeKind.RESTARTED: 2, ChangeKind.FAILED: 2}


@dataclass(frozen=True)
class Plan:
    """The arguments of an experiment.

    The field names are those of the command line's options and the keys of "arguments" in the JSON files.
    """

    upstreams: int = 1000  # number of upstreams in the endpoint list
    real: int = 2  # number of balancers run as the deploy file says
    hollow: int = 10  # number of balancers without clients
    hollow_processes: int = 2  # number of processes that the hollow balancers are spread over
    replicas: int = 0  # number of balancers, as the settings of each state it; 0: as many as run
    zones: int = MAX_ZONES  # number of zones that the upstreams are spread over
    duration: float = 30.0  # seconds that the scenario takes
    quiet: float = 15.0  # seconds without changes, before the scenario
    changes: float = 0.0  # list changes per second; 0: the rate of an ordinary day
    configured: int = CONFIGURED_PER_DAY  # configuration changes per day, among TARGET_UPSTREAMS
    restarted: int = RESTARTED_PER_DAY  # restarts and replacements per day, among TARGET_UPSTREAMS
    failed: int = FAILED_PER_DAY  # failures per day, among TARGET_UPSTREAMS
    course: str = Scenario.CHURN.value  # the scenario, by the value of the enum
    wholes: int = 5  # full lists sent at the end to the loaded balancer, and as many to a hollow one
    mode: str = "ask"  # registry_mode in the balancers' settings
    requests: float = 136.0  # requests per second from clients to the loaded balancer
    known: bool = True  # whether the balancers' configuration files hold the endpoint list
    held: int = 4000  # bytes that a balancer holds for an upstream, used to estimate the memory needed
    patience: float = 120.0  # seconds within which all balancers have to be ready, and to call discovery
    seed: int = 1  # seed of the scenario, the clients and the balancers

    @property
    def scenario(self) -> Scenario:
        """What happens to the endpoint list."""
        return Scenario(self.course)

    @property
    def balancers(self) -> int:
        """The number of balancers that run, real and hollow."""
        return self.real + self.hollow

    @property
    def replica_count(self) -> int:
        """The number of balancers, as the settings of each state it."""
        return self.replicas or self.balancers

    @property
    def processes(self) -> int:
        """The number of processes, this one included."""
        return 1 + SINGLE_HELPERS + self.real + self.hollow_processes

    @property
    def estimated_bytes(self) -> int:
        """An estimate of the memory needed, in bytes; the memory used is checked throughout the run."""
        held_bytes = self.upstreams * (ROW_BYTES + self.balancers * self.held)
        return self.processes * PROCESS_MB * BYTES_PER_MB + held_bytes

    @property
    def upstream_changes_per_day(self) -> dict[ChangeKind, int]:
        """Changes of upstreams per day by kind, among TARGET_UPSTREAMS."""
        return {
            ChangeKind.CONFIGURED: self.configured,
            ChangeKind.RESTARTED: self.restarted,
            ChangeKind.FAILED: self.failed,
        }

    @property
    def changes_a_second(self) -> float:
        """List changes per second, among the upstreams of this plan."""
        list_changes_per_day = sum(
            LIST_CHANGES_PER_KIND[kind] * count for kind, count in self.upstream_changes_per_day.items()
        )
        return self.changes or list_changes_per_day / SECONDS_PER_DAY * self.upstreams / TARGET_UPSTREAMS

    @property
    def hollow_counts(self) -> list[int]:
        """The number of hollow balancers in each of their processes."""
        if not self.hollow:
            return []
        return [
            len(range(number, self.hollow, self.hollow_processes)) for number in range(self.hollow_processes)
        ]

    @property
    def loaded(self) -> int:
        """The number of real balancers with clients: 1, which is the first, or 0 without requests to send."""
        return 1 if self.requests > 0 and self.real > 0 else 0

    def zone_of(self, upstream: int) -> int:
        """Return the number of the zone that an upstream is in."""
        return upstream * self.zones // self.upstreams

    def check(self) -> None:
        """Reject a plan that can't be carried out.

        Raises:
            PlanError: The plan has a problem; the message describes the first one.
        """
        for problem in self._problems():
            raise PlanError(problem)

    def _problems(self) -> Iterator[str]:
        if self.balancers < 1:
            yield "at least one balancer is needed"
        if self.hollow > 0 and not 0 < self.hollow_processes <= self.hollow:
            yield f"--hollow-processes has to be between 1 and --hollow ({self.hollow})"
        if 0 < self.replicas < self.balancers:
            yield f"--replicas {self.replicas} is less than the {self.balancers} balancers that run"
        if self.zones > self.upstreams:
            yield f"--zones {self.zones} is more than --upstreams {self.upstreams}"
        if not any(self.upstream_changes_per_day.values()):
            yield "nothing changes: --configured, --restarted and --failed are all 0"
        if self.processes > MAX_PROCESSES:
            yield f"the plan takes {self.processes} processes, but at most {MAX_PROCESSES} may run"
        limit = memory_limit()
        if self.estimated_bytes > limit:
            estimated_mb = math.ceil(self.estimated_bytes / BYTES_PER_MB)
            yield (
                f"the plan takes about {estimated_mb} MB of memory, "
                f"but at most {limit // BYTES_PER_MB} MB may be used"
            )


def memory_limit() -> int:
    """Return how many bytes of memory an experiment may use."""
    return int(psutil.virtual_memory().total * MAX_MEMORY_FRACTION)


def zone_name(number: int) -> str:
    """Return the name of a zone, which consists of its region and its number in the region."""
    return f"r{number // ZONES_PER_REGION}-z{number % ZONES_PER_REGION}"
