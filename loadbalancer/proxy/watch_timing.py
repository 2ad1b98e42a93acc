"""How long discovery may hold a watch call, and how long the proxy waits for the response."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.units import MILLISECONDS_PER_SECOND

# How long discovery may hold a watch call until there is a change. A call that takes longer counts as lost,
# and the change that it would have returned must still be received within seconds. The wait is short where
# discovery is an agent on this machine, and longer where many proxies poll one service.
PUSH_WAIT_MS = 2_000
POLL_WAIT_MS = 10_000

# Replaces the waits above after a failed call, so that the recovery of discovery is detected soon.
RECOVERY_WAIT_MS = 1_000


@dataclass(frozen=True, slots=True)
class WatchTiming:
    """The times of a watch call, which depend on how many calls have failed since the last response."""

    pushes: bool
    """Whether discovery is an agent on this machine; otherwise many proxies poll one service."""

    def wait_ms(self, failures: int) -> int:
        """Return how long discovery may hold the call until there is a change."""
        if failures:
            return RECOVERY_WAIT_MS
        return PUSH_WAIT_MS if self.pushes else POLL_WAIT_MS

    def response_wait_s(self, failures: int) -> float:
        """Return how long to wait for the response; the call times out a margin later.

        A shorter wait of discovery does not shorten it: discovery may respond slowly if it has many callers.
        """
        return max(self.wait_ms(failures), PUSH_WAIT_MS) / MILLISECONDS_PER_SECOND
