"""Queue requests that wait for a free slot.

Within a priority, requests that can still meet their latency objective go
before those that can't, so that overload delays only some of them.
"""

from collections import Counter
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(slots=True)
class QueueEntry(Generic[T]):
    """Represent one queued request; times in monotonic ms.

    A request that starts by `in_time_until_ms` still meets its objective; it
    leaves the queue at `give_up_at_ms`. Where one finds no slot, those of
    another `group` may find one.
    """

    item: T
    priority: int
    in_time_until_ms: int
    give_up_at_ms: int
    sequence: int = 0
    group: Hashable = None


@dataclass(slots=True)
class WaitQueue(Generic[T]):
    """Store the queued requests of one service."""

    entries: list[QueueEntry[T]] = field(default_factory=list)
    push_count: int = 0

    def push(self, entry: QueueEntry[T]) -> None:
        """Add a request."""
        self.push_count += 1
        entry.sequence = self.push_count
        self.entries.append(entry)

    def discard(self, entry: QueueEntry[T]) -> None:
        """Remove a request if it is queued."""
        if entry in self.entries:
            self.entries.remove(entry)

    def in_order(self, now_ms: int) -> list[QueueEntry[T]]:
        """Return the requests in the order in which they get slots."""
        return sorted(self.entries, key=lambda entry: _sort_key(entry, now_ms))

    def count_ahead(self, priority: int) -> int:
        """Return how many requests go before a new one."""
        return sum(entry.priority <= priority for entry in self.entries)

    def start_next(
        self, try_start: Callable[[T], bool], now_ms: int, max_misses: int
    ) -> int:
        """Start requests in order; return how many were accepted.

        Try no more of a group after `max_misses` that were not accepted.
        """
        started = 0
        misses: Counter[Hashable] = Counter()
        for entry in self.in_order(now_ms):
            if misses[entry.group] >= max_misses:
                continue
            if try_start(entry.item):
                self.entries.remove(entry)
                started += 1
            else:
                misses[entry.group] += 1
        return started


def _sort_key(entry: QueueEntry[T], now_ms: int) -> tuple[int, bool, int]:
    return entry.priority, now_ms > entry.in_time_until_ms, entry.sequence
