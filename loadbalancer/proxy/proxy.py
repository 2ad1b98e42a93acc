"""The proxy: reports events to the policy and has its actions carried out.

The parts that carry them out each have a module: `pending_requests`, `attempts`, `health_checks`, `gossip`,
`discovery_client` and `downstream`.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Iterable
from typing import Protocol, assert_never

from loadbalancer.configuration import Configuration
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
from loadbalancer.proxy import shutdown
from loadbalancer.proxy.addresses import Address
from loadbalancer.proxy.attempts import Attempts
from loadbalancer.proxy.client_connection import ClientConnection
from loadbalancer.proxy.connection_pool import ConnectionLimits, ConnectionPool
from loadbalancer.proxy.discovery_call import WatchResult, list_size_limit
from loadbalancer.proxy.discovery_client import DiscoveryClient
from loadbalancer.proxy.downstream import DownstreamServer
from loadbalancer.proxy.endpoint_addresses import EndpointAddresses
from loadbalancer.proxy.endpoint_list_applier import EndpointListApplier
from loadbalancer.proxy.endpoint_list_parser import unix_offset_ns
from loadbalancer.proxy.endpoint_list_reader import EndpointListReader
from loadbalancer.proxy.gossip import Gossip
from loadbalancer.proxy.health_checks import HealthChecks
from loadbalancer.proxy.http import Message
from loadbalancer.proxy.pending_requests import PendingRequests
from loadbalancer.proxy.request_validation import RejectedRequest, validate_request
from loadbalancer.units import NANOSECONDS_PER_SECOND

log = logging.getLogger(__name__)
RESERVED_DESCRIPTORS = 32  # for the event loop, listening, discovery, peers, logs, and sockets being closed
MIN_CONNECTIONS = 8  # on either side, however few descriptors there are
SWEEP_INTERVAL_S = 1.0  # of idle connections, empty pools and the ids of hosts that are gone


class Policy(Protocol):
    """What decides: the `Balancer` of `loadbalancer/policy/balancer.py`."""

    def handle(self, now_ns: int, events: Iterable[Event]) -> list[Action]:
        """Take events at a time of the monotonic clock, and give the actions that follow from them."""
        ...


class Proxy:
    """One load balancer process: its sockets, its timers and the policy that decides for it."""

    def __init__(self, config: Configuration, policy: Policy) -> None:
        """Set up all parts inside a running event loop; nothing is sent or accepted before `start`."""
        self.config = config
        limits = config.settings.limits
        self._loop = asyncio.get_running_loop()
        self._policy = policy
        self._queued_events: list[Event] = []
        self._dispatching = False
        self._decision_time_ns = 0  # when the policy was last called; its delays count from then
        self._draining = False
        self._ready_at_s = 0.0  # not ready before, by the event loop's clock
        self._sweep_timer: asyncio.TimerHandle | None = None
        max_connections = max(MIN_CONNECTIONS, (config.max_sockets - RESERVED_DESCRIPTORS) // 2)
        self._connection_limits = ConnectionLimits(
            max_connections,
            limits.connect_timeout_ns / NANOSECONDS_PER_SECOND,
            limits.connection_idle_timeout_ns / NANOSECONDS_PER_SECOND,
        )
        self.downstream = DownstreamServer(self, max_connections)
        self._list_reader = EndpointListReader(
            unix_offset_ns(), None if config.known_endpoints is None else config.known_endpoints.id_registry
        )
        self._addresses = EndpointAddresses(self._connection_limits)
        self._list_applier = EndpointListApplier(self._list_reader, self._addresses, self._on_endpoint_update)
        self._discovery_client = DiscoveryClient(
            config.discovery,
            self._list_reader,
            config.settings.discovery_pushes,
            random.Random(config.seed + 1),
            self._on_watch_result,
            list_size_limit(config.memory_bytes),
        )
        self._gossip = Gossip(
            config.gossip_peers, config.gossip_broadcast, config.settings.proxy_index, self._on_gossip
        )
        self._pending_requests = PendingRequests(self.dispatch, limits.max_pending_requests)
        self._attempts = Attempts(
            self._pending_requests,
            self._connection_pool,
            self.dispatch,
            limits.max_attempts,
            config.settings.load_reports_in_responses,
        )
        self._health_checks = HealthChecks(
            self._connection_pool, self.dispatch, bool(config.settings.load_report_columns)
        )

    # -- start and end --

    async def start(self, ready_delay_s: float = 0.0) -> int:
        """Apply the cached endpoint list, then listen; ready only after a delay.

        Args:
            ready_delay_s: How long the proxy serves without reporting that it is ready.

        Returns:
            The port on which it listens.
        """
        self._ready_at_s = self._loop.time() + ready_delay_s
        self._apply_known_list()
        if self.config.gossip_listen is not None:
            await self._loop.create_datagram_endpoint(lambda: self._gossip, self.config.gossip_listen)
        if self.config.settings.discovery_pushes:
            self._discovery_client.watch()
        self._sweep_once()
        return self.downstream.listen(*self.config.listen)

    def _apply_known_list(self) -> None:
        known = self.config.known_endpoints
        if known is not None:
            self._discovery_client.start_from(self._list_reader.accept(known))
        self._list_applier.apply_cached(known)

    def _sweep_once(self) -> None:
        self._connection_limits.close_expired()
        self._addresses.forget_empty_pools()
        self._list_applier.sweep_ids()
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep_once)

    @property
    def ready(self) -> bool:
        """Whether clients should send new requests here: not while starting or draining."""
        return not self._draining and self._loop.time() >= self._ready_at_s

    async def drain(self) -> None:
        """Shut down gracefully: go on with what still comes, answer all of it, then close everything."""
        timeout_s = shutdown.shutdown_timeout_s(self.config.settings.request_classes.values())
        end_s = self._loop.time() + timeout_s
        self._draining = self.downstream.draining = True
        if not await shutdown.wait_until_drained(self._is_drained, end_s):
            log.warning(
                "%s: graceful shutdown: timeout after %.2f s, failing %d pending requests",
                self.config.name,
                timeout_s,
                len(self._pending_requests),
            )
        self.close()
        await asyncio.sleep(0)  # closed transports end in the event loop's next turn

    def _is_drained(self) -> bool:
        """Whether all is answered to the last byte, also what was in the backlog or half read."""
        none_open = self.downstream.continue_shutdown()
        return none_open and not self._pending_requests and not self.downstream.flushing

    def move_discovery(self, address: Address) -> None:
        """Use another address for discovery, as the configuration now says."""
        self._discovery_client.move_to(address)

    def close(self) -> None:
        """Stop everything at once; pending requests fail."""
        self._pending_requests.fail_all()
        self._discovery_client.stop()
        self._list_applier.close()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        self._addresses.close_all_idle_connections()
        self._gossip.close()
        self.downstream.abort()

    # -- events and actions --

    def dispatch(self, *events: Event) -> None:
        """Hand events to the policy; those raised while actions are carried out are queued."""
        self._queued_events += events
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._queued_events:
                batch, self._queued_events = self._queued_events, []
                for action in self._decide(batch):
                    self._execute(action)
        finally:
            self._dispatching = False

    def _decide(self, batch: list[Event]) -> list[Action]:
        self._decision_time_ns = time.monotonic_ns()
        try:
            return self._policy.handle(self._decision_time_ns, batch)
        except Exception:  # a fault in the policy costs these requests their time, not the process
            log.exception("%s: policy: error, events dropped: %.200r", self.config.name, batch)
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
                due_s = (self._decision_time_ns + action.delay_ns) / NANOSECONDS_PER_SECOND
                self._loop.call_at(due_s, self.dispatch, TimerExpired(action.name))
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
                self._addresses.close_idle_connections(action.endpoint_id)
            case WatchEndpoints(watch=True):
                self._discovery_client.watch()
            case WatchEndpoints():
                self._discovery_client.unwatch()
            case FetchEndpoints():
                self._discovery_client.fetch()
            case _:
                assert_never(action)

    def _on_gossip(self, sender: int, data: bytes) -> None:
        self.dispatch(GossipReceived(sender, data))

    # -- requests --

    def handle_request(self, client: ClientConnection, request: Message, received_ns: int) -> None:
        """Admit a client's request, or reject it if it is malformed or there are too many."""
        checked = validate_request(request, self.config.settings.request_classes)
        if isinstance(checked, RejectedRequest):
            rejected: RejectedRequest | None = checked
        else:
            rejected = self._pending_requests.admit(client, request, checked, received_ns)
        if rejected is not None:
            client.respond(rejected.status, rejected.headers)

    def handle_disconnect(self, client: ClientConnection) -> None:
        """Forget the request of a client that has closed its connection."""
        self._pending_requests.on_disconnect(client)

    # -- endpoint lists --

    def _on_watch_result(self, result: WatchResult) -> None:
        self._list_applier.on_watch_result(result)

    def _on_endpoint_update(self, update: EndpointUpdate) -> None:
        self._attempts.cancel_unsent()
        self.dispatch(update)

    def _connection_pool(self, endpoint_id: int) -> ConnectionPool | None:
        return self._addresses.connection_pool(endpoint_id)

    def endpoint_addresses(self) -> dict[int, Address]:
        """Return the addresses of the endpoints that take new requests."""
        return self._addresses.ready()
