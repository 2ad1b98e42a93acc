"""A call to discovery: the request for an endpoint list, and the reading of the answer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from enum import Enum
from http import HTTPStatus

from loadbalancer.messages import AttemptResult
from loadbalancer.proxy.addresses import Address
from loadbalancer.proxy.connection_pool import ConnectionLimits, ConnectionPool
from loadbalancer.proxy.cooperative import CooperativeWork, run_cooperatively, run_to_completion
from loadbalancer.proxy.endpoint_list import EndpointList
from loadbalancer.proxy.endpoint_list_reader import EndpointListReader
from loadbalancer.proxy.errors import EndpointListError
from loadbalancer.proxy.exchange import start_exchange
from loadbalancer.proxy.http import Message, write_request
from loadbalancer.proxy.wire_names import ENDPOINT_LIST_PATH

log = logging.getLogger(__name__)
MAX_LIST_BYTES = 32 * 1024 * 1024
MEMORY_DIVISOR = 4  # a list may take a quarter of the memory limit at most
MIN_RESPONSE_RATE = 4_000_000  # bytes a second of a long answer that put off its timeout
READ_AT_ONCE_BYTES = 64 * 1024  # a longer list is read cooperatively
MAX_CONNECTIONS = 2  # to one address: the watch, and a fetch beside it
CONNECT_TIMEOUT_S = 2.0
TIMEOUT_MARGIN_S = 1.0  # beyond the time that a call may wait, and for an answer that waits for nothing


class WatchFailure(Enum):
    """How a call to discovery ended without a list."""

    CALL_FAILED = "call failed"  # refused, broken, answered with an error or with what is no list
    TIMED_OUT = "timed out"  # no answer: what it would have brought is lost


WatchResult = EndpointList | WatchFailure
OnResult = Callable[[WatchResult], None]


def list_size_limit_bytes(memory_bytes: int) -> int:
    """Return the bytes that a list may have at most under a memory limit; 0: there is none."""
    if memory_bytes < MEMORY_DIVISOR:
        return MAX_LIST_BYTES
    return min(MAX_LIST_BYTES, memory_bytes // MEMORY_DIVISOR)


class DiscoveryTarget:
    """One address of discovery, and the connections to it."""

    def __init__(self, address: Address, reader: EndpointListReader, max_list_bytes: int) -> None:
        self.address = address
        self.reader = reader
        limits = ConnectionLimits(MAX_CONNECTIONS, CONNECT_TIMEOUT_S, 0.0, max_list_bytes, MIN_RESPONSE_RATE)
        self.pool = ConnectionPool(limits, address)
        self.host = f"{address[0]}:{address[1]}".encode()
        self.refuses_connections = False  # as the last call to it found

    def call(self, query: str, wait_s: float, on_result: OnResult) -> DiscoveryCall:
        """Ask for a list; the answer may come after so many seconds and a margin."""
        return DiscoveryCall(self, query, wait_s, on_result)

    def close(self) -> None:
        """Close the connections that are not in use."""
        self.pool.close_idle()


class DiscoveryCall:
    """A call in flight, up to the end of its answer; `on_result` is called once unless it is abandoned."""

    def __init__(self, target: DiscoveryTarget, query: str, wait_s: float, on_result: OnResult) -> None:
        self._target = target
        self._on_result = on_result
        self._read_task: asyncio.Task[None] | None = None
        request = write_request(b"GET", (ENDPOINT_LIST_PATH + query).encode(), [(b"Host", target.host)])
        timeout_s = wait_s + TIMEOUT_MARGIN_S
        self._exchange = start_exchange(target.pool, request, timeout_s, self._on_exchange_ended)

    def abandon(self) -> None:
        """End the call; its result is not reported."""
        if not self._exchange.finished:
            self._exchange.abandon()
        if self._read_task is not None:
            self._read_task.cancel()

    def _on_exchange_ended(self, result: AttemptResult, response: Message | None) -> None:
        self._target.refuses_connections = result is AttemptResult.CONNECT_FAILED
        if result is not AttemptResult.OK or response is None or response.status != HTTPStatus.OK:
            self._log_failure(result, response)
            timed_out = result is AttemptResult.TIMEOUT
            self._on_result(WatchFailure.TIMED_OUT if timed_out else WatchFailure.CALL_FAILED)
            return
        reading = self._target.reader.read_cooperatively(response.body)
        if len(response.body) > READ_AT_ONCE_BYTES:
            self._read_task = asyncio.get_running_loop().create_task(self._read_cooperatively(reading))
        else:
            self._read_at_once(reading)

    def _log_failure(self, result: AttemptResult, response: Message | None) -> None:
        if self._exchange.response_too_large:
            log.warning(
                "discovery: a list of over %d bytes is rejected; the old list stays",
                self._target.pool.limits.max_response_body_bytes,
            )
        status = response.status if response else ""
        log.info("discovery: call failed: %s %s", result.value, status)

    def _read_at_once(self, reading: CooperativeWork[EndpointList]) -> None:
        read: WatchResult
        try:
            read = run_to_completion(reading)
        except EndpointListError as error:
            read = _unreadable(error)
        self._on_result(read)

    async def _read_cooperatively(self, reading: CooperativeWork[EndpointList]) -> None:
        read: WatchResult
        try:
            read = await run_cooperatively(reading)
        except EndpointListError as error:
            read = _unreadable(error)
        self._on_result(read)


def _unreadable(error: EndpointListError) -> WatchFailure:
    log.warning("discovery: %.120s", error)
    return WatchFailure.CALL_FAILED
