"""Admit, queue or shed the requests of one service in one region.

Waiting requests are ordered by priority, then by deadline. A request is
shed at once if its expected wait exceeds a fraction of its time to the
deadline, or if it would miss the deadline. Once requests have waited
without a break for some time, a standing queue, those below high priority
are shed if they would wait longer than an average request takes. All times
are monotonic ms.
"""

import heapq
from dataclasses import dataclass, field
from enum import IntEnum

from .const import (
    DEFAULT_HIGH_PRIORITY_MAX_WAIT_FRACTION,
    DEFAULT_MAX_WAIT_FRACTION,
    DEFAULT_QUEUE_LENGTH,
    DEFAULT_RETRY_AFTER_MS,
    DEFAULT_STANDING_QUEUE_MAX_SERVICE_TIMES,
    DEFAULT_STANDING_QUEUE_MS,
)
from .limiter import AdaptiveConcurrencyLimit


class QueuePriority(IntEnum):
    """Order waiting requests; the lowest value is served first."""

    HIGH = 0
    NORMAL = 1
    LOW = 2


MAX_WAIT_FRACTIONS = {
    QueuePriority.HIGH: DEFAULT_HIGH_PRIORITY_MAX_WAIT_FRACTION,
    QueuePriority.NORMAL: DEFAULT_MAX_WAIT_FRACTION,
    QueuePriority.LOW: DEFAULT_MAX_WAIT_FRACTION,
}


@dataclass(slots=True, frozen=True)
class Admit:
    """Run the request now."""


@dataclass(slots=True, frozen=True)
class Wait:
    """Queue the request until an event for its ticket follows."""

    ticket: int


@dataclass(slots=True, frozen=True)
class Shed:
    """Refuse the request; it was not run."""

    retry_after_ms: int


@dataclass(slots=True, frozen=True)
class Admitted:
    """Report that a waiting request may run now."""

    ticket: int


@dataclass(slots=True, frozen=True)
class Dropped:
    """Report that a waiting request is refused; it was not run."""

    ticket: int
    retry_after_ms: int


AdmissionDecision = Admit | Wait | Shed
QueueEvent = Admitted | Dropped


@dataclass(slots=True, order=True)
class WaitingRequest:
    """Represent a waiting request; instances sort in order of service."""

    priority: QueuePriority
    deadline_ms: int
    ticket: int
    cancelled: bool = field(default=False, compare=False)


class AdmissionQueue:
    """Queue the requests of a service and region that wait on this node.

    Call `release` once for each admitted request. A waiting request leaves
    the queue by an event, `cancel` or `expire`. `min_running` is this
    node's own number of slots, `max_running` the upper bound on requests
    that it may run at once, `expected_latency_ms` the usual latency, if known.
    """

    __slots__ = (
        "heap",
        "last_ticket",
        "limit",
        "max_length",
        "running",
        "waiting_by_ticket",
        "waiting_since_ms",
    )

    def __init__(
        self,
        max_running: int,
        max_length: int = DEFAULT_QUEUE_LENGTH,
        expected_latency_ms: float | None = None,
        min_running: int = 1,
    ) -> None:
        self.limit = AdaptiveConcurrencyLimit(
            min_running, max_running, expected_latency_ms
        )
        self.max_length = max_length
        self.running = 0
        self.heap: list[WaitingRequest] = []
        self.waiting_by_ticket: dict[int, WaitingRequest] = {}
        self.last_ticket = 0
        self.waiting_since_ms = 0

    def offer(
        self, priority: QueuePriority, deadline_ms: int, now_ms: int
    ) -> AdmissionDecision:
        """Return the decision on a new request.

        A full queue accepts a request that sorts before a waiting one. Call
        `expire` afterwards to drop the request that it displaces.
        """
        if not self.waiting_by_ticket and self.running < self.limit.concurrency:
            self.running += 1
            return Admit()
        entry = WaitingRequest(priority, deadline_ms, self.last_ticket + 1)
        if self._exceeds_wait_limit(entry, now_ms) or not self._has_room(entry):
            return Shed(self.retry_after_ms())
        if not self.waiting_by_ticket:
            self.waiting_since_ms = now_ms
        self.last_ticket = entry.ticket
        self.waiting_by_ticket[entry.ticket] = entry
        heapq.heappush(self.heap, entry)
        return Wait(entry.ticket)

    def release(
        self, latency_ms: float | None, now_ms: int, overloaded: bool = False
    ) -> list[QueueEvent]:
        """End an admitted request; return the events of waiting requests.

        `latency_ms` is None when it doesn't reflect the upstreams' latency;
        `overloaded` is set if the upstream shed the request or it timed out.
        """
        assert self.running > 0, "release without an admitted request"
        self.running -= 1
        self.limit.on_request_end(latency_ms, overloaded, now_ms)
        return self.admit_waiting(now_ms)

    def admit_waiting(self, now_ms: int) -> list[QueueEvent]:
        """Admit waiting requests up to the limit and drop expired ones."""
        events: list[QueueEvent] = []
        while self.heap and self.running < self.limit.concurrency:
            entry = heapq.heappop(self.heap)
            if entry.cancelled:
                continue
            del self.waiting_by_ticket[entry.ticket]
            if entry.deadline_ms <= now_ms:
                events.append(Dropped(entry.ticket, self.retry_after_ms()))
                continue
            self.running += 1
            events.append(Admitted(entry.ticket))
        return [*self.expire(now_ms), *events]

    def expire(self, now_ms: int) -> list[QueueEvent]:
        """Drop waiting requests that are expired or exceed the length."""
        expired = [
            entry
            for entry in self.waiting_by_ticket.values()
            if entry.deadline_ms <= now_ms
        ]
        unexpired_count = len(self.waiting_by_ticket) - len(expired)
        if unexpired_count > self.max_length:
            unexpired = [
                entry
                for entry in self.waiting_by_ticket.values()
                if entry.deadline_ms > now_ms
            ]
            expired += heapq.nlargest(unexpired_count - self.max_length, unexpired)
        for entry in expired:
            self.cancel(entry.ticket)
        return [Dropped(entry.ticket, self.retry_after_ms()) for entry in expired]

    def cancel(self, ticket: int) -> bool:
        """Remove a waiting request; return False if it no longer waits."""
        entry = self.waiting_by_ticket.pop(ticket, None)
        if entry is None:
            return False
        entry.cancelled = True
        self._compact()
        return True

    def set_max_running(
        self, max_running: int, now_ms: int, min_running: int = 1
    ) -> list[QueueEvent]:
        """Change the bounds, for example when this node's shares change."""
        self.limit.set_bounds(min_running, max_running)
        return self.admit_waiting(now_ms)

    def next_deadline_ms(self) -> int | None:
        """Return the time in ms at which to call `expire` next."""
        return min(
            (entry.deadline_ms for entry in self.waiting_by_ticket.values()),
            default=None,
        )

    def retry_after_ms(self) -> int:
        """Return the delay in ms after which a shed caller may retry."""
        return max(
            DEFAULT_RETRY_AFTER_MS, int(self.wait_ms(len(self.waiting_by_ticket)))
        )

    def wait_ms(self, ahead: int) -> float:
        """Return the expected wait in ms behind `ahead` waiting requests."""
        return (ahead + 1) * self.limit.mean_latency_ms / self.limit.concurrency

    def _exceeds_wait_limit(self, entry: WaitingRequest, now_ms: int) -> bool:
        ahead = sum(1 for other in self.waiting_by_ticket.values() if other < entry)
        wait_ms = self.wait_ms(ahead)
        remaining_ms = entry.deadline_ms - now_ms
        if wait_ms > remaining_ms * MAX_WAIT_FRACTIONS[entry.priority]:
            return True
        if entry.priority is not QueuePriority.HIGH and self._has_standing_queue(
            now_ms
        ):
            max_wait_ms = (
                DEFAULT_STANDING_QUEUE_MAX_SERVICE_TIMES * self.limit.mean_latency_ms
            )
            if wait_ms > max_wait_ms:
                return True
        return wait_ms + self.limit.mean_latency_ms > remaining_ms

    def _has_standing_queue(self, now_ms: int) -> bool:
        if not self.waiting_by_ticket:
            return False
        return now_ms - self.waiting_since_ms >= DEFAULT_STANDING_QUEUE_MS

    def _has_room(self, entry: WaitingRequest) -> bool:
        if len(self.waiting_by_ticket) < self.max_length:
            return True
        return any(entry < other for other in self.waiting_by_ticket.values())

    def _compact(self) -> None:
        if len(self.heap) > 2 * len(self.waiting_by_ticket) + 8:
            self.heap = list(self.waiting_by_ticket.values())
            heapq.heapify(self.heap)
