"""Which changes of the configuration a reload applies, and which it logs as needing a restart."""

from __future__ import annotations

import asyncio
import json
import logging
from dataclasses import replace
from pathlib import Path

import pytest

from loadbalancer.configuration_reader import read_configuration
from loadbalancer.configuration_reload import ConfigurationReloader, changes_that_need_a_restart
from loadbalancer.proxy.addresses import Address
from loadbalancer.proxy.configuration import Configuration
from loadbalancer.settings import Settings

CONFIGURATION = Configuration("n0", ("127.0.0.1", 80), ("127.0.0.1", 1), 1, 1024, Settings())
OTHER_ADDRESS: Address = ("127.0.0.2", 2)


def reload_configuration(path: Path, current: Configuration) -> list[Address]:
    handovers: list[Address] = []
    asyncio.run(ConfigurationReloader(str(path), current, handovers.append).reload())
    return handovers


def write_configuration(folder: Path, **changes: object) -> Path:
    path = folder / "config.json"
    raw = {"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "1", "settings": {}}
    path.write_text(json.dumps(raw | changes))
    return path


@pytest.mark.parametrize(
    ("changed", "names"),
    [
        (CONFIGURATION, []),
        (replace(CONFIGURATION, discovery=OTHER_ADDRESS, seed=2), []),
        (replace(CONFIGURATION, name="n1"), ["name"]),
        (replace(CONFIGURATION, listen=OTHER_ADDRESS), ["listen"]),
        (replace(CONFIGURATION, max_sockets=2048), ["sockets"]),
        (replace(CONFIGURATION, cpu_cores=0.5), ["cores"]),
        (replace(CONFIGURATION, memory_bytes=1), ["memory_bytes"]),
        (replace(CONFIGURATION, settings=Settings(proxy_count=2)), ["settings"]),
        (replace(CONFIGURATION, gossip_listen=OTHER_ADDRESS), ["peer_listen"]),
        (replace(CONFIGURATION, gossip_peers=[OTHER_ADDRESS]), ["peers"]),
        (replace(CONFIGURATION, gossip_broadcast=OTHER_ADDRESS), ["peers_all"]),
        (replace(CONFIGURATION, name="n1", cpu_cores=0.5), ["name", "cores"]),
    ],
)
def test_changes_that_need_a_restart(changed: Configuration, names: list[str]) -> None:
    assert changes_that_need_a_restart(CONFIGURATION, changed) == names


def test_a_reload_hands_over_discovery_and_logs_what_needs_a_restart(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    current = read_configuration(str(write_configuration(tmp_path)))
    path = write_configuration(tmp_path, discovery="127.0.0.2:2", limits={"sockets": 2048})
    with caplog.at_level(logging.INFO):
        handovers = reload_configuration(path, current)
    assert handovers == [OTHER_ADDRESS]
    assert [record.getMessage() for record in caplog.records] == [
        "n0: reload: discovery at 127.0.0.2:2",
        "n0: reload: changed sockets needs a restart",
    ]


def test_a_reload_of_a_bad_file_changes_nothing(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    path = write_configuration(tmp_path, discovery="nowhere")
    handovers = reload_configuration(path, CONFIGURATION)
    assert handovers == []
    assert [record.getMessage() for record in caplog.records] == [
        f"n0: reload: {path}: not an IP address and port: 'nowhere'; the old configuration stays"
    ]


def test_a_reload_ignores_the_endpoint_list_of_the_file(tmp_path: Path) -> None:
    # The list in the file is older than the updates that discovery has sent since.
    path = write_configuration(tmp_path, discovery="127.0.0.2:2", known={"seq": "no number"})
    assert reload_configuration(path, CONFIGURATION) == [OTHER_ADDRESS]
