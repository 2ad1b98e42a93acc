"""The proxy: it feeds what happens to the policy and carries out what the policy decides."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from typing import Protocol, assert_never

from loadbalancer.configuration import Configuration
from loadbalancer.messages import (
    Action,
    AttemptEnded,
    AttemptResult,
    CancelAttempt,
    CheckHealth,
    ClientDisconnected,
    CloseIdleConnections,
    EndpointUpdate,
    Event,
    Fail,
    FetchEndpoints,
    Forward,
    GossipReceived,
    HealthCheckEnded,
    LogMessage,
    Reject,
    RequestArrived,
    SendGossip,
    SetTimer,
    TimerExpired,
    WatchEndpoints,
)
from loadbalancer.proxy.addresses import Address
from loadbalancer.proxy.connection_pool import ConnectionLimits, ConnectionPool
from loadbalancer.proxy.discovery_call import WatchResult, list_size_limit
from loadbalancer.proxy.discovery_client import DiscoveryClient
from loadbalancer.proxy.downstream import ClientConnection, DownstreamServer
from loadbalancer.proxy.endpoint_addresses import EndpointAddresses
from loadbalancer.proxy.endpoint_list_parser import unix_offset_ns
from loadbalancer.proxy.endpoint_list_reader import EndpointListReader
from loadbalancer.proxy.endpoint_updates import EndpointUpdater
from loadbalancer.proxy.gossip import Gossip
from loadbalancer.proxy.http import Headers, Message, load_report, whole_number, write_request
from loadbalancer.proxy.upstream import Exchange
from loadbalancer.settings import Idempotency, RequestClass

log = logging.getLogger(__name__)
MS = 1_000_000
SECOND = 1000 * MS
METHODS = {
    Idempotency.IDEMPOTENT: b"GET",
    Idempotency.IDEMPOTENCY_KEY: b"POST",
    Idempotency.NON_IDEMPOTENT: b"POST",
}
MODULE_EARLY_NS = 4 * MS  # the module's deadline comes so much before the client's, for the way back
NODE_EARLY_NS = 3 * MS // 2  # and the node's own, for what the module left open
LONGEST_DEADLINE_MS = 600_000
RESERVED_DESCRIPTORS = 32  # for the loop, listening, discovery, peers, logs, and what closes a turn later
PROBE_TIMEOUT_S = 0.05
# A second answer to one request may come some milliseconds late, and must not pass for that to the next one:
# so long a connection is left alone after an answer. What comes on it meanwhile closes it.
REST_S = 0.01
MAX_PROBES = 256  # probes out at once
PROBE_SPARE = 8  # one in so many places for connections is none for a probe: attempts come first
FULL_RETRY_S = b"1"  # what a client is told that finds no room for its request
SWEEP_S = 1.0
LATE_ARRIVALS_S = 0.5  # after SIGTERM, new connections go on coming for so long
WIND_UP_S = 0.01  # how often it is looked at what is left then
# SIGKILL comes no sooner than the longest deadline (these seconds at most) and KILL_S after SIGTERM.
LONGEST_S, KILL_S = 3.0, 0.7
EXIT_S = 0.2  # before that, whatever is still open is answered: time for the answers to go out


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that was taken and is not answered yet."""

    id: str
    client: ClientConnection
    request: Message
    deadline_ns: int
    deadline_timer: asyncio.TimerHandle | None = None
    attempt_count: int = 0
    attempt: Exchange | None = None
    finished: bool = False


def leave_s(classes: Iterable[RequestClass]) -> float:
    """How long after SIGTERM a balancer may go on: what SIGKILL finds open has no answer."""
    longest = max((c.client_timeout_ns / SECOND or LONGEST_S for c in classes), default=LONGEST_S)
    return min(longest, LONGEST_S) + KILL_S - EXIT_S


class Policy(Protocol):
    """What decides: the `Balancer` of `loadbalancer/policy.py`."""

    def handle(self, now: int, events: Iterable[Event]) -> list[Action]: ...


class Proxy:
    """One real balancer."""

    def __init__(self, config: Configuration, module: Policy) -> None:
        self.config = config
        limits = config.settings.limits
        self._limits = limits
        self._loop = asyncio.get_running_loop()
        self._pending: dict[str, PendingRequest] = {}
        self._pending_by_client: dict[ClientConnection, PendingRequest] = {}
        self._open_request_ids: set[bytes] = set()  # that clients gave to their open requests
        self._request_count = 0
        self._health_checks_in_flight = 0
        self._queued_events: list[Event] = []
        self._dispatching = False
        self._decision_time_ns = (
            0  # the clock as the module last read it: what it gives as a time counts from then
        )
        self._draining = False
        self._ready_at_s = 0.0  # not ready before, by the loop's clock
        self._sweep_timer: asyncio.TimerHandle | None = None
        room = max(8, (config.sockets - RESERVED_DESCRIPTORS) // 2)
        self._connection_limits = ConnectionLimits(
            room, limits.connect_timeout_ns / SECOND, limits.connection_idle_timeout_ns / SECOND
        )
        self.downstream = DownstreamServer(self, room)
        self._list_reader = EndpointListReader(
            unix_offset_ns(), None if config.known is None else config.known.id_registry
        )
        self._addresses = EndpointAddresses(self._connection_limits)
        self._endpoint_updater = EndpointUpdater(self._list_reader, self._addresses, self._on_endpoint_update)
        self._discovery_client = DiscoveryClient(
            config.discovery,
            self._list_reader,
            config.settings.discovery_pushes,
            random.Random(config.seed + 1),
            self._on_watch_result,
            list_size_limit(config.memory_bytes),
        )
        self._gossip = Gossip(config.peers, config.peers_all, config.settings.proxy_index, self._on_gossip)
        self._policy = module
        self._health_check_path = b"/stats" if config.settings.load_report_columns else b"/health/live"

    # -- start and end --

    async def start(self, rest_s: float = 0.0) -> int:
        """Take up the known list, then open to clients, though ready only after a rest; gives the port."""
        self._ready_at_s = self._loop.time() + rest_s
        self._apply_known_list()
        if self.config.peer_listen is not None:
            await self._loop.create_datagram_endpoint(lambda: self._gossip, self.config.peer_listen)
        if self.config.settings.discovery_pushes:
            self._discovery_client.watch()
        self._sweep_once()
        return self.downstream.listen(*self.config.listen)

    def _apply_known_list(self) -> None:
        known = self.config.known
        if known is not None:
            self._discovery_client.start_from(self._list_reader.accept(known))
        self._endpoint_updater.apply_cached(known)

    def _sweep_once(self) -> None:
        self._connection_limits.close_expired()
        self._connection_limits.forget_empty_pools()
        self._endpoint_updater.sweep_ids()
        self._sweep_timer = self._loop.call_later(SWEEP_S, self._sweep_once)

    @property
    def ready(self) -> bool:
        return not self._draining and self._loop.time() >= self._ready_at_s

    async def drain(self) -> None:
        """A planned end: go on with what still comes, answer all of it, then close everything."""
        end = self._loop.time() + leave_s(self.config.settings.request_classes.values())
        self._draining = self.downstream.draining = True
        await asyncio.sleep(LATE_ARRIVALS_S)
        # What lies in the backlog or has come in part is taken too; an answer is whole with its last byte.
        while not (
            self.downstream.continue_shutdown() and not self._pending and not self.downstream.flushing
        ):
            if self._loop.time() >= end:
                log.warning("left with %d requests open", len(self._pending))
                break
            await asyncio.sleep(WIND_UP_S)
        self.close()
        await asyncio.sleep(0)  # closed transports end in the loop's next turn

    def move_discovery(self, address: Address) -> None:
        """The configuration names another address for discovery."""
        self._discovery_client.move_to(address)

    def close(self) -> None:
        """Stop everything at once; what is open fails."""
        for call in list(self._pending.values()):
            self._finish(call, 504)
        self._discovery_client.stop()
        self._endpoint_updater.close()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for pool in self._connection_limits.pools.values():
            pool.close_idle()
        self._gossip.close()
        self.downstream.abort()

    # -- the module --

    def dispatch(self, *events: Event) -> None:
        """Hand events over; those raised while actions are carried out wait for their turn."""
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
        except Exception:  # a fault in the decisions costs these requests their time, not the process
            log.exception("the module failed on %.200r", batch)
            return []

    def _execute(self, action: Action) -> None:
        match action:
            case Forward():
                self._forward(action)
            case Reject():
                self._reject(action)
            case Fail():
                self._finish_by_id(action.request_id, 504)
            case CancelAttempt():
                self._cancel_attempt(action)
            case CheckHealth():
                self._check_health(action.endpoint_id)
            case SendGossip():
                self._gossip.send(action.data, action.recipient)
            case CloseIdleConnections():
                if (pool := self._connection_limits.pools.get(action.endpoint_id)) is not None:
                    pool.close_idle()
            case WatchEndpoints():
                if action.watch:
                    self._discovery_client.watch()
                else:
                    self._discovery_client.unwatch()
            case FetchEndpoints():
                self._discovery_client.fetch()
            case SetTimer():
                due = (self._decision_time_ns + action.delay_ns) / SECOND
                self._loop.call_at(due, self.dispatch, TimerExpired(action.name))
            case LogMessage():
                log.info("module: %s", action.text)
            case _:
                assert_never(action)

    # -- requests --

    def handle_request(self, client: ClientConnection, request: Message, received_ns: int) -> None:
        """A client's request: refused here only if it can't be understood or there is no room."""
        name = request.target[1:].partition(b"?")[0].partition(b"/")[0].decode("latin-1")
        cls = self.config.settings.request_classes.get(name)
        wait_ms = whole_number(request.header(b"req-deadline-ms"))
        ids = [value for key, value in request.headers if key == b"req-id"]
        if request.method not in METHODS.values():
            client.respond(405, [(b"Allow", b"GET, POST")])
        elif cls is None or len(ids) != 1 or not ids[0] or not wait_ms or b"#" in request.target:
            client.respond(400)
        elif request.method != METHODS[cls.idempotency]:
            client.respond(405, [(b"Allow", METHODS[cls.idempotency])])
        elif request.method == b"GET" and request.body:
            client.respond(400)  # an upstream reads no body there and would take it for the next request
        elif ids[0] in self._open_request_ids:
            client.respond(409)  # whose answer would it be?
        elif self._limits.max_pending_requests and len(self._pending) >= self._limits.max_pending_requests:
            client.respond(503, [(b"Retry-After", FULL_RETRY_S)])
        else:
            deadline = received_ns + min(wait_ms, LONGEST_DEADLINE_MS) * MS
            self._open_request(client, request, name, deadline)

    def _open_request(self, client: ClientConnection, request: Message, name: str, deadline_ns: int) -> None:
        self._request_count += 1
        self._open_request_ids.add(request.header(b"req-id"))
        call = PendingRequest(str(self._request_count), client, request, deadline_ns)
        self._pending[call.id] = self._pending_by_client[client] = call
        call.deadline_timer = self._loop.call_at((deadline_ns - NODE_EARLY_NS) / SECOND, self._expire, call)
        cookies = (c.strip() for c in request.header(b"cookie").decode("latin-1").split(";"))
        key = next((c[5:] for c in cookies if c.startswith("user=")), "")
        cost_us = whole_number(request.header(b"req-cost")) or 0
        self.dispatch(
            RequestArrived(
                call.id,
                name,
                request.header(b"req-owner").decode("latin-1"),
                deadline_ns - MODULE_EARLY_NS,
                cost_us * 1000,
                key,
                request.header(b"req-retry") == b"1",
            )
        )

    def _expire(self, call: PendingRequest) -> None:
        self._finish(call, 504)
        self.dispatch(ClientDisconnected(call.id))

    def handle_disconnect(self, client: ClientConnection) -> None:
        """The client has closed its connection: nobody waits for the answer."""
        call = self._pending_by_client.get(client)
        if call is not None:
            self._forget(call)
            self.dispatch(ClientDisconnected(call.id))

    def _reject(self, action: Reject) -> None:
        headers = []
        if action.retry_after_ns > 0:
            headers.append((b"Retry-After", b"%.3f" % (action.retry_after_ns / SECOND)))
        self._finish_by_id(action.request_id, 503, headers)

    def _finish_by_id(self, request: str, status: int, headers: Headers = ()) -> None:
        call = self._pending.get(request)
        if call is not None:
            self._finish(call, status, headers)

    def _finish(
        self, call: PendingRequest, status: int, headers: Headers = (), body: bytes | bytearray = b""
    ) -> None:
        """The one final answer."""
        if not call.finished:
            self._forget(call)
            call.client.respond(status, headers, body)

    def _forget(self, call: PendingRequest) -> None:
        """Forget the request and call off what is out for it."""
        call.finished = True
        if call.deadline_timer is not None:
            call.deadline_timer.cancel()
        del self._pending[call.id]
        del self._pending_by_client[call.client]
        self._open_request_ids.discard(call.request.header(b"req-id"))
        if call.attempt is not None:
            call.attempt.finish(AttemptResult.CANCELLED)

    # -- attempts --

    def _forward(self, action: Forward) -> None:
        now = time.monotonic_ns()
        call = self._pending.get(action.request_id)
        number = call.attempt_count if call is not None else 0
        pool = self._connection_pool(action.endpoint_id)
        # A stall since the decision must not push the time-out past the deadline: the module is told in time.
        end = call.deadline_ns - NODE_EARLY_NS if call is not None else now
        if action.timeout_ns:
            end = min(end, self._decision_time_ns + action.timeout_ns)
        if call is not None:
            call.attempt_count += 1
        if (
            call is None
            or call.attempt is not None
            or pool is None
            or not pool.accepts_requests
            or end <= now
            or number >= self._limits.max_attempts
        ):
            self.dispatch(
                AttemptEnded(
                    action.request_id, number, action.endpoint_id, AttemptResult.NOT_SENT, 0, call is None
                )
            )
            return
        call.attempt = Exchange(
            pool,
            partial(self._serialize_attempt, call.request, end),
            self._on_attempt_ended(call, number, action.endpoint_id, now),
            wanted=lambda: self._is_wanted(call),
            rest_s=REST_S,
        )
        call.attempt.start(end / SECOND)

    def _is_wanted(self, call: PendingRequest) -> bool:
        """Does its client still wait? Its leave may be unread: of this turn, or while reading paused."""
        if call.client.has_disconnected:
            self.handle_disconnect(call.client)
        return not call.finished

    def _serialize_attempt(self, request: Message, end_ns: int) -> bytes:
        """The request as it is sent on; built when it is written, it tells the time left until its end."""
        left_ns = end_ns - time.monotonic_ns()
        headers = [(k, v) for k, v in request.end_to_end() if k != b"req-deadline-ms"]
        headers.append((b"Req-Deadline-Ms", b"%d" % max(1, left_ns // MS)))
        return write_request(request.method, request.target, headers, request.body)

    def _on_attempt_ended(
        self, call: PendingRequest, number: int, upstream: int, sent_ns: int
    ) -> Callable[[AttemptResult, Message | None], None]:
        def ended(result: AttemptResult, response: Message | None) -> None:
            call.attempt = None
            took = time.monotonic_ns() - sent_ns
            if response is not None:
                result = _judged(response)
            if result is AttemptResult.OK and response is not None:
                headers = [(k, v) for k, v in response.end_to_end() if k != b"srv-load"]
                self._finish(call, 200, headers, response.body)
            report = self._load_report(response) if self.config.settings.load_reports_in_responses else None
            self.dispatch(AttemptEnded(call.id, number, upstream, result, took, call.finished, report))

        return ended

    def _load_report(self, response: Message | None) -> dict[str, float] | None:
        return load_report(response.header(b"srv-load")) if response is not None else None

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        call = self._pending.get(action.request_id)
        if call is not None and call.attempt is not None and action.attempt == call.attempt_count - 1:
            call.attempt.finish(AttemptResult.CANCELLED)

    # -- probes, lists, peers --

    def _check_health(self, upstream: int) -> None:
        pool, now = self._connection_pool(upstream), time.monotonic_ns()
        if pool is None or self._health_checks_in_flight >= MAX_PROBES:
            self.dispatch(HealthCheckEnded(upstream, AttemptResult.CONNECT_FAILED, 0))
            return
        self._health_checks_in_flight += 1

        def ended(result: AttemptResult, response: Message | None) -> None:
            self._health_checks_in_flight -= 1
            report = None
            if response is not None:
                result = AttemptResult.OK if response.status == 200 else AttemptResult.REJECTED
                report = load_report(response.body)
            self.dispatch(HealthCheckEnded(upstream, result, time.monotonic_ns() - now, report))

        host = "{}:{}".format(*pool.address).encode()
        pool.start_exchange(
            write_request(b"GET", self._health_check_path, [(b"Host", host)]),
            PROBE_TIMEOUT_S,
            ended,
            self._connection_limits.max_connections // PROBE_SPARE,
        )

    def _on_watch_result(self, result: WatchResult) -> None:
        self._endpoint_updater.on_watch_result(result)

    def _on_endpoint_update(self, update: EndpointUpdate) -> None:
        self._cancel_unsent_attempts()
        self.dispatch(update)

    def _connection_pool(self, endpoint_id: int) -> ConnectionPool | None:
        return self._addresses.connection_pool(endpoint_id)

    def endpoint_addresses(self) -> dict[int, Address]:
        """Return the addresses of the endpoints that take new requests."""
        return self._addresses.ready()

    def _cancel_unsent_attempts(self) -> None:
        """No first byte may go to an upstream that drains or is gone, also not when its connection is up."""
        for call in list(self._pending.values()):
            if call.attempt is not None and call.attempt.unsent and not call.attempt.pool.accepts_requests:
                call.attempt.finish(AttemptResult.NOT_SENT)

    def _on_gossip(self, sender: int, data: bytes) -> None:
        self.dispatch(GossipReceived(sender, data))


def _judged(response: Message) -> AttemptResult:
    """An attempt's result by what came back: only a marked 503 or 504 proves that it never ran."""
    if response.status == 200:
        return AttemptResult.OK
    if response.status in (503, 504) and response.header(b"srv-declined") == b"1":
        return AttemptResult.REJECTED
    return AttemptResult.ERROR
