"""Queue requests for room, the most urgent and useful ones first.

Answers more load than the upstreams have room for: requests that can still
be answered within their objective go before those that are late already.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(slots=True)
class Waiting(Generic[T]):
    """Hold one queued request; times in monotonic ms.

    Until `in_time_ms` a start still makes the objective; at `give_up_ms`
    a start makes no sense any more.
    """

    item: T
    priority: int
    in_time_ms: int
    give_up_ms: int
    order: int = 0


@dataclass(slots=True)
class WaitQueue(Generic[T]):
    """Own the queued requests of one service."""

    waiting: list[Waiting[T]] = field(default_factory=list)
    pushed: int = 0

    def push(self, entry: Waiting[T]) -> None:
        """Add a request behind those of its rank."""
        self.pushed += 1
        entry.order = self.pushed
        self.waiting.append(entry)

    def discard(self, entry: Waiting[T]) -> None:
        """Take a request out, wherever it is."""
        if entry in self.waiting:
            self.waiting.remove(entry)

    def ranked(self, now_ms: int) -> list[Waiting[T]]:
        """Return the requests in the order in which room is given."""
        return sorted(self.waiting, key=lambda entry: _rank(entry, now_ms))

    def ahead_of(self, priority: int) -> int:
        """Return how many would get room before a new request."""
        return sum(entry.priority <= priority for entry in self.waiting)

    def take(self, accept: Callable[[T], bool], now_ms: int, misses: int) -> int:
        """Offer room in order; return how many requests got it.

        Stops after `misses` requests that found none.
        """
        taken = 0
        for entry in self.ranked(now_ms):
            if accept(entry.item):
                self.waiting.remove(entry)
                taken += 1
                continue
            misses -= 1
            if misses <= 0:
                break
        return taken


def _rank(entry: Waiting[T], now_ms: int) -> tuple[int, bool, int]:
    return entry.priority, now_ms > entry.in_time_ms, entry.order
