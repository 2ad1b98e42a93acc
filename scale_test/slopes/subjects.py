"""The table of all subjects with their usual sizes, and the measurement of a subject."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass

from scale_test.slopes import policy_subjects, process_subjects
from scale_test.slopes.fit import Point, fit
from scale_test.slopes.inputs import Json
from scale_test.slopes.measuring import Figures


@dataclass(frozen=True)
class Subject:
    """A function that measures the figures at one size, and the sizes used unless others are given."""

    measure: Callable[[int], Figures]
    sizes: Sequence[int]


SUBJECTS = {
    # The policy and the list reader, in this process.
    # Upstreams in the list:
    "upstreams": Subject(policy_subjects.upstreams, (100, 1000, 10_000, 40_000, 160_000)),
    # Services of 23 upstreams, each with a request class and a machine class of its own:
    "services": Subject(policy_subjects.services, (10, 30, 100, 300, 1000)),
    # Tenants in the settings:
    "tenants": Subject(policy_subjects.tenants, (100, 1000, 10_000, 100_000)),
    # Routes in the settings, which are request classes without placement:
    "routes": Subject(policy_subjects.routes, (100, 1000, 10_000, 100_000)),
    # Requests open at once:
    "requests": Subject(policy_subjects.requests, (10, 100, 1000, 10_000)),
    # A real balancer.
    # Upstreams in the list:
    "process": Subject(process_subjects.process, (100, 1000, 10_000, 40_000, 160_000)),
    # Tenants in the settings, with 100 upstreams:
    "process-tenants": Subject(process_subjects.process_tenants, (100, 1000, 10_000, 100_000)),
    # Routes in the settings, with 100 upstreams:
    "process-routes": Subject(process_subjects.process_routes, (100, 1000, 10_000, 100_000)),
    # Requests per second:
    "rates": Subject(process_subjects.rates, (5, 14, 45, 136, 500)),
    # Idle client connections:
    "clients": Subject(process_subjects.clients, (20, 60, 200, 600, 2000)),
    # Requests open at once, each with its own client and upstream connection:
    "connections": Subject(process_subjects.connections, (10, 30, 100, 300, 1000)),
}


def measure(name: str, sizes: Sequence[int] = ()) -> Json:
    """Measure a subject at these sizes, or at its usual ones; return the points and each figure's slope."""
    subject = SUBJECTS[name]
    points = [{"size": size, **subject.measure(size)} for size in sizes or subject.sizes]
    slopes = {
        figure: asdict(fit([Point(point["size"], point[figure]) for point in points]))
        for figure in points[0]
        if figure != "size"
    }
    return {"points": points, "slopes": slopes}
