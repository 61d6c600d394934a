"""Run scheduled calls in order, on a manual clock."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from bilberry_core.clock import ManualClock

ScheduledCall = tuple[int, int, Callable[..., None], tuple[Any, ...]]


@dataclass(slots=True)
class EventLoop:
    """Hold the scheduled calls; those of the same time run as scheduled."""

    clock: ManualClock = field(default_factory=ManualClock)
    calls: list[ScheduledCall] = field(default_factory=list)
    count: int = 0

    def at(self, at_ms: int, function: Callable[..., None], *args: Any) -> None:
        """Schedule a call."""
        self.count += 1
        heapq.heappush(self.calls, (at_ms, self.count, function, args))

    def after(self, delay_ms: int, function: Callable[..., None], *args: Any) -> None:
        """Schedule a call after a delay."""
        self.at(self.clock.now_ms() + delay_ms, function, *args)

    def run(self, until_ms: int) -> None:
        """Run the calls that are due until a time, in ms of the clock."""
        while self.calls and self.calls[0][0] <= until_ms:
            at_ms, _, function, args = heapq.heappop(self.calls)
            self.clock.advance(at_ms - self.clock.now_ms())
            function(*args)
