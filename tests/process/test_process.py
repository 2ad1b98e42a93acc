"""The proxy as a process: configuration, signals, start-up, exhausted file descriptors."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from loadbalancer.startup import MAX_READINESS_DELAY_S, THROTTLING_DELAY_S, readiness_delay_s
from tests.support.endpoint_lists import list_of_ports
from tests.support.fake_discovery import FakeDiscovery
from tests.support.fake_endpoint import FakeEndpoint, Responder, abort_connection, respond_with
from tests.support.http_messages import (
    HOST,
    READY_REQUEST,
    ReceivedMessage,
    format_response,
    read_message,
    request,
)
from tests.support.proxy_process import configuration, exchange, proxy_process
from tests.support.waiting import WAIT_TIMEOUT_S, wait_until


def run_program(environment: dict[str, str]) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "loadbalancer"],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
        env=environment,
    )


async def test_sigterm_answers_open_requests_and_those_that_still_arrive(tmp_path: Path) -> None:
    release = asyncio.Event()

    async def respond(received: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
        if "/slow" in received.start_line:
            await release.wait()
        writer.write(format_response(200, b"done"))

    endpoint, second = await FakeEndpoint(respond).start(), await FakeEndpoint(respond).start()
    async with proxy_process(tmp_path, endpoint.port, second.port) as (process, port):
        assert (await exchange(port, READY_REQUEST)).status == 200
        idle_reader, idle_writer = await asyncio.open_connection(HOST, port)
        idle_writer.write(READY_REQUEST)
        assert (await read_message(idle_reader)).status == 200
        slow = asyncio.create_task(exchange(port, request("/read/slow", deadline_ms=3000)))
        await wait_until(lambda: endpoint.requests or second.requests)
        process.send_signal(signal.SIGTERM)
        while (await exchange(port, READY_REQUEST)).status != 503:  # until the signal has been handled
            pass
        late = await exchange(port, request("/read/late"))
        assert (late.status, late.headers["connection"]) == (200, "close")
        assert await asyncio.wait_for(idle_reader.read(), WAIT_TIMEOUT_S) == b""
        assert not slow.done()
        assert process.returncode is None
        release.set()
        assert (await slow).body == b"done"
        assert await asyncio.wait_for(process.wait(), WAIT_TIMEOUT_S) == 0
        idle_writer.close()
    endpoint.stop()
    second.stop()


async def test_readiness_waits_until_the_start_is_within_the_cpu_limit(tmp_path: Path) -> None:
    # Guards against a process that reports readiness while the system throttles it for exceeding its CPU
    # limit: clients would have to wait.
    endpoint = await FakeEndpoint(respond_with(200)).start()
    async with proxy_process(tmp_path, endpoint.port, cores=0.001) as (_, port):
        while (response := await exchange(port, READY_REQUEST)).status != 200:
            assert response.status == 503
            assert (await exchange(port, request())).status == 200  # requests are served meanwhile
    endpoint.stop()


@pytest.mark.parametrize(
    ("cores", "cpu_time_s", "delay_s"),
    [(0.0, 0.1, 0.0), (0.5, 0.1, 0.2 + THROTTLING_DELAY_S), (0.01, 0.1, MAX_READINESS_DELAY_S)],
)
def test_readiness_delay_by_cpu_limit_and_cpu_time_used(
    cores: float, cpu_time_s: float, delay_s: float
) -> None:
    assert readiness_delay_s(cores, cpu_time_s) == pytest.approx(delay_s)


async def test_a_proxy_with_a_long_known_list_becomes_ready_and_serves(tmp_path: Path) -> None:
    # Each request has to reach the only ready one of 30,001 endpoints. No times are asserted.
    endpoint = await FakeEndpoint(respond_with(200)).start()
    rows = list_of_ports(*[1] * 30_000, endpoint.port)
    assert isinstance(rows["hosts"], list)
    for row in rows["hosts"][:-1]:
        row["health"] = "draining"
    path = tmp_path / "long.json"
    path.write_text(json.dumps(configuration(known=rows)))
    async with proxy_process(tmp_path, path=path) as (process, port):
        assert (await exchange(port, READY_REQUEST)).status == 200
        assert [(await exchange(port, request())).status for _ in range(3)] == [200] * 3
        assert len(endpoint.requests) == 3
        assert process.returncode is None
    endpoint.stop()


async def test_sighup_hands_over_discovery_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    discoveries = [FakeDiscovery(), FakeDiscovery()]
    for discovery in discoveries:
        await discovery.server.start()
    endpoint = await FakeEndpoint(respond_with(200)).start()
    path = tmp_path / "config.json"
    async with proxy_process(tmp_path, endpoint.port) as (process, port):
        for text in ("{", "[" * 100_000, json.dumps(configuration(listen=3))):
            path.write_text(text)
            process.send_signal(signal.SIGHUP)
            line = b""
            while b"the old configuration stays" not in line:
                assert process.stderr is not None
                line = await asyncio.wait_for(process.stderr.readline(), WAIT_TIMEOUT_S)
                assert line, "the process ended"
        assert (await exchange(port, request())).status == 200
        for discovery in discoveries:
            path.write_text(json.dumps(configuration(discovery=f"{HOST}:{discovery.server.port}")))
            process.send_signal(signal.SIGHUP)
            await wait_until(lambda fake=discovery: len(fake.calls) >= 2)  # type: ignore[misc]
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)  # also during the shutdown
        assert await asyncio.wait_for(process.wait(), WAIT_TIMEOUT_S) == 0
    for server in (endpoint, *(fake.server for fake in discoveries)):
        server.stop()


async def test_the_proxy_serves_after_it_ran_out_of_descriptors(tmp_path: Path) -> None:
    endpoint = await FakeEndpoint(respond_with(200)).start()
    async with proxy_process(tmp_path, endpoint.port, descriptors=24) as (process, port):
        idle = [await asyncio.open_connection(HOST, port) for _ in range(40)]
        assert (await exchange(port, READY_REQUEST)).status == 200
        for _, writer in idle:
            writer.close()
        answered = [(await exchange(port, request())).status for _ in range(3)]
        assert answered == [200] * 3
        assert process.returncode is None
    endpoint.stop()


@pytest.mark.parametrize("mode", ["ask", "push"])
async def test_idle_clients_in_all_descriptors_do_not_stop_discovery(mode: str, tmp_path: Path) -> None:
    # Discovery breaks two calls while idle clients and connections to endpoints use all file descriptors.
    discovery, failures = FakeDiscovery(), iter(range(2))
    respond_normally: Responder = discovery.server.respond
    endpoints = [await FakeEndpoint(respond_with(200)).start() for _ in range(16)]

    async def respond(received: ReceivedMessage, writer: asyncio.StreamWriter) -> None:
        if next(failures, None) is not None:
            discovery.record_call(received)
            await abort_connection(received, writer)
        else:
            if "s0" not in discovery.entries:
                discovery.change("s0", dial=f"{HOST}:{endpoints[0].port}", health="draining")
            await respond_normally(received, writer)

    discovery.server.respond = respond
    await discovery.server.start()
    async with proxy_process(
        tmp_path,
        *(each.port for each in endpoints),
        descriptors=256,
        mode=mode,
        discovery_port=discovery.server.port,
        sockets=256,
    ) as (process, port):
        idle = [await asyncio.open_connection(HOST, port) for _ in range(300)]
        answered = set()
        while len(discovery.calls) < 4:  # two that fail, one that brings a change, and the next watch
            responses = await asyncio.gather(*(exchange(port, request()) for _ in range(40)))
            answered |= {response.status for response in responses}
            idle += [await asyncio.open_connection(HOST, port) for _ in range(10)]
        before = len(endpoints[0].requests)
        answered |= {(await exchange(port, request())).status for _ in range(40)}
        assert len(endpoints[0].requests) == before
        assert answered == {200}
        assert process.returncode is None
        for _, writer in idle:
            writer.close()
    for server in (*endpoints, discovery.server):
        server.stop()


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (None, "No such file"),
        ("{", "premature EOF"),
        ("[]", ""),
        ("{}", "'name' is missing"),
        (json.dumps(configuration(1, listen="nowhere")), "not an IP address and port"),
        (json.dumps(configuration(1, settings=3)), ""),
        (json.dumps(configuration(1, known={"hosts": 3})), "known"),
    ],
)
def test_a_bad_configuration_is_reported_in_one_line(tmp_path: Path, text: str | None, message: str) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    done = run_program({**os.environ, "RELAY_CONFIG": str(path)})
    assert done.returncode == 2
    assert message in done.stderr
    assert done.stderr.count("\n") == 1


def test_a_missing_configuration_variable_is_reported() -> None:
    env = {k: v for k, v in os.environ.items() if k != "RELAY_CONFIG"}
    done = run_program(env)
    assert done.returncode == 2
    assert done.stderr == "loadbalancer: RELAY_CONFIG is not set\n"
