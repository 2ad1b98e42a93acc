"""The token bank and request buffer that throttle one tenant (interface types: loadbalancer/messages.py)."""

import random
from collections import deque
from collections.abc import Iterable
from enum import Enum, auto

from loadbalancer.state.request import Request
from loadbalancer.units import NANOSECONDS_PER_SECOND

BANK_S = 0.5  # C_T, in seconds of tokens
BANK_MIN = 4  # tokens
BUFFER_SHARE = 0.25  # C_J, in shortest latency objectives: who waits longer for a token is answered too late
INITIAL_RATE = 10_000.0  # requests a second, above anything a proxy carries: the highest rate as well
IDLE_DEMAND = 0.01  # requests a second: a tenant that asks for less counts as silent


class Admission(Enum):
    """What a throttle does with a request that arrives."""

    FORWARD = auto()  # the bank had a token for it
    BUFFER = auto()  # it waits for a token
    REJECT = auto()  # the buffer is full


class Throttle:
    """The token bank and the request buffer of one tenant, as one counter.

    With T tokens in the bank and J requests in the buffer, U = T - J + C_J (2.1). A token adds one to U and
    an arrival takes one away, within [0, C_J + C_T] (2.8).
    """

    def __init__(
        self, weight: float, rng: random.Random, now_ns: int, objective_ns: int = NANOSECONDS_PER_SECOND
    ) -> None:
        self.weight = weight
        self.buffer_s = min(
            BANK_S, BUFFER_SHARE * objective_ns / NANOSECONDS_PER_SECOND
        )  # C_J, in seconds of tokens
        self.bank_capacity = round(INITIAL_RATE * BANK_S)  # C_T
        self.buffer_capacity = round(INITIAL_RATE * self.buffer_s)  # C_J
        self.counter = self.bank_capacity + self.buffer_capacity  # U; the bank starts full
        self.rate = INITIAL_RATE  # tokens a second
        self.tick_credit = rng.random()  # part of the next token; at random, or proxies would release in step
        self.updated_ns = now_ns
        self.arrivals = 0  # in this feedback interval
        self.buffer: deque[Request] = deque()
        self.demand = 0.0  # requests a second, smoothed
        self.over_share = False  # it asks for more than its share
        self.wake_scheduled = False  # a timer is set for the next token
        self.token_missed = False  # an arrival found no token in this feedback interval

    def set_rate(self, rate: float, now_ns: int) -> None:
        """Change the rate and with it the capacities; tokens in the bank and buffered requests stay."""
        self.accrue(now_ns)
        balance = self.counter - self.buffer_capacity  # T - J
        self.rate = rate
        self.bank_capacity = max(BANK_MIN, round(rate * BANK_S))
        self.buffer_capacity = max(1, round(rate * self.buffer_s), len(self.buffer))
        self.counter = max(0, min(self.bank_capacity + self.buffer_capacity, balance + self.buffer_capacity))

    def accrue(self, now_ns: int) -> None:
        """Add the tokens of the time since the last call to the counter."""
        self.tick_credit += self.rate * (now_ns - self.updated_ns) / NANOSECONDS_PER_SECOND
        tokens = int(self.tick_credit)
        self.tick_credit -= tokens
        self.updated_ns = now_ns
        self.counter = min(self.bank_capacity + self.buffer_capacity, self.counter + tokens)

    def admit(self, request: Request, now_ns: int) -> Admission:
        """Take a token for an arrival, buffer it, or reject it where U is 0."""
        self.accrue(now_ns)
        self.arrivals += 1
        if self.counter <= self.buffer_capacity:
            self.token_missed = True
        if self.counter < 1:
            return Admission.REJECT
        self.counter -= 1
        if self.counter >= self.buffer_capacity:
            return Admission.FORWARD
        self.buffer.append(request)
        return Admission.BUFFER

    def take_retry_token(self, now_ns: int) -> bool:
        """Take a token for a hedged request or a client's retry, if fresh work leaves part of the bank."""
        self.accrue(now_ns)
        if self.counter - self.buffer_capacity <= self.bank_capacity // 4:
            return False
        self.counter -= 1
        return True

    def release(self, now_ns: int) -> Iterable[Request]:
        """Give the buffered requests that have a token by now, the oldest first: J = max(0, C_J - U) stay."""
        self.accrue(now_ns)
        while len(self.buffer) > max(0, self.buffer_capacity - self.counter):
            yield self.buffer.popleft()

    def remove_buffered(self, request: Request) -> None:
        """Drop a buffered request that has ended, and return the token that it waited for."""
        self.buffer.remove(request)
        self.counter += 1

    def is_idle(self, now_ns: int) -> bool:
        """Tell whether a new throttle would do the same: empty buffer, full bank, next to no demand."""
        self.accrue(now_ns)
        if self.buffer or self.wake_scheduled or self.arrivals or self.demand > IDLE_DEMAND:
            return False
        return self.counter >= self.bank_capacity + self.buffer_capacity
