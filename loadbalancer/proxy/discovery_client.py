"""The discovery client: watches the endpoint list, and hands over to a new discovery address."""

from __future__ import annotations

import asyncio
import random

from loadbalancer.proxy.addresses import Address
from loadbalancer.proxy.backoff import Backoff
from loadbalancer.proxy.discovery_call import (
    MAX_LIST_BYTES,
    DiscoveryCall,
    DiscoveryFailure,
    DiscoveryResult,
    DiscoveryTarget,
    OnResult,
)
from loadbalancer.proxy.discovery_handover import DiscoveryHandover
from loadbalancer.proxy.endpoint_list import EndpointList
from loadbalancer.proxy.endpoint_list_reader import EndpointListReader
from loadbalancer.proxy.memory_budget import MemoryBudget
from loadbalancer.proxy.watch_timing import WatchTiming, fetch_response_wait_s
from loadbalancer.proxy.wire_names import AFTER_VERSION_PARAMETER, WAIT_MS_PARAMETER

# Delay of the next watch call after an empty list, so that a discovery that returns empty lists at once is
# not called in a tight loop.
EMPTY_RESPONSE_DELAY_S = 0.02


class DiscoveryClient:
    """Watches and fetches the endpoint list; at most one watch call and one fetch call are in flight.

    Where discovery pushes, the client retries a failed watch itself, with backoff, and reports lists only.
    During a handover, the calls to the new address replace that retry. Where discovery is polled, failures
    are reported too, and the policy decides when to watch again.
    """

    def __init__(
        self,
        address: Address,
        reader: EndpointListReader,
        *,
        pushes: bool,
        rng: random.Random,
        on_result: OnResult,
        memory: MemoryBudget,
        max_list_bytes: int = MAX_LIST_BYTES,
    ) -> None:
        self._reader = reader
        self._memory = memory
        self._max_list_bytes = max_list_bytes
        self._target = self._make_target(address)
        self._handover: DiscoveryHandover | None = None
        self._pushes = pushes
        self._timing = WatchTiming(pushes)
        self._rng = rng
        self._on_result = on_result
        self._version: int | None = None  # version of the last list received
        self._watching = False
        self._watch_call: DiscoveryCall | None = None
        self._fetch_call: DiscoveryCall | None = None
        # Calls that wait for the end of a handover, because the old address refuses connections.
        self._watch_deferred = False
        self._fetch_deferred = False
        self._watch_timer: asyncio.TimerHandle | None = None
        self._watch_backoff = Backoff(rng)

    def _make_target(self, address: Address) -> DiscoveryTarget:
        return DiscoveryTarget(address, self._reader, self._memory, self._max_list_bytes)

    def set_initial_list(self, endpoint_list: EndpointList) -> None:
        """Let the next watch call ask for changes since a list that was not received from discovery."""
        self._version = endpoint_list.version

    def stop(self) -> None:
        """Abandon all calls and close all connections."""
        self.unwatch()
        self._abandon_handover()
        self._abandon_fetch_call()
        self._target.close()

    # -- watch and fetch --

    def watch(self) -> None:
        """Watch for changes since the last list; start no second call if one is in flight."""
        self._watching = True
        if self._watch_call is not None:
            return
        self._cancel_watch_timer()
        if self._defers_calls:
            self._watch_deferred = True
            return
        failures = self._watch_backoff.failures
        query = self._watch_query(self._timing.wait_ms(failures))
        self._watch_call = self._target.call(
            query, self._timing.response_wait_s(failures), self._on_watch_ended
        )

    def _watch_query(self, wait_ms: int) -> str:
        if self._version is None:
            return ""  # returns the complete list at once
        return f"?{AFTER_VERSION_PARAMETER}={self._version}&{WAIT_MS_PARAMETER}={wait_ms}"

    def unwatch(self) -> None:
        """Stop watching, and abandon the watch call if one is in flight."""
        self._watching = False
        self._watch_deferred = False
        self._abandon_watch_call()

    def fetch(self) -> None:
        """Fetch the complete list once; start no second call if one is in flight."""
        if self._defers_calls:
            self._fetch_deferred = True
        elif self._fetch_call is None:
            self._fetch_call = self._target.call("", fetch_response_wait_s(), self._on_fetch_ended)

    @property
    def _defers_calls(self) -> bool:
        """Whether calls wait for the end of a handover, because the old address refuses connections."""
        return self._handover is not None and self._target.refuses_connections

    def _on_watch_ended(self, result: DiscoveryResult) -> None:
        self._watch_call = None
        if isinstance(result, DiscoveryFailure):
            self._on_watch_failed(result)
            return
        self._watch_backoff.reset()
        self._version = result.version
        if len(result):
            # Called before the list is applied: discovery counts a watch call 200 ms later as a new watch.
            self.watch()
        else:
            self._watch_later(EMPTY_RESPONSE_DELAY_S)
        self._report(result)

    def _on_watch_failed(self, failure: DiscoveryFailure) -> None:
        self._watch_backoff.record_failure()
        if self._defers_calls:
            self._watch_deferred = True
            return
        if self._pushes and self._handover is None:  # else the new address continues the watch
            self._watch_later(self._watch_backoff.delay_s())
        self._report(failure)

    def _on_fetch_ended(self, result: DiscoveryResult) -> None:
        self._fetch_call = None
        if self._defers_calls and isinstance(result, DiscoveryFailure):
            self._fetch_deferred = True
            return
        self._report(result)

    def _report(self, result: DiscoveryResult) -> None:
        if isinstance(result, EndpointList) or not self._pushes:
            self._on_result(result)

    def _watch_later(self, delay_s: float) -> None:
        self._watch_timer = asyncio.get_running_loop().call_later(delay_s, self.watch)

    def _cancel_watch_timer(self) -> None:
        if self._watch_timer is not None:
            self._watch_timer.cancel()
            self._watch_timer = None

    def _abandon_watch_call(self) -> None:
        if self._watch_call is not None:
            self._watch_call.abandon()
            self._watch_call = None
        self._cancel_watch_timer()

    def _abandon_fetch_call(self) -> None:
        if self._fetch_call is not None:
            self._fetch_call.abandon()
            self._fetch_call = None

    # -- handover to a new address --

    def hand_over_to(self, address: Address) -> None:
        """Switch to another address; the watch at the old one continues until the new one returns a list."""
        handover = self._handover
        if handover is not None and handover.call_in_flight and handover.target.address == address:
            return  # a second call would only queue behind the first one
        self._abandon_handover()
        self._target.record_connect_result(refused=False)  # not known until the next call
        if address == self._target.address:
            self._resume_calls()
            return
        target = self._make_target(address)
        self._handover = DiscoveryHandover(
            target, self._rng, self._on_handover_complete, self._on_handover_failure
        )
        self._handover.start()

    def _resume_calls(self) -> None:
        """Resume the calls to the current address, including those that an abandoned handover deferred."""
        if self._watching and self._watch_call is None:
            self.watch()
        if self._fetch_deferred:
            self.fetch()
        self._watch_deferred = False
        self._fetch_deferred = False

    def _abandon_handover(self) -> None:
        if self._handover is not None:
            self._handover.abandon()
            self._handover = None

    def _on_handover_complete(self, endpoint_list: EndpointList) -> None:
        if self._handover is None:
            return
        self._abandon_watch_call()
        # The complete list of the new address is also the result of a fetch and of the deferred calls.
        self._abandon_fetch_call()
        self._watch_deferred = False
        self._fetch_deferred = False
        self._target.close()
        self._target = self._handover.target
        self._handover = None
        self._watch_backoff.reset()
        self._version = endpoint_list.version
        if self._watching:
            self.watch()
        self._report(endpoint_list)

    def _on_handover_failure(self, failure: DiscoveryFailure) -> None:
        """Report one failure for each deferred call, so that the policy does not wait for its result."""
        deferred_calls = [self._watch_deferred, self._fetch_deferred].count(True)
        self._watch_deferred = False
        self._fetch_deferred = False
        for _ in range(deferred_calls):
            self._report(failure)
