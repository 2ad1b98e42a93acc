"""The report of an experiment: its rows, as a table and as JSON."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass
from enum import StrEnum
from typing import Any

from hdrh.histogram import HdrHistogram

HISTOGRAM_STEPS_PER_UNIT = 1000  # the histogram holds whole numbers: a value is counted in thousandths
HISTOGRAM_MAX_STEPS = 10**13
HISTOGRAM_DIGITS = 3
NO_DECIMALS_FROM = 100  # figures of at least this are shown without decimals
HEADER = ("figure", "phase", "of", "median", "99th", "worst", "unit", "count")
RIGHT_ALIGNED = {"median", "99th", "worst", "count"}


class Group(StrEnum):
    """The processes that a row is about; the values are those in the JSON files."""

    REAL = "real"
    LOADED = "loaded"  # the real balancer that has clients
    HOLLOW = "hollow"
    DISCOVERY = "discovery"


class Phase(StrEnum):
    """The part of the experiment that a row is about; the values are those in the JSON files."""

    START = "start"
    QUIET = "quiet"
    SCENARIO = "course"
    FULL_LIST = "whole list"
    END = "end"
    ALL = "all"


@dataclass(frozen=True)
class Row:
    """One figure, summarized over balancers, changes or requests."""

    figure: str
    phase: str
    group: str
    unit: str
    count: int
    median: float
    p99: float
    worst: float


@dataclass(frozen=True)
class WeightedValue:
    """A value that counts as several equal ones."""

    value: float
    count: int


def summarize(
    figure: str, phase: Phase, group: Group, unit: str, values: Iterable[float | WeightedValue]
) -> Row:
    """Summarize values as their median, 99th percentile and worst."""
    histogram = HdrHistogram(1, HISTOGRAM_MAX_STEPS, HISTOGRAM_DIGITS)
    count = 0
    worst = 0.0
    for value in values:
        weighted = value if isinstance(value, WeightedValue) else WeightedValue(value, 1)
        histogram.record_value(max(0, round(weighted.value * HISTOGRAM_STEPS_PER_UNIT)), weighted.count)
        count += weighted.count
        worst = max(worst, weighted.value)

    def percentile(percent: int) -> float:
        if not count:
            return 0.0
        steps: int = histogram.get_value_at_percentile(percent)
        return min(steps / HISTOGRAM_STEPS_PER_UNIT, worst)

    return Row(figure, phase.value, group.value, unit, count, percentile(50), percentile(99), worst)


def format_value(value: float) -> str:
    """Format a figure with three significant digits, or from 100 on as a whole number."""
    return f"{value:.3g}" if value < NO_DECIMALS_FROM else f"{value:.0f}"


def format_row(row: Row) -> list[str]:
    """Return the cells of a row, in the order of HEADER."""
    values = [format_value(value) for value in (row.median, row.p99, row.worst)]
    return [row.figure, row.phase, row.group, *values, row.unit, str(row.count)]


def format_table(rows: Sequence[Row], notes: Sequence[str]) -> str:
    """Return the report as a text table, followed by the notes."""
    lines = [list(HEADER), *(format_row(row) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]

    def format_line(cells: Sequence[str]) -> str:
        aligned = [
            cell.rjust(width) if title in RIGHT_ALIGNED else cell.ljust(width)
            for title, cell, width in zip(HEADER, cells, widths, strict=True)
        ]
        return "  ".join(aligned).rstrip()

    return "\n".join([*map(format_line, lines), "", *notes])


def rows_as_json(rows: Sequence[Row]) -> list[dict[str, Any]]:
    """Return the rows for the JSON file, with values rounded to three decimals."""

    def rounded(value: object) -> object:
        return round(value, 3) if isinstance(value, float) else value

    return [{key: rounded(value) for key, value in asdict(row).items()} for row in rows]
