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
RECOVERY_WAIT_MS = 200

# How long the response to a fetch may take, and the one to a watch call after a failed call. A crowded
# discovery works off calls in turn, and refuses those that have waited for some 3 s; a call that is given up
# earlier only lengthens its queue. If the call falls silent, the response to the next one must still arrive
# within 6 s of its start.
RESPONSE_WAIT_MS = 3_000


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

        The first call after a pushed watch that fell silent waits no longer than that watch: if it falls
        silent too, the changes that the watch missed are due when the next call is made.
        """
        if failures > 1 or (failures and not self.pushes):
            return RESPONSE_WAIT_MS / MILLISECONDS_PER_SECOND
        return (PUSH_WAIT_MS if self.pushes else POLL_WAIT_MS) / MILLISECONDS_PER_SECOND


def fetch_response_wait_s() -> float:
    """Return how long to wait for the response to a fetch; the call times out a margin later."""
    return RESPONSE_WAIT_MS / MILLISECONDS_PER_SECOND
