"""Cooperative work: long work in a generator that yields every fraction of a millisecond."""

from __future__ import annotations

import asyncio
from collections.abc import Generator
from contextlib import closing
from typing import TypeVar, cast

T = TypeVar("T")
CooperativeWork = Generator[None, None, T]
"""Returns the result of the work."""


def run_to_completion(work: CooperativeWork[T]) -> T:
    """Do all the work at once and return its result; its exceptions are raised here."""
    while True:
        try:
            next(work)
        except StopIteration as end:
            return cast(T, end.value)


async def run_cooperatively(work: CooperativeWork[T]) -> T:
    """Do the work, returning to the event loop at each yield, and return its result.

    Exceptions of the work are raised here. The generator is closed also if the task is cancelled.
    """
    with closing(work):
        while True:
            try:
                next(work)
            except StopIteration as end:
                return cast(T, end.value)
            await asyncio.sleep(0)
