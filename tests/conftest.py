"""Runs coroutine test functions, each in an event loop of its own."""

from __future__ import annotations

import asyncio
import inspect

import pytest

from tests.support.waiting import WAIT_TIMEOUT_S

TEST_TIMEOUT_S = 3 * WAIT_TIMEOUT_S


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Run a coroutine test function with a time limit."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    arguments = inspect.signature(pyfuncitem.obj).parameters
    test = pyfuncitem.obj(**{name: pyfuncitem.funcargs[name] for name in arguments})
    asyncio.run(asyncio.wait_for(test, TEST_TIMEOUT_S))
    return True
