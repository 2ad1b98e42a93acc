"""What the processes of an experiment report to it, as JSON; times are of the monotonic clock."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

Json = Mapping[str, Any]

NEVER_NS = 2**62  # of a response that was not in force when the experiment ended


@dataclass(frozen=True, slots=True)
class VersionSeen:
    """A balancer showed that it had a version, by calling for what is newer."""

    at_ns: int
    version: int


@dataclass(slots=True)
class FullListAnswer:
    """A full list that was sent to a balancer, and the balancer's next call."""

    begun_ns: int
    version: int
    next_call_ns: int | None = None
    accepted: bool = False  # whether the next call named this version, or a newer one


@dataclass(slots=True)
class CallerRecord:
    """The calls of one balancer to discovery, and what was sent in response."""

    calls: int = 0
    rejected: int = 0
    received: int = 0  # bytes
    sent: int = 0  # bytes
    versions_seen: list[VersionSeen] = field(default_factory=list)
    full_lists: list[FullListAnswer] = field(default_factory=list)

    @classmethod
    def from_json(cls, raw: Json) -> CallerRecord:
        """Read what discovery's process reports."""
        return cls(
            raw["calls"],
            raw["rejected"],
            raw["received"],
            raw["sent"],
            [VersionSeen(**seen) for seen in raw["versions_seen"]],
            [FullListAnswer(**answer) for answer in raw["full_lists"]],
        )


@dataclass(frozen=True, slots=True)
class CallerTraffic:
    """Calls of one balancer to discovery so far, and their bytes."""

    calls: int
    received: int
    sent: int


@dataclass(frozen=True, slots=True)
class ListVersion:
    """A version of the list: when it was made, and how many rows changed in it."""

    version: int
    at_ns: int
    rows: int


@dataclass(frozen=True, slots=True)
class Outage:
    """A time in which discovery was down."""

    begun_ns: int
    ended_ns: int


@dataclass(frozen=True, slots=True)
class DiscoveryReport:
    """What discovery recorded: its callers by the balancers' numbers, the list's versions, its outages."""

    callers: list[CallerRecord]
    versions: list[ListVersion]
    outages: list[Outage]

    @classmethod
    def from_json(cls, raw: Json) -> DiscoveryReport:
        """Read what discovery's process reports."""
        return cls(
            [CallerRecord.from_json(caller) for caller in raw["callers"]],
            [ListVersion(**version) for version in raw["versions"]],
            [Outage(**outage) for outage in raw["outages"]],
        )


@dataclass(frozen=True, slots=True)
class PolicyChange:
    """A change of the list that a policy applied."""

    begun_ns: int
    done_ns: int
    rows: int


@dataclass(frozen=True, slots=True)
class AnswerInForce:
    """A response of discovery, and when its last row was in force; NEVER_NS where it was not."""

    version: int
    at_ns: int


@dataclass(frozen=True, slots=True)
class BalancerReport:
    """What a hollow balancer recorded of the list; responses are in order of arrival."""

    changes: list[PolicyChange]
    in_force: list[AnswerInForce]

    @classmethod
    def from_json(cls, raw: Json) -> BalancerReport:
        """Read what a process of hollow balancers reports of one."""
        return cls(
            [PolicyChange(**change) for change in raw["changes"]],
            [AnswerInForce(**answer) for answer in raw["in_force"]],
        )


@dataclass(frozen=True, slots=True)
class RequestSample:
    """A client's request, and the time that the balancer added to the upstream's; None: not served."""

    sent_ns: int
    answered_ns: int
    added_ns: int | None
