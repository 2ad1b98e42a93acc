"""Processor time and memory of a piece of work in this process."""

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
    """A result and the processor time, in seconds, that it took."""

    cpu_s: float
    result: T


@dataclass(frozen=True)
class Built(Generic[T]):
    """A thing that was built, and the figures of building it."""

    result: T
    figures: Figures


def timed(work: Callable[[], T], times: int = 1) -> Timed[T]:
    """Run the work some times; returns the median processor time and the last result."""
    durations_s = []
    for _ in range(times):
        started_s = time.process_time()
        result = work()
        durations_s.append(time.process_time() - started_s)
    return Timed(statistics.median(durations_s), result)


def build_cost(build: Callable[[], T], name: str, undo: Callable[[T], object] = id) -> Built[T]:
    """Build a thing twice: once for the processor time, once for memory.

    Args:
        build: Makes the thing.
        name: The time's figure is called `<name>_s`.
        undo: Reverts side effects of the first run.

    Returns:
        The thing of the second run, with the time, the bytes and objects that stay, and the peak of bytes.
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
        f"{name}_s": cpu_s,
        "memory_b": memory,
        "peak_b": peak,
        "objects": len(gc.get_objects()) - objects_before,
    }
    return Built(result, figures)
