"""Reload of the configuration file while the proxy runs (SIGHUP).

Each successful reload starts a handover to the configured address of discovery. All other changes need a
restart, and are logged unless they concern the seed or the known endpoint list. The list is parsed but not
applied: it is only used at start-up.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from loadbalancer.configuration_reader import ConfigurationError, read_configuration_cooperatively
from loadbalancer.proxy.addresses import Address
from loadbalancer.proxy.configuration import Configuration
from loadbalancer.proxy.cooperative import run_cooperatively

log = logging.getLogger(__name__)

# Delay before a file that changed while it was read is read again: its writer may not have finished.
REREAD_DELAY_S = 0.02


class FileState(NamedTuple):
    """Properties of a file; if one of them differs, the file has changed."""

    device: int
    inode: int
    size_bytes: int
    modified_ns: int


class ConfigurationReloader:
    """Reloads the configuration file; a new reload cancels an earlier one that is still reading."""

    def __init__(
        self, path: str, current: Configuration, hand_over_discovery: Callable[[Address], None]
    ) -> None:
        """Store the arguments; `start` starts a reload.

        Args:
            path: The configuration file.
            current: The configuration that the proxy was started with.
            hand_over_discovery: Called by each successful reload with the configured address of discovery.
        """
        self._path = path
        self._current = current
        self._hand_over_discovery = hand_over_discovery
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start a reload; cancel one that is still reading, because what it reads is older."""
        if self._is_reading:
            log.info("%s: reload: superseded by a newer reload", self._current.name)
        self.stop()
        self._task = asyncio.get_running_loop().create_task(self.reload())

    @property
    def _is_reading(self) -> bool:
        return self._task is not None and not self._task.done()

    def stop(self) -> None:
        """Cancel the reload that is still reading, if there is one."""
        if self._task is not None:
            self._task.cancel()

    async def reload(self) -> None:
        """Read the file and apply the changes that need no restart; an invalid file changes nothing."""
        name = self._current.name
        try:
            new = await self._read_unchanged()
        except ConfigurationError as error:
            log.warning("%s: reload: %s; the old configuration stays", name, error)
            return
        log.info("%s: reload: discovery at %s:%d", name, *new.discovery)
        for changed in changes_that_need_a_restart(self._current, new):
            log.warning("%s: reload: changed %s needs a restart", name, changed)
        self._hand_over_discovery(new.discovery)

    async def _read_unchanged(self) -> Configuration:
        """Read the file, and repeat that until the file does not change during a read.

        Raises:
            ConfigurationError: The file is missing or invalid.
        """
        while True:
            state = file_state(self._path)
            try:
                work = read_configuration_cooperatively(self._path, keep_known_endpoints=False)
                configuration = await run_cooperatively(work)
            except ConfigurationError:
                if file_state(self._path) == state:
                    raise
            else:
                if file_state(self._path) == state:
                    return configuration
            log.info("%s: reload: the file changed while it was read; reading it again", self._current.name)
            await asyncio.sleep(REREAD_DELAY_S)


def file_state(path: str) -> FileState | None:
    """Return the state of a file; None if it can't be accessed."""
    try:
        status = Path(path).stat()
    except OSError:
        return None
    return FileState(status.st_dev, status.st_ino, status.st_size, status.st_mtime_ns)


def changes_that_need_a_restart(current: Configuration, new: Configuration) -> list[str]:
    """Return the logged names of the changed values that can't be applied while the proxy runs."""
    changed = {
        "name": new.name != current.name,
        "listen": new.listen != current.listen,
        "sockets": new.max_sockets != current.max_sockets,
        "cores": new.cpu_cores != current.cpu_cores,
        "memory_bytes": new.memory_bytes != current.memory_bytes,
        "settings": new.settings != current.settings,
        "peer_listen": new.gossip_listen != current.gossip_listen,
        "peers": new.gossip_peers != current.gossip_peers,
        "peers_all": new.gossip_broadcast != current.gossip_broadcast,
    }
    return [name for name, differs in changed.items() if differs]
