"""All subjects with their usual sizes, and the measuring of one."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass

from scale_test.slopes import policy_subjects, process_subjects
from scale_test.slopes.fit import Point, fit
from scale_test.slopes.inputs import Json
from scale_test.slopes.measuring import Figures


@dataclass(frozen=True)
class Subject:
    """What is measured, and the sizes that it is usually measured at."""

    measure: Callable[[int], Figures]
    sizes: Sequence[int]


SUBJECTS = {
    "upstreams": Subject(policy_subjects.upstreams, (100, 1000, 10_000, 40_000, 160_000)),
    "services": Subject(policy_subjects.services, (10, 30, 100, 300, 1000)),
    "tenants": Subject(policy_subjects.tenants, (100, 1000, 10_000, 100_000)),
    "routes": Subject(policy_subjects.routes, (100, 1000, 10_000, 100_000)),
    "requests": Subject(policy_subjects.requests, (10, 100, 1000, 10_000)),
    "process": Subject(process_subjects.process, (100, 1000, 10_000, 40_000, 160_000)),
    "process-tenants": Subject(process_subjects.process_tenants, (100, 1000, 10_000, 100_000)),
    "process-routes": Subject(process_subjects.process_routes, (100, 1000, 10_000, 100_000)),
    "rates": Subject(process_subjects.rates, (5, 14, 45, 136, 500)),
    "clients": Subject(process_subjects.clients, (20, 60, 200, 600, 2000)),
    "connections": Subject(process_subjects.connections, (10, 30, 100, 300, 1000)),
}


def measure(name: str, sizes: Sequence[int] = ()) -> Json:
    """Measure a subject at these sizes, or at its usual ones; gives its points and each figure's slope."""
    subject = SUBJECTS[name]
    points = [{"size": size, **subject.measure(size)} for size in sizes or subject.sizes]
    slopes = {
        figure: asdict(fit([Point(point["size"], point[figure]) for point in points]))
        for figure in points[0]
        if figure != "size"
    }
    return {"points": points, "slopes": slopes}
