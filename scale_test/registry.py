"""The list of upstreams as discovery keeps it: rows ready to be sent, and a log of changes."""

from __future__ import annotations

import time
from collections.abc import Iterable, Sequence

from scale_test.plan import Plan, zone_name

MARK = 1e-6  # a changed row's share is 1 and so much for each version: it tells when that row has come


def mark(share: float) -> int:
    """The version in which a row with this share was changed last; 0: never."""
    return round((share - 1) / MARK)


class Registry:
    """Rows by number. A removed one stays known, and is in no whole list."""

    def __init__(self, plan: Plan, dials: Sequence[str]) -> None:
        self._plan, self._dials = plan, dials
        self.version = self.first = 1  # the log reaches back to `first`
        self.made: list[tuple[int, int, int]] = []  # version, time, how many rows
        self._log: list[list[int]] = []
        self.health = ["up"] * plan.upstreams
        self._born_ms = [0] * plan.upstreams
        self._rows = [self._encode(i, 0) for i in range(plan.upstreams)]
        self._whole = b""
        self._deltas: dict[int, bytes] = {}

    def _encode(self, i: int, version: int) -> bytes:
        share = f"{1 + version * MARK:.6f}" if version else "1.0"
        return (
            f'{{"host":"s-{i:08x}","dial":"{self._dials[i % len(self._dials)]}",'
            f'"site":"{zone_name(self._plan.zone_of(i))}","class":"m2","block":{i // 100},'
            f'"health":"{self.health[i]}","share":{share},"born_ms":{self._born_ms[i]}}}'
        ).encode()

    def change(self, rows: Iterable[int], health: str = "", born: bool = False) -> None:
        """One version in which these rows changed: their health, their start, or only their share."""
        rows = list(rows)
        self.version += 1
        for i in rows:
            self.health[i] = health or self.health[i]
            if born:
                self._born_ms[i] = time.time_ns() // 1_000_000
            self._rows[i] = self._encode(i, self.version)
        self._log.append(rows)
        self.made.append((self.version, time.monotonic_ns(), len(rows)))
        self._whole = b""
        self._deltas.clear()

    def forget(self) -> None:
        """Lose the log: who asks for what is newer than an older version gets the whole list."""
        self.first = self.version
        self._log.clear()
        self._deltas.clear()

    def whole(self) -> bytes:
        """The whole list; it is put together once for a version."""
        if not self._whole:
            rows = b",".join(
                row for row, health in zip(self._rows, self.health, strict=True) if health != "removed"
            )
            self._whole = b'{"seq":%d,"whole":true,"hosts":[%b]}' % (self.version, rows)
        return self._whole

    def since(self, after: int | None) -> bytes:
        """The changes after a version, or the whole list where they aren't known."""
        if after is None or not self.first <= after <= self.version:
            return self.whole()
        if after not in self._deltas:
            changed = dict.fromkeys(i for rows in self._log[after - self.first :] for i in rows)
            rows = b",".join(self._rows[i] for i in changed)
            self._deltas[after] = b'{"seq":%d,"whole":false,"hosts":[%b]}' % (self.version, rows)
        return self._deltas[after]
