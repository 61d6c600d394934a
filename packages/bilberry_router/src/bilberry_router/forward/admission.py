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

RANKS = {
    Priority.HIGH: QueuePriority.HIGH,
    Priority.NORMAL: QueuePriority.NORMAL,
    Priority.LOW: QueuePriority.LOW,
}


class Entry(StrEnum):
    """Result of a request's wait in the admission queue."""

    ADMITTED = auto()
    SHED = auto()
    LATE = auto()
    GONE = auto()


POINTS = {
    Entry.SHED: FailurePoint.QUEUE_SHED,
    Entry.LATE: FailurePoint.DEADLINE_IN_QUEUE,
    Entry.GONE: FailurePoint.CALLER_GONE_BEFORE_SEND,
}


@dataclass(slots=True, frozen=True)
class Entered:
    """Result of a wait; `retry_after_ms` applies to a shed request."""

    entry: Entry
    retry_after_ms: int = DEFAULT_RETRY_AFTER_MS

    @property
    def point(self) -> FailurePoint:
        """Return the failure point of a request that was not admitted."""
        return POINTS[self.entry]


class Waiter:
    """Represent one waiting request, whose greenlet sleeps on `wakeup`."""

    __slots__ = ("event", "gone", "wakeup")

    def __init__(self) -> None:
        self.wakeup = Wakeup()
        self.event: QueueEvent | None = None
        self.gone = False

    def wake(self, event: QueueEvent) -> None:
        """Wake the waiting greenlet with the queue's decision."""
        self.event = event
        self.wakeup.set()

    def on_hang_up(self) -> None:
        """Wake the waiter as its caller has disconnected.

        Runs in the gevent hub, so it must not block.
        """
        self.gone = True
        self.wakeup.set()


class Gate:
    """Admit requests to the endpoints of one service in one region."""

    __slots__ = ("clock", "pool", "queue", "waiters")

    def __init__(self, pool: Pool, clock: Clock) -> None:
        self.pool = pool
        self.clock = clock
        slots = self.slots()
        self.queue = AdmissionQueue(most_running(slots), min_running=slots)
        self.waiters: dict[int, Waiter] = {}

    def slots(self) -> int:
        """Return this node's share of the endpoints' slots, at least 1."""
        now_ms = self.clock.now_ms()
        slots = sum(
            endpoint.slot_limit(now_ms)
            for endpoint in self.pool.endpoints.values()
            if endpoint.accepts_requests()
        )
        return max(1, slots)

    def resize(self) -> None:
        """Adjust the queue's limits to the pool's current slots."""
        slots = self.slots()
        now_ms = self.clock.now_ms()
        most = most_running(slots)
        self.dispatch(self.queue.set_max_running(most, now_ms, min_running=slots))

    def enter(self, request: ForwardRequest) -> Entered:
        """Wait for a free slot; each admitted request must call `leave`."""
        now_ms = self.clock.now_ms()
        rank = rank_of(request)
        decision = self.queue.offer(rank, request.deadline.expires_ms, now_ms)
        if isinstance(decision, Admit):
            return Entered(Entry.ADMITTED)
        if isinstance(decision, Shed):
            return Entered(Entry.SHED, decision.retry_after_ms)
        self.dispatch(self.queue.expire(now_ms))
        return self.wait(request, decision.ticket)

    def wait(self, request: ForwardRequest, ticket: int) -> Entered:
        """Sleep until a decision, the deadline or the caller's disconnect."""
        waiter = Waiter()
        self.waiters[ticket] = waiter
        request.connection.watch(waiter.on_hang_up)
        left_ms = request.deadline.left_ms(self.clock.now_ms())
        try:
            waiter.wakeup.wait(left_ms / MS_PER_SECOND)
        finally:
            request.connection.unwatch()
            self.waiters.pop(ticket, None)
        if isinstance(waiter.event, Dropped):
            return Entered(Entry.SHED, waiter.event.retry_after_ms)
        if isinstance(waiter.event, Admitted):
            return Entered(Entry.ADMITTED)
        self.queue.cancel(ticket)
        return Entered(Entry.GONE if waiter.gone else Entry.LATE)

    def leave(self, latency_ms: float | None, overloaded: bool) -> None:
        """Release an admitted request's slot and admit waiting requests."""
        now_ms = self.clock.now_ms()
        self.dispatch(self.queue.release(latency_ms, now_ms, overloaded))

    def dispatch(self, events: list[QueueEvent]) -> None:
        """Wake the waiters that the queue has admitted or dropped."""
        for event in events:
            waiter = self.waiters.pop(event.ticket, None)
            if waiter is not None:
                waiter.wake(event)


def most_running(slots: int) -> int:
    """Return the limit of concurrent requests for this node's slots."""
    return slots * DEFAULT_MAX_RUNNING_PER_SLOT


def rank_of(request: ForwardRequest) -> QueuePriority:
    """Return the queue priority; non-idempotent keyed requests go first."""
    if request.key is not None and not request.idempotent:
        return QueuePriority.HIGH
    return RANKS[request.service.priority]
