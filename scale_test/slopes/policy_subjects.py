"""Subjects measured in this process: the policy and the reader of endpoint lists, without sockets."""

from __future__ import annotations

import json
import statistics
from collections.abc import Sequence
from dataclasses import dataclass

import orjson

from loadbalancer.messages import Endpoint, EndpointUpdate, EndpointUpdateKind, Forward
from loadbalancer.policy.balancer import Balancer
from loadbalancer.proxy.endpoint_list_reader import EndpointListReader
from loadbalancer.settings import Settings
from loadbalancer.settings_reader import read_settings
from scale_test.slopes.inputs import ZONES, Json, endpoint_list, endpoint_row, raw_settings
from scale_test.slopes.measuring import Figures, build_cost, timed
from scale_test.slopes.policy_harness import PolicyHarness
from scale_test.units import NS_PER_S

UPSTREAMS_PER_SERVICE = 23  # 160,000 upstreams in 7,000 services
UPSTREAMS_PER_REQUEST = 4
ARRIVAL_GAP_NS = 2 * 10**5
STALL_NS = 20 * NS_PER_S
SINGLE_CHANGES = 4


def new_harness(settings: Settings) -> PolicyHarness:
    """A harness with a fresh policy."""
    return PolicyHarness(Balancer(settings, 1, NS_PER_S))


def read_endpoints(text: bytes, reader: EndpointListReader) -> list[Endpoint]:
    """Read a response of discovery, with the reader of earlier ones."""
    return [entry.endpoint for entry in reader.read(text).entries]


@dataclass(frozen=True)
class DeltaCost:
    """One change of the list."""

    list_bytes: int
    cpu_s: float


class PolicyWithReader:
    """A policy that has read the full list, and the reader that reads its changes."""

    def __init__(self, text: bytes, settings: Settings) -> None:
        self.reader = EndpointListReader(0)
        endpoints = read_endpoints(text, self.reader)
        self.harness = new_harness(settings).set_endpoints(endpoints)
        self.version = 1

    def apply_delta(self, rows: Sequence[Json]) -> DeltaCost:
        """Measure reading and applying a change of these rows' health."""
        self.version += 1
        health = "draining" if self.version % 2 == 0 else "up"
        changed = [{**row, "health": health} for row in rows]
        text = orjson.dumps(endpoint_list(changed, self.version, full=False))

        def apply() -> None:
            endpoints = read_endpoints(text, self.reader)
            self.harness.handle(EndpointUpdate(EndpointUpdateKind.DELTA, endpoints))

        return DeltaCost(len(text), timed(apply).cpu_s)


def upstreams(count: int, routes: int = 1) -> Figures:
    """Upstreams in the list: reading and applying it, one change, a zone's change, a feedback tick."""
    rows = [endpoint_row(number, routes) for number in range(count)]
    text = orjson.dumps(endpoint_list(rows))
    settings = read_settings(raw_settings(2, routes, placed=routes > 1))
    read = timed(lambda: read_endpoints(text, EndpointListReader(0)))
    apply = timed(lambda: new_harness(settings).set_endpoints(read.result))
    started = build_cost(lambda: PolicyWithReader(text, settings), "start")
    policy = started.result
    changes = [policy.apply_delta(rows[:1]) for _ in range(SINGLE_CHANGES)]
    figures = started.figures | {
        "read_s": read.cpu_s,
        "take_s": apply.cpu_s,
        "list_b": len(text),
        "change_b": changes[0].list_bytes,
        "change_s": statistics.median(change.cpu_s for change in changes),
    }
    figures |= policy.harness.measure_feedback_ticks()
    zone_rows = rows[:: len(ZONES)][: max(1, count // len(ZONES))]
    figures["zone_s"] = policy.apply_delta(zone_rows).cpu_s
    figures["request_s"] = policy.harness.measure_request_cpu_s()
    return figures


def services(count: int) -> Figures:
    """Services of 23 upstreams each: a request class and a machine class for each."""
    return upstreams(count * UPSTREAMS_PER_SERVICE, count)


def measure_settings(raw: Json) -> Figures:
    """Measure a policy with these settings before ten endpoints."""
    text = orjson.dumps(raw)
    started = build_cost(lambda: Balancer(read_settings(json.loads(text)), 1, NS_PER_S), "start")
    endpoints = [Endpoint(number + 1) for number in range(10)]
    harness = PolicyHarness(started.result).set_endpoints(endpoints)
    figures = started.figures | {"config_b": len(text)}
    figures |= harness.measure_feedback_ticks()
    figures["request_s"] = harness.measure_request_cpu_s()
    return figures


def tenants(count: int) -> Figures:
    """Tenants in the settings, of which 40 send: start, a feedback tick, a request."""
    return measure_settings(raw_settings(tenants=count))


def routes(count: int) -> Figures:
    """Routes as request classes without placement: start, a feedback tick, a request."""
    return measure_settings(raw_settings(routes=count))


def requests(count: int) -> Figures:
    """Open requests, with four upstreams for each: a request's arrival, its end, a stall of 20 s."""
    raw = raw_settings() | {"replicas_of_me": 1, "zones": [], "prices": {}}
    raw["profiles"][0]["aim_ns"] = 60 * NS_PER_S
    harness = new_harness(read_settings(raw))
    harness.set_endpoints([Endpoint(number + 1) for number in range(UPSTREAMS_PER_REQUEST * count)])

    def arrive_all() -> list[Forward | None]:
        return [harness.arrive(advance_ns=ARRIVAL_GAP_NS) for _ in range(count)]

    def end_all(attempts: Sequence[Forward | None]) -> None:
        for attempt in attempts:
            harness.end(attempt)

    arrived = build_cost(arrive_all, "arrive", end_all)
    attempts, figures = arrived.result, arrived.figures
    figures["arrive_s"] /= count
    figures["open"] = sum(attempt is not None for attempt in attempts)
    figures["end_s"] = timed(lambda: end_all(attempts[::2])).cpu_s / (count / 2)
    figures["stall_s"] = timed(lambda: harness.handle(advance_ns=STALL_NS)).cpu_s
    return figures
