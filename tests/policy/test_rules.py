"""Each rule's cases through the module's interface, and random legal days against the checker."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import settings as hyp
from hypothesis import strategies as st

from loadbalancer.messages import (
    AttemptEnded,
    AttemptResult,
    CheckHealth,
    ClientDisconnected,
    Endpoint,
    EndpointStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    Fail,
    Forward,
    HealthCheckEnded,
    Reject,
    RequestArrived,
    SetTimer,
    WatchEndpoints,
)
from loadbalancer.policy.balancer import Balancer
from loadbalancer.policy.rate_control import RateController
from loadbalancer.policy.selection import DRAWS, Selection
from loadbalancer.policy.throttle import Throttle
from loadbalancer.settings import Idempotency, Limits, Prices, RequestClass, Rules, Settings, WeightSource
from loadbalancer.state.endpoint_state import EndpointState
from tests.support.policy_harness import (
    ANY,
    BIG,
    CELL,
    MS,
    NEAR,
    PAY,
    READ,
    SECOND,
    START,
    PolicyHarness,
    actions_of_type,
    arrival,
    make_endpoints,
    make_mixed_endpoints,
    settings,
)
from tests.support.rule_checker import FinalAnswer


def test_served_request_needs_nothing_more() -> None:
    desk = PolicyHarness()
    assert len(actions_of_type(Forward, desk.give(arrival(1, desk.now)))) == 1
    assert not actions_of_type(Fail, desk.finish("r1"))
    assert desk.answers["r1"] is FinalAnswer.SERVED


@pytest.mark.parametrize("cls", [READ, PAY, CELL, ANY])
def test_no_server_known_is_refused_in_time(cls: RequestClass) -> None:
    desk = PolicyHarness(endpoint_count=0)
    desk.give(EndpointUpdate(EndpointUpdateKind.CACHED), arrival(1, desk.now, cls))
    desk.advance(600 * MS)
    assert desk.answers["r1"] is FinalAnswer.REJECTED


def test_all_draining_is_refused_in_time() -> None:
    desk = PolicyHarness()
    desk.give(
        EndpointUpdate(
            EndpointUpdateKind.DELTA,
            [u._replace(status=EndpointStatus.DRAINING) for u in make_endpoints(6)],
        )
    )
    desk.give(arrival(1, desk.now, PAY))
    desk.advance(600 * MS)
    assert desk.answers["r1"] is FinalAnswer.REJECTED
    assert "r1" not in desk.attempts


def test_timeout_at_the_deadline_of_an_unsafe_request_is_failed() -> None:
    desk = PolicyHarness()
    desk.give(arrival(1, desk.now, PAY))
    desk.advance(600 * MS)
    assert desk.answers["r1"] is FinalAnswer.FAILED
    assert len(desk.attempts["r1"]) == 1


@pytest.mark.parametrize("result", [AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED])
def test_unsafe_request_that_never_ran_is_sent_again(result: AttemptResult) -> None:
    desk = PolicyHarness()
    desk.give(arrival(1, desk.now, PAY))
    desk.now += MS
    desk.finish("r1", result)
    assert len(desk.attempts["r1"]) == 2


@pytest.mark.parametrize("result", [AttemptResult.ERROR, AttemptResult.RESET, AttemptResult.CANCELLED])
def test_unsafe_request_that_may_have_run_is_failed(result: AttemptResult) -> None:
    desk = PolicyHarness()
    desk.give(arrival(1, desk.now, PAY))
    desk.now += MS
    desk.finish("r1", result)
    assert desk.answers["r1"] is FinalAnswer.FAILED


@pytest.mark.parametrize("cls", [NEAR, BIG])
def test_placement_binds_every_attempt(cls: RequestClass) -> None:
    # Guards against a class going where it may not, on retries too: the checker asserts it for each send.
    desk = PolicyHarness(endpoint_count=0)
    desk.give(EndpointUpdate(EndpointUpdateKind.CACHED, make_mixed_endpoints(12)))
    for i in range(60):
        desk.give(arrival(i, desk.now, cls))
        desk.now += 5 * MS
        for request, number in desk.attempts_in_flight():
            if request not in desk.answers:
                desk.give(
                    desk.attempt_ended(request, number, (AttemptResult.REJECTED, AttemptResult.OK)[i % 2])
                )
    assert len(desk.attempts) > 20


def test_placement_holds_when_its_upstreams_are_gone_and_does_not_stop_others() -> None:
    desk = PolicyHarness(endpoint_count=0)
    west = [u for u in make_mixed_endpoints(12) if u.zone == "west"]
    desk.give(EndpointUpdate(EndpointUpdateKind.CACHED, west))
    desk.give(arrival("near", desk.now, NEAR), arrival("read", desk.now, READ))
    assert "rread" in desk.attempts
    assert "rnear" not in desk.attempts
    desk.advance(600 * MS)
    assert desk.answers["rnear"] is FinalAnswer.REJECTED


@pytest.mark.parametrize(
    ("cls", "unproven", "answer"),
    [(PAY, True, FinalAnswer.FAILED), (CELL, True, None), (PAY, False, None), (READ, True, None)],
)
def test_full_is_proof_only_where_it_is_said_to_be(
    cls: RequestClass, unproven: bool, answer: FinalAnswer | None
) -> None:
    # Guards against a second effect where upstreams also drop what they had begun.
    desk = PolicyHarness(settings(rules=Rules(slow_start_ns=4 * SECOND, rejected_may_have_run=unproven)))
    desk.give(arrival(1, desk.now, cls))
    desk.now += MS
    desk.finish("r1", AttemptResult.REJECTED)
    assert desk.answers.get("r1") == answer
    assert len(desk.attempts["r1"]) == (1 if answer else 2)


def test_attempts_are_capped() -> None:
    desk = PolicyHarness()
    desk.give(arrival(1, desk.now, READ))
    for _ in range(3):
        desk.now += MS
        if "r1" not in desk.answers:
            desk.finish("r1", AttemptResult.REJECTED)
    desk.advance(600 * MS)
    assert desk.answers["r1"] is FinalAnswer.REJECTED
    assert len(desk.attempts["r1"]) <= 3


def test_an_exhausted_request_in_a_stalled_queue_is_answered() -> None:
    desk = PolicyHarness(endpoint_count=1)
    for i in range(30):
        desk.give(arrival(i, desk.now))
    desk.advance(700 * MS)
    assert len(desk.answers) == 30


def test_a_short_deadline_is_answered_though_the_queue_is_blocked() -> None:
    # Guards against a wake that comes a little early being taken for an old one: no timer was ever set again.
    desk = PolicyHarness(endpoint_count=1)
    desk.give(arrival(1, desk.now))
    for i in range(2, 40):
        desk.give(arrival(i, desk.now, wait_ns=3 * MS))
        early = [t for t in desk.timers]
        desk.timers = [(at - 300, name) for at, name in early]
        desk.advance(30 * MS, step_ns=MS)
    desk.advance(SECOND)
    assert len(desk.answers) == 39


def test_drained_upstream_gets_nothing_new() -> None:
    desk = PolicyHarness()
    desk.give(
        EndpointUpdate(
            EndpointUpdateKind.DELTA,
            [u._replace(status=EndpointStatus.DRAINING) for u in make_endpoints(5)],
        )
    )
    for i in range(20):
        desk.give(arrival(i, desk.now))
        desk.advance(20 * MS)
        for request, number in desk.attempts_in_flight():
            desk.finish(request, number=number)
    assert {u.id for sent in desk.attempts.values() for u, _ in sent} == {6}


def test_missing_from_a_full_list_is_gone() -> None:
    desk = PolicyHarness()
    desk.give(EndpointUpdate(EndpointUpdateKind.FULL, make_endpoints(1)))
    for i in range(5):
        desk.give(arrival(i, desk.now))
        desk.finish(f"r{i}")
    assert {u.id for sent in desk.attempts.values() for u, _ in sent} == {1}


def test_cold_upstreams_get_one_request_at_a_time() -> None:
    desk = PolicyHarness(endpoint_count=0)
    desk.give(EndpointUpdate(EndpointUpdateKind.CACHED, make_endpoints(4, started_ns=START - MS)))
    for i in range(40):
        desk.give(arrival(i, desk.now))
        desk.advance(5 * MS)
        held: dict[int, int] = {}
        for request, number in desk.attempts_in_flight():
            upstream = desk.attempts[request][number][0].id
            held[upstream] = held.get(upstream, 0) + 1
        assert max(held.values(), default=0) <= 1


def test_cold_upstreams_share_a_budget_over_the_proxies() -> None:
    # Guards against forty proxies that each send a cold upstream a little, and together push it over.
    sent = []
    for proxies in (1, 40):
        desk = PolicyHarness(settings(proxy_count=proxies), endpoint_count=0)
        desk.give(EndpointUpdate(EndpointUpdateKind.CACHED, make_endpoints(6, started_ns=START - MS)))
        for i in range(100):
            desk.give(arrival(i, desk.now))
            desk.advance(5 * MS)
            for request, number in desk.attempts_in_flight():
                desk.finish(request, number=number)
        sent.append(sum(map(len, desk.attempts.values())))
    assert sent[1] < sent[0] / 2


def probing(servers: int = 6) -> PolicyHarness:
    limits = Limits(max_attempts=3, health_checks=True, cancellation=True)
    return PolicyHarness(
        settings(limits=limits, load_report_columns=("inflight", "queue")), endpoint_count=servers
    )


def test_asks_the_drawn_upstreams_and_sends_to_the_lightest() -> None:
    # With many proxies own counts say little: the upstreams' own word decides.
    desk = probing()
    asked = [a.endpoint_id for a in desk.give(arrival(1, desk.now)) if isinstance(a, CheckHealth)]
    assert asked
    assert "r1" not in desk.attempts
    desk.now += MS
    desk.give(
        *(HealthCheckEnded(u, AttemptResult.OK, MS, {"inflight": float(i)}) for i, u in enumerate(asked))
    )
    assert desk.attempts["r1"][0][0].id == asked[0]


def test_does_not_wait_for_a_lost_report() -> None:
    desk = probing()
    desk.give(arrival(1, desk.now))
    desk.advance(20 * MS)
    assert len(desk.attempts["r1"]) == 1


def test_an_upstream_just_asked_is_not_asked_again() -> None:
    # A busy proxy would spend itself on looks that tell it nothing new.
    desk = probing(servers=1)
    counts = []
    for number in range(4):
        counts.append(sum(isinstance(a, CheckHealth) for a in desk.give(arrival(number, desk.now))))
        desk.now += 2 * MS
    assert counts == [1, 0, 0, 1]


def test_refuses_when_all_asked_upstreams_would_answer_late() -> None:
    desk = probing()
    asked = [a.endpoint_id for a in desk.give(arrival(1, desk.now)) if isinstance(a, CheckHealth)]
    desk.now += MS
    desk.give(*(HealthCheckEnded(u, AttemptResult.OK, MS, {"inflight": 500.0}) for u in asked))
    assert desk.answers["r1"] is FinalAnswer.REJECTED


def test_an_idle_upstream_is_never_too_slow_to_try() -> None:
    # Guards against refusing on a quiet day because one heavy request made an upstream look slow.
    desk = probing(servers=1)
    desk.balancer.fleet.endpoints[1].relative_latency = 9.0
    desk.give(arrival(1, desk.now, wait_ns=100 * MS))
    desk.give(HealthCheckEnded(1, AttemptResult.OK, MS, {"inflight": 0.0}))
    assert len(desk.attempts["r1"]) == 1


def test_dear_or_blind_probes_are_not_used() -> None:
    limits = Limits(max_attempts=3, health_checks=True)
    dear = settings(limits=limits, load_report_columns=("inflight",), prices=Prices(health_check=0.05))
    for config in (dear, settings(limits=limits, load_report_columns=("util",))):
        desk = PolicyHarness(config)
        desk.give(arrival(1, desk.now))
        assert "r1" in desk.attempts
        assert not actions_of_type(CheckHealth, desk.actions)


def test_what_stands_still_together_is_one_strike() -> None:
    # Guards against a pause of one upstream, seen by all its requests, barring it for seconds.
    desk = PolicyHarness(endpoint_count=1)
    for i in range(6):
        desk.give(arrival(i, desk.now, wait_ns=100 * MS))
    desk.advance(150 * MS)
    server = desk.balancer.fleet.endpoints[1]
    assert server.consecutive_failures <= 2


def struck(breaks: dict[int, int]) -> set[int]:
    """Which upstreams are ejected when, after 20 good answers each, so many connections break in a row?"""
    desk = PolicyHarness(endpoint_count=4)
    endpoints = desk.balancer.fleet.endpoints
    outlier_detection = desk.balancer.outlier_detection
    for server in endpoints.values():
        for _ in range(20):
            outlier_detection.record_attempt_end(server, False)
    return {
        number
        for number, count in breaks.items()
        if [outlier_detection.record_attempt_end(endpoints[number], True) for _ in range(count)][-1]
    }


def test_a_break_counts_by_how_far_it_sets_its_upstream_apart() -> None:
    assert struck({1: 1}) == {1}  # where nothing else breaks, once is enough
    assert struck({2: 9, 3: 9, 4: 9, 1: 1}) == {2, 3, 4}  # where all break, once says nothing
    assert struck({2: 9, 3: 9, 4: 9, 1: 6}) == {1, 2, 3, 4}  # a dead one is left, whatever the others do


def test_broken_connections_do_not_cut_the_rate() -> None:
    desk = PolicyHarness(endpoint_count=4)
    for i in range(40):
        desk.give(arrival(i, desk.now))
        desk.finish(f"r{i}", AttemptResult.RESET)
        desk.finish(f"r{i}")
    assert (
        sum(desk.balancer.rate_controller.failures.values()) <= 1
    )  # the first break of all is the upstream's own


def test_an_attempt_ends_at_the_aim_where_late_is_worth_nothing() -> None:
    desk = PolicyHarness()
    sends = [a for a in desk.give(arrival(1, desk.now, READ)) if isinstance(a, Forward)]
    assert sends[0].timeout_ns == READ.latency_objective_ns


def test_every_upstream_is_in_some_subset() -> None:
    # Each proxy takes its own stretch of one ring that all compute alike.
    subsets: list[int] = []
    for me in range(10):
        b = Balancer(settings(proxy_index=me, proxy_count=10), 1, START)
        b.handle(START, [EndpointUpdate(EndpointUpdateKind.FULL, make_endpoints(100))])
        subsets += [s.id for s in b.fleet.default_pool.endpoints[: b.fleet.default_pool.subset_size]]
    assert sorted(subsets) == list(range(1, 101))


def test_subsets_are_shared_by_few_proxies() -> None:
    # Incident ib66e0d: in everybody's subset an upstream holds what nobody's own count shows.
    sizes = {}
    for proxies in (3, 20, 400):
        b = Balancer(settings(proxy_index=1, proxy_count=proxies), 1, START)
        b.handle(START, [EndpointUpdate(EndpointUpdateKind.FULL, make_endpoints(30))])
        sizes[proxies] = b.fleet.default_pool.subset_size
    assert sizes == {3: 10, 20: 9, 400: 4}


def test_a_limit_does_not_run_away_before_the_first_answers() -> None:
    # Incident i4eb9e9: the line waited at the start, each limit looked good before its requests were done.
    desk = PolicyHarness()
    for i in range(300):
        desk.give(arrival(i, desk.now))
        desk.now += MS // 10
    assert desk.balancer.concurrency_limit.limit == 1


def test_a_class_with_much_time_keeps_the_queue_short_for_one_with_little() -> None:
    # Incident i31aba8: requests with two seconds to spare filled the line, and quick ones never got in.
    slow = RequestClass("slow", Idempotency.IDEMPOTENT, latency_objective_ns=20 * SECOND)
    desk = PolicyHarness(settings(request_classes={"slow": slow, "read": READ}), endpoint_count=1)
    for i in range(200):
        desk.give(arrival(i, desk.now, slow, wait_ns=20 * SECOND))
        desk.advance(10 * MS)
        for request, number in desk.attempts_in_flight():
            if desk.now - desk.attempts[request][number][1] >= 50 * MS:
                desk.finish(request, number=number)
    assert len(desk.balancer.fleet.default_pool.queue) < 20
    assert FinalAnswer.REJECTED in desk.answers.values()


def test_the_first_answers_count_more() -> None:
    # Incident i530c5f: with two requests a second, what a request takes was known only after many seconds.
    desk = PolicyHarness()
    for i in range(3):
        desk.give(arrival(i, desk.now))
        desk.now += 100 * MS
        desk.finish(f"r{i}")
    assert abs(desk.balancer.latency_model.per_request_ns - 100 * MS) < 10 * MS


def test_a_tenant_over_its_share_is_found_out() -> None:
    desk = PolicyHarness(endpoint_count=1)
    for i in range(600):
        desk.give(arrival(i, desk.now, tenant="birch" if i % 10 == 0 else "ash"))
        desk.advance(5 * MS)
        for request, number in desk.attempts_in_flight():
            if desk.now - desk.attempts[request][number][1] >= 50 * MS:
                desk.finish(request, number=number)
    assert desk.balancer.throttles["ash"].over_share
    assert not desk.balancer.throttles["birch"].over_share


def test_client_gone_ends_the_request() -> None:
    desk = PolicyHarness()
    desk.give(
        arrival(1, desk.now),
        ClientDisconnected("r1"),
        ClientDisconnected("r1"),
        ClientDisconnected("unknown"),
    )
    desk.advance(600 * MS)
    assert desk.answers["r1"] is FinalAnswer.DISCONNECTED


def test_late_and_unknown_outcomes_are_harmless() -> None:
    desk = PolicyHarness()
    desk.give(arrival(1, desk.now))
    late = desk.attempt_ended("r1", 0, AttemptResult.OK)
    desk.give(late)
    desk.balancer.handle(desk.now, [late, late._replace(request_id="unknown"), late._replace(endpoint_id=99)])


def test_ask_mode_subscribes_and_backs_off() -> None:
    desk = PolicyHarness(settings(discovery_pushes=False))
    assert not actions_of_type(WatchEndpoints, desk.actions)
    desk.advance(5 * SECOND)
    assert len(actions_of_type(WatchEndpoints, desk.actions)) == 1
    gaps, last = [], desk.now
    for _ in range(4):
        desk.give(EndpointUpdate(EndpointUpdateKind.FAILED))
        before = len(actions_of_type(WatchEndpoints, desk.actions))
        while len(actions_of_type(WatchEndpoints, desk.actions)) == before:
            desk.advance(50 * MS)
            assert desk.now - last < 20 * SECOND
        gaps.append(desk.now - last)
        last = desk.now
    assert gaps[0] < gaps[2]
    assert max(gaps) <= desk.config.rules.poll_interval_ns


@pytest.mark.parametrize(("gone_ms", "again"), [(140, True), (160, False)])
def test_a_keyed_retry_leaves_time_for_a_new_connection_inside_its_window(gone_ms: int, again: bool) -> None:
    limits = Limits(max_attempts=3, connect_timeout_ns=250 * MS)  # of the window's 400 ms
    desk = PolicyHarness(settings(limits=limits))
    desk.give(arrival(1, desk.now, ANY, wait_ns=2 * SECOND))
    desk.now += gone_ms * MS
    assert bool(actions_of_type(Forward, desk.finish("r1", AttemptResult.RESET))) is again


def test_a_watch_that_fell_silent_is_asked_for_again_at_once() -> None:
    desk = PolicyHarness(settings(discovery_pushes=False))
    desk.advance(5 * SECOND)
    for _ in range(3):
        assert WatchEndpoints(True) in desk.give(EndpointUpdate(EndpointUpdateKind.WATCH_TIMED_OUT))
    # Silence is no failure: the pause after one is as short as ever.
    assert WatchEndpoints(True) not in desk.give(EndpointUpdate(EndpointUpdateKind.FAILED))
    assert WatchEndpoints(True) in desk.advance(1500 * MS)


def test_spread_of_first_calls() -> None:
    delays = set()
    for seed in range(10):
        b = Balancer(settings(discovery_pushes=False), seed, START)
        delays |= {a.delay_ns // (50 * MS) for a in b.handle(START, []) if isinstance(a, SetTimer)}
    assert len(delays) > 5


def test_push_mode_never_calls_discovery() -> None:
    desk = PolicyHarness()
    desk.advance(5 * SECOND)
    assert not actions_of_type(WatchEndpoints, desk.actions)


def test_no_tenants_and_unknown_class_work() -> None:
    desk = PolicyHarness(settings(tenants={}))
    desk.give(arrival(1, desk.now, tenant=""))
    desk.finish("r1")
    b = Balancer(Settings(), 1, START)
    b.handle(
        START,
        [
            EndpointUpdate(EndpointUpdateKind.FULL, make_endpoints(2)),
            RequestArrived("x", "never-named", "nobody", START + SECOND),
        ],
    )


def test_retry_after_is_jittered() -> None:
    desk = PolicyHarness(endpoint_count=0)
    desk.give(*(arrival(i, desk.now) for i in range(30)))
    desk.advance(600 * MS)
    told = {a.retry_after_ns for a in desk.actions if isinstance(a, Reject)}
    assert len(told) > 20


RESULTS = [AttemptResult.OK] * 6 + [r for r in AttemptResult if r is not AttemptResult.TIMEOUT]


@hyp(derandomize=True, deadline=None, max_examples=120)
@given(st.integers(0, 10**6), st.booleans(), st.booleans(), st.integers(1, 9))
def test_random_days_keep_the_rules(seed: int, copies: bool, push: bool, servers: int) -> None:
    rng = random.Random(seed)
    limits = Limits(
        max_attempts=rng.choice([1, 2, 3, 5]),
        hedging=copies,
        cancellation=rng.random() < 0.7,
        retry_after=True,
        health_checks=True,
        gossip=True,
    )
    rules = Rules(slow_start_ns=4 * SECOND, rejected_may_have_run=rng.random() < 0.5)
    desk = PolicyHarness(
        settings(limits=limits, discovery_pushes=push, proxy_count=rng.choice([1, 3, 40]), rules=rules),
        seed,
        0,
    )
    pool = make_mixed_endpoints(servers)
    desk.give(EndpointUpdate(EndpointUpdateKind.CACHED, pool))
    for number in range(rng.randint(5, 120)):
        for _ in range(rng.choice([0, 1, 1, 2, 12])):
            cls = rng.choice([READ, PAY, CELL, ANY, NEAR, BIG])
            ident = f"{number}-{rng.random()}"
            desk.give(
                arrival(
                    ident,
                    desk.now,
                    cls,
                    rng.choice(["ash", "birch"]),
                    rng.choice([2, 40, 300, 900]) * MS,
                    rng.random() < 0.2,
                )
            )
        for request, attempt in desk.attempts_in_flight():
            if rng.random() < 0.4:
                desk.give(desk.attempt_ended(request, attempt, rng.choice(RESULTS)))
        if rng.random() < 0.1:
            open_ones = [r for r in desk.request_classes if r not in desk.answers]
            if open_ones:
                desk.give(ClientDisconnected(rng.choice(open_ones)))
        if rng.random() < 0.1:
            i = rng.randrange(len(pool))
            started = desk.now if rng.random() < 0.5 else pool[i].started_ns
            pool[i] = pool[i]._replace(status=rng.choice(list(EndpointStatus)), started_ns=started)
            kind = rng.choice([EndpointUpdateKind.DELTA, EndpointUpdateKind.FULL, EndpointUpdateKind.CACHED])
            desk.give(EndpointUpdate(kind, [pool[i]] if kind is EndpointUpdateKind.DELTA else pool))
        if not push and rng.random() < 0.05:
            desk.give(EndpointUpdate(EndpointUpdateKind.FAILED))
        desk.advance(rng.choice([0, 1, 10, 50]) * MS)
    desk.advance(2 * SECOND)
    assert set(desk.answers) == set(desk.request_classes)


def near_subset(zone: str, me: int, proxies: int, prices: Prices, servers: int = 24) -> list[Endpoint]:
    b = Balancer(
        settings(proxy_index=me, proxy_count=proxies, zone=zone, zones=("east", "west"), prices=prices),
        1,
        START,
    )
    b.handle(START, [EndpointUpdate(EndpointUpdateKind.FULL, make_mixed_endpoints(servers))])
    return [s.endpoint for s in b.fleet.default_pool.endpoints[: b.fleet.default_pool.subset_size]]


def test_subset_is_small_and_near_where_connections_have_a_price() -> None:
    # Guards against many proxies filling every upstream's table of connections, each of which costs work.
    dear = Prices(connection=0.03, cross_zone=0.01)
    for zone in ("east", "west"):
        subsets = [near_subset(zone, me, 60, dear) for me in range(60)]
        assert all(len(h) == 2 and {u.zone for u in h} == {zone} for h in subsets)
        used = [u.id for h in subsets for u in h]
        assert len(set(used)) == 12
        assert max(used.count(u) for u in used) <= 16
    assert len(near_subset("east", 1, 60, Prices(cross_zone=0.01))) == 4


def test_subset_of_few_proxies_is_wide_whatever_connections_and_crossing_cost() -> None:
    # Guards against a proxy whose one stretch drains or starts refusing beside idle upstreams (event487).
    dear = Prices(connection=0.03, cross_zone=0.025)
    for proxies in (2, 4):
        subsets = [near_subset("east", me, proxies, dear, servers=12) for me in range(proxies)]
        assert [len(h) for h in subsets] == [10] * proxies
        assert all({u.zone for u in h} == {"east", "west"} for h in subsets)


def test_own_zone_empty_of_upstreams_uses_the_others() -> None:
    subsets = near_subset("south", 3, 40, Prices(connection=0.03, cross_zone=0.01))
    assert subsets
    assert subsets[0].zone in ("east", "west")


def test_a_blocked_queue_reaches_one_beyond_the_subset() -> None:
    desk = PolicyHarness(settings(prices=Prices(connection=0.03), proxy_count=40), endpoint_count=0)
    desk.give(EndpointUpdate(EndpointUpdateKind.CACHED, make_endpoints(12)))
    for i in range(60):
        desk.give(arrival(i, desk.now, wait_ns=SECOND))
        desk.advance(20 * MS)
    assert len({u.id for sent in desk.attempts.values() for u, _ in sent}) == 2


def live(weights: list[float]) -> EndpointUpdate:
    pairs = zip(make_endpoints(len(weights)), weights, strict=True)
    return EndpointUpdate(EndpointUpdateKind.DELTA, [u._replace(weight=w) for u, w in pairs])


def test_live_weights_tell_the_lighter_upstream() -> None:
    # With one request in flight at most, own counts say nothing: the list's figure decides.
    desk = PolicyHarness(settings(weight_source=WeightSource.LIVE), endpoint_count=2)
    desk.give(live([1.0, 1.0]), live([0.1, 0.5]))
    for i in range(12):
        desk.give(arrival(i, desk.now))
        desk.now += MS
        desk.finish(f"r{i}")
    assert {u.id for sent in desk.attempts.values() for u, _ in sent} == {2}


def test_an_old_report_says_nothing() -> None:
    desk = PolicyHarness(settings(weight_source=WeightSource.LIVE), endpoint_count=1)
    desk.give(live([1.0]), live([0.001]))
    desk.give(arrival(1, desk.now))
    assert desk.answers["r1"] is FinalAnswer.REJECTED
    desk.advance(4 * SECOND)
    desk.give(arrival(2, desk.now))
    assert len(desk.attempts["r2"]) == 1


def test_a_request_that_waits_on_others_is_not_taken_for_a_crowd() -> None:
    # Guards against refusing on a quiet day: time spent beside the queue was laid on the requests held.
    latency_model = Balancer(settings(), 1, START).latency_model
    for i in range(200):
        held = 1.0 + i % 4
        latency_model.record_latency(held, 300 * MS + 50 * MS * held)
    assert latency_model.per_request_ns < 120 * MS
    assert latency_model.base_ns > 150 * MS


def test_a_crowded_small_subset_lowers_the_rate() -> None:
    # Incident i430663: of a subset of four, three and more could fail all day and R was never judged by it.
    throttle = Throttle(1.0, random.Random(1), 0)
    for failing, falls in ((2, False), (4, True)):
        rate = RateController([throttle], 0)
        rate.successes, rate.failures = 4, Counter(dict.fromkeys(range(failing), 6))
        rate.adjust(SECOND, 4)
        assert (rate.rate < 100) is falls


@pytest.mark.parametrize("load", [-5.0, 1e300, float("nan"), float("inf")])
def test_a_report_that_cannot_be_true_says_nothing(load: float) -> None:
    desk = PolicyHarness(endpoint_count=2)
    for i in range(6):
        desk.give(arrival(i, desk.now))
        desk.now += 20 * MS
        upstream = desk.attempts[f"r{i}"][0][0].id
        desk.give(AttemptEnded(f"r{i}", 0, upstream, AttemptResult.OK, 20 * MS, True, {"inflight": load}))
    assert [desk.answers[f"r{i}"] for i in range(6)] == [FinalAnswer.SERVED] * 6


def test_a_caller_s_mistakes_are_not_booked() -> None:
    # An attempt never made, one at another upstream, an upstream never listed, an id that is open already.
    desk = PolicyHarness(endpoint_count=2)
    desk.give(arrival(1, desk.now))
    sent = desk.attempts["r1"][0][0].id
    balancer, good = desk.balancer, desk.attempt_ended("r1", 0, AttemptResult.OK)
    balancer.handle(
        desk.now,
        [
            good._replace(attempt=3),
            good._replace(attempt=-1),
            good._replace(endpoint_id=99),
            good._replace(endpoint_id=3 - sent),
            arrival(1, desk.now),
        ],
    )
    assert balancer.fleet.endpoints[sent].in_flight == 1
    assert len(balancer.requests) == 1
    desk.give(good)
    assert balancer.fleet.endpoints[sent].in_flight == 0
    assert not balancer.requests


def test_upstreams_long_gone_are_forgotten() -> None:
    desk = PolicyHarness(endpoint_count=0)
    for i in range(50):
        desk.give(EndpointUpdate(EndpointUpdateKind.FULL, make_endpoints(3, first=1 + 3 * i)))
        desk.give(arrival(i, desk.now))
        desk.finish(f"r{i}")
        desk.advance(SECOND)
    assert len(desk.balancer.fleet.endpoints) <= 6
    assert len(desk.balancer.timers) < 20


def overdue_at_one(later_ones_answered: bool) -> PolicyHarness:
    """One upstream takes two at once and owes the first answer for long, whatever it does with later ones."""
    desk = PolicyHarness(settings(limits=Limits(cancellation=True)), endpoint_count=1)
    desk.balancer.concurrency_limit.limit = 2
    desk.give(arrival("lost", desk.now, wait_ns=SECOND))
    for i in range(20):
        if later_ones_answered:
            desk.give(arrival(i, desk.now))
            desk.advance(5 * MS)
            for request in {r for r, _ in desk.attempts_in_flight()} - {"rlost"}:
                desk.finish(request)
        desk.advance(10 * MS)
    assert ("rlost", 0) in desk.attempts_in_flight()
    return desk


def test_an_answer_lost_on_the_way_keeps_no_place_taken() -> None:
    # Guards against silent attempts of a bad network filling the places at sound upstreams (event8052).
    for lost, sent in ((True, 2), (False, 0)):  # one that answers nobody stands still: left alone
        desk = overdue_at_one(lost)
        desk.give(arrival("a", desk.now), arrival("b", desk.now))
        desk.advance(1 * MS)
        assert len({"ra", "rb"} & set(desk.attempts)) == sent


def test_an_upstream_that_goes_while_an_answer_is_lost_there_is_kept_until_that_is_over() -> None:
    desk = overdue_at_one(True)
    desk.give(EndpointUpdate(EndpointUpdateKind.FULL, make_endpoints(2, first=2)))
    desk.finish("rlost", AttemptResult.CONNECT_FAILED)
    assert desk.answers["rlost"] is FinalAnswer.REJECTED
    assert set(desk.balancer.fleet.endpoints) == {1, 2, 3}
    desk.give(EndpointUpdate(EndpointUpdateKind.FULL, make_endpoints(1, first=2)))
    assert set(desk.balancer.fleet.endpoints) == {2}


def test_a_send_looks_at_all_upstreams_only_where_one_drawn_is_unfit(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against work on each send that grows with the subset: processor time ran out (event8052).
    desk = PolicyHarness(endpoint_count=10)
    desk.give(arrival("warm", desk.now))
    desk.balancer.concurrency_limit.limit = 5  # all are fit
    selection, pool, looked = desk.balancer.selection, desk.balancer.fleet.default_pool, 0
    fits = Selection.is_available

    def fit(self: Selection, server: EndpointState, now: int) -> bool:
        nonlocal looked
        looked += 1
        return fits(self, server, now)

    monkeypatch.setattr(Selection, "is_available", fit)
    for _ in range(20):
        looked = 0
        drawn = selection.draw(pool, DRAWS, desk.now + SECOND)
        assert len(drawn) >= DRAWS
        assert all(fits(selection, s, desk.now + SECOND) for s in drawn)
        assert looked <= DRAWS + 1  # with the previous winner
    for server in pool.endpoints[1:]:
        server.ejected_until_ns = desk.now + 2 * SECOND
    assert set(selection.draw(pool, DRAWS, desk.now + SECOND)) <= set(pool.endpoints[:1])


def test_a_single_proxy_uses_all_zones() -> None:
    # Small twins of hobart's full-size days scored 0: one proxy, five zones, and all but its own stood idle.
    dear = Prices(connection=0.03, cross_zone=0.01)
    assert {u.zone for u in near_subset("east", 0, 1, dear, servers=12)} == {"east", "west"}
    assert len(near_subset("east", 0, 1, dear, servers=12)) == 12


@pytest.mark.parametrize("may_cancel", [True, False])
def test_a_second_copy_is_sent_only_where_the_first_can_be_stopped(may_cancel: bool) -> None:
    limits = Limits(max_attempts=3, hedging=True, cancellation=may_cancel)
    desk = PolicyHarness(settings(limits=limits))
    for i in range(20):
        desk.give(arrival(i, desk.now))
        desk.now += 10 * MS
        desk.finish(f"r{i}")
    desk.give(arrival("slow", desk.now))
    desk.advance(150 * MS)
    assert len(desk.attempts["rslow"]) == (2 if may_cancel else 1)
