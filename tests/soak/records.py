"""What happens in a run: requests, attempts, changes of the list, log lines; times are monotonic seconds."""

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
    is_open: Callable[[], bool]  # whether the balancer has its connection still open
    outcome: AttemptOutcome | None = None  # None: not answered

    def finish(self, outcome: AttemptOutcome) -> None:
        """Record how the endpoint ended it."""
        self.outcome = outcome

    @property
    def may_have_run(self) -> bool:
        """Whether it may have had its effect."""
        return self.outcome is not AttemptOutcome.DECLINED


@dataclass(eq=False)
class ClientRequest:
    """A request of a client, and what came of it."""

    id: str
    kind: RequestKind
    sent_s: float
    deadline_s: float
    on_new_connection: bool
    status: int | None = None
    body: str = ""
    ended_s: float | None = None  # with a response, or with the end of its connection
    disconnected_s: float | None = None  # when the client closed its connection
    response_begun: bool = False

    def answer(self, status: int, body: str, now_s: float) -> None:
        """Record its complete response."""
        self.status, self.body, self.ended_s = status, body, now_s

    def end(self, now_s: float) -> None:
        """Record that its connection ended without a complete response."""
        self.ended_s = now_s

    def disconnect(self, now_s: float) -> None:
        """Record that its client closes its connection."""
        self.disconnected_s = now_s

    def begin_response(self) -> None:
        """Record that the first byte of a response has come."""
        self.response_begun = True


@dataclass
class BadClient:
    """A client that sends no proper request."""

    name: str
    connected_s: float
    ended_s: float | None = None  # with an error or a close

    def end(self, now_s: float) -> None:
        """Record that the balancer responded or closed."""
        self.ended_s = now_s


class ListChange(NamedTuple):
    """A change of an endpoint in discovery's list."""

    at_s: float
    version: int
    endpoint: int
    accepts_requests: bool


class ConditionChange(NamedTuple):
    """Discovery is in this condition from then on."""

    at_s: float
    condition: DiscoveryCondition


class Lag(NamedTuple):
    """How late this process was: what it measured then is wrong by so much."""

    at_s: float
    seconds: float


class LogLine(NamedTuple):
    """An event, for people."""

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
    """All that was recorded in one run."""

    requests: list[ClientRequest] = field(default_factory=list)
    attempts: dict[str, list[Attempt]] = field(default_factory=lambda: defaultdict(list))
    bad_clients: list[BadClient] = field(default_factory=list)
    changes: list[ListChange] = field(default_factory=list)
    conditions: list[ConditionChange] = field(default_factory=list)
    reloads_s: list[float] = field(default_factory=list)
    terminations_s: list[float] = field(default_factory=list)
    writes: list[DiscoveryWrite] = field(default_factory=list)
    lags: list[Lag] = field(default_factory=list)
    log: list[LogLine] = field(default_factory=list)
    served_bodies: set[str] = field(default_factory=set)
    violations: list[Violation] = field(default_factory=list)

    def log_event(self, text: str) -> None:
        """Add a line to the log."""
        self.log.append(LogLine(time.monotonic(), text))

    def add_violation(self, rule: Rule, text: str, request_id: str = "", at_s: float = 0.0) -> None:
        """Record that a rule was broken."""
        self.violations.append(Violation(rule, request_id, at_s or time.monotonic(), text))

    def attempts_in_flight(self) -> list[Attempt]:
        """Return the attempts that no endpoint has ended."""
        return [
            attempt for attempts in self.attempts.values() for attempt in attempts if attempt.outcome is None
        ]

    def max_lag_near(self, at_s: float, within_s: float = 0.5) -> float:
        """Return how late this process was at most around a moment."""
        return max((lag.seconds for lag in self.lags if abs(lag.at_s - at_s) <= within_s), default=0.0)

    def log_before(self, at_s: float, seconds: float = 1.0) -> list[LogLine]:
        """Return the log lines of the seconds before a moment."""
        return [line for line in self.log if at_s - seconds <= line.at_s <= at_s]
