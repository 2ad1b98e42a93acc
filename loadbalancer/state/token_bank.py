"""The counter of one tenant's tokens and of the requests that wait for one."""

from __future__ import annotations

from loadbalancer.units import NANOSECONDS_PER_SECOND


class TokenBank:
    """T tokens in the bank and J requests in the buffer, as the counter U = T - J + C_J.

    A token adds one to U and an admitted request takes one away. U stays within [0, C_J + C_T], where C_T and
    C_J are the capacities of the bank and of the buffer. `policy/throttle.py` sets them.
    """

    __slots__ = (
        "bank_capacity",
        "buffer_capacity",
        "counter",
        "fractional_token",
        "rate_per_s",
        "updated_ns",
    )

    def __init__(
        self,
        rate_per_s: float,
        bank_capacity: int,
        buffer_capacity: int,
        fractional_token: float,
        now_ns: int,
    ) -> None:
        """Make a full bank.

        Args:
            rate_per_s: Tokens a second.
            bank_capacity: The most tokens that it holds (C_T).
            buffer_capacity: The most requests that wait for a token (C_J).
            fractional_token: The part of the next token that it has already, below 1.
            now_ns: The time of the call.
        """
        self.rate_per_s = rate_per_s
        self.bank_capacity = bank_capacity
        self.buffer_capacity = buffer_capacity
        self.counter = bank_capacity + buffer_capacity
        self.fractional_token = fractional_token
        self.updated_ns = now_ns

    @property
    def balance(self) -> int:
        """Tokens less the requests that wait for one, T - J; one of both is 0."""
        return self.counter - self.buffer_capacity

    @property
    def is_full(self) -> bool:
        """Whether the bank holds all the tokens that it can."""
        return self.counter >= self.bank_capacity + self.buffer_capacity

    @property
    def waiting_requests(self) -> int:
        """How many requests wait for a token, J = max(0, C_J - U)."""
        return max(0, self.buffer_capacity - self.counter)

    def accrue(self, now_ns: int) -> None:
        """Add the tokens of the time since the last call to the counter."""
        self.fractional_token += self.rate_per_s * (now_ns - self.updated_ns) / NANOSECONDS_PER_SECOND
        tokens = int(self.fractional_token)
        self.fractional_token -= tokens
        self.updated_ns = now_ns
        self.counter = min(self.bank_capacity + self.buffer_capacity, self.counter + tokens)

    def take_token(self) -> None:
        """Take a token from the bank or, where it is empty, a slot in the buffer."""
        self.counter -= 1

    def return_token(self) -> None:
        """Return what `take_token` took."""
        self.counter += 1

    def set_rate(self, rate_per_s: float, bank_capacity: int, buffer_capacity: int, now_ns: int) -> None:
        """Change the rate and the capacities; tokens in the bank and requests in the buffer stay."""
        self.accrue(now_ns)
        balance = self.balance
        self.rate_per_s = rate_per_s
        self.bank_capacity = bank_capacity
        self.buffer_capacity = buffer_capacity
        self.counter = max(0, min(bank_capacity + buffer_capacity, balance + buffer_capacity))

    def time_to_next_token_ns(self) -> int:
        """Return how long after the last `accrue` the next token comes."""
        return int((1 - self.fractional_token) / self.rate_per_s * NANOSECONDS_PER_SECOND) + 1
