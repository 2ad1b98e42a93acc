"""Long work written as a generator that yields between steps of a fraction of a millisecond."""

from __future__ import annotations

import asyncio
from collections.abc import Generator
from contextlib import closing
from typing import TypeVar, cast

T = TypeVar("T")
Steps = Generator[None, None, T]  # what it returns is the result


def run_through(steps: Steps[T]) -> T:
    """Run all steps at once and return the result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return cast(T, end.value)


async def run_interleaved(steps: Steps[T]) -> T:
    """Run the steps, one in each turn of the event loop, and return the result.

    The generator is closed also when the task that runs it is cancelled.
    """
    with closing(steps):
        while True:
            try:
                next(steps)
            except StopIteration as end:
                return cast(T, end.value)
            await asyncio.sleep(0)
