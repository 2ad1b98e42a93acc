"""Handling of a request from its pool's queue to its final response (types: loadbalancer/messages.py)."""

import random
from dataclasses import dataclass

from loadbalancer.messages import Action, AttemptEnded, CancelAttempt, ClientDisconnected, ResponseStarted
from loadbalancer.policy.attempt_results import AttemptResults
from loadbalancer.policy.concurrency_limit import ConcurrencyLimit
from loadbalancer.policy.final_response import final_response
from loadbalancer.policy.forwarding import Forwarding
from loadbalancer.policy.hedging import should_hedge
from loadbalancer.policy.load_probing import LoadProbing
from loadbalancer.policy.rate_control import RateController
from loadbalancer.policy.request_queue import RequestQueue
from loadbalancer.policy.retry_candidates import RetryCandidates
from loadbalancer.policy.retry_eligibility import may_forward, may_have_run, should_retry
from loadbalancer.policy.selection import Selection
from loadbalancer.policy.tenant_throttles import TenantThrottles
from loadbalancer.policy.throttle import take_low_priority_token
from loadbalancer.settings import Settings
from loadbalancer.state.endpoint_pool import EndpointPool
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.request import Attempt, Queue, Request, RequestTable


@dataclass(slots=True, eq=False)
class RequestLifecycle:
    """Forwards, retries and hedges queued requests, and produces the final response of each.

    The resulting actions are appended to `actions`.
    """

    settings: Settings
    rng: random.Random
    actions: list[Action]
    requests: RequestTable
    queues: dict[EndpointPool, RequestQueue]
    throttles: TenantThrottles
    rate_controller: RateController
    concurrency_limit: ConcurrencyLimit
    selection: Selection
    retry_candidates: RetryCandidates
    load_probing: LoadProbing
    forwarding: Forwarding
    attempt_results: AttemptResults

    def on_client_disconnected(self, event: ClientDisconnected, _now_ns: int) -> None:
        """End a request whose client has disconnected; it needs no response."""
        request = self.requests.get(event.request_id)
        if request is not None:
            self._finish(request)

    def on_response_started(self, event: ResponseStarted, _now_ns: int) -> None:
        """Record that a streamed response has begun; the request is not forwarded again."""
        request = self.requests.get(event.request_id)
        if request is not None:
            request.start_streaming()

    def probe_loads(self, request: Request, now_ns: int) -> None:
        """Start load probing for a request that was just queued, if load probing is enabled."""
        if self.load_probing.enabled:
            self.actions.extend(self.load_probing.start(request, now_ns))

    def serve_queues(self, now_ns: int) -> None:
        """Forward or reject queued requests of all pools, as far as endpoints are available."""
        for queue in self.queues.values():
            if queue.waiting or queue.blocked_since_ns:
                self._serve_queue(queue, now_ns)

    def _serve_queue(self, queue: RequestQueue, now_ns: int) -> None:
        """Forward or reject the requests of a queue, in order, while an endpoint is available."""
        while queue.waiting:
            request = queue.waiting[0]
            if request.probed_endpoints and self.load_probing.is_waiting(request, now_ns):
                break
            candidates = self.retry_candidates.find(request, now_ns) if request.attempts else None
            probed = self.load_probing.end(request, now_ns) if request.probed_endpoints else None
            endpoint_state = self.selection.pick(queue.pool, now_ns, probed or candidates)
            if endpoint_state is None and candidates is None:
                queue.mark_blocked(now_ns)
                if not self.concurrency_limit.increase(now_ns):
                    break
            elif endpoint_state is None or self.selection.would_respond_late(request, endpoint_state, now_ns):
                # A retry without an available candidate must not block the requests behind it, which may use
                # other endpoints. A response after the latency objective is not worth its load.
                self.reject_for_capacity(request)
            else:
                queue.remove(request)
                self._forward_or_reject(request, endpoint_state, now_ns)
        if not queue.waiting:
            queue.mark_unblocked()

    def _forward_or_reject(self, request: Request, endpoint_state: EndpointState, now_ns: int) -> None:
        """Start an attempt at the selected endpoint, or reject the request if it may not be forwarded."""
        if may_forward(request, endpoint_state.endpoint, now_ns=now_ns, limits=self.settings.limits):
            self.actions.append(self.forwarding.start_attempt(request, endpoint_state, now_ns))
        else:
            self.reject(request)

    def on_attempt_ended(self, event: AttemptEnded, now_ns: int) -> None:
        """Record the end of an attempt, then finish, retry or reject its request."""
        request = self.requests.get(event.request_id)
        if request is None:
            return
        attempt = request.attempt_in_flight(event.attempt, event.endpoint_id)
        if attempt is None:
            return
        attempt.end(
            event.result,
            may_have_run=event.was_written and may_have_run(event.result, self.settings.rules),
            counts_towards_max_attempts=event.counts_as_attempt,
        )
        self.attempt_results.record(request=request, attempt=attempt, event=event, now_ns=now_ns)
        if event.request_complete:
            self._finish(request)
        elif request.finished:
            self.requests.try_remove(request)
        elif not request.attempts_in_flight and not request.streaming:
            self._retry_or_reject(request, now_ns)

    def _retry_or_reject(self, request: Request, now_ns: int) -> None:
        """Queue a request again after all its attempts have failed, or reject it."""
        # The candidates are None if the deduplication scope excludes no endpoint of the pool, and empty if it
        # excludes all. In both cases the check has the same result for all of them, so one is enough.
        candidates = self.retry_candidates.find(request, now_ns) or request.pool.endpoints[:1]
        if should_retry(request, candidates, now_ns=now_ns, limits=self.settings.limits):
            self.queues[request.pool].prepend(request)
            self.probe_loads(request, now_ns)
        else:
            self.reject(request)

    def on_attempt_overdue(self, request: Request, attempt: Attempt, now_ns: int) -> None:
        """Eject the endpoint of an overdue attempt, as it may hang, and hedge the request if worthwhile."""
        if attempt.result is not None or request.stalled:
            return
        self.attempt_results.record_overdue(attempt, now_ns)
        if should_hedge(
            request=request,
            overdue_attempt=attempt,
            queue_length=len(self.queues[request.pool].waiting),
            limits=self.settings.limits,
            now_ns=now_ns,
        ):
            self._hedge(request, now_ns)

    def _hedge(self, request: Request, now_ns: int) -> None:
        """Start a second attempt, if an endpoint is available and the tenant has a token to spare."""
        candidates = self.retry_candidates.find(request, now_ns)
        endpoint_state = self.selection.pick(request.pool, now_ns, candidates)
        if endpoint_state is None:
            return
        is_safe = may_forward(request, endpoint_state.endpoint, now_ns=now_ns, limits=self.settings.limits)
        if is_safe and take_low_priority_token(request.token_bank, now_ns):
            self.actions.append(self.forwarding.start_attempt(request, endpoint_state, now_ns))

    def on_queue_deadline(self, request: Request) -> None:
        """Reject a request that is still queued at its queue deadline."""
        if request.queued_in is Queue.POOL_QUEUE:
            self.reject_for_capacity(request)
        elif request.queued_in is Queue.THROTTLE_BUFFER:
            self.reject(request)

    def reject_for_capacity(self, request: Request) -> None:
        """Reject a request for which no endpoint has capacity in time, and count that for rate control.

        It is not counted if the request's throttle, or a stall of the event loop, caused the delay.
        """
        if not request.delayed_by_throttle:
            self.rate_controller.record_capacity_rejection()
        self.reject(request)

    def reject(self, request: Request) -> None:
        """Send the final response of a request that is not served, and finish it."""
        self.actions.append(final_response(request, self.settings.limits, self.rng))
        self._finish(request)

    def _finish(self, request: Request) -> None:
        """End a request that needs no further response; cancel its attempts in flight, if allowed."""
        if request.queued_in is not None:
            self._leave_queue(request)
        request.finish()
        if self.settings.limits.cancellation:
            for number, attempt in enumerate(request.attempts):
                if attempt.result is None:
                    self.actions.append(CancelAttempt(request.id, number))
        self.requests.try_remove(request)

    def _leave_queue(self, request: Request) -> None:
        """Remove a request from its pool's queue, or from its tenant's buffer, where it frees its place."""
        if request.queued_in is Queue.POOL_QUEUE:
            self.queues[request.pool].remove(request)
        elif request.queued_in is Queue.THROTTLE_BUFFER:
            self.throttles.get(request.tenant).remove_buffered(request)
            request.leave_queue()
