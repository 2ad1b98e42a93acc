"""TODO"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Generator
from contextlib import closing
from typing import Literal, cast

from loadbalancer.messages import AttemptResult, EndpointUpdateKind
from loadbalancer.proxy.addresses import Address
from loadbalancer.proxy.connection_pool import ConnectionLimits, ConnectionPool
from loadbalancer.proxy.endpoint_list import EndpointList, EndpointListReader
from loadbalancer.proxy.errors import EndpointListError
from loadbalancer.proxy.http import Message, write_request

log = logging.getLogger(__name__)
LIST_PATH = "/registry/instances"
MAX_LIST, MEMORY_PART = 32 * 1024 * 1024, 4  # most bytes of a list, and most of the memory limit: a quarter
LEAST_RATE = 4_000_000  # bytes a second of a long answer that put off its time-out
AT_ONCE = 64 * 1024  # bytes: a longer list is read in steps
# How long a watch call may wait. Silence for longer shows that it is lost, on a connection that has died
# unseen or at a discovery that is down. What a lost call would have told counts as told some seconds
# later all the same, so it must be found out before. An agent on this machine answers at no cost, an
# asked one does not.
AGENT_WAIT_MS = 2_000
ASKED_WAIT_MS = 10_000
RETURN_WAIT_MS = 1_000  # after a failed call: a return of discovery must not hide behind a long wait
OVERDUE_S = 1.0  # beyond that, and for an answer that waits for nothing
# The whole list of a new address counts as told 4 s after the signal. A discovery with many callers answers
# them in turn, and a call that is given up stays in its queue: a retry would wait behind it. With OVERDUE_S,
# the call has all of that time.
HANDOVER_WAIT_S = 3.0
EMPTY_S = 0.02  # an agent that answers at once with nothing must not be asked without pause
FIRST_RETRY_S, LAST_RETRY_S = 0.05, 1.0
WatchResult = (
    EndpointList | Literal[EndpointUpdateKind.FAILED, EndpointUpdateKind.WATCH_TIMED_OUT]
)  # what ends a call
Steps = Generator[None, None, EndpointList]


class DiscoveryCall:
    """A call to discovery and the reading of its answer, in steps where it is long; `done` is called once."""

    def __init__(
        self, source: DiscoveryTarget, query: str, wait_s: float, done: Callable[[WatchResult], None]
    ) -> None:
        self._source, self._done = source, done
        self._reading: asyncio.Task[None] | None = None
        data = write_request(b"GET", (LIST_PATH + query).encode(), [(b"Host", source.host)])
        self._exchange = source.pool.start_exchange(data, wait_s + OVERDUE_S, self._answered)

    def abandon(self) -> None:
        if not self._exchange.finished:
            self._exchange.abandon()
        if self._reading is not None:
            self._reading.cancel()

    def _answered(self, result: AttemptResult, response: Message | None) -> None:
        self._source.refuses = result is AttemptResult.CONNECT_FAILED
        if result is not AttemptResult.OK or response is None or response.status != 200:
            if self._exchange.response_too_large:
                log.warning(
                    "discovery: a list of over %d bytes is turned down; the old list stays",
                    self._source.pool.limits.max_response_body,
                )
            log.info("discovery: call failed: %s %s", result.value, response.status if response else "")
            self._done(
                EndpointUpdateKind.WATCH_TIMED_OUT
                if result is AttemptResult.TIMEOUT
                else EndpointUpdateKind.FAILED
            )
        else:
            steps = self._source.reader.steps(response.body)
            if len(response.body) > AT_ONCE:
                self._reading = asyncio.get_running_loop().create_task(self._read(steps))
                return
            while (told := self._step(steps)) is None:
                pass
            self._done(told)

    async def _read(self, steps: Steps) -> None:
        with closing(steps):  # also when it is abandoned
            while (told := self._step(steps)) is None:
                await asyncio.sleep(0)  # others have their turn
        self._done(told)

    def _step(self, steps: Steps) -> WatchResult | None:
        """Read on; gives what was told at the end."""
        try:
            next(steps)
        except StopIteration as end:
            return cast(EndpointList, end.value)
        except EndpointListError as error:
            log.warning("discovery: %.120s", error)
            return EndpointUpdateKind.FAILED
        return None


class DiscoveryTarget:
    """One address of discovery, and the calls to it."""

    def __init__(self, address: Address, reader: EndpointListReader, most: int) -> None:
        self.address = address
        self.reader = reader
        self.pool = ConnectionPool(ConnectionLimits(2, 2.0, 0.0, most, LEAST_RATE), address)
        self.host = f"{address[0]}:{address[1]}".encode()
        self.refuses = False  # the last call to it found no connection

    def get(self, query: str, wait_s: float, done: Callable[[WatchResult], None]) -> DiscoveryCall:
        return DiscoveryCall(self, query, wait_s, done)

    def close(self) -> None:
        self.pool.close_idle()


class DiscoveryClient:
    """Watches the list. Where it is pushed, the watch never ends; where it is asked, the module says when."""

    def __init__(
        self,
        address: Address,
        reader: EndpointListReader,
        pushed: bool,
        rng: random.Random,
        heard: Callable[[WatchResult], None],
        most: int = MAX_LIST,
    ) -> None:
        self._reader = reader
        self._max_list_bytes = most  # bytes of a list
        self._target = DiscoveryTarget(address, reader, most)
        self._successor: DiscoveryTarget | None = None  # the new address, until it has told the whole list
        self._pushes = pushed
        self._rng = rng
        self._on_result = heard
        self._version: int | None = None
        self._watching = False
        self._watch_call: DiscoveryCall | None = None
        self._fetch_call: DiscoveryCall | None = None
        self._handover_call: DiscoveryCall | None = None  # the call to the successor
        self._watch_deferred = False  # to the end of that call, since the old address refuses connections
        self._fetch_deferred = False
        self._retry: asyncio.TimerHandle | None = None
        self._handover_retry: asyncio.TimerHandle | None = None
        self._failures = 0
        self._handover_failures = 0

    def start_from(self, listing: EndpointList) -> None:
        self._version = listing.version

    def watch(self) -> None:
        """Ask for what is newer than what is known; a call that is out already serves."""
        self._watching = True
        if self._watch_call is not None:
            return
        self._cancel_retry()
        if self._closed:
            self._watch_deferred = True
            return
        wait_ms = RETURN_WAIT_MS if self._failures else AGENT_WAIT_MS if self._pushes else ASKED_WAIT_MS
        query = "" if self._version is None else f"?after={self._version}&wait_ms={wait_ms}"
        # Who waits less leaves a discovery with too many callers more time to come to it.
        self._watch_call = self._target.get(query, max(wait_ms, AGENT_WAIT_MS) / 1000, self._answered)

    def fetch(self) -> None:
        """Ask for the whole list once."""
        if self._closed:
            self._fetch_deferred = True
        elif self._fetch_call is None:
            self._fetch_call = self._target.get("", 0.0, self._fetched)

    def unwatch(self) -> None:
        self._watching = self._watch_deferred = False
        self._end_call()

    def _end_call(self) -> None:
        call, self._watch_call = self._watch_call, None
        if call is not None:
            call.abandon()
        self._cancel_retry()

    def _cancel_retry(self) -> None:
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None

    @property
    def _closed(self) -> bool:
        """The old address of a handover has closed: what would be asked of it is left to the successor."""
        return self._successor is not None and self._target.refuses

    def move_to(self, address: Address) -> None:
        """Go over to another address. The watch on the old one stays until the new one has answered."""
        if (
            self._handover_call is not None
            and self._successor is not None
            and address == self._successor.address
        ):
            return  # a second call would wait behind the first one
        self._forget_successor()  # of several moves in a row the last one counts
        self._target.refuses = False  # it may be back since
        if address != self._target.address:
            self._successor = DiscoveryTarget(address, self._reader, self._max_list_bytes)
            self._handover_failures = 0
            self._ask_successor()
            return
        if self._watching and self._watch_call is None:
            self.watch()  # back to an address whose watch had ended
        if self._fetch_deferred:
            self.fetch()
        self._watch_deferred = self._fetch_deferred = False

    def _forget_successor(self) -> None:
        if self._handover_call is not None:
            self._handover_call.abandon()
        if self._handover_retry is not None:
            self._handover_retry.cancel()
        if self._successor is not None:
            self._successor.close()
        self._successor = self._handover_call = self._handover_retry = None

    def _ask_successor(self) -> None:
        self._handover_retry = None
        if self._successor is not None:
            self._handover_call = self._successor.get("", HANDOVER_WAIT_S, self._succeeded)

    def _succeeded(self, listing: WatchResult) -> None:
        self._handover_call = None
        if self._successor is None:
            return
        if not isinstance(listing, EndpointList) or not listing.complete:
            self._handover_failures += 1
            self._handover_retry = asyncio.get_running_loop().call_later(
                self._pause_s(self._handover_failures), self._ask_successor
            )
            self._fail_deferred(EndpointUpdateKind.FAILED if isinstance(listing, EndpointList) else listing)
            return
        self._end_call()
        if self._fetch_call is not None:  # what the whole list was asked for, this one answers
            self._fetch_call.abandon()
            self._fetch_call = None
        self._target.close()
        self._target, self._successor = self._successor, None
        self._failures, self._version = 0, listing.version
        self._watch_deferred = self._fetch_deferred = False  # this list answers them
        if self._watching:
            self.watch()
        self._tell(listing)

    def _fail_deferred(self, failure: WatchResult) -> None:
        """Tell of a failure once for each call that was left to the handover."""
        count = self._watch_deferred + self._fetch_deferred
        self._watch_deferred = self._fetch_deferred = False
        for _ in range(count):
            self._tell(failure)

    def stop(self) -> None:
        self.unwatch()
        self._forget_successor()
        if self._fetch_call is not None:
            self._fetch_call.abandon()
        self._target.close()

    def _fetched(self, listing: WatchResult) -> None:
        self._fetch_call = None
        if self._closed and not isinstance(listing, EndpointList):
            self._fetch_deferred = True
            return
        self._tell(listing)

    def _answered(self, listing: WatchResult) -> None:
        self._watch_call = None
        self._failures = 0 if isinstance(listing, EndpointList) else self._failures + 1
        if self._closed and not isinstance(listing, EndpointList):
            self._watch_deferred = True
            return
        if isinstance(listing, EndpointList):
            self._version = listing.version
            if len(listing):
                self.watch()  # first of all: a watch that pauses for 200 ms is a new one
            else:
                self._watch_later(EMPTY_S)
        elif self._pushes and self._successor is None:  # else the watch goes on there
            self._watch_later(self._pause_s(self._failures))
        self._tell(listing)

    def _pause_s(self, failures: int) -> float:
        wait = min(LAST_RETRY_S, FIRST_RETRY_S * 2.0 ** min(failures - 1, 10))
        return wait * self._rng.uniform(0.75, 1.25)

    def _watch_later(self, wait_s: float) -> None:
        self._retry = asyncio.get_running_loop().call_later(wait_s, self.watch)

    def _tell(self, listing: WatchResult) -> None:
        if isinstance(listing, EndpointList) or not self._pushes:
            self._on_result(listing)
