"""What this proxy knows of the endpoints that it uses.

Types of the interface: loadbalancer/messages.py.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from loadbalancer.messages import EndpointStatus, EndpointUpdate, EndpointUpdateKind
from loadbalancer.policy.concurrency_limit import ConcurrencyLimit
from loadbalancer.policy.endpoint_state import LOAD_MAX, EndpointState
from loadbalancer.policy.subsetting import choose_subset
from loadbalancer.settings import DeduplicationScope, RequestClass, Settings, WeightSource
from loadbalancer.state.endpoint_pool import EndpointPool
from loadbalancer.state.endpoint_table import EndpointTable, Placement
from loadbalancer.state.hash_ring import mixed, unmixed
from loadbalancer.units import SECOND

DRAWS = 2  # random draws beside the previous winner
SCAN = 16  # most upstreams looked at for one send: work on a request must not grow with the fleet
CROWDED = 1.0  # requests that upstreams hold on average; with fewer, less traffic would help nobody
LOOKS = 3  # upstreams asked for their load before a send, where that is cheap
LOOK_PRICE = 0.01  # most that the looks of a request may cost
COLD_PART = 0.7  # part of a cold upstream's budget that is used
EJECTION_MAX = 3 * SECOND  # longest time for which an upstream is ejected
CHANCE = 1e-3  # connections that break in a row less often than this by chance are the upstream's own fault
COMMON_MAX = 0.3  # share of broken connections beyond which none is put down to the network
BREAKS_KEPT = 0.8  # of evidence on broken connections, a feedback interval


class Fleet:
    """Cold starts, health, and what this proxy knows of the upstreams that it uses."""

    def __init__(self, settings: Settings, crowding: ConcurrencyLimit, rng: random.Random) -> None:
        self.settings, self.concurrency_limit, self.rng = settings, crowding, rng
        self.table = EndpointTable(settings)
        self.endpoints: dict[int, EndpointState] = {}  # those in use, or with requests of ours
        self.used_ids: set[int] = set()  # in the order of a pool
        self.pools: dict[tuple[frozenset[str] | None, frozenset[str] | None], EndpointPool] = {}
        self.default_pool = self.pool(RequestClass(""))
        for cls in settings.request_classes.values():
            self.pool(cls)
        self.probes_load = (
            settings.limits.health_checks
            and "inflight" in settings.load_report_columns
            and settings.prices.health_check * (LOOKS + 1) <= LOOK_PRICE
        )
        self.largest_weights: dict[str, float] = {}  # kind -> largest weight seen, that of an idle one
        self.recent_attempts = self.recent_resets = 0.0  # over the upstreams in use, see Server
        self.subset_size = 0  # upstreams in the subsets of this proxy
        self.sustained_throughput = 0.0  # own attempts a second that a warm upstream is seen to bear

    def pool(self, cls: RequestClass) -> EndpointPool:
        key = (cls.allowed_zones, cls.allowed_machine_types)
        if key not in self.pools:
            self.pools[key] = EndpointPool(Placement(*key))
            self.table.placements.append(self.pools[key].placement)
        return self.pools[key]

    def apply_update(self, update: EndpointUpdate, now: int) -> list[EndpointState]:
        """Take a list; which cold upstreams are new in the subset of this proxy?"""
        membership, live = self.table, self.settings.weight_source is WeightSource.LIVE
        missing = set(membership.attributes) if update.kind is not EndpointUpdateKind.DELTA else set()
        kept = {s for s in self.endpoints.values() if s.in_subset}
        had = len(kept)
        for entry in update.endpoints:
            missing.discard(entry.id)
            membership.upsert(entry)
            if live and 0 < entry.weight < LOAD_MAX:
                # A live weight is size / (1 + requests held a core): every proxy sees the fleet's load.
                self.largest_weights[entry.machine_type] = max(
                    self.largest_weights.get(entry.machine_type, 0.0), entry.weight
                )
            s = self.endpoints.get(entry.id)
            if s is not None:
                if entry.started_ns != s.endpoint.started_ns:
                    s.consecutive_failures = s.ejected_until_ns = 0
                    kept.discard(s)
                s.endpoint = entry
                self._record_weight(s, now)
        for number in missing:
            membership.remove(number)
            if number in self.endpoints:
                s = self.endpoints[number]
                s.endpoint = s.endpoint._replace(status=EndpointStatus.REMOVED)  # missing from a whole list
        if membership.apply_changes():
            self._rebuild_pools(now)
        elif len(kept) == had:  # only weights have changed, as they do all the time
            return []
        return [
            s for s in self.endpoints.values() if s.in_subset and s not in kept and self.is_warming_up(s, now)
        ]

    def _record_weight(self, s: EndpointState, now: int) -> None:
        if self.settings.weight_source is WeightSource.LIVE and 0 < s.endpoint.weight < LOAD_MAX:
            s.record_load(self.largest_weights[s.endpoint.machine_type] / s.endpoint.weight - 1, now)

    def endpoint_state(self, number: int, now: int) -> EndpointState:
        """What is known of a listed upstream in full, from now on."""
        if number not in self.endpoints:
            self.endpoints[number] = s = EndpointState(number, self.table.entry(number))
            s.reserve_rank = mixed(number, self.settings.proxy_index + 1)
            self._record_weight(s, now)
        return self.endpoints[number]

    def _rebuild_pools(self, now: int) -> None:
        """Take up each pool's subset; what it is made of is the same whatever came before."""
        subsets = [choose_subset(self.table, pool.placement) for pool in self.pools.values()]
        if subsets == [pool.current_subset for pool in self.pools.values()]:
            return
        for s in self.endpoints.values():
            s.in_subset = False
        for pool, subset in zip(self.pools.values(), subsets, strict=True):
            own, near, far = (
                [self.endpoint_state(unmixed(key), now) for key in keys]
                for keys in (subset.assigned, subset.zone_reserve, subset.remote_reserve)
            )
            pool.current_subset = subset
            pool.endpoints = (
                own + sorted(near, key=lambda s: s.reserve_rank) + sorted(far, key=lambda s: s.reserve_rank)
            )
            pool.subset_size = pool.draw_width = len(pool.endpoints) if self.probes_load else len(own)
            pool.proxies_sharing = subset.proxies_sharing * pool.subset_size / max(1, len(own))
            for s in pool.endpoints[: pool.subset_size]:
                s.in_subset = True
        self.subset_size = sum(s.in_subset for s in self.endpoints.values())
        self.used_ids = {s.id for pool in self.pools.values() for s in pool.endpoints}
        self.forget()

    def forget(self) -> None:
        """Nothing is kept in full of upstreams that are not used and hold nothing of ours. What still knows
        one, as a request that has asked it, finds it gone: no news reaches it any more."""
        for s in [
            s for i, s in self.endpoints.items() if not (i in self.used_ids or s.in_flight or s.overdue)
        ]:
            s.endpoint = s.endpoint._replace(status=EndpointStatus.REMOVED)
            del self.endpoints[s.id]

    def deduplication_group(
        self, pool: EndpointPool, like: EndpointState, scope: DeduplicationScope, now: int
    ) -> list[EndpointState]:
        """Some upstreams of the same zone or cell that this proxy does not use otherwise."""
        if len(pool.endpoints) == len(pool.placement.ring):
            return []
        if len(self.endpoints) > len(self.used_ids) + 4 * SCAN:
            self.forget()
        found = self.table.group(pool.placement, like.endpoint, scope, self.rng.random(), SCAN)
        return [self.endpoint_state(number, now) for number in found if number not in self.used_ids]

    def is_warming_up(self, s: EndpointState, now: int) -> bool:
        return bool(s.endpoint.started_ns) and now - s.endpoint.started_ns < self.settings.rules.slow_start_ns

    def pacing_interval_ns(self, s: EndpointState, now: int) -> int:
        """Rule 4: the least time between sends to a cold upstream, so that all whose subset it is in stay,
        together, inside what it can bear now. A warm one bears what it is seen to bear, or what
        upstreams finish: the slope `each` is flattened by late reports, and promises several times that."""
        rules = self.settings.rules
        part = (
            rules.slow_start_initial_capacity
            + (1 - rules.slow_start_initial_capacity) * (now - s.endpoint.started_ns) / rules.slow_start_ns
        )
        # Others may have it in the subset of another pool: all pools that it is in count.
        sharers = sum(p.proxies_sharing for p in self.pools.values() if p.admits(s.endpoint))
        sharers = max(1.0, min(self.settings.proxy_count, sharers))
        interval_ns = self.concurrency_limit.latency_model.service_interval_ns
        bears = max(self.sustained_throughput, SECOND / interval_ns / sharers)
        return int(SECOND / (COLD_PART * rules.overload_factor * part * bears))

    def concurrency_limit_of(self, s: EndpointState, now: int) -> int:
        if not s.in_subset:  # other proxies fill it, and own counts say little of it
            return int(not s.consecutive_failures and not self.is_warming_up(s, now))
        if s.consecutive_failures:
            return 1
        return (
            max(1, self.concurrency_limit.limit // 2)
            if self.is_warming_up(s, now)
            else self.concurrency_limit.limit
        )

    def is_available(self, s: EndpointState, now: int) -> bool:
        return (
            s.endpoint.status is EndpointStatus.READY
            and now >= s.ejected_until_ns
            and s.in_flight < self.concurrency_limit_of(s, now)
        )

    def eject(self, s: EndpointState, now: int, base: float) -> None:
        """Leave a failing upstream alone, longer each time, unless that would leave hardly any."""
        if s.ejected_until_ns > now:
            return  # what was out there when it stood still fails together: one strike for it
        s.consecutive_failures += 1
        if all(
            sum(o.ejected_until_ns > now for o in p.endpoints[: p.draw_width]) < 0.7 * p.draw_width
            for p in self.pools.values()
            if s in p.endpoints[: p.draw_width]
        ):
            length = min(base * 2 ** min(s.consecutive_failures - 1, 5), EJECTION_MAX)
            s.ejected_until_ns = now + int(length * self.rng.uniform(0.75, 1.25))

    def record_attempt_end(self, s: EndpointState, broke: bool) -> bool:
        """Note that an attempt ended; does the broken connection set its upstream apart from the others?

        Where connections break at all upstreams alike (a bad network, a box between, a close that crosses a
        request) a break says nothing of the upstream, and to eject on it leaves most of a sound fleet alone
        by chance. Guards as well against deploys that reset what they hold, and against any break that
        another attempt would not meet. Harm: while much breaks everywhere, an upstream that accepts and then
        breaks all it is sent is left only after a few attempts; one that is dead refuses connections, and
        is left at once."""
        s.recent_attempts += 1
        self.recent_attempts += 1
        s.consecutive_resets = s.consecutive_resets + 1 if broke else 0
        s.recent_resets += broke
        self.recent_resets += broke
        others = (self.recent_resets - s.recent_resets) / max(1.0, self.recent_attempts - s.recent_attempts)
        return broke and min(others, COMMON_MAX) ** s.consecutive_resets <= CHANCE

    def decay(self) -> None:
        """Fade old evidence on broken connections."""
        self.forget()
        self.recent_attempts = self.recent_resets = 0.0
        for s in self.endpoints.values():
            s.recent_attempts *= BREAKS_KEPT
            s.recent_resets *= BREAKS_KEPT
            self.recent_attempts += s.recent_attempts
            self.recent_resets += s.recent_resets

    def is_loaded(self, now: int) -> bool:
        """Do upstreams have more than they can work on, by what they last reported? Unknown counts as yes."""
        told = [
            s.reported_load
            for s in self.endpoints.values()
            if s.endpoint.status is EndpointStatus.READY and s.has_fresh_load(now)
        ]
        return not told or sum(told) >= CROWDED * len(told)

    def draw(self, pool: EndpointPool, count: int, now: int) -> list[EndpointState]:
        """So many random draws from the fit ones within reach, and the previous winner."""
        n, chance = pool.draw_width, self.rng.random
        near = pool.endpoints[:n] if n <= SCAN else [pool.endpoints[int(chance() * n)] for _ in range(SCAN)]
        drawn = [near[int(chance() * len(near))] for _ in range(count)] if near else []
        if not all(
            self.is_available(s, now) for s in drawn
        ):  # seldom: most are fit, and looking at all takes time
            fit = [s for s in near if self.is_available(s, now)]
            drawn = [fit[int(chance() * len(fit))] for _ in range(count)] if fit else []
        if (
            pool.last_choice is not None
            and self.is_available(pool.last_choice, now)
            and pool.last_choice in pool.endpoints[:n]
        ):
            drawn.append(pool.last_choice)
        return drawn

    def pick(
        self, pool: EndpointPool, now: int, allowed: Iterable[EndpointState] | None = None
    ) -> EndpointState | None:
        """The lightest, by requests held and learned speed, of two draws and the previous winner."""
        drawn = (
            self.draw(pool, DRAWS, now)
            if allowed is None
            else [s for s in allowed if self.is_available(s, now)]
        )
        pool.last_choice = min(
            drawn, key=lambda s: (s.estimated_load(now) + 1) * s.relative_latency, default=pool.last_choice
        )
        return pool.last_choice if drawn else None
