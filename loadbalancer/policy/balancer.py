"""Dispatch of events, and the life of a request.

Types of the interface: loadbalancer/messages.py.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable

from loadbalancer.messages import (
    Action,
    AttemptEnded,
    AttemptResult,
    CancelAttempt,
    CheckHealth,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Fail,
    Forward,
    HealthCheckEnded,
    Reject,
    RequestArrived,
    ResponseStarted,
    SetTimer,
    TimerExpired,
    WatchEndpoints,
)
from loadbalancer.policy.concurrency_limit import LIMIT_MAX, ConcurrencyLimit
from loadbalancer.policy.endpoint_pool import EndpointPool
from loadbalancer.policy.endpoint_state import EndpointState
from loadbalancer.policy.endpoints import LOOKS, Fleet
from loadbalancer.policy.rate_control import FEEDBACK_NS
from loadbalancer.policy.request import Attempt, Request
from loadbalancer.policy.tenant_throttles import TenantThrottles
from loadbalancer.policy.throttle import Throttle
from loadbalancer.settings import DeduplicationScope, Idempotency, RequestClass, Settings
from loadbalancer.units import SECOND

STALL_NS = SECOND // 50  # a timer so late: the proxy itself stood still meanwhile
LOOK_NS = SECOND // 100  # an answer that takes longer is not waited for
RECENT_NS = LOOK_NS // 2  # a look so new is not asked for again: a busy proxy would ask for more than changes
QUEUE_PART = 0.5  # of a request's time to spare may go by in the queue
OVER_PART = 0.1  # the same for a tenant over its share
ASK_NS = 9 * SECOND // 2  # longest from a call that fails to the next: what it missed counts as told in 6 s
URGENT_NS = SECOND // 5  # longest pause after a call that fails where a watch had fallen silent before it
FAILURES = (
    AttemptResult.REJECTED,
    AttemptResult.TIMEOUT,
    AttemptResult.CONNECT_FAILED,
)  # they count against R
UNSEEN = (AttemptResult.CANCELLED, AttemptResult.NOT_SENT)  # they say nothing of the connection


class Balancer:
    """One proxy. Feed it events with `handle`; carry out the actions it gives, in order."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.patience_ns = min(
            (c.latency_objective_ns for c in settings.request_classes.values()), default=SECOND
        )
        self.throttles = TenantThrottles(settings, self.rng, now, self.patience_ns)
        self.rate = self.throttles.rate
        self.crowding = ConcurrencyLimit()
        # Until something is seen to finish, as long as the slowest class is expected to take.
        self.crowding.alone = (
            max((c.latency_objective_ns for c in settings.request_classes.values()), default=SECOND) / 8
        )
        self.fleet = Fleet(settings, self.crowding, self.rng)
        self.requests: dict[str, Request] = {}
        self.due: list[tuple[int, int, str, Request | Throttle | None, int]] = []  # by time
        self.timer_ns = self.timer = 0  # when the timer that counts is due, and its number
        self.count = self.failures = self.asked_ns = 0
        self.actions: list[Action] = []
        self.checked_ns = now
        self.silent = False  # the last call to discovery ended in silence
        self.subscribed = settings.discovery_pushes
        if not self.subscribed:
            self._later(now + int(self.rng.random() * settings.rules.poll_interval_ns / 4), "subscribe", None)

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        self.actions, self.throttles.now = [], now
        if self.due and now - self.due[0][0] > STALL_NS:
            self._stood(now)
        for e in events:
            if type(e) is RequestArrived:
                self._arrival(e, now)
            elif type(e) is AttemptEnded:
                self._outcome(e, now)
            elif type(e) is ClientDisconnected and e.request_id in self.requests:
                self._end(self.requests[e.request_id], now)
            elif type(e) is EndpointUpdate:
                self._list(e, now)
            elif type(e) is HealthCheckEnded:
                self._probed(e, now)
            elif type(e) is ResponseStarted and e.request_id in self.requests:
                self.requests[e.request_id].begun = True
            elif type(e) is TimerExpired and e.name == str(self.timer):
                self.timer_ns = 0  # by its name, not the clock: a timer may come a little early
        while self.due and self.due[0][0] <= now:
            _, _, what, about, extra = heapq.heappop(self.due)
            self._look(what, about, extra, now)
        for pool in self.fleet.pools.values():
            self._pump(pool, now)
        if now - self.checked_ns >= FEEDBACK_NS:
            self._feedback(now)
        if self.due and (not self.timer_ns or self.due[0][0] < self.timer_ns):
            self.timer_ns = self.due[0][0]
            self.timer += 1
            self.actions.append(SetTimer(max(1, self.timer_ns - now), str(self.timer)))
        return self.actions

    def _stood(self, now: int) -> None:
        """This proxy stood still: its timers are late. What was open meanwhile ends late for that alone.

        Guards against a process that is stopped for a while (a spent share of the processor, a paused or
        swapping machine) taking its own delay for upstreams that stand still: it would eject them, think
        them slow, refuse what comes next and cut R. Harm: an upstream that stood still in the same moment is
        found out one attempt later."""
        for r in self.requests.values():
            r.stood = r.hurried = True
        for s in self.fleet.servers.values():
            s.since_ns = now  # nor did upstreams hold them for so long without finishing

    def _later(self, at: int, what: str, about: Request | Throttle | None, extra: int = 0) -> None:
        self.count += 1
        heapq.heappush(self.due, (at, self.count, what, about, extra))

    def _arrival(self, e: RequestArrived, now: int) -> None:
        if e.request_id in self.requests:
            return  # an id is never reused: the first one stands
        throttle = self.throttles[e.tenant]
        cls = self.settings.request_classes.get(e.class_name) or RequestClass(
            e.class_name, Idempotency.NON_IDEMPOTENT
        )
        aim = min(now + cls.latency_objective_ns, e.deadline_ns)
        r = Request(e.request_id, cls, self.fleet.pool(cls), throttle, e.deadline_ns, aim, e.cost_hint_ns)
        self.requests[r.id] = r
        need = self.crowding.expected(r) * (1 + self.crowding.spread)
        r.give_up_ns = max(r.aim_ns - int(need), now + (r.deadline_ns - now) // 4)
        self._later(r.give_up_ns, "give up", r)  # whatever comes, a request that waits is looked at then
        self.rate.arrived(now)
        # Marked retries take spare tokens only: they must not starve fresh work.
        answer = throttle.spare(now) if e.is_retry else throttle.offer(r, now)
        if answer is False:
            self._refuse(r, now)
        elif answer is None:
            r.place = "held"
            self._release(throttle, now)
        else:
            self._admit(r, now)

    def _admit(self, r: Request, now: int) -> None:
        r.place = ""
        r.hurried = r.stood or 2 * (r.aim_ns - now) < r.cls.latency_objective_ns
        part = OVER_PART if r.tenant.over else QUEUE_PART  # over-share traffic is refused first
        # A class with much time must not make the queue too long for those with little.
        spare = min(r.give_up_ns - now, self.patience_ns)
        if r.pool.blocked_ns and len(r.pool.queue) * SECOND > self.rate.served * spare * part:
            self.rate.unplaced += not r.hurried  # the queue is too long already: better said at once
            self._refuse(r, now)
            return
        r.pool.queue.append(r)
        self._look_around(r, now)

    def _look_around(self, r: Request, now: int) -> None:
        r.place = "queued"
        if self.fleet.looks:
            # Own counts say little where proxies are many: the drawn upstreams are asked, the request waits.
            r.asked, r.asked_ns = list(dict.fromkeys(self.fleet.draw(r.pool, LOOKS, now))), now
            for s in r.asked:
                if now - max(s.load_ns, s.asked_ns) >= RECENT_NS:
                    s.asked_ns = now
                    self.actions.append(CheckHealth(s.id))
            self._later(now + LOOK_NS, "look", r)

    def _probed(self, e: HealthCheckEnded, now: int) -> None:
        server = self.fleet.servers.get(e.endpoint_id)
        if server is not None and e.load_report is not None:
            server.hear(e.load_report.get("inflight"), now)
        elif server is not None and e.result is AttemptResult.RESET and server.deaf_ns < server.asked_ns:
            # Its connection broke, as any may: asked once more, or its request would wait for nothing. Harm:
            # one more look at each upstream that breaks all it is sent.
            server.deaf_ns = now
            self.actions.append(CheckHealth(server.id))

    def _outcome(self, e: AttemptEnded, now: int) -> None:
        server = self.fleet.servers.get(e.endpoint_id)
        r = self.requests.get(e.request_id)
        if r is None or server is None or not 0 <= e.attempt < len(r.attempts):
            return  # long over, or never sent: nothing is booked
        a = r.attempts[e.attempt]
        if a.result is not None or a.server is not server:
            return
        a.learn(e.result, self.settings.rules)
        self.crowding.held(server, now)
        if e.load_report and "inflight" in e.load_report:
            server.hear(e.load_report["inflight"] + 1, now)  # this one leaves it below
        apart = e.result not in UNSEEN and self.fleet.ends(server, e.result is AttemptResult.RESET)
        if e.result is AttemptResult.OK:
            server.answered_ns = max(server.answered_ns, a.sent_ns)
            if not r.stood:
                self.crowding.note(r, a, e.elapsed_ns)
            if server.own:
                self.crowding.done[min(server.inflight, LIMIT_MAX + 1)] += 1
            self.rate.good += now <= r.aim_ns
            self.rate.bad[server.id] += now > r.aim_ns and not r.hurried  # crowding shows in it first
            if server.strikes:
                server.strikes = server.not_before_ns = 0
        elif e.result is AttemptResult.RESET:
            # Fewer requests cure no connection that broke by chance: R is not judged by it.
            self.rate.good += not apart
            self.rate.bad[server.id] += apart
            if apart:
                self._eject(server, now, SECOND / 4)
        elif e.result in FAILURES and not (r.stood and e.result is AttemptResult.TIMEOUT):
            self.rate.bad[server.id] += e.result is not AttemptResult.TIMEOUT or not r.hurried
            if e.result is AttemptResult.TIMEOUT:
                # It would have taken longer: what is cut off must not flatten the slope.
                self.crowding.crowd(a, max(1.3 * e.elapsed_ns, self.crowding.time(a.load)))
            busy = e.result in (AttemptResult.REJECTED, AttemptResult.TIMEOUT)
            self._eject(server, now, self._pause(a) if busy else SECOND / 4)
        else:
            self.rate.good += e.result is AttemptResult.ERROR
        server.late -= a.late
        server.inflight -= not a.late
        server.load = max(0.0, server.load - 1)
        if e.request_complete:
            self._end(r, now)
        elif not r.over and not r.out and not r.begun:
            self._again(r, now)
        if r.over and not r.out:
            self.requests.pop(r.id, None)

    def _pause(self, a: Attempt) -> float:
        """How long to leave an upstream alone that did not finish this in time.

        Guards against one hopelessly heavy request taking its upstream from all others for as long as it
        would have run: it is cut off, and its client asks again, at the next upstream and the next. Harm:
        where it runs on all the same, the next one there finds out, and the ejection doubles."""
        return min(a.expected, self.patience_ns)

    def _eject(self, server: EndpointState, now: int, base: float) -> None:
        self.fleet.eject(server, now, base)
        self._later(server.not_before_ns, "pump", None)  # then the queue has one more to go to

    def _space(self, server: EndpointState, now: int, gaps: float) -> None:
        """Leave a cold upstream alone for so many of its gaps."""
        gap = int(gaps * self.fleet.cold_gap_ns(server, now))
        server.not_before_ns = max(server.not_before_ns, now + gap)
        self._later(server.not_before_ns, "pump", None)

    def _again(self, r: Request, now: int) -> None:
        """Nothing is out and nothing was served: another attempt, or the final answer."""
        if (
            r.attempts
            and any(
                r.may_send(s, now, self.settings.limits) for s in self._choices(r, now) or r.pool.order[:1]
            )
            and now < r.give_up_ns
        ):
            r.pool.queue.appendleft(r)
            self._look_around(r, now)
        else:
            self._refuse(r, now)

    def _choices(self, r: Request, now: int) -> list[EndpointState] | None:
        """Where a request that may have run may go again; None: anywhere."""
        first = next((a for a in r.attempts if a.may_have_run), None)
        if (
            first is None
            or r.cls.idempotency is Idempotency.IDEMPOTENT
            or r.cls.deduplication_scope is DeduplicationScope.ALL
        ):
            return None
        near = [s for s in r.pool.order if r._same_group(s, first.server)]
        return near + self.fleet.group(r.pool, first.server, r.cls.deduplication_scope, now)

    def _refuse(self, r: Request, now: int) -> None:
        """The final answer of a request that is not served: refused if that is true, else failed."""
        if r.may_refuse():
            back = self.rng.uniform(0.25, 1.0) * min(self.settings.limits.max_retry_after_ns, SECOND)
            self.actions.append(Reject(r.id, int(back) if self.settings.limits.retry_after else 0))
        else:
            self.actions.append(Fail(r.id))
        self._end(r, now)

    def _end(self, r: Request, now: int) -> None:
        if r.place == "held":
            r.tenant.leave(r)
        elif r.place == "queued":
            r.pool.queue.remove(r)
        r.place, r.over = "", True
        if self.settings.limits.cancellation:
            for i, a in enumerate(r.attempts):
                if a.result is None:
                    self.actions.append(CancelAttempt(r.id, i))
        if not r.out:
            self.requests.pop(r.id, None)

    def _list(self, e: EndpointUpdate, now: int) -> None:
        if e.kind in (EndpointUpdateKind.FAILED, EndpointUpdateKind.WATCH_TIMED_OUT):
            # Spread and backed off: discovery does not grow with the fleet. But it may be back since the call
            # went out (one out for longer was a watch it held), and the next one has to come in time. The
            # first pause spreads a fleet whose watches ended together. News lost in silence soon count.
            self.subscribed, failed = False, e.kind is EndpointUpdateKind.FAILED
            # What a silent watch missed counts as told a second after it is found out: one more call at once.
            urgent, self.silent = failed and self.silent, not failed
            most, out = min(ASK_NS, self.settings.rules.poll_interval_ns * 0.8), now - self.asked_ns
            most = max(most / 3, most - out) if out < ASK_NS else most
            wait = failed * most * self.rng.uniform(0.67 if self.failures else 0.1, 1.0)
            wait = min(wait, URGENT_NS * self.rng.random()) if urgent else wait
            self.failures += failed
            self._later(now + int(wait), "subscribe", None)
        else:
            self.failures = self.failures if e.kind is EndpointUpdateKind.CACHED else 0
            for s in self.fleet.learn(e, now):
                # All proxies learn of a start at once: their first sends must not come at once too.
                self._space(s, now, self.rng.random())

    def _look(self, what: str, about: Request | Throttle | None, extra: int, now: int) -> None:
        if isinstance(about, Request):
            if what == "give up" and about.place and now >= about.give_up_ns:
                self.rate.unplaced += about.place == "queued" and not about.hurried
                self._refuse(about, now)
            elif what == "overdue":
                self._overdue(about, extra, now)
        elif what == "subscribe" and not self.subscribed:
            self.subscribed, self.asked_ns = True, now
            self.actions.append(WatchEndpoints(True))
        elif isinstance(about, Throttle):
            about.waking = False
            self._release(about, now)

    def _release(self, t: Throttle, now: int) -> None:
        for r in t.released(now):
            self._admit(r, now)
        if t.held and not t.waking:
            t.waking = True
            self._later(now + int((1 - t.credit) / t.rate * SECOND) + 1, "token", t)

    def _overdue(self, r: Request, number: int, now: int) -> None:
        """An attempt is out longer than its upstream should take: it may stand still."""
        a = r.attempts[number]
        if a.result is not None or r.stood:  # it may have been answered long ago, unheard
            return
        self._eject(a.server, now, self._pause(a))
        if a.server.answered_ns > a.sent_ns:
            # It answers what came later: this answer is lost, and keeps no place until its client gives up.
            self.crowding.held(a.server, now)
            a.late, a.server.inflight, a.server.late = True, a.server.inflight - 1, a.server.late + 1
        # Where a cancel stops nothing, the first attempt runs on and a copy only adds to the load.
        if r.pool.queue or now + a.expected > r.aim_ns or not self.settings.limits.cancellation:
            return
        server = self.fleet.pick(r.pool, now, self._choices(r, now))
        if server and r.may_send(server, now, self.settings.limits) and r.tenant.spare(now):
            self._send(r, server, now)

    def _pump(self, pool: EndpointPool, now: int) -> None:
        """Serve the queue in order while an upstream has room."""
        fleet, limits = self.fleet, self.settings.limits
        while pool.queue:
            r = pool.queue[0]
            old = r.asked_ns - RECENT_NS
            if r.asked and now < r.asked_ns + LOOK_NS and any(s.load_ns <= old for s in r.asked):
                break
            choices = self._choices(r, now) if r.attempts else None
            fresh = [s for s in r.asked if s.load_ns > old and fleet.fit(s, now)]
            r.asked = []
            server = fleet.pick(pool, now, fresh or choices)
            full = (
                server is not None
                and server.load >= 1
                and server.told(now)
                and self.crowding.time(server.load + 1.5) * server.pace > r.aim_ns - now
            )
            if full or (server is None and choices is not None):
                # All that it may go to are busy, or would answer late: it must not stop the queue.
                self.rate.unplaced += not r.hurried
                self._refuse(r, now)
            elif server is not None:
                pool.queue.popleft()
                r.place = ""
                if r.may_send(server, now, limits):
                    self._send(r, server, now)
                else:
                    self._refuse(r, now)
            else:
                pool.blocked_ns = pool.blocked_ns or now
                if not self.crowding.lift(now):
                    break
        if not pool.queue:
            pool.blocked_ns = 0

    def _send(self, r: Request, server: EndpointState, now: int) -> None:
        self.crowding.held(server, now)
        server.inflight += 1
        server.load += server.load_ns > 0
        expected = max(1.0, self.crowding.expected(r) * server.pace)
        r.attempts.append(Attempt(server, now, expected, max(1.0, server.crowd(now))))
        if self.fleet.cold(server, now):
            # The budget is in requests of mean work: a dear one takes the place of several.
            self._space(server, now, max(1.0, self.crowding.expected(r) / self.crowding.mean))
        # Where a late answer is worth nothing, an attempt ends at the aim and leaves its place to another.
        timeout = 0 if r.cls.late_weight_factor or r.cls.stream else max(1, r.aim_ns - now)
        self.actions.append(Forward(r.id, server.id, timeout))
        overdue = now + int(expected * (1.3 + 3 * self.crowding.spread))
        self._later(overdue, "overdue", r, len(r.attempts) - 1)

    def _feedback(self, now: int) -> None:
        self.checked_ns = now
        fleet = self.fleet
        self.crowding.settle()
        fleet.settle()
        for pool in fleet.pools.values():  # one beyond the subset while the queue waits; more cost
            pool.width = min(len(pool.order), pool.subset + bool(pool.blocked_ns))
        self.rate.adjust(now, fleet.any.width, fleet.crowded(now))
        borne = min(self.rate.sent, self.rate.served)  # what was turned away is no load that it can bear
        fleet.borne += 0.2 * (borne / max(1, fleet.reach) - fleet.borne)
        for t in self.throttles.values():
            self._release(t, now)
        self.throttles.forget(now)
