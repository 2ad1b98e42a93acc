"""The sizes of a run, and which of them are refused."""

from __future__ import annotations

import math
from dataclasses import dataclass

import psutil

MB = 1_000_000
DAY_S = 86_400
PARTS = 3  # discovery, upstreams, clients
MAX_PROCESSES = 200
MAX_ZONES = 40
MEMORY_PART = 0.5  # of the machine's, at most
PROCESS_MB = 40  # a Python process with nothing to hold
ROW_BYTES = 700  # of one row in the stand-in: its text, in its place and in a whole list that goes out
COURSES = ("day", "zone", "back")
# What changes on an ordinary day where there are so many upstreams.
TARGET, CONFIGURED, RESTARTED, FAILED = 160_000, 84_000, 59_000, 300
# List changes of each: a restart is a drain and a return, a failure is a loss and a return.
CHANGES = {"configured": 1, "restarted": 2, "failed": 2}


class PlanError(Exception):
    """The run can't be done, or can't go on; one line says why."""


@dataclass(frozen=True)
class Plan:
    """The arguments of a run."""

    upstreams: int = 1000
    real: int = 2
    hollow: int = 10
    hollow_processes: int = 2
    replicas: int = 0
    zones: int = MAX_ZONES
    duration: float = 30.0
    quiet: float = 15.0
    changes: float = 0.0
    configured: int = CONFIGURED
    restarted: int = RESTARTED
    failed: int = FAILED
    course: str = "day"
    wholes: int = 5
    mode: str = "ask"
    requests: float = 136.0
    known: bool = True
    held: int = 4000
    patience: float = 120.0
    seed: int = 1

    @property
    def balancers(self) -> int:
        return self.real + self.hollow

    @property
    def replicas_told(self) -> int:
        return self.replicas or self.balancers

    @property
    def processes(self) -> int:
        return 1 + PARTS + self.real + self.hollow_processes

    @property
    def memory(self) -> int:
        """About what it will take; what it takes is looked at all the time."""
        return self.processes * PROCESS_MB * MB + self.upstreams * (ROW_BYTES + self.balancers * self.held)

    @property
    def mix(self) -> dict[str, int]:
        return {"configured": self.configured, "restarted": self.restarted, "failed": self.failed}

    @property
    def changes_a_second(self) -> float:
        day = sum(CHANGES[kind] * count for kind, count in self.mix.items())
        return self.changes or day / DAY_S * self.upstreams / TARGET

    def zone_of(self, upstream: int) -> int:
        return upstream * self.zones // self.upstreams

    def check(self) -> None:
        """Say what is wrong with it."""
        limit = memory_limit()
        memory_mb = math.ceil(self.memory / MB)
        too_many_hollow_processes = self.hollow > 0 and not 0 < self.hollow_processes <= self.hollow
        wrong = [
            (self.balancers < 1, "at least one balancer is needed"),
            (
                too_many_hollow_processes,
                f"--hollow-processes has to be between 1 and --hollow ({self.hollow})",
            ),
            (
                0 < self.replicas < self.balancers,
                f"--replicas {self.replicas} is less than the {self.balancers} balancers that run",
            ),
            (
                self.zones > self.upstreams,
                f"--zones {self.zones} is more than --upstreams {self.upstreams}",
            ),
            (
                not any(self.mix.values()),
                "nothing changes: --configured, --restarted and --failed are all 0",
            ),
            (
                self.processes > MAX_PROCESSES,
                f"{self.processes} processes, but at most {MAX_PROCESSES} may run",
            ),
            (
                self.memory > limit,
                f"about {memory_mb} MB of memory, but at most {limit // MB} MB may be used",
            ),
        ]
        for is_wrong, what in wrong:
            if is_wrong:
                raise PlanError(what)


def memory_limit() -> int:
    return int(psutil.virtual_memory().total * MEMORY_PART)


def zone_name(number: int) -> str:
    return f"r{number // 10}-z{number % 10}"
