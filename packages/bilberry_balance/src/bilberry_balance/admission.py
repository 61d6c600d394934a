"""Admit, queue or shed the requests of one service in one region.

Waiting requests are ordered by priority, then by deadline. A request is
shed at once if its expected wait exceeds a fraction of its time to the
deadline, or if it would miss the deadline. All times are monotonic ms.
"""

import heapq
from dataclasses import dataclass, field
from enum import IntEnum

from .const import (
    DEFAULT_BOOKING_WAIT_PART,
    DEFAULT_QUEUE_LENGTH,
    DEFAULT_RETRY_AFTER_MS,
    DEFAULT_STANDING_MS,
    DEFAULT_WAIT_PART,
    DEFAULT_WAIT_SERVICES,
)
from .limiter import AdaptiveLimit


class Rank(IntEnum):
    """Order waiting requests; the lowest value is served first."""

    BOOKING = 0
    NORMAL = 1
    LOW = 2


WAIT_PARTS = {
    Rank.BOOKING: DEFAULT_BOOKING_WAIT_PART,
    Rank.NORMAL: DEFAULT_WAIT_PART,
    Rank.LOW: DEFAULT_WAIT_PART,
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


Decision = Admit | Wait | Shed
Event = Admitted | Dropped


@dataclass(slots=True, order=True)
class Waiting:
    """Represent a waiting request; instances sort in order of service."""

    rank: Rank
    deadline_ms: int
    ticket: int
    gone: bool = field(default=False, compare=False)


class AdmissionQueue:
    """Queue the requests of a service and region that wait on this node.

    Call `release` once for each admitted request. A waiting request leaves
    the queue by an event, `cancel` or `expire`. `min_running` is this
    node's own number of slots, `max_running` the upper bound on requests
    that it may run at once, and `service_ms` the expected latency, if known.
    """

    __slots__ = (
        "by_ticket",
        "heap",
        "last_ticket",
        "length",
        "limit",
        "running",
        "standing_from_ms",
    )

    def __init__(
        self,
        max_running: int,
        length: int = DEFAULT_QUEUE_LENGTH,
        service_ms: float | None = None,
        min_running: int = 1,
    ) -> None:
        self.limit = AdaptiveLimit(min_running, max_running, service_ms)
        self.length = length
        self.running = 0
        self.heap: list[Waiting] = []
        self.by_ticket: dict[int, Waiting] = {}
        self.last_ticket = 0
        self.standing_from_ms = 0

    def offer(self, rank: Rank, deadline_ms: int, now_ms: int) -> Decision:
        """Return the decision on a new request.

        A full queue accepts a request that sorts before a waiting one. Call
        `expire` afterwards to drop the request that it displaces.
        """
        if not self.by_ticket and self.running < self.limit.running:
            self.running += 1
            return Admit()
        entry = Waiting(rank, deadline_ms, self.last_ticket + 1)
        if self._would_be_late(entry, now_ms) or not self._has_room(entry):
            return Shed(self.retry_after_ms())
        if not self.by_ticket:
            self.standing_from_ms = now_ms
        self.last_ticket = entry.ticket
        self.by_ticket[entry.ticket] = entry
        heapq.heappush(self.heap, entry)
        return Wait(entry.ticket)

    def release(
        self, latency_ms: float | None, now_ms: int, overloaded: bool = False
    ) -> list[Event]:
        """End an admitted request; return the events of waiting requests.

        `latency_ms` is None when it doesn't reflect the upstreams' latency;
        `overloaded` is set if the upstream shed the request or it timed out.
        """
        assert self.running > 0, "release without an admitted request"
        self.running -= 1
        self.limit.on_end(latency_ms, overloaded, now_ms)
        return self.advance(now_ms)

    def advance(self, now_ms: int) -> list[Event]:
        """Admit waiting requests up to the limit and drop expired ones."""
        events: list[Event] = []
        while self.heap and self.running < self.limit.running:
            entry = heapq.heappop(self.heap)
            if entry.gone:
                continue
            del self.by_ticket[entry.ticket]
            if entry.deadline_ms <= now_ms:
                events.append(Dropped(entry.ticket, self.retry_after_ms()))
                continue
            self.running += 1
            events.append(Admitted(entry.ticket))
        return [*self.expire(now_ms), *events]

    def expire(self, now_ms: int) -> list[Event]:
        """Drop waiting requests that are expired or exceed the length."""
        late = [e for e in self.by_ticket.values() if e.deadline_ms <= now_ms]
        kept = len(self.by_ticket) - len(late)
        if kept > self.length:
            rest = [e for e in self.by_ticket.values() if e.deadline_ms > now_ms]
            late += heapq.nlargest(kept - self.length, rest)
        for entry in late:
            self.cancel(entry.ticket)
        return [Dropped(e.ticket, self.retry_after_ms()) for e in late]

    def cancel(self, ticket: int) -> bool:
        """Remove a waiting request; return False if it no longer waits."""
        entry = self.by_ticket.pop(ticket, None)
        if entry is None:
            return False
        entry.gone = True
        self._compact()
        return True

    def set_max_running(
        self, max_running: int, now_ms: int, min_running: int = 1
    ) -> list[Event]:
        """Change the bounds, for example when this node's shares change."""
        self.limit.set_bounds(min_running, max_running)
        return self.advance(now_ms)

    def next_deadline_ms(self) -> int | None:
        """Return the time in ms at which to call `expire` next."""
        return min((e.deadline_ms for e in self.by_ticket.values()), default=None)

    def retry_after_ms(self) -> int:
        """Return the delay in ms after which a shed caller may retry."""
        return max(DEFAULT_RETRY_AFTER_MS, int(self.wait_ms(len(self.by_ticket))))

    def wait_ms(self, ahead: int) -> float:
        """Return the expected wait in ms behind `ahead` waiting requests."""
        return (ahead + 1) * self.limit.service_ms / self.limit.running

    def _would_be_late(self, entry: Waiting, now_ms: int) -> bool:
        ahead = sum(1 for other in self.by_ticket.values() if other < entry)
        wait_ms = self.wait_ms(ahead)
        left_ms = entry.deadline_ms - now_ms
        if wait_ms > left_ms * WAIT_PARTS[entry.rank]:
            return True
        if entry.rank is not Rank.BOOKING and self._is_standing(now_ms):
            too_long_ms = DEFAULT_WAIT_SERVICES * self.limit.service_ms
            if wait_ms > too_long_ms:
                return True
        return wait_ms + self.limit.service_ms > left_ms

    def _is_standing(self, now_ms: int) -> bool:
        if not self.by_ticket:
            return False
        return now_ms - self.standing_from_ms >= DEFAULT_STANDING_MS

    def _has_room(self, entry: Waiting) -> bool:
        if len(self.by_ticket) < self.length:
            return True
        return any(entry < other for other in self.by_ticket.values())

    def _compact(self) -> None:
        if len(self.heap) > 2 * len(self.by_ticket) + 8:
            self.heap = list(self.by_ticket.values())
            heapq.heapify(self.heap)
