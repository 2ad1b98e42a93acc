"""SIGHUP while an earlier reload still reads or the file changes, and signals at the end of the process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
from asyncio.subprocess import Process
from pathlib import Path

import pytest

import loadbalancer.configuration_reload
from loadbalancer.configuration_reader import ConfigurationError, read_configuration_cooperatively
from loadbalancer.configuration_reload import ConfigurationReloader
from loadbalancer.proxy.addresses import Address
from loadbalancer.proxy.configuration import Configuration
from loadbalancer.proxy.cooperative import CooperativeWork
from tests.process.test_configuration_reload import CONFIGURATION, write_configuration
from tests.support.endpoint_lists import complete_list
from tests.support.fake_discovery import FakeDiscovery
from tests.support.fake_endpoint import FakeEndpoint, respond_with
from tests.support.http_messages import HOST
from tests.support.proxy_process import configuration, proxy_process
from tests.support.waiting import WAIT_TIMEOUT_S, wait_until

SECOND_DISCOVERY: Address = ("127.0.0.3", 3)
EVENT_LOOP_TURNS = 20


class ReloadHarness:
    """A reloader whose reads can be held back, and the addresses that it has handed discovery over to."""

    def __init__(self, path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        self.path = path
        self.addresses: list[Address] = []
        self.reloader = ConfigurationReloader(str(path), CONFIGURATION, self.addresses.append)
        self.reads_begun = 0
        self.held_reads: set[int] = set()  # numbers of the reads that must not end yet
        monkeypatch.setattr(loadbalancer.configuration_reload, "read_configuration_cooperatively", self._read)

    def _read(self, path: str, *, keep_known_endpoints: bool) -> CooperativeWork[Configuration]:
        read_number = self.reads_begun
        self.reads_begun += 1
        failure: ConfigurationError | None = None
        try:
            result = yield from read_configuration_cooperatively(
                path, keep_known_endpoints=keep_known_endpoints
            )
        except ConfigurationError as error:
            failure = error
        while read_number in self.held_reads:
            yield
        if failure is not None:
            raise failure
        return result

    async def start(self, **changes: object) -> None:
        """Write the file and start a reload; return when it has begun to read."""
        write_configuration(self.path.parent, **changes)
        self.reloader.start()
        before = self.reads_begun
        await wait_until(lambda: self.reads_begun > before)

    async def release_reads(self) -> None:
        """Let held reads end, and give the event loop the turns to handle their results."""
        self.held_reads.clear()
        for _ in range(EVENT_LOOP_TURNS):
            await asyncio.sleep(0)


@pytest.fixture
def reloads(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> ReloadHarness:
    return ReloadHarness(tmp_path / "config.json", monkeypatch)


async def test_the_newest_file_is_in_force_if_an_older_read_takes_longer(
    reloads: ReloadHarness,
) -> None:
    reloads.held_reads = {0}
    await reloads.start(discovery="127.0.0.2:2")
    await reloads.start(discovery="127.0.0.3:3")
    await wait_until(lambda: reloads.addresses)
    await reloads.release_reads()
    assert reloads.addresses == [SECOND_DISCOVERY]


async def test_a_bad_newest_file_leaves_the_old_configuration_in_force(
    reloads: ReloadHarness, caplog: pytest.LogCaptureFixture
) -> None:
    reloads.held_reads = {0}
    await reloads.start(discovery="127.0.0.2:2")
    await reloads.start(discovery="nowhere")
    await wait_until(lambda: "the old configuration stays" in caplog.text)
    await reloads.release_reads()
    assert reloads.addresses == []


@pytest.mark.parametrize("first_discovery", ["127.0.0.2:2", "nowhere"])
async def test_a_file_that_changes_while_it_is_read_is_read_again(
    first_discovery: str, reloads: ReloadHarness
) -> None:
    reloads.held_reads = {0}
    await reloads.start(discovery=first_discovery)
    write_configuration(reloads.path.parent, discovery="127.0.0.3:3", seed="longer than before")
    reloads.held_reads.clear()
    await wait_until(lambda: reloads.addresses)
    assert reloads.addresses == [SECOND_DISCOVERY]


async def test_a_stopped_reloader_applies_nothing(reloads: ReloadHarness) -> None:
    reloads.held_reads = {0}
    await reloads.start(discovery="127.0.0.2:2")
    reloads.reloader.stop()
    await reloads.release_reads()
    assert reloads.addresses == []


def replace_configuration(path: Path, **changes: object) -> None:
    """Replace the file atomically; a reader may still have the old one open."""
    new = path.with_suffix(".new")
    new.write_text(json.dumps(configuration(**changes)))
    new.replace(path)


async def wait_for_log(process: Process, text: bytes) -> None:
    """Read the log up to a line that contains the text."""
    assert process.stderr is not None
    line = b""
    while text not in line:
        line = await asyncio.wait_for(process.stderr.readline(), WAIT_TIMEOUT_S)
        assert line, "the process ended"


async def test_a_long_first_file_does_not_replace_the_discovery_of_the_second(tmp_path: Path) -> None:
    # Guards against the older file taking effect last because its endpoint list takes longer to read.
    discoveries = [FakeDiscovery(), FakeDiscovery()]
    for discovery in discoveries:
        await discovery.server.start()
    first, second = discoveries
    endpoint = await FakeEndpoint(respond_with(200)).start()
    path = tmp_path / "config.json"
    async with proxy_process(tmp_path, endpoint.port) as (process, _):
        known = complete_list(20_000)
        replace_configuration(path, discovery=f"{HOST}:{first.server.port}", known=known)
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.05)
        replace_configuration(path, discovery=f"{HOST}:{second.server.port}")
        process.send_signal(signal.SIGHUP)
        await wait_for_log(process, b"superseded by a newer reload")
        await wait_for_log(process, b"reload: discovery at")
        await wait_until(lambda: len(second.calls) >= 2)
        assert not first.calls
    for server in (endpoint, first.server, second.server):
        server.stop()


@pytest.mark.parametrize("repeated_signal", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
async def test_signals_up_to_the_end_of_the_process_leave_its_exit_status(
    repeated_signal: signal.Signals, tmp_path: Path
) -> None:
    # Guards against a signal whose default action ends the process after its event loop has been closed.
    endpoint = await FakeEndpoint(respond_with(200)).start()
    async with proxy_process(tmp_path, endpoint.port) as (process, _):
        process.send_signal(signal.SIGTERM)
        while process.returncode is None:
            # Process.send_signal polls the child first. At its end that takes the exit status away from
            # asyncio's child watcher, which then reports 255.
            with contextlib.suppress(ProcessLookupError):  # it has exited, but `returncode` is not set yet
                os.kill(process.pid, repeated_signal)
            await asyncio.sleep(0.001)
        assert process.returncode == 0
    endpoint.stop()


async def test_sigterm_during_a_reload_ends_the_process_without_a_traceback(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    endpoint = await FakeEndpoint(respond_with(200)).start()
    async with proxy_process(tmp_path, endpoint.port) as (process, _):
        replace_configuration(path, known=complete_list(60_000))
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        assert process.stderr is not None
        log = await asyncio.wait_for(process.stderr.read(), WAIT_TIMEOUT_S)
        assert await process.wait() == 0
    assert b"Traceback" not in log
    endpoint.stop()
