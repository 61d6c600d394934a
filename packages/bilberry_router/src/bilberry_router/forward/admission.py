"""Queue requests at the node until the endpoints have free slots."""

from dataclasses import dataclass
from enum import StrEnum, auto

from gevent.event import Event as Wakeup

from bilberry_balance.admission import (
    AdmissionQueue,
    Admit,
    Admitted,
    Dropped,
    QueueEvent,
    QueuePriority,
    Shed,
)
from bilberry_balance.const import DEFAULT_MAX_RUNNING_PER_SLOT, DEFAULT_RETRY_AFTER_MS
from bilberry_balance.outcomes import FailurePoint
from bilberry_balance.pool import Pool
from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND
from bilberry_resources.kinds.services import Priority

from .request import ForwardRequest

QUEUE_PRIORITIES = {
    Priority.HIGH: QueuePriority.HIGH,
    Priority.NORMAL: QueuePriority.NORMAL,
    Priority.LOW: QueuePriority.LOW,
}


class AdmissionStatus(StrEnum):
    """Result of a request's wait in the admission queue."""

    ADMITTED = auto()
    SHED = auto()
    EXPIRED = "late"
    CALLER_GONE = "gone"


FAILURE_POINT_BY_STATUS = {
    AdmissionStatus.SHED: FailurePoint.QUEUE_SHED,
    AdmissionStatus.EXPIRED: FailurePoint.DEADLINE_IN_QUEUE,
    AdmissionStatus.CALLER_GONE: FailurePoint.CALLER_GONE_BEFORE_SEND,
}


@dataclass(slots=True, frozen=True)
class AdmissionResult:
    """Result of a wait; `retry_after_ms` applies to a shed request."""

    status: AdmissionStatus
    retry_after_ms: int = DEFAULT_RETRY_AFTER_MS

    @property
    def failure_point(self) -> FailurePoint:
        """Return the failure point of a request that was not admitted."""
        return FAILURE_POINT_BY_STATUS[self.status]


class Waiter:
    """Represent one waiting request, whose greenlet sleeps on `wakeup`."""

    __slots__ = ("caller_gone", "event", "wakeup")

    def __init__(self) -> None:
        self.wakeup = Wakeup()
        self.event: QueueEvent | None = None
        self.caller_gone = False

    def wake(self, event: QueueEvent) -> None:
        """Wake the waiting greenlet with the queue's decision."""
        self.event = event
        self.wakeup.set()

    def on_disconnect(self) -> None:
        """Wake the waiter as its caller has disconnected.

        Runs in the gevent hub, so it must not block.
        """
        self.caller_gone = True
        self.wakeup.set()


class AdmissionController:
    """Admit requests to the endpoints of one service in one region."""

    __slots__ = ("clock", "pool", "queue", "waiters")

    def __init__(self, pool: Pool, clock: Clock) -> None:
        self.pool = pool
        self.clock = clock
        own_slots = self.own_slots()
        self.queue = AdmissionQueue(max_concurrency(own_slots), min_running=own_slots)
        self.waiters: dict[int, Waiter] = {}

    def own_slots(self) -> int:
        """Return this node's share of the endpoints' slots, at least 1."""
        now_ms = self.clock.now_ms()
        own_slots = sum(
            endpoint.slot_limit(now_ms)
            for endpoint in self.pool.endpoints.values()
            if endpoint.accepts_requests()
        )
        return max(1, own_slots)

    def update_limits(self) -> None:
        """Adjust the queue's limits to the pool's current slots."""
        own_slots = self.own_slots()
        now_ms = self.clock.now_ms()
        max_running = max_concurrency(own_slots)
        self.dispatch(
            self.queue.set_max_running(max_running, now_ms, min_running=own_slots)
        )

    def acquire(self, request: ForwardRequest) -> AdmissionResult:
        """Wait for a free slot; each admitted request must call `release`."""
        now_ms = self.clock.now_ms()
        rank = queue_priority(request)
        decision = self.queue.offer(rank, request.deadline.expires_ms, now_ms)
        if isinstance(decision, Admit):
            return AdmissionResult(AdmissionStatus.ADMITTED)
        if isinstance(decision, Shed):
            return AdmissionResult(AdmissionStatus.SHED, decision.retry_after_ms)
        self.dispatch(self.queue.expire(now_ms))
        return self.wait_for_decision(request, decision.ticket)

    def wait_for_decision(
        self, request: ForwardRequest, ticket: int
    ) -> AdmissionResult:
        """Sleep until a decision, the deadline or the caller's disconnect."""
        waiter = Waiter()
        self.waiters[ticket] = waiter
        request.connection.watch(waiter.on_disconnect)
        left_ms = request.deadline.left_ms(self.clock.now_ms())
        try:
            waiter.wakeup.wait(left_ms / MS_PER_SECOND)
        finally:
            request.connection.unwatch()
            self.waiters.pop(ticket, None)
        if isinstance(waiter.event, Dropped):
            return AdmissionResult(AdmissionStatus.SHED, waiter.event.retry_after_ms)
        if isinstance(waiter.event, Admitted):
            return AdmissionResult(AdmissionStatus.ADMITTED)
        self.queue.cancel(ticket)
        return AdmissionResult(
            AdmissionStatus.CALLER_GONE
            if waiter.caller_gone
            else AdmissionStatus.EXPIRED
        )

    def release(self, latency_ms: float | None, overloaded: bool) -> None:
        """Release an admitted request's slot and admit waiting requests."""
        now_ms = self.clock.now_ms()
        self.dispatch(self.queue.release(latency_ms, now_ms, overloaded))

    def dispatch(self, events: list[QueueEvent]) -> None:
        """Wake the waiters that the queue has admitted or dropped."""
        for event in events:
            waiter = self.waiters.pop(event.ticket, None)
            if waiter is not None:
                waiter.wake(event)


def max_concurrency(own_slots: int) -> int:
    """Return the limit of concurrent requests for this node's slots."""
    return own_slots * DEFAULT_MAX_RUNNING_PER_SLOT


def queue_priority(request: ForwardRequest) -> QueuePriority:
    """Return the queue priority; non-idempotent keyed requests go first."""
    if request.key is not None and not request.is_idempotent:
        return QueuePriority.HIGH
    return QUEUE_PRIORITIES[request.service.priority]
