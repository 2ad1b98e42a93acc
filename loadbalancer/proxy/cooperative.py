"""Cooperative work: a generator that yields every fraction of a millisecond, to let other tasks run."""

from __future__ import annotations

import asyncio
from collections.abc import Generator
from contextlib import closing
from typing import TypeVar, cast

T = TypeVar("T")
CooperativeWork = Generator[None, None, T]
"""A generator whose return value is the result of the work."""


def run_to_completion(work: CooperativeWork[T]) -> T:
    """Do all the work at once and return its result; exceptions of the work propagate."""
    while True:
        try:
            next(work)
        except StopIteration as end:
            return cast(T, end.value)


async def run_cooperatively(work: CooperativeWork[T]) -> T:
    """Do the work, returning control to the event loop at each yield, and return the result.

    Exceptions of the work propagate. The generator is closed even if the task is cancelled.
    """
    with closing(work):
        while True:
            try:
                next(work)
            except StopIteration as end:
                return cast(T, end.value)
            await asyncio.sleep(0)
