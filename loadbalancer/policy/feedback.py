"""Periodic adjustment of rates, limits and draw widths (interface types: loadbalancer/messages.py).

A feedback tick runs with the first batch of events that is at least FEEDBACK_INTERVAL_NS after the last tick.
"""

from dataclasses import dataclass

from loadbalancer.policy.concurrency_limit import ConcurrencyLimit
from loadbalancer.policy.draw_width import draw_width
from loadbalancer.policy.fleet_updates import FleetUpdater
from loadbalancer.policy.load_estimate import is_loaded
from loadbalancer.policy.outlier_detection import OutlierDetection
from loadbalancer.policy.rate_control import FEEDBACK_INTERVAL_NS, RateController
from loadbalancer.policy.request_admission import RequestAdmission
from loadbalancer.policy.request_queue import RequestQueue
from loadbalancer.policy.slow_start import SlowStart
from loadbalancer.policy.tenant_throttles import TenantThrottles
from loadbalancer.state.endpoint_pool import EndpointPool
from loadbalancer.state.fleet import Fleet


@dataclass(slots=True, eq=False)
class Feedback:
    """Adjusts rates, limits and draw widths to the results of recent attempts."""

    due_ns: int  # time of the next feedback tick

    fleet: Fleet
    fleet_updater: FleetUpdater
    queues: dict[EndpointPool, RequestQueue]
    throttles: TenantThrottles
    rate_controller: RateController
    concurrency_limit: ConcurrencyLimit
    outlier_detection: OutlierDetection
    slow_start: SlowStart
    request_admission: RequestAdmission

    def adjust(self, now_ns: int) -> None:
        """Run a feedback tick.

        Decays samples, lowers the concurrency limit if necessary, sets draw widths and rates, queues buffered
        requests that have a token at the new rates, and drops unused endpoint states and idle throttles. The
        rates change only at the ticks that end a rate interval (`RateController.adjust`).
        """
        self.due_ns = now_ns + FEEDBACK_INTERVAL_NS
        self.concurrency_limit.decay_and_decrease()
        self.fleet_updater.discard_unused_states()
        self.outlier_detection.decay()
        self._adjust_draw_widths()
        self._adjust_rates(now_ns)
        for throttle in self.throttles.values():
            self.request_admission.release_buffered(throttle, now_ns)
        self.throttles.drop_idle(now_ns)

    def _adjust_draw_widths(self) -> None:
        """Let each pool draw from one more endpoint while its queue is blocked."""
        for pool, queue in self.queues.items():
            pool.set_draw_width(draw_width(pool, queue_is_blocked=queue.blocked_since_ns > 0))

    def _adjust_rates(self, now_ns: int) -> None:
        """Adjust the proxy's and the tenants' rates, and the throughput that slow start assumes."""
        rate_controller = self.rate_controller
        rate_controller.adjust(
            throttles=self.throttles.values(),
            now_ns=now_ns,
            draw_width=self.fleet.default_pool.draw_width,
            is_loaded=is_loaded(self.fleet.endpoints.values(), now_ns),
        )
        # Attempts that endpoints reject or finish late are not part of the throughput that they can sustain.
        self.slow_start.record_throughput(min(rate_controller.attempt_rate, rate_controller.success_rate))
