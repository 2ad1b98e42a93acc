"""A model on a simulated clock: many policies that poll one discovery, which works off calls in turn."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from loadbalancer.messages import (
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    SetTimer,
    TimerExpired,
    WatchEndpoints,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.proxy.discovery_call import TIMEOUT_MARGIN_S
from loadbalancer.proxy.discovery_client import EMPTY_RESPONSE_DELAY_S
from loadbalancer.proxy.watch_timing import WatchTiming
from loadbalancer.settings import Rules
from tests.support.policy_harness import NANOSECONDS_PER_SECOND, START_NS, make_settings

POLL_INTERVAL_S = 10
REFUSAL_S = 0.002  # how long a call takes that is refused at once
MAX_QUEUE_TIME_S = 3.0  # a call that has waited longer is refused
NEVER_S = float("inf")


class Clock:
    """Calls functions in the order of their times, in seconds."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call a function after a delay."""
        heapq.heappush(self._due, (self.now_s + delay_s, next(self._count), callback))

    def run_until(self, end_s: float) -> None:
        """Call everything that is due until then."""
        while self._due and self._due[0][0] <= end_s:
            self.now_s, _, callback = heapq.heappop(self._due)
            callback()
        self.now_s = end_s


@dataclass(eq=False)
class Call:
    """A watch call of a poller."""

    poller: Poller
    after_version: int
    wait_s: float
    made_at_s: float

    @property
    def wait_ends_at_s(self) -> float:
        """When the wait of the call is over, if discovery takes it up at once."""
        return self.made_at_s + self.wait_s


class Poller:
    """One policy with the watch timing of the discovery client."""

    def __init__(self, clock: Clock, discovery: ModelDiscovery, seed: int) -> None:
        settings = make_settings(
            discovery_pushes=False, rules=Rules(poll_interval_ns=POLL_INTERVAL_S * NANOSECONDS_PER_SECOND)
        )
        self.version = 1
        self.call_count = 0
        self.learned_at_s: dict[int, float] = {}  # by version
        self.call: Call | None = None
        self._clock = clock
        self._discovery = discovery
        self._timing = WatchTiming(pushes=False)
        self._failures = 0
        self._balancer = Balancer(settings, seed, START_NS)
        self._handle(EndpointUpdate(EndpointUpdateKind.CACHED))

    def _handle(self, event: Event) -> None:
        now_ns = START_NS + int(self._clock.now_s * NANOSECONDS_PER_SECOND)
        for action in self._balancer.handle(now_ns, [event]):
            if isinstance(action, SetTimer):
                self._set_timer(action)
            elif action == WatchEndpoints(True):
                self._watch()

    def _set_timer(self, action: SetTimer) -> None:
        expired = TimerExpired(action.name)
        self._clock.call_later(action.delay_ns / NANOSECONDS_PER_SECOND, lambda: self._handle(expired))

    def _watch(self) -> None:
        if self.call is not None:
            return
        self.call_count += 1
        wait_s = self._timing.wait_ms(self._failures) / 1000
        call = Call(self, self.version, wait_s, self._clock.now_s)
        self.call = call
        timeout_s = self._timing.response_wait_s(self._failures) + TIMEOUT_MARGIN_S
        self._clock.call_later(timeout_s, lambda: self._end(call, EndpointUpdateKind.WATCH_TIMED_OUT))
        self._discovery.receive(call)

    def _end(self, call: Call, kind: EndpointUpdateKind) -> None:
        if self.call is call:
            self.call = None
            self._failures += 1
            self._handle(EndpointUpdate(kind))

    def fail(self, call: Call) -> None:
        """End a call with an error, unless it was given up before."""
        self._end(call, EndpointUpdateKind.FAILED)

    def answer(self, call: Call, version: int) -> None:
        """End a call with the changes up to a version, unless it was given up before."""
        if self.call is not call:
            return
        self.call = None
        self._failures = 0
        if version == self.version:
            self._clock.call_later(EMPTY_RESPONSE_DELAY_S, self._watch)
            return
        for learned in range(self.version + 1, version + 1):
            self.learned_at_s[learned] = self._clock.now_s
        self.version = version
        self._watch()
        self._handle(EndpointUpdate(EndpointUpdateKind.DELTA))


@dataclass
class ModelDiscovery:
    """Discovery that works off calls in turn, also those that were given up, and then holds the watches."""

    clock: Clock
    calls_per_s: float = 0.0  # 0: without limit
    delay_s: float = 0.0  # added to each call
    version: int = 1
    refuses_from_s: float = NEVER_S  # calls are refused at once from then on
    refuses_until_s: float = NEVER_S
    refused_calls: int = 0
    _queue: list[Call] = field(default_factory=list)
    _held: list[Call] = field(default_factory=list)
    _working: bool = False

    def receive(self, call: Call) -> None:
        """Receive a call."""
        if self.refuses_from_s <= self.clock.now_s < self.refuses_until_s:
            self.refused_calls += 1
            self.clock.call_later(REFUSAL_S, lambda: call.poller.fail(call))
        elif not self.calls_per_s:
            self.clock.call_later(self.delay_s, lambda: self._hold(call))
        else:
            self._queue.append(call)
            self.clock.call_later(MAX_QUEUE_TIME_S, lambda: self._refuse_queued(call))
            self._work()

    def _refuse_queued(self, call: Call) -> None:
        if call in self._queue:
            self._queue.remove(call)
            self.refused_calls += 1
            call.poller.fail(call)

    def _work(self) -> None:
        if self._working or not self._queue:
            return
        self._working = True
        call = self._queue.pop(0)
        self.clock.call_later(1 / self.calls_per_s, lambda: self._finish_work(call))

    def _finish_work(self, call: Call) -> None:
        self._working = False
        self._hold(call)
        self._work()

    def _hold(self, call: Call) -> None:
        if self.version > call.after_version:
            call.poller.answer(call, self.version)
            return
        self._held.append(call)
        self.clock.call_later(call.wait_s, lambda: self._end_wait(call))

    def _end_wait(self, call: Call) -> None:
        if call in self._held:
            self._held.remove(call)
            call.poller.answer(call, self.version)

    def change(self) -> None:
        """Make a new version of the list, and answer the watches that are open."""
        self.version += 1
        held, self._held = self._held, []
        for call in held:
            call.poller.answer(call, self.version)

    def silence_open_watches(self) -> None:
        """Never answer the watches that are open now."""
        self._held = []


def make_pollers(count: int, seed: int, **discovery: float) -> tuple[Clock, ModelDiscovery, list[Poller]]:
    """Return a clock, a discovery with these attributes, and pollers that have just started."""
    clock = Clock()
    model = ModelDiscovery(clock, **discovery)  # type: ignore[arg-type]
    return clock, model, [Poller(clock, model, seed * count + index) for index in range(count)]
