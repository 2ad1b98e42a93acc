"""Dispatch of events, and the life of a request (interface types: loadbalancer/messages.py)."""

import random
from collections.abc import Callable, Iterable
from typing import Any

from loadbalancer import messages
from loadbalancer.policy.attempt_results import AttemptResults
from loadbalancer.policy.concurrency_limit import ConcurrencyLimit
from loadbalancer.policy.discovery_retry import DiscoveryRetry
from loadbalancer.policy.latency_model import LatencyModel
from loadbalancer.policy.live_weights import LiveWeights
from loadbalancer.policy.load_probing import LoadProbing, probing_is_cheap
from loadbalancer.policy.load_reports import estimated_load, is_loaded
from loadbalancer.policy.outlier_detection import OutlierDetection
from loadbalancer.policy.rate_control import FEEDBACK_NS
from loadbalancer.policy.retry_eligibility import may_forward, may_have_run, may_reject
from loadbalancer.policy.selection import Selection
from loadbalancer.policy.slow_start import SlowStart
from loadbalancer.policy.subsetting import choose_subset
from loadbalancer.policy.throttle import Admission, Throttle
from loadbalancer.policy.timers import AttemptOverdue, PollDiscovery, QueueDeadline, Timer, TokenDue
from loadbalancer.settings import Idempotency, RequestClass, Settings
from loadbalancer.state.endpoint_pool import EndpointPool
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.endpoint_updates import EndpointUpdates
from loadbalancer.state.fleet import Fleet
from loadbalancer.state.request import Attempt, QueuePlace, Request, RequestTable
from loadbalancer.state.tenant_throttles import TenantThrottles
from loadbalancer.state.timer_queue import TimerQueue
from loadbalancer.units import NANOSECONDS_PER_SECOND

STALL_NS = NANOSECONDS_PER_SECOND // 50  # a timer so late: the proxy itself stood still meanwhile
OVERDUE_FACTOR, OVERDUE_DEVIATIONS = 1.3, 3  # an attempt is overdue after its expected time, times these
QUEUE_PART = 0.5  # of a request's time to spare may go by in the queue
OVER_SHARE_QUEUE_PART = 0.1  # the same for a tenant over its share


class Balancer:
    """One proxy's decisions. Feed it events with `handle`; carry out the actions it returns, in order."""

    def __init__(self, settings: Settings, seed: int, now_ns: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        objectives = [c.latency_objective_ns for c in settings.request_classes.values()] or [
            NANOSECONDS_PER_SECOND
        ]
        self.shortest_objective_ns = min(objectives)
        self.throttles = TenantThrottles(settings, self.rng, now_ns, self.shortest_objective_ns)
        self.rate_controller = self.throttles.rate_controller
        self.latency_model = LatencyModel()
        self.concurrency_limit = limit = ConcurrencyLimit(self.latency_model)
        # Until something is seen to finish, as long as the slowest class is expected to take.
        self.latency_model.service_interval_ns = max(objectives) / 8
        self.timers = TimerQueue[Timer]()
        self.fleet = Fleet(settings)
        probes_load = probing_is_cheap(settings)
        live_weights = LiveWeights(settings)
        self.endpoint_updates = EndpointUpdates(self.fleet, choose_subset, live_weights, probes_load)
        outliers = OutlierDetection(self.fleet, self.timers, self.rng, self.shortest_objective_ns)
        self.outlier_detection = outliers
        self.slow_start = SlowStart(settings, self.fleet, self.timers, self.latency_model)
        self.selection = Selection(self.endpoint_updates, self.slow_start, limit, self.rng)
        self.load_probing = LoadProbing(probes_load, self.selection, self.timers)
        self.attempt_results = AttemptResults(outliers, limit, self.rate_controller)
        self.requests = RequestTable()
        self._handlers: dict[type[messages.Event], Callable[[Any, int], None]] = {
            messages.RequestArrived: self._on_request,
            messages.AttemptEnded: self._on_attempt_ended,
            messages.TimerExpired: self._on_timer_expired,
            messages.HealthCheckEnded: self._on_health_check_ended,
            messages.ClientDisconnected: self._on_client_disconnected,
            messages.EndpointUpdate: self._on_endpoint_update,
            messages.ResponseStarted: self._on_response_started,
        }
        self.actions: list[messages.Action] = []
        self.feedback_ns = now_ns
        self.discovery_retry = DiscoveryRetry(settings, self.rng)
        if not settings.discovery_pushes:
            self.timers.schedule(now_ns + self.discovery_retry.first_delay_ns(), PollDiscovery())

    def handle(self, now_ns: int, events: Iterable[messages.Event]) -> list[messages.Action]:
        """Take what has happened since the last call, in order; return what is to be done."""
        self.actions = []
        self.throttles.now_ns = now_ns
        timers = self.timers
        if now_ns - timers.first_due_ns > STALL_NS:
            self.attempt_results.exclude_stalled(
                self.requests.values(), self.fleet.endpoints.values(), now_ns
            )
        for event in events:
            handler = self._handlers.get(type(event))
            if handler is not None:  # no decision depends on gossip
                handler(event, now_ns)
        while timers.first_due_ns <= now_ns:
            self._on_timer(timers.pop(), now_ns)
        for pool in self.fleet.pools.values():
            self._serve_queue(pool, now_ns)
        if now_ns - self.feedback_ns >= FEEDBACK_NS:
            self._feedback(now_ns)
        wake_up = timers.next_wake_up(now_ns)
        if wake_up is not None:
            self.actions.append(wake_up)
        return self.actions

    def _on_timer_expired(self, event: messages.TimerExpired, _now: int) -> None:
        self.timers.on_wake_up(event.name)

    def _on_health_check_ended(self, event: messages.HealthCheckEnded, now_ns: int) -> None:
        state = self.fleet.endpoints.get(event.endpoint_id)
        if state is not None:
            self.actions += self.load_probing.record_result(state, event, now_ns)

    def _on_client_disconnected(self, event: messages.ClientDisconnected, _now: int) -> None:
        if event.request_id in self.requests:
            self._finish(self.requests[event.request_id])

    def _on_response_started(self, event: messages.ResponseStarted, _now: int) -> None:
        if event.request_id in self.requests:
            self.requests[event.request_id].streaming = True

    def _on_timer(self, timer: Timer, now_ns: int) -> None:
        match timer:  # nothing for ServeQueue: the queues are served after each batch
            case QueueDeadline():
                self._on_give_up(timer.request)
            case AttemptOverdue():
                self._on_overdue(timer.request, timer.request.attempts[timer.attempt_number], now_ns)
            case TokenDue():
                timer.throttle.wake_scheduled = False
                self._release_buffered(timer.throttle, now_ns)
            case PollDiscovery():
                if self.discovery_retry.start_call(now_ns):
                    self.actions.append(messages.WatchEndpoints(True))

    def _on_request(self, event: messages.RequestArrived, now_ns: int) -> None:
        if event.request_id in self.requests:
            return  # an id is never reused: the first one stands
        throttle = self.throttles[event.tenant]
        request = self._new_request(event, throttle, now_ns)
        self.requests[request.id] = request
        # Whatever comes, a request that waits is looked at then.
        self.timers.schedule(request.queue_deadline_ns, QueueDeadline(request))
        self.rate_controller.on_arrival(now_ns)
        if event.is_retry:  # marked retries take spare tokens only: they must not starve fresh work
            admission = Admission.FORWARD if throttle.take_retry_token(now_ns) else Admission.REJECT
        else:
            admission = throttle.admit(request, now_ns)
        if admission is Admission.REJECT:
            self._reject(request)
        elif admission is Admission.BUFFER:
            request.place = QueuePlace.THROTTLE_BUFFER
            self._release_buffered(throttle, now_ns)
        else:
            self._enqueue(request, now_ns)

    def _new_request(self, event: messages.RequestArrived, throttle: Throttle, now_ns: int) -> Request:
        request_class = self.settings.request_classes.get(event.class_name)
        if request_class is None:
            request_class = RequestClass(event.class_name, Idempotency.NON_IDEMPOTENT)
        pool, deadline_ns, hint_ns = self.fleet.pool(request_class), event.deadline_ns, event.cost_hint_ns
        objective_ns = min(now_ns + request_class.latency_objective_ns, deadline_ns)
        request = Request(event.request_id, request_class, pool, throttle, deadline_ns, objective_ns, hint_ns)
        needed_ns = self.latency_model.expected_ns(request) * (1 + self.latency_model.deviation)
        latest_start_ns = objective_ns - int(needed_ns)
        request.queue_deadline_ns = max(latest_start_ns, now_ns + (deadline_ns - now_ns) // 4)
        return request

    def _release_buffered(self, throttle: Throttle, now_ns: int) -> None:
        for request in throttle.release(now_ns):
            self._enqueue(request, now_ns)
        if throttle.buffer and not throttle.wake_scheduled:
            throttle.wake_scheduled = True
            wait_ns = int((1 - throttle.tick_credit) / throttle.rate * NANOSECONDS_PER_SECOND) + 1
            self.timers.schedule(now_ns + wait_ns, TokenDue(throttle))

    def _enqueue(self, request: Request, now_ns: int) -> None:
        """Let a request that has its token wait for an endpoint, unless the queue is too long already."""
        request.place = QueuePlace.NOT_WAITING
        remaining_ns = request.objective_ns - now_ns
        late = 2 * remaining_ns < request.request_class.latency_objective_ns
        request.delayed_by_throttle = request.stalled or late
        # Traffic over its share is rejected first.
        part = OVER_SHARE_QUEUE_PART if request.throttle.over_share else QUEUE_PART
        # A class with much time must not make the queue too long for those with little.
        spare_ns = min(request.queue_deadline_ns - now_ns, self.shortest_objective_ns)
        pool = request.pool
        served = self.rate_controller.success_rate * spare_ns * part
        if pool.blocked_since_ns and len(pool.queue) * NANOSECONDS_PER_SECOND > served:
            self._reject_for_capacity(request)
            return
        pool.queue.append(request)
        self._start_waiting(request, now_ns)

    def _start_waiting(self, request: Request, now_ns: int) -> None:
        request.place = QueuePlace.POOL_QUEUE
        if self.load_probing.enabled:
            self.actions += self.load_probing.start(request, now_ns)

    def _serve_queue(self, pool: EndpointPool, now_ns: int) -> None:
        """Serve the queue in order while an endpoint has capacity."""
        while pool.queue:
            request = pool.queue[0]
            if request.probed_endpoints and self.load_probing.is_waiting(request, now_ns):
                break
            candidates = self.selection.retry_candidates(request, now_ns) if request.attempts else None
            probed = self.load_probing.take_answered(request, now_ns) if request.probed_endpoints else None
            state = self.selection.pick(pool, now_ns, probed or candidates)
            if state is None and candidates is None:
                pool.blocked_since_ns = pool.blocked_since_ns or now_ns
                if not self.concurrency_limit.increase(now_ns):
                    break
            elif state is None or self.selection.would_answer_late(request, state, now_ns):
                # All that it may go to are busy, or would answer late: it must not stop the queue.
                self._reject_for_capacity(request)
            else:
                pool.queue.popleft()
                request.place = QueuePlace.NOT_WAITING
                if may_forward(request, state.endpoint, now_ns, self.settings.limits):
                    self._forward(request, state, now_ns)
                else:
                    self._reject(request)
        if not pool.queue:
            pool.blocked_since_ns = 0

    def _forward(self, request: Request, state: EndpointState, now_ns: int) -> None:
        latency, request_class = self.latency_model, request.request_class
        self.concurrency_limit.record_occupancy(state, now_ns)
        state.add_attempt()
        expected_ns = max(1.0, latency.expected_ns(request) * state.relative_latency)
        request.attempts.append(Attempt(state, now_ns, expected_ns, max(1.0, estimated_load(state, now_ns))))
        if self.slow_start.is_warming_up(state, now_ns):
            # The budget is in requests of mean cost: a costly one takes the place of several.
            self.slow_start.pace(state, now_ns, max(1.0, latency.expected_ns(request) / latency.mean_ns))
        timeout_ns = 0
        if not request_class.late_weight_factor and not request_class.stream:
            # A late answer is worth nothing: the attempt ends then, and leaves its place to another.
            timeout_ns = max(1, request.objective_ns - now_ns)
        self.actions.append(messages.Forward(request.id, state.id, timeout_ns))
        overdue_ns = now_ns + int(expected_ns * (OVERDUE_FACTOR + OVERDUE_DEVIATIONS * latency.deviation))
        self.timers.schedule(overdue_ns, AttemptOverdue(request, len(request.attempts) - 1))

    def _on_attempt_ended(self, event: messages.AttemptEnded, now_ns: int) -> None:
        attempt = self.requests.attempt_that_ended(event)
        if attempt is None:
            return  # nothing is counted
        request, state = self.requests[event.request_id], attempt.endpoint_state
        attempt.result = event.result
        attempt.may_have_run = may_have_run(event.result, self.settings.rules)
        self.concurrency_limit.record_occupancy(state, now_ns)
        if event.load_report and "inflight" in event.load_report:
            state.record_load(event.load_report["inflight"] + 1, now_ns)  # this one leaves it below
        self.attempt_results.record(request, attempt, event, now_ns)
        state.remove_attempt(attempt.overdue)
        if event.request_complete:
            self._finish(request)
        elif not request.finished and not request.attempts_in_flight and not request.streaming:
            self._retry_or_reject(request, now_ns)
        self.requests.drop_if_over(request)

    def _retry_or_reject(self, request: Request, now_ns: int) -> None:
        """Nothing is in flight and nothing was served: another attempt, or the final answer."""
        candidates = self.selection.retry_candidates(request, now_ns) or request.pool.endpoints[:1]
        limits = self.settings.limits
        if now_ns < request.queue_deadline_ns and any(
            may_forward(request, s.endpoint, now_ns, limits) for s in candidates
        ):
            request.pool.queue.appendleft(request)
            self._start_waiting(request, now_ns)
        else:
            self._reject(request)

    def _on_overdue(self, request: Request, attempt: Attempt, now_ns: int) -> None:
        """Deal with an attempt that is out longer than its endpoint should take: it may stand still."""
        if attempt.result is not None or request.stalled:  # it may have been answered long ago, unheard
            return
        self.attempt_results.record_overdue(attempt, now_ns)
        limits = self.settings.limits
        # Where a cancel stops nothing, the first attempt runs on and a hedged request only adds to the load.
        if (
            request.pool.queue
            or now_ns + attempt.expected_ns > request.objective_ns
            or not limits.cancellation
        ):
            return
        candidates = self.selection.retry_candidates(request, now_ns)
        other = self.selection.pick(request.pool, now_ns, candidates)
        if other is None or not may_forward(request, other.endpoint, now_ns, limits):
            return
        if request.throttle.take_retry_token(now_ns):
            self._forward(request, other, now_ns)

    def _on_give_up(self, request: Request) -> None:
        if request.place is QueuePlace.POOL_QUEUE:
            self._reject_for_capacity(request)
        elif request.place is QueuePlace.THROTTLE_BUFFER:
            self._reject(request)

    def _reject_for_capacity(self, request: Request) -> None:
        """Reject a request for which no endpoint has capacity in time."""
        if not request.delayed_by_throttle:
            self.rate_controller.expired_in_queue += 1
        self._reject(request)

    def _reject(self, request: Request) -> None:
        """Give the final answer of a request that is not served: rejected if that is true, else failed."""
        limits = self.settings.limits
        if may_reject(request):
            retry_after_ns = self.rng.uniform(0.25, 1.0) * min(
                limits.max_retry_after_ns, NANOSECONDS_PER_SECOND
            )
            self.actions.append(messages.Reject(request.id, int(retry_after_ns) if limits.retry_after else 0))
        else:
            self.actions.append(messages.Fail(request.id))
        self._finish(request)

    def _finish(self, request: Request) -> None:
        request.leave_queue()
        request.finished = True
        if self.settings.limits.cancellation:
            for number, attempt in enumerate(request.attempts):
                if attempt.result is None:
                    self.actions.append(messages.CancelAttempt(request.id, number))
        self.requests.drop_if_over(request)

    def _on_endpoint_update(self, event: messages.EndpointUpdate, now_ns: int) -> None:
        if event.kind in (messages.EndpointUpdateKind.FAILED, messages.EndpointUpdateKind.WATCH_TIMED_OUT):
            delay_ns = self.discovery_retry.delay_after(event.kind, now_ns)
            self.timers.schedule(now_ns + delay_ns, PollDiscovery())
            return
        self.discovery_retry.on_list(event.kind)
        for state in self.endpoint_updates.apply(event, now_ns):
            if self.slow_start.is_warming_up(state, now_ns):
                # All proxies learn of a start at once: their first sends must not come at once too.
                self.slow_start.pace(state, now_ns, self.rng.random())

    def _feedback(self, now_ns: int) -> None:
        """Adjust the rate and the limits to what the last interval has shown."""
        self.feedback_ns = now_ns
        fleet, rate = self.fleet, self.rate_controller
        self.concurrency_limit.decay()
        fleet.forget_unused()
        self.outlier_detection.decay()
        for pool in fleet.pools.values():  # one beyond the subset while the queue waits; more cost
            extra = 1 if pool.blocked_since_ns else 0
            pool.draw_width = min(len(pool.endpoints), pool.subset_size + extra)
        rate.adjust(now_ns, fleet.default_pool.draw_width, is_loaded(fleet.endpoints.values(), now_ns))
        # What was rejected is no load that endpoints can carry.
        self.slow_start.record_throughput(min(rate.attempt_rate, rate.success_rate))
        for throttle in self.throttles.values():
            self._release_buffered(throttle, now_ns)
        self.throttles.forget_idle(now_ns)
