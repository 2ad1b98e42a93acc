"""Measures the processor time and memory of work done in this process."""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

Figures = dict[str, float]
T = TypeVar("T")


@dataclass(frozen=True)
class Timed(Generic[T]):
    """The result of some work, and the processor time in seconds that it took."""

    cpu_s: float
    result: T


@dataclass(frozen=True)
class Built(Generic[T]):
    """An object that was built, and the figures of building it."""

    result: T
    figures: Figures


def timed(work: Callable[[], T], times: int = 1) -> Timed[T]:
    """Run some work one or more times, and return the median processor time and the last result."""
    durations_s = []
    for _ in range(times):
        started_s = time.process_time()
        result = work()
        durations_s.append(time.process_time() - started_s)
    return Timed(statistics.median(durations_s), result)


def build_cost(build: Callable[[], T], name: str, undo: Callable[[T], object] = id) -> Built[T]:
    """Build an object twice: once to measure processor time, once to measure memory.

    Args:
        build: Builds the object.
        name: The figure of the processor time is called `<name>_s`.
        undo: Reverts the side effects of the first run.

    Returns:
        The object of the second run, with its figures.
    """
    gc.collect()
    first = timed(build)
    undo(first.result)
    cpu_s = first.cpu_s
    del first
    gc.collect()
    objects_before = len(gc.get_objects())
    tracemalloc.start()
    result = build()
    gc.collect()
    memory, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    figures = {
        f"{name}_s": cpu_s,  # processor time to build it
        "memory_b": memory,  # bytes still allocated after building it
        "peak_b": peak,  # most bytes allocated while building it
        "objects": len(gc.get_objects()) - objects_before,  # added to those tracked by the collector
    }
    return Built(result, figures)
