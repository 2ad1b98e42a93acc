"""Subjects measured in this process: the policy and the reader of endpoint lists, without sockets.

`build_cost` adds the figures `memory_b`, `peak_b` and `objects`, and `measure_feedback_ticks` adds `look_s`
and `look_top_s`; they are described there.
"""

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
SINGLE_CHANGES = 4  # changes of one upstream each; the figure is the median of their times


def new_harness(settings: Settings) -> PolicyHarness:
    """Create a harness with a new policy."""
    return PolicyHarness(Balancer(settings, 1, NS_PER_S))


def read_endpoints(text: bytes, reader: EndpointListReader) -> list[Endpoint]:
    """Read a response of discovery, with the reader that has read the earlier responses."""
    return [entry.endpoint for entry in reader.read(text).entries]


@dataclass(frozen=True)
class DeltaCost:
    """The size of a change of the list, and the processor time to read and apply it."""

    list_bytes: int
    cpu_s: float


class PolicyWithReader:
    """A policy to which the full list has been applied, and the reader for its changes."""

    def __init__(self, text: bytes, settings: Settings) -> None:
        self.reader = EndpointListReader(0)
        endpoints = read_endpoints(text, self.reader)
        self.harness = new_harness(settings).set_endpoints(endpoints)
        self.version = 1

    def apply_delta(self, rows: Sequence[Json]) -> DeltaCost:
        """Change the health of these rows, and measure reading and applying the change."""
        self.version += 1
        health = "draining" if self.version % 2 == 0 else "up"
        changed = [{**row, "health": health} for row in rows]
        text = orjson.dumps(endpoint_list(changed, self.version, full=False))

        def apply() -> None:
            endpoints = read_endpoints(text, self.reader)
            self.harness.handle(EndpointUpdate(EndpointUpdateKind.DELTA, endpoints))

        return DeltaCost(len(text), timed(apply).cpu_s)


def upstreams(count: int, routes: int = 1) -> Figures:
    """Measure a policy whose list has this many upstreams.

    Args:
        count: Number of upstreams.
        routes: Number of request classes; with more than one, each is placed on a machine class of its own.
    """
    rows = [endpoint_row(number, routes) for number in range(count)]
    text = orjson.dumps(endpoint_list(rows))
    settings = read_settings(raw_settings(2, routes, placed=routes > 1))
    read = timed(lambda: read_endpoints(text, EndpointListReader(0)))
    apply = timed(lambda: new_harness(settings).set_endpoints(read.result))
    started = build_cost(lambda: PolicyWithReader(text, settings), "start")
    policy = started.result
    changes = [policy.apply_delta(rows[:1]) for _ in range(SINGLE_CHANGES)]
    # started.figures has start_s: the processor time to read the full list and apply it to a new policy.
    figures = started.figures | {
        "read_s": read.cpu_s,  # to read the full list
        "take_s": apply.cpu_s,  # to create a policy and apply the full list to it
        "list_b": len(text),  # of the full list
        "change_b": changes[0].list_bytes,  # of a change of one upstream
        "change_s": statistics.median(change.cpu_s for change in changes),  # to read and apply such a change
    }
    figures |= policy.harness.measure_feedback_ticks()
    zone_rows = rows[:: len(ZONES)][: max(1, count // len(ZONES))]
    figures["zone_s"] = policy.apply_delta(zone_rows).cpu_s  # to read and apply a change of a whole zone
    figures["request_s"] = policy.harness.measure_request_cpu_s()  # from a request's arrival to its end
    return figures


def services(count: int) -> Figures:
    """Measure a policy with this many services of 23 upstreams, each with its own classes.

    A service has a request class of its own, which is placed on a machine class of its own.
    """
    return upstreams(count * UPSTREAMS_PER_SERVICE, count)


def measure_settings(raw: Json) -> Figures:
    """Measure a policy that has these settings and ten endpoints."""
    text = orjson.dumps(raw)
    started = build_cost(lambda: Balancer(read_settings(json.loads(text)), 1, NS_PER_S), "start")
    endpoints = [Endpoint(number + 1) for number in range(10)]
    harness = PolicyHarness(started.result).set_endpoints(endpoints)
    # started.figures has start_s: the processor time to read the settings and create the policy.
    figures = started.figures | {"config_b": len(text)}  # of the settings as JSON
    figures |= harness.measure_feedback_ticks()
    figures["request_s"] = harness.measure_request_cpu_s()  # from a request's arrival to its end
    return figures


def tenants(count: int) -> Figures:
    """Measure a policy with this many tenants in its settings, of which at most 40 send requests."""
    return measure_settings(raw_settings(tenants=count))


def routes(count: int) -> Figures:
    """Measure a policy with this many routes, which are request classes without placement."""
    return measure_settings(raw_settings(routes=count))


def requests(count: int) -> Figures:
    """Measure a policy with this many requests open at once, and four upstreams for each of them."""
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
    figures["arrive_s"] /= count  # to handle the arrival of one request
    figures["open"] = sum(attempt is not None for attempt in attempts)  # requests forwarded at once
    figures["end_s"] = timed(lambda: end_all(attempts[::2])).cpu_s / (count / 2)  # to end one request
    # The first batch of events after a stall of 20 s, with half of the requests still open:
    figures["stall_s"] = timed(lambda: harness.handle(advance_ns=STALL_NS)).cpu_s
    return figures
