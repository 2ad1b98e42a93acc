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
from loadbalancer.proxy.endpoint_list_parser import ENDS, STARTS, EndpointListParser, JsonEvent
from loadbalancer.proxy.errors import EndpointListError
from loadbalancer.state.endpoint_ids import EndpointIdRegistry

log = logging.getLogger(__name__)
YIELD_BYTES = 4096  # some thirty rows, which take less than a millisecond


class EndpointListReader:
    """Reads discovery's answers, and takes none that is older than the last."""

    def __init__(self, offset_ns: int, id_registry: EndpointIdRegistry | None = None) -> None:
        self.id_registry = EndpointIdRegistry() if id_registry is None else id_registry
        self.reads_in_progress = 0  # the ids that they assign may be in use nowhere else yet
        self._offset_ns = offset_ns  # from the monotonic clock to Unix time
        self._newest_version: int | None = None

    def read(self, text: bytes) -> EndpointList:
        """Read a list in one go.

        Raises:
            EndpointListError: if the text is no list.
        """
        return run_to_completion(self.read_cooperatively(bytearray(text)))

    def read_cooperatively(self, text: bytearray) -> CooperativeWork[EndpointList]:
        """Read a list, yielding every `YIELD_BYTES`; the text is empty afterwards.

        Raises:
            EndpointListError: if the text is no list.
        """
        list_parser = EndpointListParser(self._offset_ns, self.id_registry)
        finished = False
        with self._count_read(), _json_parser() as (json_parser, events):
            while text:
                json_parser.send(bytes(text[:YIELD_BYTES]))
                del text[:YIELD_BYTES]  # what has been read takes no more memory
                if not finished:
                    finished = list_parser.take(iter(events))
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

        Two calls may cross, or a new address of discovery lag behind the old one: that must undo nothing.
        """
        newest = self._newest_version
        if newest is not None and endpoint_list.version < newest:
            log.info("discovery: version %d after %d", endpoint_list.version, newest)
            return EndpointList(self.id_registry, newest)
        self._newest_version = endpoint_list.version
        return endpoint_list


@contextmanager
def _json_parser() -> Iterator[tuple[Any, list[JsonEvent]]]:
    """A JSON parser and the list to which it adds its events; numbers keep their size."""
    events = ijson.sendable_list()
    try:
        yield basic_parse_coro(events), events
    except ijson.JSONError as error:
        raise EndpointListError(str(error).strip().partition("\n")[0]) from error


def parse_object_around_list(
    chunks: Iterable[bytes], key: str, list_parser: EndpointListParser
) -> CooperativeWork[Any]:
    """Parse a JSON object, yielding after each chunk; `list_parser` takes the endpoint list under `key`.

    Raises:
        EndpointListError: if the text is not JSON.
    """
    builder = ijson.ObjectBuilder()
    depth = 0
    in_list = False
    with _json_parser() as (json_parser, events):
        for chunk in chunks:
            json_parser.send(chunk)
            found = iter(events)
            # A chunk may end in the list, or hold its end and more of the object.
            while not (in_list and not list_parser.take(found)):
                in_list = False
                for kind, value in found:
                    if kind == "map_key" and depth == 1 and value == key:
                        in_list = True
                        break
                    if kind in STARTS:
                        depth += 1
                    elif kind in ENDS:
                        depth -= 1
                    builder.event(kind, float(value) if isinstance(value, Decimal) else value)
                else:
                    break
            events.clear()
            yield
        json_parser.close()
    return builder.value
