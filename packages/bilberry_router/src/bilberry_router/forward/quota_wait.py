"""Wait briefly for quota before shedding a request.

Quotas are small token buckets that refill continuously. Without a short
wait, a burst of a few requests would be shed far below capacity.
"""

import gevent

from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND
from bilberry_core.ids import stable_hash
from bilberry_steering.routing_results import Route, Shed, ShedReason

from .regions import Steering
from .request import ForwardRequest

QUOTA_WAIT_MS = 150
QUOTA_POLL_MS = 10
MAX_WAITING = 200


class QuotaWait:
    """Find routes, with a bounded wait for quota."""

    __slots__ = ("clock", "steering", "waiting")

    def __init__(self, steering: Steering, clock: Clock) -> None:
        self.steering = steering
        self.clock = clock
        self.waiting = 0

    def find_route(self, request: ForwardRequest) -> Route | Shed:
        """Return the request's route, after a wait for quota if needed."""
        service, client = request.service_name, request.client
        caller = stable_hash(service, client)
        found = self.steering.route(service, client, caller, self.clock.wall_ms())
        if isinstance(found, Route) or found.reason is not ShedReason.NO_CAPACITY:
            return found
        if self.waiting >= MAX_WAITING:
            return found
        self.waiting += 1
        try:
            return self.wait(request, caller) or found
        finally:
            self.waiting -= 1

    def wait(self, request: ForwardRequest, caller: int) -> Route | None:
        """Retry until there is quota or the wait is over."""
        now_ms = self.clock.now_ms()
        left_ms = min(QUOTA_WAIT_MS, request.deadline.left_ms(now_ms))
        end_ms = now_ms + left_ms
        while self.clock.now_ms() < end_ms:
            gevent.sleep(QUOTA_POLL_MS / MS_PER_SECOND)
            found = self.steering.route_again(
                request.service_name, request.client, caller, self.clock.wall_ms()
            )
            if found is not None:
                return found
        return None
