"""Endpoint lists: parsed piece by piece, so that nothing waits for a long one, and held compactly."""

from __future__ import annotations

import hashlib
import logging
import time
from array import array
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from decimal import Decimal
from functools import cache
from sys import intern
from typing import Any, NamedTuple

import ijson
from ijson.backends.yajl2_c import basic_parse_coro

from loadbalancer.messages import Endpoint, EndpointStatus
from loadbalancer.proxy.addresses import NOWHERE, Address, Packed, pack_address, unpack_address
from loadbalancer.proxy.errors import EndpointListError
from loadbalancer.proxy.steps import Steps, run_through
from loadbalancer.state.endpoint_table import EndpointAttributes
from loadbalancer.state.host_numbers import HostNumbers

log = logging.getLogger(__name__)
MS = 1_000_000
STRIDE = 4096  # bytes read at a stretch, some thirty rows: what waits meanwhile waits under a millisecond
STATES = {
    "up": EndpointStatus.READY,
    "draining": EndpointStatus.DRAINING,
    "removed": EndpointStatus.REMOVED,
}
STARTS, ENDS = frozenset({"start_map", "start_array"}), frozenset({"end_map", "end_array"})
FINGERPRINT = b"fingerprint"  # makes the second hash of a name independent of the first
Event = tuple[str, object]  # of the JSON parser


@cache
def unix_offset_ns() -> int:
    """From the module's clock to Unix time; one for the process, that equal starts stay equal."""
    return time.time_ns() - time.monotonic_ns()


def number_of(host: str) -> int:
    """A number below 2^64, the same in every process and whatever else is listed: that two of 160,000 hosts
    have the same has a chance of one in a thousand millions. `HostNumbers` gives one of them another then."""
    return int.from_bytes(hashlib.blake2b(host.encode(), digest_size=8).digest(), "big")


def fingerprint_of(host: str) -> int:
    """A second, independent hash of the name: tells apart hosts whose `number_of` is the same."""
    return int.from_bytes(hashlib.blake2b(host.encode(), digest_size=8, person=FINGERPRINT).digest(), "big")


class ListedEndpoint(NamedTuple):
    upstream: Endpoint
    address: Address


class EndpointList:
    """An answer of discovery: the whole list or the entries that changed, without an object for each."""

    def __init__(self, host_numbers: HostNumbers, version: int = 0, whole: bool = False) -> None:
        self.host_numbers = host_numbers  # that assigned the numbers
        self.version, self.complete = version, whole
        self.ids = array("Q")
        self.attributes: list[EndpointAttributes] = []
        self.addresses: list[Packed] = []
        self.unreadable: list[int] = []  # listed, but their rows can't be read: what is known of them stays
        self.superseded: set[int] = set()  # newer things of these came before they were put in force

    def __len__(self) -> int:
        return len(self.ids)

    def clear(self) -> None:
        """It has been put in force, and is of no more use."""
        del self.ids[:], self.attributes[:], self.addresses[:]

    @property
    def entries(self) -> Iterator[ListedEndpoint]:
        for number, profile, address in zip(self.ids, self.attributes, self.addresses, strict=True):
            yield ListedEndpoint(Endpoint(number, *profile), unpack_address(address))


class EndpointListParser:
    """Takes a JSON parser's events and makes the listing of them, up to the end of its object."""

    def __init__(self, offset_ns: int, host_numbers: HostNumbers | None = None) -> None:
        self._host_numbers = HostNumbers() if host_numbers is None else host_numbers
        self.endpoint_list = EndpointList(self._host_numbers)
        self._offset_ns = offset_ns  # from the module's clock to Unix time
        self._version: object = None
        self._whole: object = None
        self._depth = 0
        self._key: object = ""  # in the list's own object
        self._among_hosts = self._has_hosts = False
        self._row: dict[object, object] | None = None
        self._nested = 0  # values in values of a row: of no use here
        self._field: object = None  # of the row
        self.started = False  # there is an object
        self._alike: dict[Any, Any] = {}  # one object for all that are equal: weights and profiles

    def take(self, events: Iterator[Event]) -> bool:
        """Take what there is; is the list over? What comes behind it is left."""
        row, nested, field = self._row, self._nested, self._field
        for kind, value in events:
            if row is None:
                row = self._outside(kind, value)
                if not self._depth:
                    return True
            elif kind == "map_key":
                if not nested:
                    field = value
            elif kind in STARTS:
                nested += 1
            elif kind not in ENDS:
                if not nested:
                    row[field] = value
            elif nested:
                nested -= 1
            else:
                self._add(row)
                row = None
        self._row, self._nested, self._field = row, nested, field
        return False

    def _outside(self, kind: str, value: object) -> dict[object, object] | None:
        if kind == "map_key":
            if self._depth == 1:
                self._key = value
        elif kind in STARTS:
            if kind == "start_map" and self._depth == 2 and self._among_hosts:
                return {}
            self._depth, self.started = self._depth + 1, True
            if self._depth == 2 and kind == "start_array" and self._key == "hosts":
                self._among_hosts = self._has_hosts = True
        elif kind in ENDS:
            self._depth -= 1
            if self._depth == 1:
                self._among_hosts = False
        elif self._depth == 1:
            if self._key == "seq":
                self._version = value
            elif self._key == "whole":
                self._whole = value
        return None

    def done(self) -> EndpointList:
        if not self._has_hosts:
            raise EndpointListError("no object with hosts")
        if not isinstance(self._version, int) or not isinstance(self._whole, bool):
            raise EndpointListError("no seq or whole")
        self.endpoint_list.version, self.endpoint_list.complete = self._version, self._whole
        return self.endpoint_list

    def _add(self, row: dict[object, object]) -> None:
        host = row.get("host")
        if not isinstance(host, str):
            return
        alike = self._alike
        try:
            state = STATES[str(row.get("health"))]
            born_ms, cell, weight = row.get("born_ms") or 0, row.get("block") or 0, row.get("share") or 1.0
            if not (
                isinstance(born_ms, int)
                and isinstance(cell, int)
                and isinstance(weight, int | float | Decimal)
            ):
                raise EndpointListError("an entry's figures are no numbers")
            # No start lies in the future: clocks differ a little, and what is younger than new has no warmth.
            started = min(born_ms * MS - self._offset_ns, time.monotonic_ns()) if born_ms > 0 else 0
            address = NOWHERE if state is EndpointStatus.REMOVED else pack_address(str(row.get("dial")))
            weight = alike.setdefault(float(weight), float(weight))
            profile = EndpointAttributes(
                state,
                intern(str(row.get("site") or "")),
                cell,
                weight,
                started,
                intern(str(row.get("class") or "")),
            )
        except (KeyError, ValueError, OverflowError, ArithmeticError) as error:
            # One bad row must not hide the others, nor end an upstream that is there.
            log.warning("discovery: entry %.80s can't be read: %r", host, error)
            if (number := self._host_numbers.find(number_of(host), fingerprint_of(host))) is not None:
                self.endpoint_list.unreadable.append(number)
            return
        if (number := self._number(host, state)) is None:
            return
        self.endpoint_list.ids.append(number)
        self.endpoint_list.attributes.append(alike.setdefault(profile, profile))
        self.endpoint_list.addresses.append(address)

    def _number(self, host: str, state: EndpointStatus) -> int | None:
        """None for the end of a host that is not known, where another host holds its number: it must stay."""
        preferred, fingerprint = number_of(host), fingerprint_of(host)
        if state is EndpointStatus.REMOVED:
            return self._host_numbers.find(preferred, fingerprint)
        return self._host_numbers.assign(preferred, fingerprint)


class EndpointListReader:
    """Reads discovery's answers, and takes none that is older than the last."""

    def __init__(self, offset_ns: int, host_numbers: HostNumbers | None = None) -> None:
        self.host_numbers = HostNumbers() if host_numbers is None else host_numbers
        self.reads = 0  # begun and not over: the numbers that they assign may be in use nowhere else yet
        self._offset_ns = offset_ns
        self._newest: int | None = None  # the latest version read

    def read(self, text: bytes) -> EndpointList:
        """Read it in one go; BadList if it is none."""
        return run_through(self.steps(bytearray(text)))

    def steps(self, text: bytearray) -> Steps[EndpointList]:
        """The same in steps of a fraction of a millisecond, which use the text up."""
        rows, over = EndpointListParser(self._offset_ns, self.host_numbers), False
        with self._reading(), _readable() as (parser, events):
            while text:
                parser.send(bytes(text[:STRIDE]))
                del text[:STRIDE]  # what has been read takes no more memory
                over = over or rows.take(iter(events))
                events.clear()
                if text:
                    yield
            parser.close()
        return self.accept(rows.done())

    @contextmanager
    def _reading(self) -> Iterator[None]:
        self.reads += 1
        try:
            yield
        finally:
            self.reads -= 1

    def accept(self, listing: EndpointList) -> EndpointList:
        if self._newest is not None and listing.version < self._newest:
            # Two calls have crossed, or a new address lags behind the old one: it must undo nothing.
            log.info("discovery: version %d after %d", listing.version, self._newest)
            return EndpointList(self.host_numbers, self._newest)
        self._newest = listing.version
        return listing


@contextmanager
def _readable() -> Iterator[tuple[Any, list[Event]]]:
    """A JSON parser and what it has found, to be taken out; numbers keep their size."""
    events = ijson.sendable_list()
    try:
        yield basic_parse_coro(events), events
    except ijson.JSONError as error:
        raise EndpointListError(str(error).strip().partition("\n")[0]) from None


def read_beside(chunks: Iterable[bytes], key: str, rows: EndpointListParser) -> Steps[Any]:
    """A JSON value, in a step a chunk; `rows` takes the list under a key of its object, which is left out."""
    value, depth, inside = ijson.ObjectBuilder(), 0, False
    with _readable() as (parser, events):
        for chunk in chunks:
            parser.send(chunk)
            found = iter(events)
            while not (inside and not rows.take(found)):
                inside = False
                for kind, part in found:
                    if kind == "map_key" and depth == 1 and part == key:
                        inside = True
                        break
                    depth += (kind in STARTS) - (kind in ENDS)
                    value.event(kind, float(part) if isinstance(part, Decimal) else part)
                else:
                    break
            events.clear()
            yield
        parser.close()
    return value.value
