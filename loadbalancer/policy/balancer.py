"""Dispatch of events and timers to the decisions (interface types: loadbalancer/messages.py)."""

import random
from collections.abc import Callable, Iterable
from typing import Any

from loadbalancer import messages
from loadbalancer.policy.attempt_results import AttemptResults
from loadbalancer.policy.concurrency_limit import ConcurrencyLimit
from loadbalancer.policy.discovery_retry import DiscoveryRetry
from loadbalancer.policy.draw_width import draw_width
from loadbalancer.policy.fleet_updates import FleetUpdater
from loadbalancer.policy.forwarding import Forwarding
from loadbalancer.policy.latency_model import LatencyModel
from loadbalancer.policy.live_weights import LiveWeights
from loadbalancer.policy.load_estimate import is_loaded
from loadbalancer.policy.load_probing import LoadProbing, is_probing_enabled
from loadbalancer.policy.outlier_detection import OutlierDetection
from loadbalancer.policy.rate_control import FEEDBACK_INTERVAL_NS, RateController
from loadbalancer.policy.request_admission import RequestAdmission
from loadbalancer.policy.request_lifecycle import RequestLifecycle
from loadbalancer.policy.request_queue import RequestQueue
from loadbalancer.policy.selection import Selection
from loadbalancer.policy.slow_start import SlowStart
from loadbalancer.policy.subsetting import new_endpoint_table
from loadbalancer.policy.tenant_throttles import TenantThrottles, total_tenant_weight
from loadbalancer.policy.timers import AttemptOverdue, PollDiscovery, QueueDeadline, Timer, TokenDue
from loadbalancer.settings import Settings
from loadbalancer.state.fleet import Fleet
from loadbalancer.state.request import RequestTable
from loadbalancer.state.timer_queue import TimerQueue
from loadbalancer.units import NANOSECONDS_PER_MILLISECOND, NANOSECONDS_PER_SECOND

EVENT_LOOP_STALL_NS = 20 * NANOSECONDS_PER_MILLISECOND
DEFAULT_LATENCY_OBJECTIVE_NS = NANOSECONDS_PER_SECOND


class Balancer:
    """One proxy's decisions. Feed it events with `handle`; carry out the actions it returns, in order."""

    def __init__(self, settings: Settings, seed: int, now_ns: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        objectives = [c.latency_objective_ns for c in settings.request_classes.values()] or [
            DEFAULT_LATENCY_OBJECTIVE_NS
        ]
        shortest_objective_ns = min(objectives)
        self.timers = TimerQueue[Timer]()
        self.rate_controller = RateController(total_tenant_weight(settings), now_ns)
        self.throttles = TenantThrottles(settings, self.rate_controller, self.rng, shortest_objective_ns)
        self.latency_model = LatencyModel(slowest_objective_ns=max(objectives))
        self.concurrency_limit = ConcurrencyLimit(self.latency_model)
        self.fleet = Fleet(settings.request_classes, new_endpoint_table(settings))
        self.queues = {pool: RequestQueue(pool) for pool in self.fleet.pools.values()}
        probes_load = is_probing_enabled(settings)
        self.fleet_updater = FleetUpdater(
            settings, self.fleet, LiveWeights(settings), draws_from_reserve=probes_load
        )
        self.outlier_detection = OutlierDetection(self.fleet, self.timers, self.rng, shortest_objective_ns)
        self.slow_start = SlowStart(settings, self.fleet, self.timers, self.latency_model)
        self.selection = Selection(
            fleet_updater=self.fleet_updater,
            slow_start=self.slow_start,
            concurrency_limit=self.concurrency_limit,
            latency_model=self.latency_model,
            rng=self.rng,
        )
        self.load_probing = LoadProbing(probes_load, self.selection, self.timers)
        self.attempt_results = AttemptResults(
            outliers=self.outlier_detection,
            limit=self.concurrency_limit,
            rate=self.rate_controller,
            latency_model=self.latency_model,
        )
        self.actions: list[messages.Action] = []
        self.requests = RequestTable()
        self.request_lifecycle = RequestLifecycle(
            settings=settings,
            rng=self.rng,
            actions=self.actions,
            requests=self.requests,
            queues=self.queues,
            throttles=self.throttles,
            rate_controller=self.rate_controller,
            concurrency_limit=self.concurrency_limit,
            selection=self.selection,
            load_probing=self.load_probing,
            forwarding=Forwarding(self.concurrency_limit, self.latency_model, self.slow_start, self.timers),
            attempt_results=self.attempt_results,
        )
        self.request_admission = RequestAdmission(
            settings=settings,
            shortest_objective_ns=shortest_objective_ns,
            fleet=self.fleet,
            timers=self.timers,
            throttles=self.throttles,
            rate_controller=self.rate_controller,
            latency_model=self.latency_model,
            lifecycle=self.request_lifecycle,
        )
        self._handlers: dict[type[messages.Event], Callable[[Any, int], None]] = {
            messages.RequestArrived: self.request_admission.on_request_arrived,
            messages.AttemptEnded: self.request_lifecycle.on_attempt_ended,
            messages.ResponseStarted: self.request_lifecycle.on_response_started,
            messages.ClientDisconnected: self.request_lifecycle.on_client_disconnected,
            messages.TimerExpired: self._on_timer_expired,
            messages.HealthCheckEnded: self._on_health_check_ended,
            messages.EndpointUpdate: self._on_endpoint_update,
        }
        self.feedback_ns = now_ns
        self.discovery_retry = DiscoveryRetry(settings, self.rng)
        if not settings.discovery_pushes:
            self.timers.schedule(now_ns + self.discovery_retry.first_delay_ns(), PollDiscovery())

    def handle(self, now_ns: int, events: Iterable[messages.Event]) -> list[messages.Action]:
        """Apply what has happened since the last call, in order; return what is to be done."""
        self.actions.clear()
        timers = self.timers
        if now_ns - timers.first_due_ns > EVENT_LOOP_STALL_NS:
            self.attempt_results.exclude_stalled_samples(
                self.requests.values(), self.fleet.endpoints.values(), now_ns
            )
        for event in events:
            handler = self._handlers.get(type(event))
            if handler is not None:  # no decision depends on gossip
                handler(event, now_ns)
        while timers.first_due_ns <= now_ns:
            self._on_timer(timers.pop(), now_ns)
        self.request_lifecycle.serve_queues(now_ns)
        if now_ns - self.feedback_ns >= FEEDBACK_INTERVAL_NS:
            self._feedback(now_ns)
        wake_up = timers.next_wake_up(now_ns)
        if wake_up is not None:
            self.actions.append(wake_up)
        return self.actions.copy()

    def _on_timer_expired(self, event: messages.TimerExpired, _now_ns: int) -> None:
        self.timers.on_wake_up(event.name)

    def _on_health_check_ended(self, event: messages.HealthCheckEnded, now_ns: int) -> None:
        state = self.fleet.endpoints.get(event.endpoint_id)
        if state is not None:
            self.actions.extend(self.load_probing.record_result(state, event, now_ns))

    def _on_endpoint_update(self, event: messages.EndpointUpdate, now_ns: int) -> None:
        if event.kind in (messages.EndpointUpdateKind.FAILED, messages.EndpointUpdateKind.WATCH_TIMED_OUT):
            delay_ns = self.discovery_retry.delay_after(event.kind, now_ns)
            self.timers.schedule(now_ns + delay_ns, PollDiscovery())
            return
        self.discovery_retry.record_list(event.kind)
        for state in self.fleet_updater.apply(event, now_ns):
            if self.slow_start.is_warming_up(state, now_ns):
                # All proxies are notified of a start together: their first attempts must not come together.
                self.slow_start.apply_pacing(state, now_ns, self.rng.random())

    def _on_timer(self, timer: Timer, now_ns: int) -> None:
        match timer:  # ServeQueue needs no handler: the queues are served after each batch
            case QueueDeadline():
                self.request_lifecycle.on_queue_deadline(timer.request)
            case AttemptOverdue():
                attempt = timer.request.attempts[timer.attempt_number]
                self.request_lifecycle.on_attempt_overdue(timer.request, attempt, now_ns)
            case TokenDue():
                self.request_admission.on_token_due(timer.throttle, now_ns)
            case PollDiscovery():
                if self.discovery_retry.start_call(now_ns):
                    self.actions.append(messages.WatchEndpoints(True))

    def _feedback(self, now_ns: int) -> None:
        """Adjust rate, limits and draw widths to the results of the last feedback interval."""
        self.feedback_ns = now_ns
        fleet = self.fleet
        rate_controller = self.rate_controller
        self.concurrency_limit.decay()
        self.fleet_updater.discard_unused_states()
        self.outlier_detection.decay()
        for pool, queue in self.queues.items():
            pool.set_draw_width(draw_width(pool, queue_is_blocked=queue.blocked_since_ns > 0))
        rate_controller.adjust(
            throttles=self.throttles.values(),
            now_ns=now_ns,
            draw_width=fleet.default_pool.draw_width,
            is_loaded=is_loaded(fleet.endpoints.values(), now_ns),
        )
        # Endpoints can't sustain the rate of attempts that they reject or finish late.
        self.slow_start.record_throughput(min(rate_controller.attempt_rate, rate_controller.success_rate))
        for throttle in self.throttles.values():
            self.request_admission.release_buffered(throttle, now_ns)
        self.throttles.drop_idle(now_ns)
