"""The endpoint list of the fake discovery: its rows, encoded as JSON, and a log of changes."""

from __future__ import annotations

import time
from collections.abc import Iterable, Sequence
from enum import StrEnum

from scale_test.plan import Plan, zone_name
from scale_test.records import ListVersion

# A row that was changed in version N has the share 1 + N * SHARE_STEP_PER_VERSION, so it shows its version.
SHARE_STEP_PER_VERSION = 1e-6
UPSTREAMS_PER_BLOCK = 100


class Health(StrEnum):
    """An upstream's health; the values are those of the endpoint list."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


def version_of_share(share: float) -> int:
    """Return the version in which a row with this share was last changed; 0: never."""
    return round((share - 1) / SHARE_STEP_PER_VERSION)


class Registry:
    """The rows of the list by number. Removed rows are kept, but left out of full lists."""

    def __init__(self, plan: Plan, upstream_addresses: Sequence[str]) -> None:
        self._plan = plan
        self._addresses = upstream_addresses
        self.version = 1
        self.oldest_known_version = 1  # the log holds all changes after it
        self.versions: list[ListVersion] = []
        self.health = [Health.UP] * plan.upstreams
        self._log: list[list[int]] = []  # the rows changed in each version after the oldest known one
        self._born_ms = [0] * plan.upstreams
        self._rows = [self._encode(number, 0) for number in range(plan.upstreams)]
        self._full_list = b""
        self._deltas: dict[int, bytes] = {}

    def _encode(self, number: int, version: int) -> bytes:
        share = f"{1 + version * SHARE_STEP_PER_VERSION:.6f}" if version else "1.0"
        zone = zone_name(self._plan.zone_of(number))
        return (
            f'{{"host":"s-{number:08x}","dial":"{self._addresses[number % len(self._addresses)]}",'
            f'"site":"{zone}","class":"m2","block":{number // UPSTREAMS_PER_BLOCK},'
            f'"health":"{self.health[number]}","share":{share},"born_ms":{self._born_ms[number]}}}'
        ).encode()

    def change(self, rows: Iterable[int], health: Health | None = None, *, restarted: bool = False) -> None:
        """Make a new version in which these rows change.

        Args:
            rows: Numbers of the rows. Their share changes in any case.
            health: Their new health; None: unchanged.
            restarted: Whether their start time becomes the present.
        """
        rows = list(rows)
        self.version += 1
        for number in rows:
            if health is not None:
                self.health[number] = health
            if restarted:
                self._born_ms[number] = time.time_ns() // 1_000_000
            self._rows[number] = self._encode(number, self.version)
        self._log.append(rows)
        self.versions.append(ListVersion(self.version, time.monotonic_ns(), len(rows)))
        self._full_list = b""
        self._deltas.clear()

    def forget_changes(self) -> None:
        """Clear the log, so that a caller with an older version gets the full list."""
        self.oldest_known_version = self.version
        self._log.clear()
        self._deltas.clear()

    def knows_changes_after(self, version: int) -> bool:
        """Return whether the log holds all changes made after a version."""
        return self.oldest_known_version <= version <= self.version

    def full_list(self) -> bytes:
        """Return the full list as JSON, which is encoded once for each version."""
        if not self._full_list:
            listed = (
                row
                for row, health in zip(self._rows, self.health, strict=True)
                if health is not Health.REMOVED
            )
            self._full_list = b'{"seq":%d,"whole":true,"hosts":[%b]}' % (self.version, b",".join(listed))
        return self._full_list

    def changes_after(self, version: int | None) -> bytes:
        """Return the changes made after a version as JSON, or the full list if the log does not hold them."""
        if version is None or not self.knows_changes_after(version):
            return self.full_list()
        if version not in self._deltas:
            logged = self._log[version - self.oldest_known_version :]
            changed = dict.fromkeys(number for rows in logged for number in rows)
            rows = b",".join(self._rows[number] for number in changed)
            self._deltas[version] = b'{"seq":%d,"whole":false,"hosts":[%b]}' % (self.version, rows)
        return self._deltas[version]
