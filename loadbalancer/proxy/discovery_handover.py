"""The move to another address of discovery."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from loadbalancer.proxy.backoff import Backoff
from loadbalancer.proxy.discovery_call import DiscoveryCall, DiscoveryTarget, WatchFailure, WatchResult
from loadbalancer.proxy.endpoint_list import EndpointList

# The whole list of a new address counts as received 4 s after the signal. A discovery with many callers
# answers them in turn, and a call that is given up stays in its queue: a retry would wait behind it. With the
# margin of each call's timeout, the call has all of that time.
HANDOVER_WAIT_S = 3.0


class DiscoveryHandover:
    """Asks a new address for the whole list, with retries, until it answers; then the handover is complete.

    Until then the client keeps its watch on the old address.
    """

    def __init__(
        self,
        target: DiscoveryTarget,
        rng: random.Random,
        on_complete: Callable[[EndpointList], None],
        on_failure: Callable[[WatchFailure], None],
    ) -> None:
        self.target = target
        self.backoff = Backoff(rng)
        self._on_complete = on_complete
        self._on_failure = on_failure
        self._call: DiscoveryCall | None = None
        self._retry_timer: asyncio.TimerHandle | None = None

    @property
    def call_in_flight(self) -> bool:
        """Whether the address is being asked at this moment."""
        return self._call is not None

    def start(self) -> None:
        """Ask the new address for the whole list."""
        self._retry_timer = None
        self._call = self.target.call("", HANDOVER_WAIT_S, self._on_call_ended)

    def abandon(self) -> None:
        """Give the move up: another address counts now."""
        if self._call is not None:
            self._call.abandon()
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self.target.close()

    def _on_call_ended(self, result: WatchResult) -> None:
        self._call = None
        if isinstance(result, EndpointList) and result.complete:
            self._on_complete(result)
            return
        self.backoff.record_failure()
        self._retry_timer = asyncio.get_running_loop().call_later(self.backoff.delay_s(), self.start)
        # A list that is not complete, or older than the one in force, is no success either.
        self._on_failure(result if isinstance(result, WatchFailure) else WatchFailure.CALL_FAILED)
