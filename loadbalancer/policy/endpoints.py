"""What this proxy knows of the endpoints that it uses.

Types of the interface: loadbalancer/messages.py.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from loadbalancer.messages import EndpointStatus, EndpointUpdate, EndpointUpdateKind
from loadbalancer.policy.concurrency_limit import ConcurrencyLimit
from loadbalancer.policy.endpoint_pool import EndpointPool
from loadbalancer.policy.endpoint_state import LOAD_MAX, EndpointState
from loadbalancer.policy.subsetting import choose_subset
from loadbalancer.settings import DeduplicationScope, RequestClass, Settings, WeightSource
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
        self.settings, self.crowding, self.rng = settings, crowding, rng
        self.membership = EndpointTable(settings)
        self.servers: dict[int, EndpointState] = {}  # those in use, or with requests of ours
        self.used: set[int] = set()  # in the order of a pool
        self.pools: dict[tuple[frozenset[str] | None, frozenset[str] | None], EndpointPool] = {}
        self.any = self.pool(RequestClass(""))
        for cls in settings.request_classes.values():
            self.pool(cls)
        self.looks = (
            settings.limits.health_checks
            and "inflight" in settings.load_report_columns
            and settings.prices.health_check * (LOOKS + 1) <= LOOK_PRICE
        )
        self.sizes: dict[str, float] = {}  # kind -> largest weight seen, that of an idle one
        self.ended = self.broke = 0.0  # over the upstreams in use, see Server
        self.reach = 0  # upstreams in the subsets of this proxy
        self.borne = 0.0  # own attempts a second that a warm upstream is seen to bear

    def pool(self, cls: RequestClass) -> EndpointPool:
        key = (cls.allowed_zones, cls.allowed_machine_types)
        if key not in self.pools:
            self.pools[key] = EndpointPool(Placement(*key))
            self.membership.placements.append(self.pools[key].placement)
        return self.pools[key]

    def learn(self, update: EndpointUpdate, now: int) -> list[EndpointState]:
        """Take a list; which cold upstreams are new in the subset of this proxy?"""
        membership, live = self.membership, self.settings.weight_source is WeightSource.LIVE
        missing = set(membership.profiles) if update.kind is not EndpointUpdateKind.DELTA else set()
        kept = {s for s in self.servers.values() if s.own}
        had = len(kept)
        for entry in update.endpoints:
            missing.discard(entry.id)
            membership.put(entry)
            if live and 0 < entry.weight < LOAD_MAX:
                # A live weight is size / (1 + requests held a core): every proxy sees the fleet's load.
                self.sizes[entry.machine_type] = max(self.sizes.get(entry.machine_type, 0.0), entry.weight)
            s = self.servers.get(entry.id)
            if s is not None:
                if entry.started_ns != s.entry.started_ns:
                    s.strikes = s.not_before_ns = 0
                    kept.discard(s)
                s.entry = entry
                self._weigh(s, now)
        for number in missing:
            membership.drop(number)
            if number in self.servers:
                s = self.servers[number]
                s.entry = s.entry._replace(status=EndpointStatus.REMOVED)  # missing from a whole list
        if membership.settle():
            self._arrange_all(now)
        elif len(kept) == had:  # only weights have changed, as they do all the time
            return []
        return [s for s in self.servers.values() if s.own and s not in kept and self.cold(s, now)]

    def _weigh(self, s: EndpointState, now: int) -> None:
        if self.settings.weight_source is WeightSource.LIVE and 0 < s.entry.weight < LOAD_MAX:
            s.hear(self.sizes[s.entry.machine_type] / s.entry.weight - 1, now)

    def server(self, number: int, now: int) -> EndpointState:
        """What is known of a listed upstream in full, from now on."""
        if number not in self.servers:
            self.servers[number] = s = EndpointState(number, self.membership.entry(number))
            s.rank = mixed(number, self.settings.proxy_index + 1)
            self._weigh(s, now)
        return self.servers[number]

    def _arrange_all(self, now: int) -> None:
        """Take up each pool's subset; what it is made of is the same whatever came before."""
        subsets = [choose_subset(self.membership, pool.placement) for pool in self.pools.values()]
        if subsets == [pool.given for pool in self.pools.values()]:
            return
        for s in self.servers.values():
            s.own = False
        for pool, subset in zip(self.pools.values(), subsets, strict=True):
            own, near, far = (
                [self.server(unmixed(key), now) for key in keys]
                for keys in (subset.own, subset.near, subset.far)
            )
            pool.given = subset
            pool.order = own + sorted(near, key=lambda s: s.rank) + sorted(far, key=lambda s: s.rank)
            pool.subset = pool.width = len(pool.order) if self.looks else len(own)
            pool.sharers = subset.sharers * pool.subset / max(1, len(own))
            for s in pool.order[: pool.subset]:
                s.own = True
        self.reach = sum(s.own for s in self.servers.values())
        self.used = {s.id for pool in self.pools.values() for s in pool.order}
        self.forget()

    def forget(self) -> None:
        """Nothing is kept in full of upstreams that are not used and hold nothing of ours. What still knows
        one, as a request that has asked it, finds it gone: no news reaches it any more."""
        for s in [s for i, s in self.servers.items() if not (i in self.used or s.inflight or s.late)]:
            s.entry = s.entry._replace(status=EndpointStatus.REMOVED)
            del self.servers[s.id]

    def group(
        self, pool: EndpointPool, like: EndpointState, scope: DeduplicationScope, now: int
    ) -> list[EndpointState]:
        """Some upstreams of the same zone or cell that this proxy does not use otherwise."""
        if len(pool.order) == len(pool.placement.ring):
            return []
        if len(self.servers) > len(self.used) + 4 * SCAN:
            self.forget()
        found = self.membership.group(pool.placement, like.entry, scope, self.rng.random(), SCAN)
        return [self.server(number, now) for number in found if number not in self.used]

    def cold(self, s: EndpointState, now: int) -> bool:
        return bool(s.entry.started_ns) and now - s.entry.started_ns < self.settings.rules.slow_start_ns

    def cold_gap_ns(self, s: EndpointState, now: int) -> int:
        """Rule 4: the least time between sends to a cold upstream, so that all whose subset it is in stay,
        together, inside what it can bear now. A warm one bears what it is seen to bear, or what
        upstreams finish: the slope `each` is flattened by late reports, and promises several times that."""
        rules = self.settings.rules
        part = (
            rules.slow_start_initial_capacity
            + (1 - rules.slow_start_initial_capacity) * (now - s.entry.started_ns) / rules.slow_start_ns
        )
        # Others may have it in the subset of another pool: all pools that it is in count.
        sharers = sum(p.sharers for p in self.pools.values() if p.admits(s.entry))
        sharers = max(1.0, min(self.settings.proxy_count, sharers))
        bears = max(self.borne, SECOND / self.crowding.alone / sharers)
        return int(SECOND / (COLD_PART * rules.overload_factor * part * bears))

    def limit_of(self, s: EndpointState, now: int) -> int:
        if not s.own:  # other proxies fill it, and own counts say little of it
            return int(not s.strikes and not self.cold(s, now))
        if s.strikes:
            return 1
        return max(1, self.crowding.limit // 2) if self.cold(s, now) else self.crowding.limit

    def fit(self, s: EndpointState, now: int) -> bool:
        return (
            s.entry.status is EndpointStatus.READY
            and now >= s.not_before_ns
            and s.inflight < self.limit_of(s, now)
        )

    def eject(self, s: EndpointState, now: int, base: float) -> None:
        """Leave a failing upstream alone, longer each time, unless that would leave hardly any."""
        if s.not_before_ns > now:
            return  # what was out there when it stood still fails together: one strike for it
        s.strikes += 1
        if all(
            sum(o.not_before_ns > now for o in p.order[: p.width]) < 0.7 * p.width
            for p in self.pools.values()
            if s in p.order[: p.width]
        ):
            length = min(base * 2 ** min(s.strikes - 1, 5), EJECTION_MAX)
            s.not_before_ns = now + int(length * self.rng.uniform(0.75, 1.25))

    def ends(self, s: EndpointState, broke: bool) -> bool:
        """Note that an attempt ended; does the broken connection set its upstream apart from the others?

        Where connections break at all upstreams alike (a bad network, a box between, a close that crosses a
        request) a break says nothing of the upstream, and to eject on it leaves most of a sound fleet alone
        by chance. Guards as well against deploys that reset what they hold, and against any break that
        another attempt would not meet. Harm: while much breaks everywhere, an upstream that accepts and then
        breaks all it is sent is left only after a few attempts; one that is dead refuses connections, and
        is left at once."""
        s.ended += 1
        self.ended += 1
        s.breaks = s.breaks + 1 if broke else 0
        s.broke += broke
        self.broke += broke
        others = (self.broke - s.broke) / max(1.0, self.ended - s.ended)
        return broke and min(others, COMMON_MAX) ** s.breaks <= CHANCE

    def settle(self) -> None:
        """Fade old evidence on broken connections."""
        self.forget()
        self.ended = self.broke = 0.0
        for s in self.servers.values():
            s.ended *= BREAKS_KEPT
            s.broke *= BREAKS_KEPT
            self.ended += s.ended
            self.broke += s.broke

    def crowded(self, now: int) -> bool:
        """Do upstreams have more than they can work on, by what they last reported? Unknown counts as yes."""
        told = [
            s.load for s in self.servers.values() if s.entry.status is EndpointStatus.READY and s.told(now)
        ]
        return not told or sum(told) >= CROWDED * len(told)

    def draw(self, pool: EndpointPool, count: int, now: int) -> list[EndpointState]:
        """So many random draws from the fit ones within reach, and the previous winner."""
        n, chance = pool.width, self.rng.random
        near = pool.order[:n] if n <= SCAN else [pool.order[int(chance() * n)] for _ in range(SCAN)]
        drawn = [near[int(chance() * len(near))] for _ in range(count)] if near else []
        if not all(self.fit(s, now) for s in drawn):  # seldom: most are fit, and looking at all takes time
            fit = [s for s in near if self.fit(s, now)]
            drawn = [fit[int(chance() * len(fit))] for _ in range(count)] if fit else []
        if pool.last is not None and self.fit(pool.last, now) and pool.last in pool.order[:n]:
            drawn.append(pool.last)
        return drawn

    def pick(
        self, pool: EndpointPool, now: int, allowed: Iterable[EndpointState] | None = None
    ) -> EndpointState | None:
        """The lightest, by requests held and learned speed, of two draws and the previous winner."""
        drawn = self.draw(pool, DRAWS, now) if allowed is None else [s for s in allowed if self.fit(s, now)]
        pool.last = min(drawn, key=lambda s: (s.crowd(now) + 1) * s.pace, default=pool.last)
        return pool.last if drawn else None
