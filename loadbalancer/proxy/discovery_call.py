"""Calls to discovery: each requests an endpoint list and reads the response."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from enum import Enum

from loadbalancer.messages import AttemptResult
from loadbalancer.proxy.addresses import Address
from loadbalancer.proxy.connection_pool import ConnectionLimits, ConnectionPool
from loadbalancer.proxy.cooperative import CooperativeWork, run_cooperatively, run_to_completion
from loadbalancer.proxy.endpoint_list import EndpointList
from loadbalancer.proxy.endpoint_list_reader import EndpointListReader
from loadbalancer.proxy.errors import EndpointListError
from loadbalancer.proxy.exchange import start_exchange
from loadbalancer.proxy.http import Message, write_request
from loadbalancer.proxy.http_status import OK
from loadbalancer.proxy.memory_budget import MemoryBudget, MemoryUse
from loadbalancer.proxy.wire_names import ENDPOINT_LIST_PATH

log = logging.getLogger(__name__)

# Largest size of a list, whatever the memory limit of the process.
MAX_LIST_BYTES = 32 * 1024 * 1024

# Largest size of a list, as a fraction of the memory limit of the process.
MAX_LIST_MEMORY_FRACTION = 0.25

# A larger list is read cooperatively, so that requests are served meanwhile.
MAX_READ_AT_ONCE_BYTES = 64 * 1024

# One for the watch call and one for a concurrent fetch call.
MAX_CONNECTIONS_PER_ADDRESS = 2

CONNECT_TIMEOUT_S = 2.0

# A call times out this long after the time (`wait_s`) that its caller allows for the response.
TIMEOUT_MARGIN_S = 1.0

# Each part of a response that is received extends the timeout by the time that it takes at this rate.
MIN_RESPONSE_BYTES_PER_S = 4_000_000

# The settings give an idle timeout for endpoints only; 0 makes the pool use its default.
UNKNOWN_IDLE_TIMEOUT_S = 0.0

MAX_LOGGED_ERROR_CHARACTERS = 120


class DiscoveryFailure(Enum):
    """How a call to discovery ended without a list."""

    CALL_FAILED = "call failed"  # connection refused or reset, error status or invalid list
    TIMED_OUT = "timed out"  # no response in time; changes that it would have returned are missing


DiscoveryResult = EndpointList | DiscoveryFailure
OnResult = Callable[[DiscoveryResult], None]


def list_size_limit_bytes(memory_bytes: int) -> int:
    """Return the largest size of a list for a memory limit of the process; 0 stands for no memory limit."""
    fraction_bytes = int(memory_bytes * MAX_LIST_MEMORY_FRACTION)
    return min(MAX_LIST_BYTES, fraction_bytes) or MAX_LIST_BYTES


class DiscoveryTarget:
    """One address of discovery and the connections to it."""

    def __init__(
        self, address: Address, reader: EndpointListReader, memory: MemoryBudget, max_list_bytes: int
    ) -> None:
        self.address = address
        self.reader = reader
        self.host = f"{address[0]}:{address[1]}".encode()
        self.refuses_connections = False
        """Whether the last call failed to connect; False if that is not known."""
        limits = ConnectionLimits(
            max_connections=MAX_CONNECTIONS_PER_ADDRESS,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            endpoint_idle_timeout_s=UNKNOWN_IDLE_TIMEOUT_S,
            memory=memory,
            memory_use=MemoryUse.DISCOVERY,
            max_response_body_bytes=max_list_bytes,
            min_response_bytes_per_s=MIN_RESPONSE_BYTES_PER_S,
        )
        self.pool = ConnectionPool(limits, address)

    def call(self, query: str, wait_s: float, on_result: OnResult) -> DiscoveryCall:
        """Start a call for a list, which times out `TIMEOUT_MARGIN_S` after `wait_s`.

        The wait that is sent to discovery is a parameter of `query`, and may be shorter.
        """
        return DiscoveryCall(self, query, wait_s, on_result)

    def record_connect_result(self, *, refused: bool) -> None:
        """Record whether a call failed to connect."""
        self.refuses_connections = refused

    def close(self) -> None:
        """Close the connections that are not in use."""
        self.pool.close_idle()


class DiscoveryCall:
    """A call in flight; unless it is abandoned, `on_result` is called once, when the call has ended."""

    def __init__(self, target: DiscoveryTarget, query: str, wait_s: float, on_result: OnResult) -> None:
        self._target = target
        self._on_result = on_result
        self._read_task: asyncio.Task[None] | None = None
        self._exchange = start_exchange(
            pool=target.pool,
            data=write_request(b"GET", (ENDPOINT_LIST_PATH + query).encode(), [(b"Host", target.host)]),
            timeout_s=wait_s + TIMEOUT_MARGIN_S,
            on_ended=self._on_exchange_ended,
        )

    def abandon(self) -> None:
        """End the call; its result is not reported."""
        if not self._exchange.finished:
            self._exchange.abandon()
        if self._read_task is not None:
            self._read_task.cancel()

    def _on_exchange_ended(self, result: AttemptResult, response: Message | None) -> None:
        self._target.record_connect_result(refused=result is AttemptResult.CONNECT_FAILED)
        if result is not AttemptResult.OK or response is None or response.status != OK:
            self._log_failure(result, response)
            timed_out = result is AttemptResult.TIMEOUT
            self._on_result(DiscoveryFailure.TIMED_OUT if timed_out else DiscoveryFailure.CALL_FAILED)
            return
        reading = self._target.reader.read_cooperatively(response.body)
        if len(response.body) > MAX_READ_AT_ONCE_BYTES:
            self._read_task = asyncio.get_running_loop().create_task(self._read_cooperatively(reading))
        else:
            self._read_at_once(reading)

    def _log_failure(self, result: AttemptResult, response: Message | None) -> None:
        if self._exchange.response_too_large:
            log.warning(
                "discovery: endpoint list of over %d bytes rejected; the current list stays in use",
                self._target.pool.limits.max_response_body_bytes,
            )
        status = response.status if response else ""
        log.info("discovery: call failed: %s %s", result.value, status)

    def _read_at_once(self, reading: CooperativeWork[EndpointList]) -> None:
        result: DiscoveryResult
        try:
            result = run_to_completion(reading)
        except EndpointListError as error:
            result = _log_invalid_list(error)
        self._on_result(result)

    async def _read_cooperatively(self, reading: CooperativeWork[EndpointList]) -> None:
        result: DiscoveryResult
        try:
            result = await run_cooperatively(reading)
        except EndpointListError as error:
            result = _log_invalid_list(error)
        self._on_result(result)


def _log_invalid_list(error: EndpointListError) -> DiscoveryFailure:
    log.warning("discovery: invalid endpoint list: %.*s", MAX_LOGGED_ERROR_CHARACTERS, error)
    return DiscoveryFailure.CALL_FAILED
