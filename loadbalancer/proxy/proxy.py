"""The proxy: passes events to the policy and executes the actions that it returns.

The components that raise the events or execute the actions each have a module: `pending_requests`,
`attempts`, `health_checks`, `gossip`, `discovery_client`, `endpoint_list_applier` and `downstream`.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Iterable
from typing import Protocol, assert_never

from loadbalancer.messages import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    EndpointUpdate,
    Event,
    Fail,
    FetchEndpoints,
    Forward,
    GossipReceived,
    LogMessage,
    Reject,
    SendGossip,
    SetTimer,
    TimerExpired,
    WatchEndpoints,
)
from loadbalancer.proxy import components, shutdown
from loadbalancer.proxy.attempts import Attempts
from loadbalancer.proxy.client_connection import ClientConnection
from loadbalancer.proxy.configuration import Configuration
from loadbalancer.proxy.downstream import DownstreamServer
from loadbalancer.proxy.endpoint_addresses import EndpointAddresses
from loadbalancer.proxy.endpoint_list_applier import EndpointListApplier
from loadbalancer.proxy.health_checks import HealthChecks
from loadbalancer.proxy.http import Message
from loadbalancer.proxy.pending_requests import PendingRequests
from loadbalancer.proxy.request_validation import ErrorResponse, validate_request
from loadbalancer.units import NANOSECONDS_PER_SECOND

log = logging.getLogger(__name__)

# How often expired idle connections, empty connection pools and the ids of removed hosts are released.
SWEEP_INTERVAL_S = 1.0

MAX_LOGGED_EVENTS_CHARACTERS = 200


class Policy(Protocol):
    """Makes the decisions; implemented by `Balancer` in `loadbalancer/policy/balancer.py`."""

    def handle(self, now_ns: int, events: Iterable[Event]) -> list[Action]:
        """Handle events at `now_ns` on the monotonic clock, and return the resulting actions."""
        ...


class Proxy:
    """One load balancer process: its sockets, its timers and the policy that decides for it."""

    list_applier_class: type[EndpointListApplier] = EndpointListApplier
    list_applier: EndpointListApplier

    def __init__(self, config: Configuration, policy: Policy) -> None:
        """Set up all components in a running event loop; nothing is sent or accepted before `start`."""
        self.config = config
        self._loop = asyncio.get_running_loop()
        self._policy = policy
        self._queued_events: list[Event] = []
        self._dispatching = False
        self._decision_time_ns = 0  # when the policy was last called; delays and timeouts count from then
        self._draining = False
        self._ready_at_s = 0.0  # on the event loop's clock
        self._sweep_timer: asyncio.TimerHandle | None = None

        memory = components.make_memory_budgets(config)
        self.memory = memory.requests
        self.downstream = DownstreamServer(self, components.max_connections(config.max_sockets), self.memory)
        self._pending_requests = PendingRequests(self.dispatch, config.settings.limits.max_pending_requests)
        self._gossip = components.make_gossip(config, self._on_gossip)

        self._connection_limits = components.make_connection_limits(config, self.memory)
        self.addresses = EndpointAddresses(self._connection_limits)
        self._attempts = self._make_attempts()
        self._health_checks = self._make_health_checks()

        self._list_reader = components.make_list_reader(config)
        self.list_applier = self.list_applier_class(
            self._list_reader, self.addresses, self._on_endpoint_update
        )
        self.discovery_client = components.make_discovery_client(
            config, self._list_reader, memory.lists, self.list_applier.on_discovery_result
        )

    def _make_attempts(self) -> Attempts:
        return Attempts(
            pending_requests=self._pending_requests,
            connection_pool=self.addresses.connection_pool,
            on_ended=self.dispatch,
            max_attempts=self.config.settings.limits.max_attempts,
            read_load_reports=self.config.settings.load_reports_in_responses,
        )

    def _make_health_checks(self) -> HealthChecks:
        return HealthChecks(
            connection_pool=self.addresses.connection_pool,
            on_ended=self.dispatch,
            with_load_reports=bool(self.config.settings.load_report_columns),
        )

    # -- start and shutdown --

    async def start(self, ready_delay_s: float = 0.0) -> int:
        """Apply the known endpoint list, and start to listen; the proxy is ready only after a delay.

        Args:
            ready_delay_s: How long the proxy serves requests before it reports that it is ready.

        Returns:
            The port on which the proxy listens.

        Raises:
            OSError: A socket can't be opened.
        """
        self._ready_at_s = self._loop.time() + ready_delay_s
        self._apply_known_list()
        if self.config.gossip_listen is not None:
            await self._loop.create_datagram_endpoint(lambda: self._gossip, self.config.gossip_listen)
        if self.config.settings.discovery_pushes:
            self.discovery_client.watch()
        self._sweep_once()
        return self.downstream.listen(*self.config.listen)

    def _apply_known_list(self) -> None:
        known = self.config.known_endpoints
        if known is not None:
            self.discovery_client.set_initial_list(self._list_reader.accept(known))
        self.list_applier.apply_cached(known)

    def _sweep_once(self) -> None:
        self._connection_limits.close_expired()
        self.addresses.forget_empty_pools()
        self.list_applier.sweep_ids()
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep_once)

    @property
    def ready(self) -> bool:
        """Whether clients should send new requests to this proxy: not while it starts or drains."""
        return not self._draining and self._loop.time() >= self._ready_at_s

    async def drain(self) -> None:
        """Shut down gracefully: respond to all requests, including those that still arrive, then close."""
        timeout_s = shutdown.shutdown_timeout_s(self.config.settings.request_classes.values())
        deadline_s = self._loop.time() + timeout_s
        self._draining = True
        self.downstream.start_draining()
        if not await shutdown.wait_until_drained(self._continue_draining, deadline_s):
            log.warning(
                "%s: graceful shutdown: timeout after %.2f s, failing %d pending requests",
                self.config.name,
                timeout_s,
                len(self._pending_requests),
            )
        self.close()
        await asyncio.sleep(0)  # transports complete their close in the next event loop turn

    def _continue_draining(self) -> bool:
        """Take the next step of the graceful shutdown.

        Returns:
            Whether all responses are written, also to requests in the backlog or partially received.
        """
        no_more_requests = self.downstream.continue_shutdown()
        return no_more_requests and not self._pending_requests and not self.downstream.flushing

    def close(self) -> None:
        """Stop immediately; pending requests fail."""
        self._pending_requests.fail_all()
        self.discovery_client.stop()
        self.list_applier.close()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        self.addresses.close_all_idle_connections()
        self._gossip.close()
        self.downstream.close_all()

    # -- events and actions --

    def dispatch(self, *events: Event) -> None:
        """Pass events to the policy and execute the resulting actions; events raised meanwhile are queued."""
        self._queued_events += events
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._queued_events:
                batch = self._queued_events
                self._queued_events = []
                for action in self._decide(batch):
                    self._execute(action)
        finally:
            self._dispatching = False

    def _decide(self, batch: list[Event]) -> list[Action]:
        self._decision_time_ns = time.monotonic_ns()
        try:
            return self._policy.handle(self._decision_time_ns, batch)
        except Exception:  # these requests time out, but the process continues
            log.exception(
                "%s: policy: error, events dropped: %.*r",
                self.config.name,
                MAX_LOGGED_EVENTS_CHARACTERS,
                batch,
            )
            return []

    def _execute(self, action: Action) -> None:
        match action:
            case Forward():
                self._attempts.forward(action, self._decision_time_ns)
            case Reject():
                self._pending_requests.reject(action)
            case Fail():
                self._pending_requests.fail(action.request_id)
            case CancelAttempt():
                self._attempts.cancel(action)
            case CheckHealth():
                self._health_checks.start(action.endpoint_id)
            case SetTimer():
                self._set_timer(action)
            case LogMessage():
                log.info("%s: policy: %s", self.config.name, action.text)
            case _:
                self._execute_control_action(action)

    def _execute_control_action(
        self, action: SendGossip | CloseIdleConnections | WatchEndpoints | FetchEndpoints
    ) -> None:
        match action:
            case SendGossip():
                self._gossip.send(action.data, action.recipient)
            case CloseIdleConnections():
                self.addresses.close_idle_connections(action.endpoint_id)
            case WatchEndpoints(watch=True):
                self.discovery_client.watch()
            case WatchEndpoints():
                self.discovery_client.unwatch()
            case FetchEndpoints():
                self.discovery_client.fetch()
            case _:
                assert_never(action)

    def _set_timer(self, action: SetTimer) -> None:
        due_s = (self._decision_time_ns + action.delay_ns) / NANOSECONDS_PER_SECOND
        self._loop.call_at(due_s, self.dispatch, TimerExpired(action.name))

    def _on_gossip(self, sender: int, data: bytes) -> None:
        self.dispatch(GossipReceived(sender, data))

    def _on_endpoint_update(self, update: EndpointUpdate) -> None:
        # The policy must have the update before the attempts end: the policy retries them at once, and could
        # otherwise choose an endpoint that is no longer ready.
        self.dispatch(update)
        self._attempts.cancel_unsent()

    # -- requests of clients --

    def handle_request(self, client: ClientConnection, request: Message, received_ns: int) -> None:
        """Admit a request; respond with an error if it is invalid or can't be added to the pending ones."""
        checked = validate_request(request, self.config.settings.request_classes)
        if isinstance(checked, ErrorResponse):
            error: ErrorResponse | None = checked
        else:
            error = self._pending_requests.register(client, request, checked, received_ns)
        if error is not None:
            client.respond(error.status, error.headers)

    def handle_disconnect(self, client: ClientConnection) -> None:
        """Drop the request of a client that has disconnected."""
        self._pending_requests.on_disconnect(client)
