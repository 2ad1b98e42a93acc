"""From what was seen to rows of figures, as a table and as JSON."""

from __future__ import annotations

import bisect
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass
from typing import Any

from hdrh.histogram import HdrHistogram

MS = 1_000_000
STEPS = 1000  # a histogram counts thousandths of a unit
NEVER_NS = 2**62  # of an answer that was not in force when the run ended
WHOLE_TAIL_NS = 250 * MS  # a whole list may weigh on requests for so long after it is in force


@dataclass(frozen=True)
class Row:
    """One figure, over balancers or over changes or requests."""

    figure: str
    phase: str
    group: str
    unit: str
    count: int
    median: float
    p99: float
    worst: float


def row(figure: str, phase: str, group: str, unit: str, values: Iterable[float | tuple[float, int]]) -> Row:
    """Its median, 99th and worst; a value may stand for several."""
    histogram = HdrHistogram(1, 10**13, 3)
    count, worst = 0, 0.0
    for value in values:
        value, times = value if isinstance(value, tuple) else (value, 1)
        histogram.record_value(max(0, round(value * STEPS)), times)
        count, worst = count + times, max(worst, value)
    median, p99 = (histogram.get_value_at_percentile(p) / STEPS if count else 0.0 for p in (50, 99))
    return Row(figure, phase, group, unit, count, min(median, worst), min(p99, worst), worst)


@dataclass(frozen=True)
class Made:
    """A version that discovery made, and from when on its way to a balancer counts."""

    version: int
    at_ns: int
    rows: int


def made(report: dict[str, Any]) -> list[Made]:
    """The versions in order; what changed while discovery was down counts from its return."""
    cuts = [tuple(cut) for cut in report["cuts"]]
    return [
        Made(version, next((back for down, back in cuts if down <= at < back), at), rows)
        for version, at, rows in report["made"]
    ]


def by_calls(versions: Sequence[Made], caller: dict[str, Any]) -> tuple[list[tuple[float, int]], int]:
    """From each change to the balancer's next call that names it, in ms; and how many rows have had none."""
    has, took, missing = caller["has"], [], 0
    for v in versions:
        at = bisect.bisect_left(has, v.version, key=lambda seen: seen[1])
        if at < len(has):
            took.append((max(0, has[at][0] - v.at_ns) / MS, v.rows))
        else:
            missing += v.rows
    return took, missing


def by_module(versions: Sequence[Made], seen: dict[str, Any]) -> list[tuple[float, int]]:
    """From each change until it was in force, in ms, where an answer told it. A long answer is put in force
    in slices, and only its end counts; a later and shorter one may be in force before that."""
    done = [(in_force(seen, v.version), v) for v in versions]
    return [(max(0, at - v.at_ns) / MS, v.rows) for at, v in done if at is not None]


def in_force(seen: dict[str, Any], version: int) -> int | None:
    """When the first answer that tells of this version was in force to its last row."""
    at = next((at for told, at in seen["in_force"] if told >= version), NEVER_NS)
    return at if at < NEVER_NS else None


def wholes_in_force(caller: dict[str, Any], seen: dict[str, Any]) -> list[tuple[int, int]]:
    """Of each whole list: from its writing on until it was in force, and how much of that came after the
    balancer's next call, both in ns."""
    done = [(w, in_force(seen, w[1])) for w in caller["wholes"] if len(w) == 4]
    return [(at - w[0], max(0, at - w[2])) for w, at in done if at is not None]


def added(samples: Iterable[Sequence[int]], windows: Sequence[tuple[int, int]]) -> tuple[list[float], int]:
    """The ms that the balancer added to requests that were open in one of these spans; how many failed."""
    took = [
        add / MS
        for sent, answered, add in samples
        if any(sent < end and answered > begun for begun, end in windows)
    ]
    return [t for t in took if t >= 0], sum(t < 0 for t in took)


def whole_windows(wholes: Iterable[Sequence[int]], tail_ns: int) -> list[tuple[int, int]]:
    """From its writing to the call that follows its reading, and so long beyond until it is in force."""
    return [(w[0], w[2] + tail_ns + WHOLE_TAIL_NS) for w in wholes if len(w) == 4]


def table(rows: Sequence[Row], notes: Sequence[str]) -> str:
    """For people."""

    def cells(r: Row) -> list[str]:
        return [
            r.figure,
            r.phase,
            r.group,
            f"{r.median:.3g}" if r.median < 100 else f"{r.median:.0f}",
            *(f"{v:.3g}" if v < 100 else f"{v:.0f}" for v in (r.p99, r.worst)),
            r.unit,
            str(r.count),
        ]

    lines = [["figure", "phase", "of", "median", "99th", "worst", "unit", "count"], *map(cells, rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(lines[0]))]
    right = (3, 4, 5, 7)
    text = [
        "  ".join(
            c.rjust(w) if i in right else c.ljust(w)
            for i, (c, w) in enumerate(zip(line, widths, strict=True))
        ).rstrip()
        for line in lines
    ]
    return "\n".join([*text, "", *notes])


def as_json(rows: Sequence[Row]) -> list[dict[str, Any]]:
    return [{k: round(v, 3) if isinstance(v, float) else v for k, v in asdict(r).items()} for r in rows]
