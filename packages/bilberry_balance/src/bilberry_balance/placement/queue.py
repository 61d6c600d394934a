"""Queue requests that wait for a free slot.

Within a priority, requests that can still meet their latency objective go
before those that can't, so that overload delays only some of them.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(slots=True)
class Waiting(Generic[T]):
    """Represent one queued request; times in monotonic ms.

    A request that starts by `in_time_ms` still meets its objective; it
    leaves the queue at `give_up_ms`.
    """

    item: T
    priority: int
    in_time_ms: int
    give_up_ms: int
    order: int = 0


@dataclass(slots=True)
class WaitQueue(Generic[T]):
    """Store the queued requests of one service."""

    waiting: list[Waiting[T]] = field(default_factory=list)
    pushed: int = 0

    def push(self, entry: Waiting[T]) -> None:
        """Add a request."""
        self.pushed += 1
        entry.order = self.pushed
        self.waiting.append(entry)

    def discard(self, entry: Waiting[T]) -> None:
        """Remove a request if it is queued."""
        if entry in self.waiting:
            self.waiting.remove(entry)

    def ranked(self, now_ms: int) -> list[Waiting[T]]:
        """Return the requests in the order in which they get slots."""
        return sorted(self.waiting, key=lambda entry: _rank(entry, now_ms))

    def ahead_of(self, priority: int) -> int:
        """Return how many requests go before a new one."""
        return sum(entry.priority <= priority for entry in self.waiting)

    def take(self, accept: Callable[[T], bool], now_ms: int, misses: int) -> int:
        """Start requests in order; return how many were accepted.

        Stop after `misses` requests that were not accepted.
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
