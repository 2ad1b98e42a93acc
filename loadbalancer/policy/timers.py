"""What the policy sets timers for (interface types: loadbalancer/messages.py)."""

from dataclasses import dataclass

from loadbalancer.policy.throttle import Throttle
from loadbalancer.state.request import Request


@dataclass(slots=True, eq=False)
class QueueDeadline:
    """A request that is still queued at its queue deadline is rejected."""

    request: Request


@dataclass(slots=True, eq=False)
class AttemptOverdue:
    """An attempt that is still in flight at this time is overdue: its endpoint may be hung."""

    request: Request
    attempt_number: int


@dataclass(slots=True, eq=False)
class TokenDue:
    """A throttle has the next token for its buffered requests."""

    throttle: Throttle


@dataclass(slots=True, eq=False)
class ServeQueue:
    """An endpoint may be available again; the queues are served after each batch of events."""


@dataclass(slots=True, eq=False)
class PollDiscovery:
    """Discovery is to be polled for the endpoint list."""


Timer = QueueDeadline | AttemptOverdue | TokenDue | ServeQueue | PollDiscovery
