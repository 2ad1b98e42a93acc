"""Token bank of one tenant, with the number of requests that wait for a token."""

from __future__ import annotations

from loadbalancer.units import NANOSECONDS_PER_SECOND


class TokenBank:
    """Counts T tokens in the bank and J requests in the buffer as the single counter U = T - J + C_J.

    C_T and C_J are the capacities of the bank and of the buffer, which `policy/throttle.py` sets. Each new
    token adds one to U, and each request admitted or buffered subtracts one. U stays within [0, C_J + C_T].
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
        """Create a full bank.

        Args:
            rate_per_s: Tokens per second.
            bank_capacity: The maximum number of tokens in the bank (C_T).
            buffer_capacity: The maximum number of requests that wait for a token (C_J).
            fractional_token: The fraction of the next token that has already accrued, below 1.
            now_ns: The current time.
        """
        self.rate_per_s = rate_per_s
        self.bank_capacity = bank_capacity
        self.buffer_capacity = buffer_capacity
        self.counter = bank_capacity + buffer_capacity
        self.fractional_token = fractional_token
        self.updated_ns = now_ns

    @property
    def balance(self) -> int:
        """The tokens less the requests that wait for one, T - J; at least one of T and J is 0."""
        return self.counter - self.buffer_capacity

    @property
    def is_full(self) -> bool:
        """Whether the bank holds the maximum number of tokens."""
        return self.counter >= self.bank_capacity + self.buffer_capacity

    @property
    def waiting_requests(self) -> int:
        """The number of requests that wait for a token, J = max(0, C_J - U)."""
        return max(0, self.buffer_capacity - self.counter)

    def accrue(self, now_ns: int) -> None:
        """Add the tokens that have accrued since the last call to the counter."""
        self.fractional_token += self.rate_per_s * (now_ns - self.updated_ns) / NANOSECONDS_PER_SECOND
        tokens = int(self.fractional_token)
        self.fractional_token -= tokens
        self.updated_ns = now_ns
        self.counter = min(self.bank_capacity + self.buffer_capacity, self.counter + tokens)

    def take_token(self) -> None:
        """Take a token from the bank or, if it is empty, a slot in the buffer."""
        self.counter -= 1

    def return_token(self) -> None:
        """Put back the token or the buffer slot that `take_token` took."""
        self.counter += 1

    def set_rate(self, rate_per_s: float, bank_capacity: int, buffer_capacity: int, now_ns: int) -> None:
        """Change the rate and the capacities, keeping the tokens and the buffered requests.

        Tokens beyond the new capacity of the bank are lost.
        """
        self.accrue(now_ns)
        balance = self.balance
        self.rate_per_s = rate_per_s
        self.bank_capacity = bank_capacity
        self.buffer_capacity = buffer_capacity
        self.counter = max(0, min(bank_capacity + buffer_capacity, balance + buffer_capacity))

    def time_to_next_token_ns(self) -> int:
        """Return the time from the last call of `accrue` to the next token, in ns."""
        return int((1 - self.fractional_token) / self.rate_per_s * NANOSECONDS_PER_SECOND) + 1
