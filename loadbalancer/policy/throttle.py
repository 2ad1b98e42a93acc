"""Limits the request rate of one tenant with a token bank (types: loadbalancer/messages.py).

The throttle admits one request for each token in the tenant's bank. Tokens accrue at the rate that
`rate_control` sets after each rate interval: the tenant's max-min fair share of the proxy's rate, or more. A
full bank allows a burst of half a second's tokens, or of BANK_CAPACITY_MIN_TOKENS if that is more.

While the bank is empty, requests wait in the buffer for a token. The buffer holds as many requests as can get
a token within a quarter of the shortest latency objective, or BUFFER_WAIT_MAX_S if that is less, and at least
one; the queue deadline also bounds the wait. While the buffer is full, requests are rejected.
"""

import random
from collections import deque
from collections.abc import Iterable
from enum import Enum, auto

from loadbalancer.state.request import Request
from loadbalancer.state.token_bank import TokenBank
from loadbalancer.units import NANOSECONDS_PER_SECOND

RATE_MAX_PER_S = 10_000.0  # more than any proxy serves
INITIAL_RATE_PER_S = RATE_MAX_PER_S
BANK_CAPACITY_S = 0.5  # the bank holds the tokens of this many seconds at the current rate
BANK_CAPACITY_MIN_TOKENS = 4
BUFFER_WAIT_MAX_S = 0.5
BUFFER_WAIT_MAX_OBJECTIVE_FRACTION = 0.25
NEW_REQUEST_RESERVE_BANK_FRACTION = 0.25
DEMAND_SMOOTHING = 0.5
OVER_FAIR_SHARE_DEMAND_FACTOR = 1.1
IDLE_DEMAND_MAX_PER_S = 0.01


class Admission(Enum):
    """What a throttle does with a new request."""

    ADMIT = auto()  # a token was available
    BUFFER = auto()  # the request waits for a token
    REJECT = auto()  # the buffer is full


def take_low_priority_token(bank: TokenBank, now_ns: int) -> bool:
    """Take a token for a hedged request or for a request that the client marked as a retry.

    Returns False, and takes none, if only the tokens reserved for new requests are left. Retries by this
    proxy need no token.
    """
    bank.accrue(now_ns)
    if bank.balance <= NEW_REQUEST_RESERVE_BANK_FRACTION * bank.bank_capacity:
        return False
    bank.take_token()
    return True


def _bank_capacity(rate_per_s: float) -> int:
    """Return C_T, in tokens: what accrues in BANK_CAPACITY_S, or the minimum capacity if that is more."""
    return max(BANK_CAPACITY_MIN_TOKENS, round(rate_per_s * BANK_CAPACITY_S))


class Throttle:
    """Admits, buffers or rejects the requests of one tenant, and measures the tenant's demand."""

    def __init__(
        self,
        tenant: str,
        weight: float,
        rng: random.Random,
        now_ns: int,
        shortest_objective_ns: int = NANOSECONDS_PER_SECOND,
    ) -> None:
        """Create a throttle with a full bank.

        Args:
            tenant: The tenant's name.
            weight: The tenant's share of the proxy's rate, relative to the weights of the other tenants.
            rng: Draws when the first token accrues, so that proxies do not release requests together.
            now_ns: The current time.
            shortest_objective_ns: The shortest latency objective of all request classes.
        """
        self.tenant = tenant
        self.weight = weight
        wait_max_s = BUFFER_WAIT_MAX_OBJECTIVE_FRACTION * shortest_objective_ns / NANOSECONDS_PER_SECOND
        self.buffer_wait_max_s = min(BUFFER_WAIT_MAX_S, wait_max_s)
        self.buffer: deque[Request] = deque()
        self.bank = TokenBank(
            rate_per_s=INITIAL_RATE_PER_S,
            bank_capacity=_bank_capacity(INITIAL_RATE_PER_S),
            buffer_capacity=self._buffer_capacity(INITIAL_RATE_PER_S),
            fractional_token=rng.random(),
            now_ns=now_ns,
        )
        self.demand_per_s = 0.0
        self.exceeds_fair_share = False  # the demand exceeds the tenant's share of the success rate
        self.has_missed_token = False  # the bank was empty for a request of this rate interval
        self.arrivals = 0  # requests in this rate interval, without clients' marked retries
        self._wake_up_scheduled = False

    def _buffer_capacity(self, rate_per_s: float) -> int:
        """Return C_J, in requests: those that get a token within the longest wait; at least one.

        The capacity never falls below the number of requests that are buffered now.
        """
        return max(1, round(rate_per_s * self.buffer_wait_max_s), len(self.buffer))

    def set_rate(self, rate_per_s: float, now_ns: int) -> None:
        """Change the rate and the capacities; keep buffered requests, and tokens up to the new capacity."""
        self.bank.set_rate(
            rate_per_s=rate_per_s,
            bank_capacity=_bank_capacity(rate_per_s),
            buffer_capacity=self._buffer_capacity(rate_per_s),
            now_ns=now_ns,
        )

    def set_fair_share(self, rate_per_s: float) -> None:
        """Set `exceeds_fair_share` by the tenant's share of the success rate.

        A blocked queue rejects the requests of tenants over their share first (`queue_admission`).
        """
        self.exceeds_fair_share = self.demand_per_s > OVER_FAIR_SHARE_DEMAND_FACTOR * rate_per_s

    def admit(self, request: Request, now_ns: int) -> Admission:
        """Admit a new request if a token is available; else buffer it, or reject it if the buffer is full."""
        bank = self.bank
        bank.accrue(now_ns)
        self.arrivals += 1
        if bank.balance <= 0:
            self.has_missed_token = True
        if bank.counter < 1:
            return Admission.REJECT
        bank.take_token()
        if bank.balance >= 0:
            return Admission.ADMIT
        self.buffer.append(request)
        return Admission.BUFFER

    def release(self, now_ns: int) -> Iterable[Request]:
        """Remove and yield the buffered requests for which tokens have accrued, oldest first."""
        self.bank.accrue(now_ns)
        while len(self.buffer) > self.bank.waiting_requests:
            yield self.buffer.popleft()

    def remove_buffered(self, request: Request) -> None:
        """Remove a buffered request that has ended, and free its place in the buffer."""
        self.buffer.remove(request)
        self.bank.return_token()

    def schedule_wake_up_ns(self, now_ns: int) -> int | None:
        """Mark a wake-up as scheduled, and return when the caller must call `on_token_due`.

        Returns None if no request is buffered or a wake-up is already scheduled.
        """
        if not self.buffer or self._wake_up_scheduled:
            return None
        self._wake_up_scheduled = True
        return now_ns + self.bank.time_to_next_token_ns()

    def on_token_due(self) -> None:
        """Record that the scheduled wake-up has fired."""
        self._wake_up_scheduled = False

    def end_rate_interval(self, elapsed_ns: int) -> None:
        """Update the demand from the arrivals of the rate interval, and start counting for the next one."""
        arrivals_per_s = self.arrivals * NANOSECONDS_PER_SECOND / elapsed_ns
        self.demand_per_s += DEMAND_SMOOTHING * (arrivals_per_s - self.demand_per_s)
        self.arrivals = 0
        self.has_missed_token = False

    def is_idle(self, now_ns: int) -> bool:
        """Return whether a new throttle would behave the same: empty buffer, full bank, almost no demand."""
        self.bank.accrue(now_ns)
        if self.buffer or self._wake_up_scheduled or self.arrivals:
            return False
        return self.demand_per_s <= IDLE_DEMAND_MAX_PER_S and self.bank.is_full
