"""Reload of the configuration file while the proxy runs (SIGHUP).

A handover to the address of discovery starts at once. All other changes but the seed and the known endpoint
list are logged and need a restart. The endpoint list is parsed, not applied: it is only used at the start.
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

# Before a file that has changed while it was read is read again: its writer may not be done.
REREAD_DELAY_S = 0.02


class FileState(NamedTuple):
    """What differs between two states of a file."""

    device: int
    inode: int
    size_bytes: int
    modified_ns: int


class ConfigurationReloader:
    """Reads the file anew at each signal; that of the newest signal is in force, whatever a read takes."""

    def __init__(
        self, path: str, current: Configuration, hand_over_discovery: Callable[[Address], None]
    ) -> None:
        """Set up reloads; none is started.

        Args:
            path: The configuration file.
            current: The configuration that the proxy was started with.
            hand_over_discovery: Is called with the address of discovery.
        """
        self._path = path
        self._current = current
        self._hand_over_discovery = hand_over_discovery
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start a reload; one that is still reading is given up, since its file is older."""
        if self._is_reading:
            log.info("%s: reload: given up for a newer one", self._current.name)
        self.stop()
        self._task = asyncio.get_running_loop().create_task(self.reload())

    @property
    def _is_reading(self) -> bool:
        return self._task is not None and not self._task.done()

    def stop(self) -> None:
        """Give up the reload that is still reading, if there is one."""
        if self._task is not None:
            self._task.cancel()

    async def reload(self) -> None:
        """Apply the changes that need no restart; a file that can't be used changes nothing."""
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
        """Read the file until it does not change meanwhile; raise ConfigurationError if it can't be used."""
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
            log.info("%s: reload: the file has changed, it is read again", self._current.name)
            await asyncio.sleep(REREAD_DELAY_S)


def file_state(path: str) -> FileState | None:
    """Return the state of a file; None if there is none."""
    try:
        status = Path(path).stat()
    except OSError:
        return None
    return FileState(status.st_dev, status.st_ino, status.st_size, status.st_mtime_ns)


def changes_that_need_a_restart(current: Configuration, new: Configuration) -> list[str]:
    """Return the operators' names of the changed values that can't be applied while the proxy runs."""
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
