"""What the processes of an experiment report to it, as JSON.

Records are read from JSON by the names of their fields. Times are nanoseconds of the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

Json = Mapping[str, Any]

NEVER_NS = 2**62  # the time of a response that was not in force when the experiment ended


@dataclass(frozen=True, slots=True)
class VersionSeen:
    """A version that a balancer named in a call for newer changes."""

    at_ns: int
    version: int


@dataclass(slots=True)
class FullListResponse:
    """A response with the full list, and the balancer's next call after it."""

    begun_ns: int  # when discovery began the response
    version: int
    next_call_ns: int | None = None
    accepted: bool = False  # whether the next call named this version or a newer one


@dataclass(slots=True)
class CallerRecord:
    """The calls of one balancer to discovery, and the responses to them."""

    calls: int = 0
    rejected: int = 0  # calls made while discovery was down
    received: int = 0  # bytes that discovery received from it
    sent: int = 0  # bytes that discovery sent to it
    versions_seen: list[VersionSeen] = field(default_factory=list)  # in rising order
    full_lists: list[FullListResponse] = field(default_factory=list)

    @classmethod
    def from_json(cls, raw: Json) -> CallerRecord:
        """Read the record of a caller from discovery's report."""
        return cls(
            raw["calls"],
            raw["rejected"],
            raw["received"],
            raw["sent"],
            [VersionSeen(**seen) for seen in raw["versions_seen"]],
            [FullListResponse(**response) for response in raw["full_lists"]],
        )


@dataclass(frozen=True, slots=True)
class CallerTraffic:
    """The number of one balancer's calls to discovery so far, and the bytes in each direction."""

    calls: int
    received: int  # bytes that discovery received from it
    sent: int  # bytes that discovery sent to it


@dataclass(frozen=True, slots=True)
class ListVersion:
    """A version of the list: when it was made, and the number of rows that it changed."""

    version: int
    at_ns: int
    rows: int


@dataclass(frozen=True, slots=True)
class Outage:
    """A span of time in which discovery was down."""

    begun_ns: int
    ended_ns: int


@dataclass(frozen=True, slots=True)
class DiscoveryReport:
    """What discovery recorded: its callers in order of balancer number, the list's versions, its outages."""

    callers: list[CallerRecord]
    versions: list[ListVersion]
    outages: list[Outage]

    @classmethod
    def from_json(cls, raw: Json) -> DiscoveryReport:
        """Read the report of discovery's process."""
        return cls(
            [CallerRecord.from_json(caller) for caller in raw["callers"]],
            [ListVersion(**version) for version in raw["versions"]],
            [Outage(**outage) for outage in raw["outages"]],
        )


@dataclass(frozen=True, slots=True)
class PolicyChange:
    """A change of the list that a hollow balancer's policy applied."""

    begun_ns: int
    done_ns: int
    rows: int


@dataclass(frozen=True, slots=True)
class ResponseInForce:
    """A response of discovery, and when its last row was in force; NEVER_NS: not until the end."""

    version: int
    at_ns: int


@dataclass(frozen=True, slots=True)
class BalancerReport:
    """What a hollow balancer recorded: changes of the list, and responses in order of arrival."""

    changes: list[PolicyChange]
    in_force: list[ResponseInForce]

    @classmethod
    def from_json(cls, raw: Json) -> BalancerReport:
        """Read one balancer's part of the report of a process of hollow balancers."""
        return cls(
            [PolicyChange(**change) for change in raw["changes"]],
            [ResponseInForce(**response) for response in raw["in_force"]],
        )


@dataclass(frozen=True, slots=True)
class RequestSample:
    """A client's request, and the time that the balancer added to it; None: the request was not served."""

    sent_ns: int
    answered_ns: int
    added_ns: int | None
