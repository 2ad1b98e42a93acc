"""Reads endpoint lists from JSON, cooperatively, so that requests are served while a long list is read."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from decimal import Decimal
from typing import Any

import ijson
from ijson.backends.yajl2_c import basic_parse_coro

from loadbalancer.proxy.cooperative import CooperativeWork, run_to_completion
from loadbalancer.proxy.endpoint_list import EndpointList
from loadbalancer.proxy.endpoint_list_parser import (
    END_EVENTS,
    MEMBER_DEPTH,
    START_EVENTS,
    EndpointListParser,
    JsonEvent,
)
from loadbalancer.proxy.errors import EndpointListError
from loadbalancer.state.endpoint_ids import EndpointIdRegistry

log = logging.getLogger(__name__)

# Bytes that are read between two yields: some thirty entries, which take less than a millisecond.
YIELD_BYTES = 4096


class EndpointListReader:
    """Reads the responses of discovery, and ignores lists that are older than the newest one read."""

    def __init__(self, clock_offset_ns: int, id_registry: EndpointIdRegistry | None = None) -> None:
        """Start with no list read.

        Args:
            clock_offset_ns: Unix time minus the time of the monotonic clock.
            id_registry: Assigns the ids of endpoints; if it is None, a new registry is used.
        """
        self.id_registry = EndpointIdRegistry() if id_registry is None else id_registry
        self.reads_in_progress = 0
        """Number of lists being read; the ids assigned to their endpoints may not be in use elsewhere yet."""
        self._clock_offset_ns = clock_offset_ns
        self._newest_version: int | None = None

    def read(self, text: bytes) -> EndpointList:
        """Read a list at once.

        Raises:
            EndpointListError: The text is not an endpoint list.
        """
        return run_to_completion(self.read_cooperatively(bytearray(text)))

    def read_cooperatively(self, text: bytearray) -> CooperativeWork[EndpointList]:
        """Read a list, yielding every `YIELD_BYTES`; the text is consumed and is empty afterwards.

        Raises:
            EndpointListError: The text is not an endpoint list.
        """
        list_parser = EndpointListParser(self._clock_offset_ns, self.id_registry)
        finished = False
        with self._count_read(), _json_parser() as (json_parser, events):
            while text:
                json_parser.send(bytes(text[:YIELD_BYTES]))
                del text[:YIELD_BYTES]  # frees the memory of what has been read
                if not finished:
                    finished = list_parser.feed(iter(events))
                events.clear()
                if text:
                    yield
            json_parser.close()
        return self.accept(list_parser.finish())

    @contextmanager
    def _count_read(self) -> Iterator[None]:
        self.reads_in_progress += 1
        try:
            yield
        finally:
            self.reads_in_progress -= 1

    def accept(self, endpoint_list: EndpointList) -> EndpointList:
        """Record the version of the list and return the list; return an empty one if a newer has been read.

        The responses of two calls may arrive out of order, and another address of discovery may lag behind;
        neither may undo a change.
        """
        newest = self._newest_version
        if newest is not None and endpoint_list.version < newest:
            log.info(
                "discovery: list of version %d ignored, newer version %d was read before",
                endpoint_list.version,
                newest,
            )
            return EndpointList(self.id_registry, newest)
        self._newest_version = endpoint_list.version
        return endpoint_list


@contextmanager
def _json_parser() -> Iterator[tuple[Any, list[JsonEvent]]]:
    """Yield an incremental JSON parser and the list to which it appends its events; numbers are exact.

    Raises:
        EndpointListError: The text is not JSON.
    """
    events = ijson.sendable_list()
    try:
        yield basic_parse_coro(events), events
    except ijson.JSONError as error:
        raise EndpointListError(str(error).strip().partition("\n")[0]) from error


def parse_object_around_list(
    chunks: Iterable[bytes], key: str, list_parser: EndpointListParser
) -> CooperativeWork[Any]:
    """Parse a JSON object, yielding after each chunk; the value of `key` is fed to `list_parser`.

    Returns:
        The object without that member.

    Raises:
        EndpointListError: The text is not JSON.
    """
    builder = _ObjectBuilder(key)
    in_list = False
    with _json_parser() as (json_parser, events):
        for chunk in chunks:
            json_parser.send(chunk)
            remaining = iter(events)
            # A chunk may end inside the list, or contain its end and further members of the object.
            while not in_list or list_parser.feed(remaining):
                in_list = builder.feed_until_key(remaining)
                if not in_list:
                    break
            events.clear()
            yield
        json_parser.close()
    return builder.value


class _ObjectBuilder:
    """Builds a JSON object from parser events, leaving out the member with one key."""

    def __init__(self, skipped_key: str) -> None:
        self._skipped_key = skipped_key
        self._builder = ijson.ObjectBuilder()
        self._depth = 0

    @property
    def value(self) -> Any:  # noqa: ANN401 - any JSON value
        """The value built from the events so far."""
        return self._builder.value

    def feed_until_key(self, events: Iterator[JsonEvent]) -> bool:
        """Consume events up to the skipped key, whose value comes next; return whether it was reached."""
        for kind, value in events:
            if kind == "map_key" and self._depth == MEMBER_DEPTH and value == self._skipped_key:
                return True
            if kind in START_EVENTS:
                self._depth += 1
            elif kind in END_EVENTS:
                self._depth -= 1
            self._builder.event(kind, float(value) if isinstance(value, Decimal) else value)
        return False
