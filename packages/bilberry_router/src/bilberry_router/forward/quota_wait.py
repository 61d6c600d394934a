"""Wait briefly for quota before shedding a request.

Quotas are small token buckets that refill continuously. Without a short
wait, a burst of a few requests would be shed far below capacity.
"""

import gevent

from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND
from bilberry_core.ids import stable_hash
from bilberry_steering.routing_results import Route, Shed, ShedReason

from .request import ForwardRequest
from .steering import Steering

QUOTA_WAIT_MS = 150
QUOTA_POLL_MS = 10
MAX_WAITING = 200


class QuotaWaiter:
    """Find routes, with a bounded wait for quota."""

    __slots__ = ("clock", "steering", "waiting_count")

    def __init__(self, steering: Steering, clock: Clock) -> None:
        self.steering = steering
        self.clock = clock
        self.waiting_count = 0

    def find_route(self, request: ForwardRequest) -> Route | Shed:
        """Return the request's route, after a wait for quota if needed."""
        service, client_ip = request.service_name, request.client_ip
        request_hash = stable_hash(service, client_ip)
        route = self.steering.route(
            service, client_ip, request_hash, self.clock.wall_ms()
        )
        if isinstance(route, Route) or route.reason is not ShedReason.NO_CAPACITY:
            return route
        if self.waiting_count >= MAX_WAITING:
            return route
        self.waiting_count += 1
        try:
            return self.wait_for_quota(request, request_hash) or route
        finally:
            self.waiting_count -= 1

    def wait_for_quota(
        self, request: ForwardRequest, request_hash: int
    ) -> Route | None:
        """Retry until there is quota or the wait is over."""
        now_ms = self.clock.now_ms()
        left_ms = min(QUOTA_WAIT_MS, request.deadline.left_ms(now_ms))
        ends_at_ms = now_ms + left_ms
        while self.clock.now_ms() < ends_at_ms:
            gevent.sleep(QUOTA_POLL_MS / MS_PER_SECOND)
            route = self.steering.route_again(
                request.service_name,
                request.client_ip,
                request_hash,
                self.clock.wall_ms(),
            )
            if route is not None:
                return route
        return None
