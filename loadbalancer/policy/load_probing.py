"""Load probing before an attempt, by health checks (types: loadbalancer/messages.py).

With many proxies, a proxy's own requests in flight say little about an endpoint's load. Therefore a few
endpoints are drawn for each request, which waits in its queue for their load reports, for at most 10 ms, and
is forwarded to the least loaded one.
"""

from loadbalancer.messages import AttemptResult, CheckHealth, HealthCheckEnded
from loadbalancer.policy.load_estimate import IN_FLIGHT_COLUMN
from loadbalancer.policy.selection import Selection
from loadbalancer.policy.timers import ServeQueue, Timer
from loadbalancer.settings import Settings
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.request import Request
from loadbalancer.state.timer_queue import TimerQueue
from loadbalancer.units import NANOSECONDS_PER_SECOND

PROBED_ENDPOINTS = 3
REPEATED_PROBES = 1
PROBING_PRICE_MAX_PER_REQUEST = 0.01
PROBE_TIMEOUT_NS = NANOSECONDS_PER_SECOND // 100
PROBED_LOAD_MAX_AGE_NS = PROBE_TIMEOUT_NS // 2


def is_probing_enabled(settings: Settings) -> bool:
    """Return whether loads are probed: if health checks are allowed, report loads and cost little enough."""
    price = settings.prices.health_check * (PROBED_ENDPOINTS + REPEATED_PROBES)
    is_load_reported = IN_FLIGHT_COLUMN in settings.load_report_columns
    return settings.limits.health_checks and is_load_reported and price <= PROBING_PRICE_MAX_PER_REQUEST


class LoadProbing:
    """Sends health checks on behalf of queued requests, and records the loads that they report."""

    def __init__(self, selection: Selection, timers: TimerQueue[Timer], *, enabled: bool) -> None:
        self.enabled = enabled
        self._selection = selection
        self._timers = timers

    def start(self, request: Request, now_ns: int) -> list[CheckHealth]:
        """Draw endpoints for a request; return health checks of those whose last report and check are old."""
        drawn = self._selection.draw(request.pool, PROBED_ENDPOINTS, now_ns)
        request.start_probing(list(dict.fromkeys(drawn)), now_ns)
        checks = []
        for state in request.probed_endpoints:
            if now_ns - max(state.reported_ns, state.check_sent_ns) >= PROBED_LOAD_MAX_AGE_NS:
                state.record_check_sent(now_ns)
                checks.append(CheckHealth(state.id))
        self._timers.schedule(now_ns + PROBE_TIMEOUT_NS, ServeQueue())
        return checks

    def record_result(self, state: EndpointState, event: HealthCheckEnded, now_ns: int) -> list[CheckHealth]:
        """Record the reported load, and return a second health check if the first one's connection broke.

        Any connection may break by chance; without a second check, the request would wait until the probe
        timeout.
        """
        if event.load_report is not None:
            state.record_load(event.load_report.get(IN_FLIGHT_COLUMN), now_ns)
        elif event.result is AttemptResult.RESET and state.check_reset_ns < state.check_sent_ns:
            state.record_check_reset(now_ns)
            return [CheckHealth(state.id)]
        return []

    def is_waiting(self, request: Request, now_ns: int) -> bool:
        """Return whether a request still waits for a load report."""
        if now_ns >= request.probed_ns + PROBE_TIMEOUT_NS:
            return False
        return not all(self._is_load_known(state, request) for state in request.probed_endpoints)

    def end(self, request: Request, now_ns: int) -> list[EndpointState]:
        """End a request's probing, and return the available endpoints whose load is known."""
        probed_endpoints = request.probed_endpoints
        request.end_probing()
        return [
            state
            for state in probed_endpoints
            if self._is_load_known(state, request) and self._selection.is_available(state, now_ns)
        ]

    def _is_load_known(self, state: EndpointState, request: Request) -> bool:
        """Return whether an endpoint's load was reported during a request's probing, or shortly before."""
        return state.reported_ns > request.probed_ns - PROBED_LOAD_MAX_AGE_NS
