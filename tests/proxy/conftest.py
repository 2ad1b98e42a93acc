"""Running tests that are coroutine functions."""

from __future__ import annotations

import inspect

import pytest

from tests.support.sockets import run


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Run a coroutine function in an event loop of its own, with a bound on its time."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    arguments = inspect.signature(pyfuncitem.obj).parameters
    run(pyfuncitem.obj(**{name: pyfuncitem.funcargs[name] for name in arguments}))
    return True
