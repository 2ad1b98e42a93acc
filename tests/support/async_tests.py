"""Runs coroutine functions as tests."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from functools import wraps
from typing import Any, ParamSpec

from tests.support.sockets import run

Arguments = ParamSpec("Arguments")


def async_test(test: Callable[Arguments, Coroutine[Any, Any, None]]) -> Callable[Arguments, None]:
    """Run a test in an event loop of its own; it fails if it does not end in time."""

    @wraps(test)
    def run_test(*args: Arguments.args, **kwargs: Arguments.kwargs) -> None:
        run(test(*args, **kwargs))

    return run_test
