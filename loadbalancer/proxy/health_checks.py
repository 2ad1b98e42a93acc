"""Health checks: requests to endpoints for their health or their load report."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from loadbalancer.messages import AttemptResult, HealthCheckEnded
from loadbalancer.proxy.connection_pool import ConnectionPool
from loadbalancer.proxy.exchange import QUARANTINE_S, start_exchange
from loadbalancer.proxy.http import Message, write_request
from loadbalancer.proxy.http_status import OK
from loadbalancer.proxy.load_report import parse_load_report
from loadbalancer.proxy.wire_names import LIVENESS_PATH, LOAD_REPORT_PATH

# Longer than a request waits for load reports (`load_probing.PROBE_TIMEOUT_NS`): a report that comes too late
# for that request is still used for later ones.
HEALTH_CHECK_TIMEOUT_S = 0.05
MAX_HEALTH_CHECKS_IN_FLIGHT = 256

# The connection limit divided by this is the number of connections reserved for attempts.
ATTEMPT_CONNECTIONS_DIVISOR = 8


class HealthChecks:
    """Runs the health checks that the policy requests."""

    def __init__(
        self,
        connection_pool: Callable[[int], ConnectionPool | None],
        on_ended: Callable[[HealthCheckEnded], None],
        *,
        with_load_reports: bool,
    ) -> None:
        """Set up the health checks.

        Args:
            connection_pool: Returns the pool of an endpoint; None if it accepts no new requests.
            on_ended: Called once for each health check.
            with_load_reports: Whether endpoints respond to health checks with load reports.
        """
        self._in_flight = 0
        self._connection_pool = connection_pool
        self._on_ended = on_ended
        self._path = LOAD_REPORT_PATH if with_load_reports else LIVENESS_PATH

    def start(self, endpoint_id: int) -> None:
        """Start a health check; it fails at once if the endpoint is not ready or too many checks run."""
        pool = self._connection_pool(endpoint_id)
        started_ns = time.monotonic_ns()
        if pool is None or self._in_flight >= MAX_HEALTH_CHECKS_IN_FLIGHT:
            self._on_ended(HealthCheckEnded(endpoint_id, AttemptResult.CONNECT_FAILED, elapsed_ns=0))
            return
        self._in_flight += 1
        check = HealthCheck(endpoint_id, started_ns, self._on_check_ended)
        host, port = pool.address
        start_exchange(
            pool=pool,
            data=write_request(b"GET", self._path, [(b"Host", f"{host}:{port}".encode())]),
            timeout_s=HEALTH_CHECK_TIMEOUT_S,
            on_ended=check.on_exchange_ended,
            reserved_for_others=pool.limits.max_connections // ATTEMPT_CONNECTIONS_DIVISOR,
            quarantine_s=QUARANTINE_S,
        )

    def _on_check_ended(self, ended: HealthCheckEnded) -> None:
        self._in_flight -= 1
        self._on_ended(ended)


@dataclass(slots=True, eq=False)
class HealthCheck:
    """One health check in flight."""

    endpoint_id: int
    started_ns: int  # on the monotonic clock
    on_ended: Callable[[HealthCheckEnded], None]

    def on_exchange_ended(self, result: AttemptResult, response: Message | None) -> None:
        """Report the result, and the load report if the response contains one."""
        load_report = None
        if response is not None:
            result = AttemptResult.OK if response.status == OK else AttemptResult.REJECTED
            load_report = parse_load_report(response.body)
        elapsed_ns = time.monotonic_ns() - self.started_ns
        self.on_ended(HealthCheckEnded(self.endpoint_id, result, elapsed_ns, load_report))
