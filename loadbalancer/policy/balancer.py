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
from loadbalancer.policy.concurrency_limit import ConcurrencyLimit
from loadbalancer.policy.endpoint_state import EndpointState
from loadbalancer.policy.endpoints import LOOKS, Fleet
from loadbalancer.policy.latency_model import LatencyModel
from loadbalancer.policy.rate_control import FEEDBACK_NS
from loadbalancer.policy.request import Attempt, Request
from loadbalancer.policy.throttle import Admission, Throttle
from loadbalancer.settings import DeduplicationScope, Idempotency, RequestClass, Settings
from loadbalancer.state.endpoint_pool import EndpointPool
from loadbalancer.state.tenant_throttles import TenantThrottles
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
        self.shortest_objective_ns = min(
            (c.latency_objective_ns for c in settings.request_classes.values()), default=SECOND
        )
        self.throttles = TenantThrottles(settings, self.rng, now, self.shortest_objective_ns)
        self.rate_controller = self.throttles.rate_controller
        self.latency_model = LatencyModel()
        self.concurrency_limit = ConcurrencyLimit(self.latency_model)
        # Until something is seen to finish, as long as the slowest class is expected to take.
        self.latency_model.service_interval_ns = (
            max((c.latency_objective_ns for c in settings.request_classes.values()), default=SECOND) / 8
        )
        self.fleet = Fleet(settings, self.concurrency_limit, self.rng)
        self.requests: dict[str, Request] = {}
        self.timers: list[tuple[int, int, str, Request | Throttle | None, int]] = []  # by time
        self.timer_due_ns = self.timer_number = 0  # when the timer that counts is due, and its number
        self.timer_count = self.discovery_failures = self.polled_ns = 0
        self.actions: list[Action] = []
        self.feedback_ns = now
        self.watch_timed_out = False  # the last call to discovery ended in silence
        self.watching = settings.discovery_pushes
        if not self.watching:
            self._schedule(
                now + int(self.rng.random() * settings.rules.poll_interval_ns / 4), "subscribe", None
            )

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]:
        self.actions, self.throttles.now = [], now
        if self.timers and now - self.timers[0][0] > STALL_NS:
            self._exclude_stalled_samples(now)
        for e in events:
            if type(e) is RequestArrived:
                self._on_request(e, now)
            elif type(e) is AttemptEnded:
                self._on_attempt_ended(e, now)
            elif type(e) is ClientDisconnected and e.request_id in self.requests:
                self._finish(self.requests[e.request_id], now)
            elif type(e) is EndpointUpdate:
                self._on_endpoint_update(e, now)
            elif type(e) is HealthCheckEnded:
                self._on_health_check(e, now)
            elif type(e) is ResponseStarted and e.request_id in self.requests:
                self.requests[e.request_id].streaming = True
            elif type(e) is TimerExpired and e.name == str(self.timer_number):
                self.timer_due_ns = 0  # by its name, not the clock: a timer may come a little early
        while self.timers and self.timers[0][0] <= now:
            _, _, what, about, extra = heapq.heappop(self.timers)
            self._on_timer(what, about, extra, now)
        for pool in self.fleet.pools.values():
            self._serve_queue(pool, now)
        if now - self.feedback_ns >= FEEDBACK_NS:
            self._feedback(now)
        if self.timers and (not self.timer_due_ns or self.timers[0][0] < self.timer_due_ns):
            self.timer_due_ns = self.timers[0][0]
            self.timer_number += 1
            self.actions.append(SetTimer(max(1, self.timer_due_ns - now), str(self.timer_number)))
        return self.actions

    def _exclude_stalled_samples(self, now: int) -> None:
        """This proxy stood still: its timers are late. What was open meanwhile ends late for that alone.

        Guards against a process that is stopped for a while (a spent share of the processor, a paused or
        swapping machine) taking its own delay for upstreams that stand still: it would eject them, think
        them slow, refuse what comes next and cut R. Harm: an upstream that stood still in the same moment is
        found out one attempt later."""
        for r in self.requests.values():
            r.stalled = r.delayed_by_throttle = True
        for s in self.fleet.endpoints.values():
            s.in_flight_since_ns = now  # nor did upstreams hold them for so long without finishing

    def _schedule(self, at: int, what: str, about: Request | Throttle | None, extra: int = 0) -> None:
        self.timer_count += 1
        heapq.heappush(self.timers, (at, self.timer_count, what, about, extra))

    def _on_request(self, e: RequestArrived, now: int) -> None:
        if e.request_id in self.requests:
            return  # an id is never reused: the first one stands
        throttle = self.throttles[e.tenant]
        cls = self.settings.request_classes.get(e.class_name) or RequestClass(
            e.class_name, Idempotency.NON_IDEMPOTENT
        )
        aim = min(now + cls.latency_objective_ns, e.deadline_ns)
        r = Request(e.request_id, cls, self.fleet.pool(cls), throttle, e.deadline_ns, aim, e.cost_hint_ns)
        self.requests[r.id] = r
        need = self.latency_model.expected_ns(r) * (1 + self.latency_model.deviation)
        r.give_up_ns = max(r.objective_ns - int(need), now + (r.deadline_ns - now) // 4)
        self._schedule(r.give_up_ns, "give up", r)  # whatever comes, a request that waits is looked at then
        self.rate_controller.on_arrival(now)
        if e.is_retry:  # marked retries take spare tokens only: they must not starve fresh work
            admission = Admission.FORWARD if throttle.take_retry_token(now) else Admission.REJECT
        else:
            admission = throttle.admit(r, now)
        if admission is Admission.REJECT:
            self._reject(r, now)
        elif admission is Admission.BUFFER:
            r.place = "held"
            self._release(throttle, now)
        else:
            self._enqueue(r, now)

    def _enqueue(self, r: Request, now: int) -> None:
        r.place = ""
        r.delayed_by_throttle = r.stalled or 2 * (r.objective_ns - now) < r.request_class.latency_objective_ns
        part = OVER_PART if r.throttle.over_share else QUEUE_PART  # over-share traffic is refused first
        # A class with much time must not make the queue too long for those with little.
        spare = min(r.give_up_ns - now, self.shortest_objective_ns)
        if (
            r.pool.blocked_since_ns
            and len(r.pool.queue) * SECOND > self.rate_controller.success_rate * spare * part
        ):
            self.rate_controller.expired_in_queue += (
                not r.delayed_by_throttle
            )  # the queue is too long already: better said at once
            self._reject(r, now)
            return
        r.pool.queue.append(r)
        self._probe_load(r, now)

    def _probe_load(self, r: Request, now: int) -> None:
        r.place = "queued"
        if self.fleet.probes_load:
            # Own counts say little where proxies are many: the drawn upstreams are asked, the request waits.
            r.probed_endpoints, r.probed_ns = list(dict.fromkeys(self.fleet.draw(r.pool, LOOKS, now))), now
            for s in r.probed_endpoints:
                if now - max(s.reported_ns, s.checked_ns) >= RECENT_NS:
                    s.checked_ns = now
                    self.actions.append(CheckHealth(s.id))
            self._schedule(now + LOOK_NS, "look", r)

    def _on_health_check(self, e: HealthCheckEnded, now: int) -> None:
        server = self.fleet.endpoints.get(e.endpoint_id)
        if server is not None and e.load_report is not None:
            server.record_load(e.load_report.get("inflight"), now)
        elif (
            server is not None
            and e.result is AttemptResult.RESET
            and server.failed_check_ns < server.checked_ns
        ):
            # Its connection broke, as any may: asked once more, or its request would wait for nothing. Harm:
            # one more look at each upstream that breaks all it is sent.
            server.failed_check_ns = now
            self.actions.append(CheckHealth(server.id))

    def _on_attempt_ended(self, e: AttemptEnded, now: int) -> None:
        server = self.fleet.endpoints.get(e.endpoint_id)
        r = self.requests.get(e.request_id)
        if r is None or server is None or not 0 <= e.attempt < len(r.attempts):
            return  # long over, or never sent: nothing is booked
        a = r.attempts[e.attempt]
        if a.result is not None or a.endpoint_state is not server:
            return
        a.record_result(e.result, self.settings.rules)
        self.concurrency_limit.record_occupancy(server, now)
        if e.load_report and "inflight" in e.load_report:
            server.record_load(e.load_report["inflight"] + 1, now)  # this one leaves it below
        apart = e.result not in UNSEEN and self.fleet.record_attempt_end(
            server, e.result is AttemptResult.RESET
        )
        if e.result is AttemptResult.OK:
            server.last_answered_ns = max(server.last_answered_ns, a.sent_ns)
            if not r.stalled:
                self.latency_model.record_success(r, a, e.elapsed_ns)
            self.concurrency_limit.record_completion(server)
            self.rate_controller.successes += now <= r.objective_ns
            self.rate_controller.failures[server.id] += (
                now > r.objective_ns and not r.delayed_by_throttle
            )  # crowding shows in it first
            if server.consecutive_failures:
                server.consecutive_failures = server.ejected_until_ns = 0
        elif e.result is AttemptResult.RESET:
            # Fewer requests cure no connection that broke by chance: R is not judged by it.
            self.rate_controller.successes += not apart
            self.rate_controller.failures[server.id] += apart
            if apart:
                self._eject(server, now, SECOND / 4)
        elif e.result in FAILURES and not (r.stalled and e.result is AttemptResult.TIMEOUT):
            self.rate_controller.failures[server.id] += (
                e.result is not AttemptResult.TIMEOUT or not r.delayed_by_throttle
            )
            if e.result is AttemptResult.TIMEOUT:
                # It would have taken longer: what is cut off must not flatten the slope.
                self.latency_model.record_latency(
                    a.load, max(1.3 * e.elapsed_ns, self.latency_model.latency_at(a.load))
                )
            busy = e.result in (AttemptResult.REJECTED, AttemptResult.TIMEOUT)
            self._eject(server, now, self._ejection_base_ns(a) if busy else SECOND / 4)
        else:
            self.rate_controller.successes += e.result is AttemptResult.ERROR
        server.overdue -= a.overdue
        server.in_flight -= not a.overdue
        server.reported_load = max(0.0, server.reported_load - 1)
        if e.request_complete:
            self._finish(r, now)
        elif not r.finished and not r.attempts_in_flight and not r.streaming:
            self._retry_or_reject(r, now)
        if r.finished and not r.attempts_in_flight:
            self.requests.pop(r.id, None)

    def _ejection_base_ns(self, a: Attempt) -> float:
        """How long to leave an upstream alone that did not finish this in time.

        Guards against one hopelessly heavy request taking its upstream from all others for as long as it
        would have run: it is cut off, and its client asks again, at the next upstream and the next. Harm:
        where it runs on all the same, the next one there finds out, and the ejection doubles."""
        return min(a.expected_ns, self.shortest_objective_ns)

    def _eject(self, server: EndpointState, now: int, base: float) -> None:
        self.fleet.eject(server, now, base)
        self._schedule(server.ejected_until_ns, "pump", None)  # then the queue has one more to go to

    def _pace_slow_start(self, server: EndpointState, now: int, gaps: float) -> None:
        """Leave a cold upstream alone for so many of its gaps."""
        gap = int(gaps * self.fleet.pacing_interval_ns(server, now))
        server.ejected_until_ns = max(server.ejected_until_ns, now + gap)
        self._schedule(server.ejected_until_ns, "pump", None)

    def _retry_or_reject(self, r: Request, now: int) -> None:
        """Nothing is out and nothing was served: another attempt, or the final answer."""
        if (
            r.attempts
            and any(
                r.may_forward(s, now, self.settings.limits)
                for s in self._retry_candidates(r, now) or r.pool.endpoints[:1]
            )
            and now < r.give_up_ns
        ):
            r.pool.queue.appendleft(r)
            self._probe_load(r, now)
        else:
            self._reject(r, now)

    def _retry_candidates(self, r: Request, now: int) -> list[EndpointState] | None:
        """Where a request that may have run may go again; None: anywhere."""
        first = next((a for a in r.attempts if a.may_have_run), None)
        if (
            first is None
            or r.request_class.idempotency is Idempotency.IDEMPOTENT
            or r.request_class.deduplication_scope is DeduplicationScope.ALL
        ):
            return None
        near = [s for s in r.pool.endpoints if r._same_group(s, first.endpoint_state)]
        return near + self.fleet.deduplication_group(
            r.pool, first.endpoint_state, r.request_class.deduplication_scope, now
        )

    def _reject(self, r: Request, now: int) -> None:
        """The final answer of a request that is not served: refused if that is true, else failed."""
        if r.may_reject():
            back = self.rng.uniform(0.25, 1.0) * min(self.settings.limits.max_retry_after_ns, SECOND)
            self.actions.append(Reject(r.id, int(back) if self.settings.limits.retry_after else 0))
        else:
            self.actions.append(Fail(r.id))
        self._finish(r, now)

    def _finish(self, r: Request, now: int) -> None:
        if r.place == "held":
            r.throttle.remove_buffered(r)
        elif r.place == "queued":
            r.pool.queue.remove(r)
        r.place, r.finished = "", True
        if self.settings.limits.cancellation:
            for i, a in enumerate(r.attempts):
                if a.result is None:
                    self.actions.append(CancelAttempt(r.id, i))
        if not r.attempts_in_flight:
            self.requests.pop(r.id, None)

    def _on_endpoint_update(self, e: EndpointUpdate, now: int) -> None:
        if e.kind in (EndpointUpdateKind.FAILED, EndpointUpdateKind.WATCH_TIMED_OUT):
            # Spread and backed off: discovery does not grow with the fleet. But it may be back since the call
            # went out (one out for longer was a watch it held), and the next one has to come in time. The
            # first pause spreads a fleet whose watches ended together. News lost in silence soon count.
            self.watching, failed = False, e.kind is EndpointUpdateKind.FAILED
            # What a silent watch missed counts as told a second after it is found out: one more call at once.
            urgent, self.watch_timed_out = failed and self.watch_timed_out, not failed
            most, out = min(ASK_NS, self.settings.rules.poll_interval_ns * 0.8), now - self.polled_ns
            most = max(most / 3, most - out) if out < ASK_NS else most
            wait = failed * most * self.rng.uniform(0.67 if self.discovery_failures else 0.1, 1.0)
            wait = min(wait, URGENT_NS * self.rng.random()) if urgent else wait
            self.discovery_failures += failed
            self._schedule(now + int(wait), "subscribe", None)
        else:
            self.discovery_failures = self.discovery_failures if e.kind is EndpointUpdateKind.CACHED else 0
            for s in self.fleet.apply_update(e, now):
                # All proxies learn of a start at once: their first sends must not come at once too.
                self._pace_slow_start(s, now, self.rng.random())

    def _on_timer(self, what: str, about: Request | Throttle | None, extra: int, now: int) -> None:
        if isinstance(about, Request):
            if what == "give up" and about.place and now >= about.give_up_ns:
                self.rate_controller.expired_in_queue += (
                    about.place == "queued" and not about.delayed_by_throttle
                )
                self._reject(about, now)
            elif what == "overdue":
                self._on_overdue(about, extra, now)
        elif what == "subscribe" and not self.watching:
            self.watching, self.polled_ns = True, now
            self.actions.append(WatchEndpoints(True))
        elif isinstance(about, Throttle):
            about.wake_scheduled = False
            self._release(about, now)

    def _release(self, t: Throttle, now: int) -> None:
        for r in t.release(now):
            self._enqueue(r, now)
        if t.buffer and not t.wake_scheduled:
            t.wake_scheduled = True
            self._schedule(now + int((1 - t.tick_credit) / t.rate * SECOND) + 1, "token", t)

    def _on_overdue(self, r: Request, number: int, now: int) -> None:
        """An attempt is out longer than its upstream should take: it may stand still."""
        a = r.attempts[number]
        if a.result is not None or r.stalled:  # it may have been answered long ago, unheard
            return
        self._eject(a.endpoint_state, now, self._ejection_base_ns(a))
        if a.endpoint_state.last_answered_ns > a.sent_ns:
            # It answers what came later: this answer is lost, and keeps no place until its client gives up.
            self.concurrency_limit.record_occupancy(a.endpoint_state, now)
            a.overdue, a.endpoint_state.in_flight, a.endpoint_state.overdue = (
                True,
                a.endpoint_state.in_flight - 1,
                a.endpoint_state.overdue + 1,
            )
        # Where a cancel stops nothing, the first attempt runs on and a copy only adds to the load.
        if r.pool.queue or now + a.expected_ns > r.objective_ns or not self.settings.limits.cancellation:
            return
        server = self.fleet.pick(r.pool, now, self._retry_candidates(r, now))
        if server and r.may_forward(server, now, self.settings.limits) and r.throttle.take_retry_token(now):
            self._forward(r, server, now)

    def _serve_queue(self, pool: EndpointPool, now: int) -> None:
        """Serve the queue in order while an upstream has room."""
        fleet, limits = self.fleet, self.settings.limits
        while pool.queue:
            r = pool.queue[0]
            old = r.probed_ns - RECENT_NS
            if (
                r.probed_endpoints
                and now < r.probed_ns + LOOK_NS
                and any(s.reported_ns <= old for s in r.probed_endpoints)
            ):
                break
            choices = self._retry_candidates(r, now) if r.attempts else None
            fresh = [s for s in r.probed_endpoints if s.reported_ns > old and fleet.is_available(s, now)]
            r.probed_endpoints = []
            server = fleet.pick(pool, now, fresh or choices)
            full = (
                server is not None
                and server.reported_load >= 1
                and server.has_fresh_load(now)
                and self.latency_model.latency_at(server.reported_load + 1.5) * server.relative_latency
                > r.objective_ns - now
            )
            if full or (server is None and choices is not None):
                # All that it may go to are busy, or would answer late: it must not stop the queue.
                self.rate_controller.expired_in_queue += not r.delayed_by_throttle
                self._reject(r, now)
            elif server is not None:
                pool.queue.popleft()
                r.place = ""
                if r.may_forward(server, now, limits):
                    self._forward(r, server, now)
                else:
                    self._reject(r, now)
            else:
                pool.blocked_since_ns = pool.blocked_since_ns or now
                if not self.concurrency_limit.increase(now):
                    break
        if not pool.queue:
            pool.blocked_since_ns = 0

    def _forward(self, r: Request, server: EndpointState, now: int) -> None:
        self.concurrency_limit.record_occupancy(server, now)
        server.in_flight += 1
        server.reported_load += server.reported_ns > 0
        expected = max(1.0, self.latency_model.expected_ns(r) * server.relative_latency)
        r.attempts.append(Attempt(server, now, expected, max(1.0, server.estimated_load(now))))
        if self.fleet.is_warming_up(server, now):
            # The budget is in requests of mean work: a dear one takes the place of several.
            self._pace_slow_start(
                server, now, max(1.0, self.latency_model.expected_ns(r) / self.latency_model.mean_ns)
            )
        # Where a late answer is worth nothing, an attempt ends at the aim and leaves its place to another.
        timeout = (
            0
            if r.request_class.late_weight_factor or r.request_class.stream
            else max(1, r.objective_ns - now)
        )
        self.actions.append(Forward(r.id, server.id, timeout))
        overdue = now + int(expected * (1.3 + 3 * self.latency_model.deviation))
        self._schedule(overdue, "overdue", r, len(r.attempts) - 1)

    def _feedback(self, now: int) -> None:
        self.feedback_ns = now
        fleet = self.fleet
        self.concurrency_limit.decay()
        fleet.decay()
        for pool in fleet.pools.values():  # one beyond the subset while the queue waits; more cost
            pool.draw_width = min(len(pool.endpoints), pool.subset_size + bool(pool.blocked_since_ns))
        self.rate_controller.adjust(now, fleet.default_pool.draw_width, fleet.is_loaded(now))
        borne = min(
            self.rate_controller.attempt_rate, self.rate_controller.success_rate
        )  # what was turned away is no load that it can bear
        fleet.sustained_throughput += 0.2 * (borne / max(1, fleet.subset_size) - fleet.sustained_throughput)
        for t in self.throttles.values():
            self._release(t, now)
        self.throttles.forget_idle(now)
