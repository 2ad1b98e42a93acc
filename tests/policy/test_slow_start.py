"""Slow start: all proxies together must not overload an endpoint that is warming up.

`python -m tests.policy.test_slow_start 10` runs the cases with more seeds than the tests.
"""

from __future__ import annotations

import random
import sys
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

import pytest

from loadbalancer.messages import Endpoint, EndpointUpdate, EndpointUpdateKind
from loadbalancer.settings import (
    DeduplicationScope,
    Idempotency,
    Limits,
    Prices,
    RequestClass,
    Rules,
    Settings,
)
from tests.support.fleet_model import FleetModel, Traffic
from tests.support.policy_harness import (
    NANOSECONDS_PER_MILLISECOND,
    NANOSECONDS_PER_SECOND,
    START_NS,
    PolicyHarness,
    arrival,
    make_endpoints,
    make_settings,
)
from tests.support.simulated_endpoint import SimulatedEndpoint

RULES = Rules(
    slow_start_initial_capacity=0.3,
    slow_start_ns=8800 * NANOSECONDS_PER_MILLISECOND,
    overload_factor=2.5,
    overload_window_ns=NANOSECONDS_PER_SECOND,
)
LIMITS = Limits(max_attempts=5, cancellation=True, retry_after=True)
READ = RequestClass(
    "read",
    latency_objective_ns=400 * NANOSECONDS_PER_MILLISECOND,
    late_weight_factor=0.2,
    client_timeout_ns=800 * NANOSECONDS_PER_MILLISECOND,
)
PAY = replace(READ, name="pay", idempotency=Idempotency.NON_IDEMPOTENT)
ZONE_KEYED = replace(
    READ,
    name="switch",
    idempotency=Idempotency.IDEMPOTENCY_KEY,
    deduplication_scope=DeduplicationScope.ZONE,
    deduplication_window_ns=1200 * NANOSECONDS_PER_MILLISECOND,
    client_timeout_ns=2 * NANOSECONDS_PER_SECOND,
)
CELL_KEYED = replace(ZONE_KEYED, name="cell", deduplication_scope=DeduplicationScope.CELL)
SLOW = replace(
    READ,
    name="slow",
    latency_objective_ns=2 * NANOSECONDS_PER_SECOND,
    client_timeout_ns=4 * NANOSECONDS_PER_SECOND,
)
LARGE = replace(READ, name="large", allowed_machine_types=frozenset({"large"}))
ZONES = ("east", "west", "north", "south")
PROXY_COUNTS = (4, 20, 30, 200)
CELL_SIZE = 6


@dataclass(frozen=True)
class Case:
    """Some endpoints crash and restart; all proxies are notified at the same time."""

    endpoint_count: int = 12
    endpoint_rate: float = 50.0  # requests of mean cost per second that one endpoint can serve
    load: float = 0.7  # offered load, as a fraction of what all endpoints can serve
    traffic: Sequence[Traffic] = (Traffic(READ, 0.4), Traffic(PAY, 0.3), Traffic(ZONE_KEYED, 0.3, 2.0))
    crashed_fraction: float = 0.3  # of the endpoints; 0: one endpoint
    uneven_traffic: bool = False  # some proxies get many times the traffic of others
    proxies_restart: bool = False  # the proxies have just started too, and have no estimates yet
    capacity: int = 40
    error_share: float = 0.0  # fraction of requests that a restarted endpoint answers at once with an error
    limits: Limits = LIMITS
    prices: Prices = field(default_factory=Prices)
    zones: Sequence[str] = ("east",)
    load_reports: bool = False
    cores: int = 2
    machine_types: Sequence[str] = ("",)
    missing_fraction: float = 0.0  # of the endpoints, missing from each proxy's first list at random
    one_by_one: bool = False  # endpoints restart one by one, so that the list changes continuously
    seconds_before: float = 1.5
    seconds_after: float = 1.25

    def run(self, proxy_count: int, seed: int) -> tuple[float, FleetModel]:
        """Return the highest overload of a restarted endpoint (above 1: over its budget), and the fleet."""
        rng = random.Random(seed)
        fleet = self.make_fleet(proxy_count, seed, rng)
        crashed = self.crashed_endpoints(fleet)
        self.send_first_lists(fleet, crashed, rng)
        fleet.crash_endpoints(crashed)
        fleet.run(self.seconds_before)
        for endpoint in crashed:
            endpoint.error_share = self.error_share
        self.restart_endpoints(fleet, crashed)
        fleet.run(self.seconds_after)
        return max(endpoint.max_overload(RULES) for endpoint in crashed), fleet

    def make_fleet(self, proxy_count: int, seed: int, rng: random.Random) -> FleetModel:
        return FleetModel(
            proxy_count,
            self.make_endpoints(),
            self.settings_of_all(proxy_count),
            self.traffic,
            self.load * self.endpoint_count * self.endpoint_rate,
            seed,
            [self.traffic_share(rng) for _ in range(proxy_count)],
        )

    def traffic_share(self, rng: random.Random) -> float:
        return 0.05 + rng.expovariate(1) ** 2 if self.uneven_traffic else 1.0

    def crashed_endpoints(self, fleet: FleetModel) -> list[SimulatedEndpoint]:
        """Return the endpoints that crash: some of the first zone and machine type."""
        endpoints = list(fleet.endpoints.values())
        group = (self.zones[0], self.machine_types[0])
        candidates = [e for e in endpoints if (e.endpoint.zone, e.endpoint.machine_type) == group]
        return candidates[: max(1, int(len(endpoints) * self.crashed_fraction))]

    def send_first_lists(
        self, fleet: FleetModel, crashed: Sequence[SimulatedEndpoint], rng: random.Random
    ) -> None:
        """Send each proxy a list without the crashed endpoints, and without some others."""
        unlisted = set(crashed)
        for proxy in range(len(fleet.proxies)):
            entries = [
                endpoint.endpoint
                for endpoint in fleet.endpoints.values()
                if endpoint not in unlisted and rng.random() >= self.missing_fraction
            ]
            fleet.update_endpoints(proxy, EndpointUpdateKind.CACHED, entries)

    def restart_endpoints(self, fleet: FleetModel, crashed: Sequence[SimulatedEndpoint]) -> None:
        """Restart the crashed endpoints, all at once or one by one, and notify the proxies."""
        for batch in [[endpoint] for endpoint in crashed] if self.one_by_one else [crashed]:
            entries = fleet.start_endpoints(batch)
            if self.proxies_restart:
                self.restart_proxies(fleet)
            else:
                fleet.update_all_proxies(EndpointUpdateKind.DELTA, entries)
            fleet.run(self.seconds_after / len(crashed) if self.one_by_one else 0)

    def restart_proxies(self, fleet: FleetModel) -> None:
        entries = [endpoint.endpoint for endpoint in fleet.endpoints.values()]
        for proxy in range(len(fleet.proxies)):
            fleet.restart_proxy(proxy, entries)

    def make_endpoints(self) -> list[SimulatedEndpoint]:
        return [
            SimulatedEndpoint(
                Endpoint(
                    id=1 + i,
                    zone=self.zones[i % len(self.zones)],
                    cell=i // CELL_SIZE,
                    machine_type=self.machine_types[i % len(self.machine_types)],
                ),
                self.endpoint_rate,
                self.cores,
                self.capacity,
            )
            for i in range(self.endpoint_count)
        ]

    def settings_of_all(self, proxy_count: int) -> list[Settings]:
        common = make_settings(
            proxy_count=proxy_count,
            zones=self.zones,
            rules=RULES,
            limits=self.limits,
            prices=self.prices,
            request_classes={t.request_class.name: t.request_class for t in self.traffic},
            tenants={},
            client_retries_marked=True,
            load_reports_in_responses=self.load_reports,
            load_report_columns=("inflight",) if self.load_reports else (),
        )
        return [
            replace(common, proxy_index=i, zone=self.zones[i % len(self.zones)]) for i in range(proxy_count)
        ]


PRICES = Prices(connection=0.03, cross_zone=0.025, handshake=0.03)
HEDGING = replace(LIMITS, hedging=True)
PROBING = replace(HEDGING, health_checks=True)
COSTLY_TRAFFIC = (Traffic(READ, 0.85), Traffic(LARGE, 0.15, 6.0))
COSTLY_TRAFFIC_MIX = (Traffic(READ, 0.8), Traffic(LARGE, 0.2, 4.0))
MACHINE_TYPES = ("large", "small")
KEYED_TRAFFIC = (Traffic(CELL_KEYED, 0.5), Traffic(ZONE_KEYED, 0.5))

CASES = {
    "one start": Case(crashed_fraction=0.0),
    "a zone": Case(),
    "a zone, overloaded": Case(load=1.3),
    "rejected": Case(load=1.2, capacity=1),
    "errors": Case(error_share=1.0),
    "errors, reports": Case(error_share=1.0, load_reports=True, endpoint_count=30),
    "restart": Case(proxies_restart=True),
    "restart, errors": Case(proxies_restart=True, error_share=1.0),
    "restart, slow": Case(
        endpoint_count=30, endpoint_rate=8.0, load=1.3, traffic=(Traffic(SLOW),), proxies_restart=True
    ),
    "uneven": Case(uneven_traffic=True, load=1.0),
    "hedging": Case(limits=HEDGING, load=1.1),
    "load probing": Case(limits=PROBING, load_reports=True),
    "costly": Case(traffic=COSTLY_TRAFFIC, machine_types=MACHINE_TYPES, error_share=1.0, seconds_after=1.5),
    "costly, served": Case(traffic=COSTLY_TRAFFIC, machine_types=MACHINE_TYPES, load=0.9),
    "costly, restart": Case(
        traffic=COSTLY_TRAFFIC_MIX, machine_types=MACHINE_TYPES, error_share=1.0, proxies_restart=True
    ),
    "lists differ": Case(endpoint_count=24, missing_fraction=0.3, load=0.5, error_share=1.0),
    "one by one": Case(endpoint_count=24, crashed_fraction=0.6, one_by_one=True, load=0.4, error_share=1.0),
    "idempotency key": Case(traffic=KEYED_TRAFFIC, load=1.0),
    "zones and prices": Case(prices=PRICES, zones=ZONES, endpoint_count=24, load_reports=True),
}


@pytest.mark.parametrize("proxy_count", PROXY_COUNTS)
@pytest.mark.parametrize("name", CASES)
def test_endpoint_that_warms_up_gets_at_most_its_budget(name: str, proxy_count: int) -> None:
    # Each proxy sends little, but all proxies together may overload the endpoint.
    overload, fleet = CASES[name].run(proxy_count, seed=2)
    assert 0 < overload <= 1
    assert fleet.served > 0


LONG_LIST = Case(
    endpoint_count=3000, load=0.05, endpoint_rate=20.0, seconds_before=0.2, seconds_after=0.5, error_share=1.0
)


@pytest.mark.parametrize(
    ("proxy_count", "case"),
    [
        (4, LONG_LIST),
        (30, LONG_LIST),
        (200, replace(LONG_LIST, endpoint_count=1000, load=0.1, crashed_fraction=0.1)),
    ],
)
def test_endpoint_of_a_long_list_gets_at_most_its_budget(proxy_count: int, case: Case) -> None:
    overload, fleet = case.run(proxy_count, seed=2)
    assert 0 < overload <= 1
    assert fleet.served > 0


def test_endpoints_that_are_warming_up_get_one_request_at_a_time() -> None:
    harness = PolicyHarness(endpoint_count=0)
    harness.deliver(
        EndpointUpdate(
            EndpointUpdateKind.CACHED, make_endpoints(4, started_ns=START_NS - NANOSECONDS_PER_MILLISECOND)
        )
    )
    for i in range(40):
        harness.deliver(arrival(i, harness.now_ns))
        harness.advance(5 * NANOSECONDS_PER_MILLISECOND)
        in_flight = Counter(
            harness.attempts[request][number][0].id for request, number in harness.attempts_in_flight()
        )
        assert max(in_flight.values(), default=0) <= 1


def test_proxies_share_the_budget_of_endpoints_that_are_warming_up() -> None:
    attempt_counts = []
    for proxy_count in (1, 40):
        harness = PolicyHarness(make_settings(proxy_count=proxy_count), endpoint_count=0)
        harness.deliver(
            EndpointUpdate(
                EndpointUpdateKind.CACHED,
                make_endpoints(6, started_ns=START_NS - NANOSECONDS_PER_MILLISECOND),
            )
        )
        for i in range(100):
            harness.deliver(arrival(i, harness.now_ns))
            harness.advance(5 * NANOSECONDS_PER_MILLISECOND)
            for request, number in harness.attempts_in_flight():
                harness.finish(request, number=number)
        attempt_counts.append(sum(map(len, harness.attempts.values())))
    assert attempt_counts[1] < attempt_counts[0] / 2


def run_seeds(seeds: int) -> None:
    """Print the highest overload over these seeds, by case and number of proxies."""
    for name, case in CASES.items():
        print(f"{name:24}", end="")
        for count in PROXY_COUNTS:
            overload = max(case.run(count, seed)[0] for seed in range(1, 1 + seeds))
            print(f" {count}: {overload:.2f}", end="")
        print(flush=True)


if __name__ == "__main__":
    run_seeds(int(sys.argv[1]))
