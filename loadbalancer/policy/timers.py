"""Timers that the policy sets (interface types: loadbalancer/messages.py)."""

from dataclasses import dataclass

from loadbalancer.policy.throttle import Throttle
from loadbalancer.state.request import Request


@dataclass(slots=True, eq=False)
class QueueDeadline:
    """The queue deadline of a request, at which it is rejected if it is still queued."""

    request: Request

    @property
    def obsolete(self) -> bool:
        """Whether the request has its final response."""
        return self.request.finished


@dataclass(slots=True, eq=False)
class AttemptOverdue:
    """The time at which an attempt is overdue if it is still in flight: its endpoint may hang."""

    request: Request
    attempt_number: int

    @property
    def obsolete(self) -> bool:
        """Whether the attempt has ended."""
        return self.request.attempts[self.attempt_number].result is not None


class _NeverObsolete:
    """A timer that has an effect whenever it expires."""

    __slots__ = ()

    @property
    def obsolete(self) -> bool:
        """Whether nothing would happen if the timer expired."""
        return False


@dataclass(slots=True, eq=False)
class TokenDue(_NeverObsolete):
    """The time at which a throttle has the next token for its buffered requests."""

    throttle: Throttle


@dataclass(slots=True, eq=False)
class ServeQueue(_NeverObsolete):
    """The time at which an endpoint may be available again, or at which load probing times out.

    It needs no handler, as the queues are served after each batch of events and timers.
    """


@dataclass(slots=True, eq=False)
class PollDiscovery(_NeverObsolete):
    """The time at which discovery is polled for the endpoint list."""


Timer = QueueDeadline | AttemptOverdue | TokenDue | ServeQueue | PollDiscovery
