"""What happens in a run: requests, attempts, changes of the endpoint list, events.

Times are in seconds of the monotonic clock.
"""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from tests.soak.kinds import AttemptOutcome, DiscoveryCondition, RequestKind, Rule
from tests.support.fake_discovery import DiscoveryWrite


@dataclass(eq=False)
class Attempt:
    """A request as an endpoint received it."""

    request_id: str
    endpoint: int
    received_s: float
    is_open: Callable[[], bool]  # whether the balancer still has its connection open
    outcome: AttemptOutcome | None = None  # None: the endpoint has not ended it

    def record_outcome(self, outcome: AttemptOutcome) -> None:
        """Record how the endpoint ended the attempt."""
        self.outcome = outcome

    @property
    def may_have_run(self) -> bool:
        """Whether the endpoint may have run the request."""
        return self.outcome is not AttemptOutcome.DECLINED


@dataclass(eq=False)
class ClientRequest:
    """A request of a client, and its result."""

    id: str
    kind: RequestKind
    sent_s: float
    deadline_s: float
    on_new_connection: bool
    status: int | None = None
    body: str = ""
    ended_s: float | None = None  # when the response was complete or the connection ended
    disconnected_s: float | None = None  # when the client closed its connection
    response_begun: bool = False

    def record_response(self, status: int, body: str, now_s: float) -> None:
        """Record the complete response."""
        self.status, self.body, self.ended_s = status, body, now_s

    def record_end(self, now_s: float) -> None:
        """Record that the connection ended without a complete response."""
        self.ended_s = now_s

    def record_disconnect(self, now_s: float) -> None:
        """Record that the client closes its connection."""
        self.disconnected_s = now_s

    def record_response_start(self) -> None:
        """Record that the first byte of the response has arrived."""
        self.response_begun = True


@dataclass
class BadClient:
    """A client that sends no complete, valid request."""

    name: str
    connected_s: float
    ended_s: float | None = None  # when the balancer responded with an error or closed the connection

    def record_end(self, now_s: float) -> None:
        """Record that the balancer responded or closed the connection."""
        self.ended_s = now_s


class ListChange(NamedTuple):
    """A change of an endpoint in discovery's list."""

    at_s: float
    version: int
    endpoint: int
    accepts_requests: bool


class ConditionChange(NamedTuple):
    """A change of the condition of discovery."""

    at_s: float
    condition: DiscoveryCondition


class Lag(NamedTuple):
    """How late the event loop of this process was; times measured then may be off by this much."""

    at_s: float
    seconds: float


class LogLine(NamedTuple):
    """An event, as it is shown with a violation."""

    at_s: float
    text: str


class Violation(NamedTuple):
    """A rule that was broken."""

    rule: Rule
    request_id: str
    at_s: float
    text: str


@dataclass
class Records:
    """Everything that was recorded in one run."""

    requests: list[ClientRequest] = field(default_factory=list)
    attempts: dict[str, list[Attempt]] = field(default_factory=lambda: defaultdict(list))
    bad_clients: list[BadClient] = field(default_factory=list)
    changes: list[ListChange] = field(default_factory=list)
    conditions: list[ConditionChange] = field(default_factory=list)
    reloads_s: list[float] = field(default_factory=list)  # times of each SIGHUP
    terminations_s: list[float] = field(default_factory=list)  # times of each SIGTERM
    writes: list[DiscoveryWrite] = field(default_factory=list)
    lags: list[Lag] = field(default_factory=list)
    log: list[LogLine] = field(default_factory=list)
    served_bodies: set[str] = field(default_factory=set)  # bodies of the endpoints' complete 200 responses
    violations: list[Violation] = field(default_factory=list)

    def log_event(self, text: str) -> None:
        """Add a line to the log of events."""
        self.log.append(LogLine(time.monotonic(), text))

    def add_violation(self, rule: Rule, text: str, request_id: str = "", at_s: float = 0.0) -> None:
        """Record that a rule was broken: at `at_s`, or at the current time if that is 0."""
        self.violations.append(Violation(rule, request_id, at_s or time.monotonic(), text))

    def attempts_in_flight(self) -> list[Attempt]:
        """Return the attempts that their endpoints have not ended."""
        return [
            attempt for attempts in self.attempts.values() for attempt in attempts if attempt.outcome is None
        ]

    def max_lag_near(self, at_s: float, within_s: float = 0.5) -> float:
        """Return the largest lag of this process measured within `within_s` of a moment."""
        return max((lag.seconds for lag in self.lags if abs(lag.at_s - at_s) <= within_s), default=0.0)

    def log_before(self, at_s: float, seconds: float = 1.0) -> list[LogLine]:
        """Return the log lines of the last `seconds` before a moment."""
        return [line for line in self.log if at_s - seconds <= line.at_s <= at_s]
