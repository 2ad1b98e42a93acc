"""Builds an endpoint list from the events of an incremental JSON parser."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterator
from decimal import Decimal
from enum import Enum, auto
from functools import cache
from sys import intern

from loadbalancer.messages import EndpointStatus
from loadbalancer.proxy.addresses import NO_ADDRESS, CompactAddress, parse_compact_address
from loadbalancer.proxy.endpoint_list import EndpointList
from loadbalancer.proxy.errors import EndpointListError
from loadbalancer.proxy.wire_names import (
    ENTRY_ADDRESS,
    ENTRY_CELL,
    ENTRY_HOST,
    ENTRY_MACHINE_TYPE,
    ENTRY_STARTED_MS,
    ENTRY_STATUS,
    ENTRY_WEIGHT,
    ENTRY_ZONE,
    LIST_COMPLETE,
    LIST_ENDPOINTS,
    LIST_VERSION,
    STATUS_BY_NAME,
)
from loadbalancer.state.endpoint_attributes import EndpointAttributes
from loadbalancer.state.endpoint_ids import EndpointIdRegistry, host_fingerprint, preferred_id
from loadbalancer.units import NANOSECONDS_PER_MILLISECOND

log = logging.getLogger(__name__)

# Event kinds of the JSON parser; the others are "map_key" and the kinds of scalars.
START_EVENTS = frozenset({"start_map", "start_array"})
END_EVENTS = frozenset({"end_map", "end_array"})

# Nesting depths from outside the list's object down to its entries.
OUTSIDE_DEPTH = 0
MEMBER_DEPTH = 1
ENTRIES_DEPTH = 2

DEFAULT_WEIGHT = 1.0

# How much of an invalid entry is quoted in errors and log lines.
MAX_QUOTED_CHARACTERS = 40
MAX_LOGGED_HOST_CHARACTERS = 80

JsonEvent = tuple[str, object]
"""Kind and value of an event."""

Entry = dict[object, object]
"""The scalar members of an entry."""


@cache
def unix_offset_ns() -> int:
    """Return Unix time minus the time of the monotonic clock.

    It is measured once in a process, so that equal start times stay equal from list to list.
    """
    return time.time_ns() - time.monotonic_ns()


class _Section(Enum):
    """The part of the list's JSON object that is being parsed."""

    NOT_STARTED = auto()
    ABSENT = auto()  # a scalar such as null stands in place of the object
    MEMBERS = auto()
    ENTRIES = auto()  # in the array of entries, outside an entry
    FINISHED = auto()


class EndpointListParser:
    """Builds a list from JSON parser events, which are fed in any number of pieces."""

    def __init__(self, clock_offset_ns: int, id_registry: EndpointIdRegistry | None = None) -> None:
        """Expect the start of the list's object.

        Args:
            clock_offset_ns: Unix time minus the time of the monotonic clock.
            id_registry: Assigns the ids; if it is None, a new registry is used.
        """
        self._id_registry = EndpointIdRegistry() if id_registry is None else id_registry
        self._list = EndpointList(self._id_registry)
        self._clock_offset_ns = clock_offset_ns
        self._section = _Section.NOT_STARTED
        self._depth = OUTSIDE_DEPTH
        self._member: object = ""  # the last key seen at MEMBER_DEPTH
        self._has_entries = False
        self._version: object = None
        self._complete: object = None
        self._entry: Entry | None = None  # the entry being parsed
        self._entry_nesting = 0  # depth inside the entry; nested values are skipped
        self._entry_key: object = None
        self._weights: dict[float, float] = {}  # lets equal weights share one object
        self._attributes: dict[EndpointAttributes, EndpointAttributes] = {}  # likewise for attributes

    @property
    def started(self) -> bool:
        """Whether the list's object has been reached."""
        return self._section not in (_Section.NOT_STARTED, _Section.ABSENT)

    def feed(self, events: Iterator[JsonEvent]) -> bool:
        """Consume events up to the end of the list.

        Returns:
            Whether the list has ended; the events after its end are left in the iterator.
        """
        entry = self._entry
        nesting = self._entry_nesting
        key = self._entry_key
        for kind, value in events:
            if entry is None:
                entry = self._feed_outside_entry(kind, value)
                if self._depth == OUTSIDE_DEPTH:
                    return True
            elif kind == "map_key":
                if not nesting:
                    key = value
            elif kind in START_EVENTS:
                nesting += 1
            elif kind not in END_EVENTS:
                if not nesting:
                    entry[key] = value
            elif nesting:
                nesting -= 1
            else:
                self._add_entry(entry)
                entry = None
        self._entry = entry
        self._entry_nesting = nesting
        self._entry_key = key
        return False

    def _feed_outside_entry(self, kind: str, value: object) -> Entry | None:
        """Handle an event outside the entries; return a new entry, still empty, if the event starts one."""
        if kind == "map_key":
            if self._depth == MEMBER_DEPTH:
                self._member = value
        elif kind in START_EVENTS:
            in_entries = self._section is _Section.ENTRIES and self._depth == ENTRIES_DEPTH
            if in_entries and kind == "start_map":
                return {}
            self._enter(kind)
        elif kind in END_EVENTS:
            self._leave()
        elif self._depth == MEMBER_DEPTH:
            self._set_member(value)
        elif self._depth == OUTSIDE_DEPTH:
            self._section = _Section.ABSENT
        return None

    def _enter(self, kind: str) -> None:
        self._depth += 1
        if self._depth == MEMBER_DEPTH:
            self._section = _Section.MEMBERS
        elif self._depth == ENTRIES_DEPTH and kind == "start_array" and self._member == LIST_ENDPOINTS:
            self._section = _Section.ENTRIES
            self._has_entries = True

    def _leave(self) -> None:
        self._depth -= 1
        if self._depth == MEMBER_DEPTH:
            self._section = _Section.MEMBERS
        elif self._depth == OUTSIDE_DEPTH:
            self._section = _Section.FINISHED

    def _set_member(self, value: object) -> None:
        if self._member == LIST_VERSION:
            self._version = value
        elif self._member == LIST_COMPLETE:
            self._complete = value

    def finish(self) -> EndpointList:
        """Return the list.

        Raises:
            EndpointListError: There was no list, or its version or completeness is missing or invalid.
        """
        if not self._has_entries:
            raise EndpointListError(f"not an object with an array {LIST_ENDPOINTS!r}")
        if not isinstance(self._version, int):
            raise EndpointListError(f"{LIST_VERSION} is not an integer: {self._version!r}")
        if not isinstance(self._complete, bool):
            raise EndpointListError(f"{LIST_COMPLETE} is not true or false: {self._complete!r}")
        self._list.set_version(self._version, complete=self._complete)
        return self._list

    def _add_entry(self, entry: Entry) -> None:
        host = entry.get(ENTRY_HOST)
        if not isinstance(host, str):
            return
        try:
            attributes, address = self._read_entry(entry)
        except (ValueError, OverflowError, ArithmeticError) as error:
            # An invalid entry does not affect the others, nor does it remove an endpoint that is listed.
            log.warning("discovery: invalid entry of host %.*s: %r", MAX_LOGGED_HOST_CHARACTERS, host, error)
            endpoint_id = self._id_registry.find(preferred_id(host), host_fingerprint(host))
            if endpoint_id is not None:
                self._list.add_invalid_entry(endpoint_id)
            return
        endpoint_id = self._find_or_assign_id(host, attributes.status)
        if endpoint_id is not None:
            attributes = self._attributes.setdefault(attributes, attributes)
            self._list.append(endpoint_id, attributes, address)

    def _read_entry(self, entry: Entry) -> tuple[EndpointAttributes, CompactAddress]:
        """Return the attributes and the address of an entry.

        Raises:
            EndpointListError: A member has the wrong type, or the status is unknown.
            AddressError: The address is invalid.
            OverflowError, ArithmeticError: The weight is out of range.
        """
        status = STATUS_BY_NAME.get(str(entry.get(ENTRY_STATUS)))
        if status is None:
            raise EndpointListError(
                f"{ENTRY_STATUS} is not a known status: {entry.get(ENTRY_STATUS)!r:.{MAX_QUOTED_CHARACTERS}}"
            )
        started_ms = entry.get(ENTRY_STARTED_MS) or 0
        if not isinstance(started_ms, int):
            raise EndpointListError(
                f"{ENTRY_STARTED_MS} is not an integer: {started_ms!r:.{MAX_QUOTED_CHARACTERS}}"
            )
        cell = entry.get(ENTRY_CELL) or 0
        if not isinstance(cell, int):
            raise EndpointListError(f"{ENTRY_CELL} is not an integer: {cell!r:.{MAX_QUOTED_CHARACTERS}}")
        weight = entry.get(ENTRY_WEIGHT) or DEFAULT_WEIGHT
        if not isinstance(weight, int | float | Decimal):
            raise EndpointListError(f"{ENTRY_WEIGHT} is not a number: {weight!r:.{MAX_QUOTED_CHARACTERS}}")
        started_ns = self._started_ns(started_ms)
        removed = status is EndpointStatus.REMOVED
        address = NO_ADDRESS if removed else parse_compact_address(str(entry.get(ENTRY_ADDRESS)))
        weight = float(weight)
        weight = self._weights.setdefault(weight, weight)
        zone = intern(str(entry.get(ENTRY_ZONE) or ""))
        machine_type = intern(str(entry.get(ENTRY_MACHINE_TYPE) or ""))
        return EndpointAttributes(status, zone, cell, weight, started_ns, machine_type), address

    def _started_ns(self, started_ms: int) -> int:
        """Convert a start time from Unix time to the monotonic clock; 0 means long ago.

        A start time in the future, which comes from a clock that is slightly ahead, counts as now.
        """
        if started_ms <= 0:
            return 0
        return min(started_ms * NANOSECONDS_PER_MILLISECOND - self._clock_offset_ns, time.monotonic_ns())

    def _find_or_assign_id(self, host: str, status: EndpointStatus) -> int | None:
        """Return a host's id, newly assigned if the host has none.

        A removal assigns no id: None if the removed host has none. Another host may have its preferred id,
        and that host must stay.
        """
        preferred = preferred_id(host)
        fingerprint = host_fingerprint(host)
        if status is EndpointStatus.REMOVED:
            return self._id_registry.find(preferred, fingerprint)
        return self._id_registry.assign(preferred, fingerprint)
