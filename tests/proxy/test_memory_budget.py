"""The budget of what connections hold: limits, and the choice of the holder that is reclaimed."""

from __future__ import annotations

import pytest

from loadbalancer.proxy.memory_budget import (
    MIN_MEMORY_BYTES,
    MemoryAccount,
    MemoryBudget,
    MemoryUse,
    connection_memory_bytes,
    free_memory_bytes,
    list_memory_bytes,
    resident_memory_bytes,
)
from tests.support.fake_policies import ScriptedPolicy
from tests.support.running_proxy import running_proxy

MEBIBYTE = 1024 * 1024


class Holder:
    """Records whether its memory was reclaimed."""

    def __init__(self, budget: MemoryBudget, use: MemoryUse = MemoryUse.PARTIAL_REQUEST) -> None:
        self.account: MemoryAccount = budget.open_account(self)
        self.reclaimed = False
        self._use = use

    def hold(self, size_bytes: int) -> None:
        self.account.hold(size_bytes, self._use)

    def reclaim_memory(self) -> None:
        self.reclaimed = True


def test_the_largest_holder_is_reclaimed_first() -> None:
    budget = MemoryBudget(1000)
    small, large, last = (Holder(budget) for _ in range(3))
    small.hold(100)
    large.hold(800)
    last.hold(200)
    assert [small.reclaimed, large.reclaimed, last.reclaimed] == [False, True, False]
    assert budget.held_bytes == 300


def test_a_holder_that_exceeds_the_budget_alone_is_reclaimed_itself() -> None:
    budget = MemoryBudget(1000)
    small, large = Holder(budget), Holder(budget)
    small.hold(100)
    large.hold(1001)
    assert [small.reclaimed, large.reclaimed] == [False, True]
    assert budget.held_bytes == 100


@pytest.mark.parametrize("first_use", [MemoryUse.ATTEMPT, MemoryUse.UNSENT_RESPONSE])
def test_a_partial_request_is_reclaimed_before_others_of_its_size(first_use: MemoryUse) -> None:
    budget = MemoryBudget(1000)
    other, request, last = Holder(budget, first_use), Holder(budget), Holder(budget)
    other.hold(400)
    request.hold(400)
    last.hold(300)
    assert [other.reclaimed, request.reclaimed, last.reclaimed] == [False, True, False]


def test_complete_requests_are_kept_up_to_their_part_of_the_budget() -> None:
    budget = MemoryBudget(1000)
    first, second, partial = (Holder(budget) for _ in range(3))
    assert first.account.try_pin(500)
    assert not second.account.try_pin(1)
    partial.hold(501)  # over the limit; the complete request stays
    assert [first.reclaimed, partial.reclaimed] == [False, True]
    first.account.release()
    assert (budget.held_bytes, budget.pinned_bytes) == (0, 0)
    assert second.account.try_pin(500)


def test_memory_that_is_freed_while_another_is_reclaimed_is_counted() -> None:
    budget = MemoryBudget(1000)

    class Retrying(Holder):
        """Lets another holder start when its own memory is reclaimed."""

        def reclaim_memory(self) -> None:
            super().reclaim_memory()
            other.hold(50)

    retrying, other, last = Retrying(budget), Holder(budget), Holder(budget)
    retrying.hold(900)
    last.hold(200)
    assert retrying.reclaimed
    assert budget.held_bytes == 250


def test_the_budgets_depend_on_the_settings_of_the_process() -> None:
    def free_bytes(memory_mb: int, max_connections: int = 992) -> int:
        return free_memory_bytes(memory_mb * MEBIBYTE, 24 * MEBIBYTE, max_connections)

    for budget_bytes in (connection_memory_bytes, list_memory_bytes):
        assert MIN_MEMORY_BYTES < budget_bytes(free_bytes(32)) < 4 * MEBIBYTE
        assert 8 * MEBIBYTE < budget_bytes(free_bytes(192)) < 84 * MEBIBYTE
        assert budget_bytes(free_bytes(32, max_connections=224)) > budget_bytes(free_bytes(32))
        assert budget_bytes(free_bytes(8)) == MIN_MEMORY_BYTES


async def test_a_long_endpoint_list_takes_no_memory_from_requests() -> None:
    # Guards against requests that are refused while a list is received.
    async with running_proxy(ScriptedPolicy()) as client:
        lists = client.proxy.discovery_client._memory
        assert lists is not client.proxy.memory
        Holder(lists, MemoryUse.DISCOVERY).hold(lists.limit_bytes)
        assert client.proxy.memory.held_bytes == 0


def test_the_resident_memory_of_this_process_is_known() -> None:
    assert resident_memory_bytes() > MEBIBYTE
