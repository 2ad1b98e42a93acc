"""Reload of the configuration file while the proxy runs (SIGHUP).

A handover to the address of discovery starts at once. All other changes but the seed and the known endpoint
list are logged and need a restart. The endpoint list is parsed, not applied: it is only used at the start.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from loadbalancer.configuration import Configuration, ConfigurationError, read_configuration_cooperatively
from loadbalancer.proxy.addresses import Address
from loadbalancer.proxy.cooperative import run_cooperatively

log = logging.getLogger(__name__)


async def reload_configuration(
    path: str, current: Configuration, hand_over_discovery: Callable[[Address], None]
) -> None:
    """Apply the changes that need no restart; a file that can't be used changes nothing.

    Args:
        path: the configuration file.
        current: the configuration that the proxy was started with.
        hand_over_discovery: is called with the address of discovery.
    """
    try:
        new = await run_cooperatively(read_configuration_cooperatively(path, keep_known_endpoints=False))
    except ConfigurationError as error:
        log.warning("%s: reload: %s; the old configuration stays", current.name, error)
        return
    log.info("%s: reload: discovery at %s:%d", current.name, *new.discovery)
    for name in changes_that_need_a_restart(current, new):
        log.warning("%s: reload: changed %s needs a restart", current.name, name)
    hand_over_discovery(new.discovery)


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
