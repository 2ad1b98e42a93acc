"""The handover to a new address of discovery."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from loadbalancer.proxy.backoff import Backoff
from loadbalancer.proxy.discovery_call import (
    DiscoveryCall,
    DiscoveryFailure,
    DiscoveryResult,
    DiscoveryTarget,
)
from loadbalancer.proxy.endpoint_list import EndpointList

# A call to the new address must return the complete list within 4 s: this wait plus the margin of each call.
# A shorter wait would not help: a discovery with many callers serves an abandoned call before its retry.
HANDOVER_WAIT_S = 3.0


class DiscoveryHandover:
    """Requests the complete list from a new address, with retries and backoff, until it is received.

    Meanwhile the client continues its watch at the old address.
    """

    def __init__(
        self,
        target: DiscoveryTarget,
        rng: random.Random,
        on_complete: Callable[[EndpointList], None],
        on_failure: Callable[[DiscoveryFailure], None],
    ) -> None:
        """Set up a handover; `start` begins it.

        Args:
            target: The new address.
            rng: Draws the jitter of the backoff.
            on_complete: Called once with the complete list.
            on_failure: Called for each call that failed.
        """
        self.target = target
        self.backoff = Backoff(rng)
        self._on_complete = on_complete
        self._on_failure = on_failure
        self._call: DiscoveryCall | None = None
        self._retry_timer: asyncio.TimerHandle | None = None

    @property
    def call_in_flight(self) -> bool:
        """Whether a call to the new address is in flight."""
        return self._call is not None

    def start(self) -> None:
        """Request the complete list from the new address."""
        self._retry_timer = None
        self._call = self.target.call("", HANDOVER_WAIT_S, self._on_call_ended)

    def abandon(self) -> None:
        """End the handover; neither callback is called afterwards."""
        if self._call is not None:
            self._call.abandon()
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self.target.close()

    def _on_call_ended(self, result: DiscoveryResult) -> None:
        self._call = None
        if isinstance(result, EndpointList) and result.complete:
            self._on_complete(result)
            return
        self.backoff.record_failure()
        self._retry_timer = asyncio.get_running_loop().call_later(self.backoff.delay_s(), self.start)
        # An incomplete list counts as a failure too, and so does one that is older than the current list: the
        # reader returns an empty list in its place.
        self._on_failure(result if isinstance(result, DiscoveryFailure) else DiscoveryFailure.CALL_FAILED)
