"""Reads endpoint lists from JSON, cooperatively: requests are served while a long one is read."""

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

# Some thirty entries, which take less than a millisecond.
YIELD_BYTES = 4096


class EndpointListReader:
    """Reads the responses of discovery, and drops lists that are older than the newest one."""

    def __init__(self, offset_ns: int, id_registry: EndpointIdRegistry | None = None) -> None:
        """Start with no list read.

        Args:
            offset_ns: What to add to the monotonic clock for Unix time.
            id_registry: Assigns the ids of endpoints; a new one if it is None.
        """
        self.id_registry = EndpointIdRegistry() if id_registry is None else id_registry
        self.reads_in_progress = 0
        """Lists that are being read; the ids assigned to their endpoints may be in use nowhere else yet."""
        self._offset_ns = offset_ns
        self._newest_version: int | None = None

    def read(self, text: bytes) -> EndpointList:
        """Read a list at once.

        Raises:
            EndpointListError: The text is not an endpoint list.
        """
        return run_to_completion(self.read_cooperatively(bytearray(text)))

    def read_cooperatively(self, text: bytearray) -> CooperativeWork[EndpointList]:
        """Read a list, yielding every `YIELD_BYTES`; the text is empty afterwards.

        Raises:
            EndpointListError: The text is not an endpoint list.
        """
        list_parser = EndpointListParser(self._offset_ns, self.id_registry)
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
        """Return the list or, if a newer one has been read, an empty one in its place.

        Two calls may cross, and another address of discovery may lag behind; neither may undo a change.
        """
        newest = self._newest_version
        if newest is not None and endpoint_list.version < newest:
            log.info(
                "discovery: list of version %d ignored, version %d was read before",
                endpoint_list.version,
                newest,
            )
            return EndpointList(self.id_registry, newest)
        self._newest_version = endpoint_list.version
        return endpoint_list


@contextmanager
def _json_parser() -> Iterator[tuple[Any, list[JsonEvent]]]:
    """An incremental JSON parser and the list to which it adds its events; numbers are not rounded.

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
    """Parse a JSON object, yielding after each chunk; `list_parser` is fed the endpoint list under `key`.

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
            # A chunk may end inside the list, or hold its end and more of the object.
            while not in_list or list_parser.feed(remaining):
                in_list = builder.feed_until_key(remaining)
                if not in_list:
                    break
            events.clear()
            yield
        json_parser.close()
    return builder.value


class _ObjectBuilder:
    """Builds a JSON object from parser events, without the member of one key."""

    def __init__(self, skipped_key: str) -> None:
        self._skipped_key = skipped_key
        self._builder = ijson.ObjectBuilder()
        self._depth = 0

    @property
    def value(self) -> Any:  # noqa: ANN401 - any JSON value
        """What the events so far make up."""
        return self._builder.value

    def feed_until_key(self, events: Iterator[JsonEvent]) -> bool:
        """Consume events; return True at the skipped key, whose value comes next, and False at their end."""
        for kind, value in events:
            if kind == "map_key" and self._depth == MEMBER_DEPTH and value == self._skipped_key:
                return True
            if kind in START_EVENTS:
                self._depth += 1
            elif kind in END_EVENTS:
                self._depth -= 1
            self._builder.event(kind, float(value) if isinstance(value, Decimal) else value)
        return False
