"""Health checks: asks endpoints for their health or their load report and reports the answers."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from loadbalancer.messages import AttemptResult, HealthCheckEnded
from loadbalancer.proxy.connection_pool import ConnectionPool
from loadbalancer.proxy.exchange import start_exchange
from loadbalancer.proxy.http import Message, write_request
from loadbalancer.proxy.load_report import parse_load_report
from loadbalancer.proxy.wire_names import LIVENESS_PATH, LOAD_REPORT_PATH

TIMEOUT_S = 0.05
MAX_IN_FLIGHT = 256
ATTEMPT_CONNECTIONS_DIVISOR = 8  # one in so many connections is reserved for attempts
OK_STATUS = 200


class HealthChecks:
    """Carries out the health checks that the policy asks for."""

    def __init__(
        self,
        connection_pool: Callable[[int], ConnectionPool | None],
        on_ended: Callable[[HealthCheckEnded], None],
        with_load_reports: bool,
    ) -> None:
        """Set up the health checks.

        Args:
            connection_pool: Gives the connections to an endpoint, None where nothing new may be sent to it.
            on_ended: Is called once for each check.
            with_load_reports: Whether endpoints give load reports, which then are the answers to the checks.
        """
        self.in_flight = 0
        self._connection_pool = connection_pool
        self._on_ended = on_ended
        self._path = LOAD_REPORT_PATH if with_load_reports else LIVENESS_PATH

    def start(self, endpoint_id: int) -> None:
        """Start a health check; it fails at once where it can't be sent."""
        pool = self._connection_pool(endpoint_id)
        started_ns = time.monotonic_ns()
        if pool is None or self.in_flight >= MAX_IN_FLIGHT:
            self.report(HealthCheckEnded(endpoint_id, AttemptResult.CONNECT_FAILED, 0))
            return
        self.in_flight += 1
        check = HealthCheck(self, endpoint_id, started_ns)
        host, port = pool.address
        start_exchange(
            pool,
            write_request(b"GET", self._path, [(b"Host", f"{host}:{port}".encode())]),
            TIMEOUT_S,
            check.on_ended,
            pool.limits.max_connections // ATTEMPT_CONNECTIONS_DIVISOR,
        )

    def report(self, ended: HealthCheckEnded) -> None:
        """Hand on how a health check ended."""
        self._on_ended(ended)


@dataclass(slots=True, eq=False)
class HealthCheck:
    """One health check in flight."""

    checks: HealthChecks
    endpoint_id: int
    started_ns: int

    def on_ended(self, result: AttemptResult, response: Message | None) -> None:
        """Take the result, or the response whatever its status."""
        self.checks.in_flight -= 1
        report = None
        if response is not None:
            result = AttemptResult.OK if response.status == OK_STATUS else AttemptResult.REJECTED
            report = parse_load_report(response.body)
        elapsed_ns = time.monotonic_ns() - self.started_ns
        self.checks.report(HealthCheckEnded(self.endpoint_id, result, elapsed_ns, report))
