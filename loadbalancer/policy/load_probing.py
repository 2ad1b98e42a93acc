"""Load probing before a send, where proxies are many (interface types: loadbalancer/messages.py)."""

from loadbalancer.messages import AttemptResult, CheckHealth, HealthCheckEnded
from loadbalancer.policy.selection import Selection
from loadbalancer.policy.timers import ServeQueue, Timer
from loadbalancer.settings import Settings
from loadbalancer.state.endpoint_state import EndpointState
from loadbalancer.state.request import Request
from loadbalancer.state.timer_queue import TimerQueue
from loadbalancer.units import NANOSECONDS_PER_SECOND

PROBES = 3  # endpoints asked before a send
PROBE_PRICE_MAX = 0.01  # of the probes of one request, one that is repeated included
PROBE_TIMEOUT_NS = NANOSECONDS_PER_SECOND // 100  # an answer that takes longer is not waited for
PROBE_FRESH_NS = PROBE_TIMEOUT_NS // 2  # one so new is not repeated: a busy proxy would ask more than changes


def probing_is_cheap(settings: Settings) -> bool:
    """Tell whether loads are probed: where health checks give them at little cost."""
    price = settings.prices.health_check * (PROBES + 1)
    reported = "inflight" in settings.load_report_columns
    return settings.limits.health_checks and reported and price <= PROBE_PRICE_MAX


class LoadProbing:
    """Asks endpoints for their load on behalf of requests, which wait in their queue meanwhile."""

    def __init__(self, enabled: bool, selection: Selection, timers: TimerQueue[Timer]) -> None:
        self.enabled, self.selection, self.timers = enabled, selection, timers

    def start(self, request: Request, now_ns: int) -> list[CheckHealth]:
        """Draw endpoints for a request, and return the health checks that ask them for their load."""
        request.probed_endpoints = list(dict.fromkeys(self.selection.draw(request.pool, PROBES, now_ns)))
        request.probed_ns = now_ns
        checks = []
        for state in request.probed_endpoints:
            if now_ns - max(state.reported_ns, state.checked_ns) >= PROBE_FRESH_NS:
                state.checked_ns = now_ns
                checks.append(CheckHealth(state.id))
        self.timers.schedule(now_ns + PROBE_TIMEOUT_NS, ServeQueue())
        return checks

    def record_result(self, state: EndpointState, event: HealthCheckEnded, now_ns: int) -> list[CheckHealth]:
        """Take the load, and return the health check that is made once more if the connection broke.

        Any connection may break, and the request would wait for nothing. Harm: one more health check for each
        endpoint that resets all it is sent.
        """
        if event.load_report is not None:
            state.record_load(event.load_report.get("inflight"), now_ns)
        elif event.result is AttemptResult.RESET and state.failed_check_ns < state.checked_ns:
            state.failed_check_ns = now_ns
            return [CheckHealth(state.id)]
        return []

    def is_waiting(self, request: Request, now_ns: int) -> bool:
        """Tell whether a request still waits for a load that was asked for on its behalf."""
        if now_ns >= request.probed_ns + PROBE_TIMEOUT_NS:
            return False
        oldest_ns = request.probed_ns - PROBE_FRESH_NS
        return any(state.reported_ns <= oldest_ns for state in request.probed_endpoints)

    def take_answered(self, request: Request, now_ns: int) -> list[EndpointState]:
        """End a request's probing, and return the available endpoints whose load is known."""
        oldest_ns, probed = request.probed_ns - PROBE_FRESH_NS, request.probed_endpoints
        request.probed_endpoints = []
        return [s for s in probed if s.reported_ns > oldest_ns and self.selection.is_available(s, now_ns)]
