"""Handling of a request from its arrival to its pool's queue (types: loadbalancer/messages.py)."""

from dataclasses import dataclass

from loadbalancer.messages import RequestArrived
from loadbalancer.policy.latency_model import LatencyModel
from loadbalancer.policy.queue_admission import (
    has_queue_capacity,
    queue_wait_max_ns,
    was_delayed_by_throttle,
)
from loadbalancer.policy.queue_deadline import queue_deadline_ns
from loadbalancer.policy.rate_control import RateController
from loadbalancer.policy.request_lifecycle import RequestLifecycle
from loadbalancer.policy.request_queue import RequestQueue
from loadbalancer.policy.tenant_throttles import TenantThrottles
from loadbalancer.policy.throttle import Admission, Throttle, take_low_priority_token
from loadbalancer.policy.timers import QueueDeadline, Timer, TokenDue
from loadbalancer.settings import Idempotency, RequestClass, Settings
from loadbalancer.state.fleet import Fleet
from loadbalancer.state.request import Queue, Request
from loadbalancer.state.timer_queue import TimerQueue


@dataclass(slots=True, eq=False)
class RequestAdmission:
    """Admits, buffers or rejects requests, as decided by the tenant's throttle and the pool's queue."""

    settings: Settings
    shortest_objective_ns: int  # shortest latency objective of all request classes
    fleet: Fleet
    timers: TimerQueue[Timer]
    throttles: TenantThrottles
    rate_controller: RateController
    latency_model: LatencyModel
    lifecycle: RequestLifecycle

    def on_request_arrived(self, event: RequestArrived, now_ns: int) -> None:
        """Admit, buffer or reject a new request; a request whose id is in use is ignored."""
        if event.request_id in self.lifecycle.requests:
            return
        throttle = self.throttles.get_or_create(event.tenant, now_ns)
        request = self._new_request(event, throttle, now_ns)
        self.lifecycle.requests.add(request)
        self.timers.schedule(request.queue_deadline_ns, QueueDeadline(request))
        self.rate_controller.record_arrival(now_ns)
        admission = self._admit(request, throttle, now_ns=now_ns, is_retry=event.is_retry)
        if admission is Admission.ADMIT:
            self._enqueue(request, throttle, now_ns)
        elif admission is Admission.BUFFER:
            request.join_queue(Queue.THROTTLE_BUFFER)
            self.release_buffered(throttle, now_ns)
        else:
            self.lifecycle.reject(request)

    def _new_request(self, event: RequestArrived, throttle: Throttle, now_ns: int) -> Request:
        """Return the record of a new request; an unknown request class is taken as not idempotent."""
        request_class = self.settings.request_classes.get(event.class_name)
        if request_class is None:
            request_class = RequestClass(event.class_name, Idempotency.NON_IDEMPOTENT)
        request = Request(
            id=event.request_id,
            request_class=request_class,
            pool=self.fleet.get_or_create_pool(request_class),
            tenant=throttle.tenant,
            token_bank=throttle.bank,
            deadline_ns=event.deadline_ns,
            objective_ns=min(now_ns + request_class.latency_objective_ns, event.deadline_ns),
            cost_hint_ns=event.cost_hint_ns,
        )
        request.queue_deadline_ns = queue_deadline_ns(request, self.latency_model, now_ns)
        return request

    def _admit(self, request: Request, throttle: Throttle, now_ns: int, *, is_retry: bool) -> Admission:
        """Take a token from the throttle if possible; return what happens to the request.

        A client's retry never gets a token that is reserved for new requests, and is never buffered.
        """
        if not is_retry:
            return throttle.admit(request, now_ns)
        has_token = take_low_priority_token(throttle.bank, now_ns)
        return Admission.ADMIT if has_token else Admission.REJECT

    def on_token_due(self, throttle: Throttle, now_ns: int) -> None:
        """Handle the timer for a throttle's next token: queue the buffered requests that have one."""
        throttle.on_token_due()
        self.release_buffered(throttle, now_ns)

    def release_buffered(self, throttle: Throttle, now_ns: int) -> None:
        """Queue the buffered requests for which tokens have accrued, and set a timer for the next token."""
        for request in throttle.release(now_ns):
            self._enqueue(request, throttle, now_ns)
        token_due_ns = throttle.schedule_wake_up_ns(now_ns)
        if token_due_ns is not None:
            self.timers.schedule(token_due_ns, TokenDue(throttle))

    def _enqueue(self, request: Request, throttle: Throttle, now_ns: int) -> None:
        """Queue a request that has its token, or reject it if its queue is blocked and too long."""
        request.leave_queue()
        request.record_throttle_delay(delayed=was_delayed_by_throttle(request, now_ns))
        queue = self.lifecycle.queues[request.pool]
        if queue.blocked_since_ns and not self._queue_has_capacity(queue, request, throttle, now_ns=now_ns):
            self.lifecycle.reject_for_capacity(request)
            return
        queue.append(request)
        self.lifecycle.probe_loads(request, now_ns)

    def _queue_has_capacity(
        self, queue: RequestQueue, request: Request, throttle: Throttle, now_ns: int
    ) -> bool:
        """Return whether a blocked queue accepts one more request."""
        return has_queue_capacity(
            queue_length=len(queue.waiting),
            wait_max_ns=queue_wait_max_ns(request, self.shortest_objective_ns, now_ns),
            success_rate=self.rate_controller.success_rate,
            exceeds_fair_share=throttle.exceeds_fair_share,
        )
