"""The sizes of an experiment, and their limits."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

import psutil

from scale_test.errors import PlanError
from scale_test.units import BYTES_PER_MB

SECONDS_PER_DAY = 86_400
HELPERS = 3  # discovery, upstreams, clients
MAX_PROCESSES = 200
MAX_ZONES = 40
ZONES_PER_REGION = 10
MEMORY_FRACTION = 0.5  # of the machine's, at most
PROCESS_MB = 40  # a Python process without data
ROW_BYTES = 700  # of one row in the fake discovery: its text, also in a full list that is being sent

# What changes on an ordinary day where there are TARGET_UPSTREAMS.
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
    """What may change about an upstream on an ordinary day."""

    CONFIGURED = "configured"
    RESTARTED = "restarted"
    FAILED = "failed"


# A restart is a drain and a return, a failure is a removal and a return.
LIST_CHANGES = {ChangeKind.CONFIGURED: 1, ChangeKind.RESTARTED: 2, ChangeKind.FAILED: 2}


@dataclass(frozen=True)
class Plan:
    """The arguments of an experiment, named as the command line's options."""

    upstreams: int = 1000
    real: int = 2
    hollow: int = 10
    hollow_processes: int = 2
    replicas: int = 0
    zones: int = MAX_ZONES
    duration: float = 30.0
    quiet: float = 15.0
    changes: float = 0.0
    configured: int = CONFIGURED_PER_DAY
    restarted: int = RESTARTED_PER_DAY
    failed: int = FAILED_PER_DAY
    course: str = Scenario.CHURN.value
    wholes: int = 5
    mode: str = "ask"
    requests: float = 136.0
    known: bool = True
    held: int = 4000
    patience: float = 120.0
    seed: int = 1

    @property
    def scenario(self) -> Scenario:
        """What happens to the endpoint list."""
        return Scenario(self.course)

    @property
    def balancers(self) -> int:
        """All balancers, real and hollow."""
        return self.real + self.hollow

    @property
    def replica_count(self) -> int:
        """How many balancers there are by the settings of each."""
        return self.replicas or self.balancers

    @property
    def processes(self) -> int:
        """All processes, this one included."""
        return 1 + HELPERS + self.real + self.hollow_processes

    @property
    def memory(self) -> int:
        """The estimated memory in bytes; the memory used is checked throughout the run."""
        held_bytes = self.upstreams * (ROW_BYTES + self.balancers * self.held)
        return self.processes * PROCESS_MB * BYTES_PER_MB + held_bytes

    @property
    def mix(self) -> dict[ChangeKind, int]:
        """Changes a day of each kind, at the target's number of upstreams."""
        return {
            ChangeKind.CONFIGURED: self.configured,
            ChangeKind.RESTARTED: self.restarted,
            ChangeKind.FAILED: self.failed,
        }

    @property
    def changes_a_second(self) -> float:
        """List changes a second."""
        changes_a_day = sum(LIST_CHANGES[kind] * count for kind, count in self.mix.items())
        return self.changes or changes_a_day / SECONDS_PER_DAY * self.upstreams / TARGET_UPSTREAMS

    @property
    def hollow_shares(self) -> list[int]:
        """How many hollow balancers each of their processes holds."""
        if not self.hollow:
            return []
        return [
            len(range(number, self.hollow, self.hollow_processes)) for number in range(self.hollow_processes)
        ]

    @property
    def loaded(self) -> int:
        """How many real balancers have clients: the first, if there are requests to send."""
        return 1 if self.requests > 0 and self.real > 0 else 0

    def zone_of(self, upstream: int) -> int:
        """The number of the zone that an upstream is in."""
        return upstream * self.zones // self.upstreams

    def check(self) -> None:
        """Reject a plan that can't be carried out.

        Raises:
            PlanError: Names the first problem.
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
        if not any(self.mix.values()):
            yield "nothing changes: --configured, --restarted and --failed are all 0"
        if self.processes > MAX_PROCESSES:
            yield f"{self.processes} processes, but at most {MAX_PROCESSES} may run"
        limit = memory_limit()
        if self.memory > limit:
            memory_mb = math.ceil(self.memory / BYTES_PER_MB)
            yield f"about {memory_mb} MB of memory, but at most {limit // BYTES_PER_MB} MB may be used"


def memory_limit() -> int:
    """How many bytes an experiment may use."""
    return int(psutil.virtual_memory().total * MEMORY_FRACTION)


def zone_name(number: int) -> str:
    """The name of a zone, as its region and its number there."""
    return f"r{number // ZONES_PER_REGION}-z{number % ZONES_PER_REGION}"
