"""The token bank and job buffer of one tenant.

Types of the interface: loadbalancer/messages.py.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable

from loadbalancer.state.request import Request
from loadbalancer.units import SECOND

BANK_S = 0.5  # C_T in seconds of tokens
HOLD_PART = 0.25  # C_J in the shortest aim's tokens: who waits longer for one comes too late
START_RATE = 10_000.0  # R starts above anything a proxy carries
SILENT = 0.01  # requests a second: a tenant that asks for less is taken for silent


class Throttle:
    """One tenant's gate: the paper's counter U = T - J + C_J in [0, C_J + C_T] (2.1), (2.8)."""

    def __init__(self, weight: float, rng: random.Random, now: int, aim_ns: int = SECOND) -> None:
        self.weight, self.buffer_s = weight, min(BANK_S, HOLD_PART * aim_ns / SECOND)
        self.bank_capacity = round(START_RATE * BANK_S)  # C_T
        self.buffer_capacity = round(START_RATE * self.buffer_s)  # C_J
        self.counter = self.bank_capacity + self.buffer_capacity  # starts full
        self.rate = START_RATE
        self.tick_credit = rng.random()  # phase of the ticks: proxies must not release their holds in step
        self.updated_ns, self.arrivals = now, 0
        self.buffer: deque[Request] = deque()
        self.demand = 0.0  # requests a second, learned
        self.over_share = self.wake_scheduled = (
            False  # it asks more than its share; a timer for the next token is set
        )
        self.token_missed = False  # a request found no token since R was last set

    def set_rate(self, rate: float, now: int) -> None:
        """Change the rate and with it the capacities; tokens in the bank and requests held stay."""
        self.accrue(now)
        balance = self.counter - self.buffer_capacity  # T - J
        self.rate = rate
        self.bank_capacity = max(4, round(rate * BANK_S))
        self.buffer_capacity = max(1, round(rate * self.buffer_s), len(self.buffer))
        self.counter = max(0, min(self.bank_capacity + self.buffer_capacity, balance + self.buffer_capacity))

    def accrue(self, now: int) -> None:
        self.tick_credit += self.rate * (now - self.updated_ns) / SECOND
        ticks = int(self.tick_credit)
        self.updated_ns, self.tick_credit = now, self.tick_credit - ticks
        self.counter = min(self.bank_capacity + self.buffer_capacity, self.counter + ticks)

    def admit(self, request: Request, now: int) -> bool | None:
        """True: send; None: held; False: overflow."""
        self.accrue(now)
        self.arrivals += 1
        if self.counter <= self.buffer_capacity:
            self.token_missed = True
        if self.counter < 1:
            return False
        self.counter -= 1
        if self.counter >= self.buffer_capacity:
            return True
        self.buffer.append(request)
        return None

    def take_retry_token(self, now: int) -> bool:
        """Take a token for a copy or a client's retry, if fresh work leaves part of the bank unused."""
        self.accrue(now)
        if self.counter - self.buffer_capacity <= self.bank_capacity // 4:
            return False
        self.counter -= 1
        return True

    def release(self, now: int) -> Iterable[Request]:
        self.accrue(now)
        while len(self.buffer) > max(0, self.buffer_capacity - self.counter):
            yield self.buffer.popleft()

    def remove_buffered(self, request: Request) -> None:
        """A held request ends: the token it waited for is not needed."""
        self.buffer.remove(request)
        self.counter += 1

    def is_idle(self, now: int) -> bool:
        """Nothing sets it apart from a new one: it holds nobody, its bank is full, few came of late."""
        self.accrue(now)
        return not (
            self.buffer
            or self.wake_scheduled
            or self.arrivals
            or self.demand > SILENT
            or self.counter < self.bank_capacity + self.buffer_capacity
        )
