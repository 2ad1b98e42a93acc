"""The policy's entry point: passes events and timers to its parts (types: loadbalancer/messages.py)."""

import random
from collections.abc import Callable, Iterable
from typing import Any

from loadbalancer import messages
from loadbalancer.policy.attempt_results import AttemptResults, is_event_loop_stall
from loadbalancer.policy.concurrency_limit import ConcurrencyLimit
from loadbalancer.policy.discovery_retry import DiscoveryRetry
from loadbalancer.policy.feedback import Feedback
from loadbalancer.policy.fleet_updates import FleetUpdater
from loadbalancer.policy.forwarding import Forwarding
from loadbalancer.policy.latency_model import LatencyModel
from loadbalancer.policy.latency_objectives import latency_objectives
from loadbalancer.policy.live_weights import LiveWeights
from loadbalancer.policy.load_probing import LoadProbing, is_probing_enabled
from loadbalancer.policy.outlier_detection import OutlierDetection
from loadbalancer.policy.rate_control import FEEDBACK_INTERVAL_NS, RateController
from loadbalancer.policy.request_admission import RequestAdmission
from loadbalancer.policy.request_lifecycle import RequestLifecycle
from loadbalancer.policy.request_queue import RequestQueue
from loadbalancer.policy.retry_candidates import RetryCandidates
from loadbalancer.policy.selection import Selection
from loadbalancer.policy.slow_start import SlowStart
from loadbalancer.policy.subsetting import new_endpoint_table
from loadbalancer.policy.tenant_throttles import TenantThrottles, total_tenant_weight
from loadbalancer.policy.timers import AttemptOverdue, PollDiscovery, QueueDeadline, Timer, TokenDue
from loadbalancer.settings import Settings
from loadbalancer.state.fleet import Fleet
from loadbalancer.state.request import RequestTable
from loadbalancer.state.timer_queue import TimerQueue


class Balancer:
    """Decides for one proxy. Pass events to `handle`, and carry out the returned actions in order."""

    def __init__(self, settings: Settings, seed: int, now_ns: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        objectives = latency_objectives(settings)
        self.shortest_objective_ns = objectives.shortest_ns
        probing_enabled = is_probing_enabled(settings)
        self.timers = TimerQueue[Timer]()
        self.rate_controller = RateController(total_tenant_weight(settings), now_ns)
        self.throttles = TenantThrottles(
            settings=settings,
            rate_controller=self.rate_controller,
            rng=self.rng,
            shortest_objective_ns=self.shortest_objective_ns,
        )
        self.latency_model = LatencyModel(longest_objective_ns=objectives.longest_ns)
        self.concurrency_limit = ConcurrencyLimit(self.latency_model)
        self.fleet = Fleet(settings.request_classes, new_endpoint_table(settings))
        self.fleet_updater = FleetUpdater(
            settings, self.fleet, LiveWeights(settings), draws_from_reserve=probing_enabled
        )
        self.outlier_detection = OutlierDetection(
            fleet=self.fleet,
            timers=self.timers,
            rng=self.rng,
            shortest_objective_ns=self.shortest_objective_ns,
        )
        self.slow_start = SlowStart(
            settings=settings, fleet=self.fleet, timers=self.timers, latency_model=self.latency_model
        )
        self.selection = Selection(
            slow_start=self.slow_start,
            concurrency_limit=self.concurrency_limit,
            latency_model=self.latency_model,
            rng=self.rng,
        )
        self.load_probing = LoadProbing(self.selection, self.timers, enabled=probing_enabled)
        self.attempt_results = AttemptResults(
            outlier_detection=self.outlier_detection,
            concurrency_limit=self.concurrency_limit,
            rate_controller=self.rate_controller,
            latency_model=self.latency_model,
        )
        self.actions: list[messages.Action] = []
        self.requests = RequestTable()
        self.queues = {pool: RequestQueue(pool) for pool in self.fleet.pools.values()}
        self.request_lifecycle = self._create_request_lifecycle()
        self.request_admission = self._create_request_admission()
        self._handlers = self._create_event_handlers()
        self.feedback = self._create_feedback(now_ns)
        self.discovery_retry = DiscoveryRetry(settings, self.timers, self.rng)
        self.discovery_retry.schedule_first_poll(now_ns)

    def _create_request_lifecycle(self) -> RequestLifecycle:
        return RequestLifecycle(
            settings=self.settings,
            rng=self.rng,
            actions=self.actions,
            requests=self.requests,
            queues=self.queues,
            throttles=self.throttles,
            rate_controller=self.rate_controller,
            concurrency_limit=self.concurrency_limit,
            selection=self.selection,
            retry_candidates=RetryCandidates(self.fleet_updater, self.rng),
            load_probing=self.load_probing,
            forwarding=Forwarding(
                concurrency_limit=self.concurrency_limit,
                latency_model=self.latency_model,
                slow_start=self.slow_start,
                timers=self.timers,
            ),
            attempt_results=self.attempt_results,
        )

    def _create_request_admission(self) -> RequestAdmission:
        return RequestAdmission(
            settings=self.settings,
            shortest_objective_ns=self.shortest_objective_ns,
            fleet=self.fleet,
            timers=self.timers,
            throttles=self.throttles,
            rate_controller=self.rate_controller,
            latency_model=self.latency_model,
            lifecycle=self.request_lifecycle,
        )

    def _create_feedback(self, now_ns: int) -> Feedback:
        return Feedback(
            due_ns=now_ns + FEEDBACK_INTERVAL_NS,
            fleet=self.fleet,
            fleet_updater=self.fleet_updater,
            queues=self.queues,
            throttles=self.throttles,
            rate_controller=self.rate_controller,
            concurrency_limit=self.concurrency_limit,
            outlier_detection=self.outlier_detection,
            slow_start=self.slow_start,
            request_admission=self.request_admission,
        )

    def _create_event_handlers(self) -> dict[type[messages.Event], Callable[[Any, int], None]]:
        return {
            messages.RequestArrived: self.request_admission.on_request_arrived,
            messages.AttemptEnded: self.request_lifecycle.on_attempt_ended,
            messages.ResponseStarted: self.request_lifecycle.on_response_started,
            messages.ClientDisconnected: self.request_lifecycle.on_client_disconnected,
            messages.TimerExpired: self._on_timer_expired,
            messages.HealthCheckEnded: self._on_health_check_ended,
            messages.EndpointUpdate: self._on_endpoint_update,
        }

    def handle(self, now_ns: int, events: Iterable[messages.Event]) -> list[messages.Action]:
        """Process the events since the last call, in order; return the resulting actions."""
        self.actions.clear()
        timers = self.timers
        if is_event_loop_stall(now_ns - timers.first_due_ns):
            self.attempt_results.exclude_stalled_samples(
                self.requests.values(), self.fleet.endpoints.values(), now_ns
            )
        for event in events:
            handler = self._handlers.get(type(event))
            if handler is not None:  # GossipReceived has none: it is ignored
                handler(event, now_ns)
        while timers.first_due_ns <= now_ns:
            self._on_timer(timers.pop(), now_ns)
        self.request_lifecycle.serve_queues(now_ns)
        if now_ns >= self.feedback.due_ns:
            self.feedback.adjust(now_ns)
        wake_up = timers.set_wake_up(now_ns)
        if wake_up is not None:
            self.actions.append(wake_up)
        return self.actions.copy()

    def _on_timer_expired(self, event: messages.TimerExpired, _now_ns: int) -> None:
        self.timers.on_wake_up(event.name)

    def _on_health_check_ended(self, event: messages.HealthCheckEnded, now_ns: int) -> None:
        endpoint_state = self.fleet.endpoints.get(event.endpoint_id)
        if endpoint_state is not None:
            self.actions.extend(self.load_probing.record_result(endpoint_state, event, now_ns))

    def _on_endpoint_update(self, event: messages.EndpointUpdate, now_ns: int) -> None:
        if event.kind in (messages.EndpointUpdateKind.FAILED, messages.EndpointUpdateKind.WATCH_TIMED_OUT):
            self.discovery_retry.schedule_poll_after(event.kind, now_ns)
            return
        self.discovery_retry.record_list(event.kind)
        started = self.fleet_updater.apply(event, now_ns)
        self.slow_start.spread_first_attempts(started, now_ns, self.rng)

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
                    self.actions.append(messages.WatchEndpoints(watch=True))
