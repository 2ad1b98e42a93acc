"""Builds an endpoint list from the events of a JSON parser."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterator
from decimal import Decimal
from enum import Enum, auto
from functools import cache
from sys import intern
from typing import Any

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

log = logging.getLogger(__name__)
NS_PER_MS = 1_000_000
# Kinds of the JSON parser's events, beside "map_key" and the kinds of scalars.
STARTS = frozenset({"start_map", "start_array"})
ENDS = frozenset({"end_map", "end_array"})
# Depths of nesting, outside the rows.
OUTSIDE_DEPTH = 0
MEMBER_DEPTH = 1
HOSTS_DEPTH = 2

JsonEvent = tuple[str, object]  # kind and value
Row = dict[object, object]


@cache
def unix_offset_ns() -> int:
    """Return what to add to the monotonic clock for Unix time.

    There is one for the process, so that equal start times stay equal from list to list.
    """
    return time.time_ns() - time.monotonic_ns()


class _Section(Enum):
    """The part of the list's object that is being parsed."""

    NOT_STARTED = auto()
    ABSENT = auto()  # there is a value such as null in place of the object
    MEMBERS = auto()
    HOSTS = auto()  # the array of rows, between two of them
    FINISHED = auto()


class EndpointListParser:
    """Takes a JSON parser's events, as many at a time as there are, up to the end of the list's object."""

    def __init__(self, offset_ns: int, id_registry: EndpointIdRegistry | None = None) -> None:
        self._id_registry = EndpointIdRegistry() if id_registry is None else id_registry
        self._list = EndpointList(self._id_registry)
        self._offset_ns = offset_ns  # from the monotonic clock to Unix time
        self._section = _Section.NOT_STARTED
        self._depth = OUTSIDE_DEPTH
        self._member: object = ""  # the last key at MEMBER_DEPTH
        self._has_hosts = False
        self._version: object = None
        self._complete: object = None
        # The row that is being parsed, the values nested in it (skipped), and its last key.
        self._row: Row | None = None
        self._row_nesting = 0
        self._row_key: object = None
        self._interned: dict[Any, Any] = {}  # weights and attributes: one object for all that are equal

    @property
    def started(self) -> bool:
        """Whether there is an object."""
        return self._section not in (_Section.NOT_STARTED, _Section.ABSENT)

    def take(self, events: Iterator[JsonEvent]) -> bool:
        """Take events until the list is over, and say if it is; what comes behind it is left."""
        row, nesting, key = self._row, self._row_nesting, self._row_key
        for kind, value in events:
            if row is None:
                row = self._take_outside_row(kind, value)
                if self._depth == OUTSIDE_DEPTH:
                    return True
            elif kind == "map_key":
                if not nesting:
                    key = value
            elif kind in STARTS:
                nesting += 1
            elif kind not in ENDS:
                if not nesting:
                    row[key] = value
            elif nesting:
                nesting -= 1
            else:
                self._add_row(row)
                row = None
        self._row, self._row_nesting, self._row_key = row, nesting, key
        return False

    def _take_outside_row(self, kind: str, value: object) -> Row | None:
        """Take an event between two rows or in the members; gives an empty row where one starts."""
        if kind == "map_key":
            if self._depth == MEMBER_DEPTH:
                self._member = value
        elif kind in STARTS:
            in_hosts = self._section is _Section.HOSTS and self._depth == HOSTS_DEPTH
            if in_hosts and kind == "start_map":
                return {}
            self._enter(kind)
        elif kind in ENDS:
            self._leave()
        elif self._depth == MEMBER_DEPTH:
            self._take_member(value)
        elif self._depth == OUTSIDE_DEPTH:
            self._section = _Section.ABSENT
        return None

    def _enter(self, kind: str) -> None:
        self._depth += 1
        if self._depth == MEMBER_DEPTH:
            self._section = _Section.MEMBERS
        elif self._depth == HOSTS_DEPTH and kind == "start_array" and self._member == LIST_ENDPOINTS:
            self._section = _Section.HOSTS
            self._has_hosts = True

    def _leave(self) -> None:
        self._depth -= 1
        if self._depth == MEMBER_DEPTH:
            self._section = _Section.MEMBERS
        elif self._depth == OUTSIDE_DEPTH:
            self._section = _Section.FINISHED

    def _take_member(self, value: object) -> None:
        if self._member == LIST_VERSION:
            self._version = value
        elif self._member == LIST_COMPLETE:
            self._complete = value

    def finish(self) -> EndpointList:
        """Return the list.

        Raises:
            EndpointListError: if there was none, or a member that it needs is missing.
        """
        if not self._has_hosts:
            raise EndpointListError("no object with hosts")
        if not isinstance(self._version, int) or not isinstance(self._complete, bool):
            raise EndpointListError("no seq or whole")
        self._list.version = self._version
        self._list.complete = self._complete
        return self._list

    def _add_row(self, row: Row) -> None:
        host = row.get(ENTRY_HOST)
        if not isinstance(host, str):
            return
        try:
            attributes, address = self._read_row(row)
        except (KeyError, ValueError, OverflowError, ArithmeticError) as error:
            # One bad row must not hide the others, nor remove an endpoint that is there.
            log.warning("discovery: entry %.80s can't be read: %r", host, error)
            endpoint_id = self._id_registry.find(preferred_id(host), host_fingerprint(host))
            if endpoint_id is not None:
                self._list.unreadable.append(endpoint_id)
            return
        endpoint_id = self._endpoint_id(host, attributes.status)
        if endpoint_id is not None:
            attributes = self._interned.setdefault(attributes, attributes)
            self._list.append(endpoint_id, attributes, address)

    def _read_row(self, row: Row) -> tuple[EndpointAttributes, CompactAddress]:
        status = STATUS_BY_NAME[str(row.get(ENTRY_STATUS))]
        started_ms = row.get(ENTRY_STARTED_MS) or 0
        cell = row.get(ENTRY_CELL) or 0
        weight = row.get(ENTRY_WEIGHT) or 1.0
        if not isinstance(started_ms, int) or not isinstance(cell, int):
            raise EndpointListError("an entry's figures are no numbers")
        if not isinstance(weight, int | float | Decimal):
            raise EndpointListError("an entry's figures are no numbers")
        started_ns = self._started_ns(started_ms)
        address = (
            NO_ADDRESS
            if status is EndpointStatus.REMOVED
            else parse_compact_address(str(row.get(ENTRY_ADDRESS)))
        )
        weight = float(weight)
        weight = self._interned.setdefault(weight, weight)
        zone = intern(str(row.get(ENTRY_ZONE) or ""))
        machine_type = intern(str(row.get(ENTRY_MACHINE_TYPE) or ""))
        return EndpointAttributes(status, zone, cell, weight, started_ns, machine_type), address

    def _started_ns(self, started_ms: int) -> int:
        """Convert a start time from Unix time to the monotonic clock; 0: long ago.

        No start lies in the future: clocks differ a little, and slow start knows nothing younger than new.
        """
        if started_ms <= 0:
            return 0
        return min(started_ms * NS_PER_MS - self._offset_ns, time.monotonic_ns())

    def _endpoint_id(self, host: str, status: EndpointStatus) -> int | None:
        """Return a host's id; None for the removal of an unknown host whose preferred id another host holds.

        The other host must stay.
        """
        preferred, fingerprint = preferred_id(host), host_fingerprint(host)
        if status is EndpointStatus.REMOVED:
            return self._id_registry.find(preferred, fingerprint)
        return self._id_registry.assign(preferred, fingerprint)
