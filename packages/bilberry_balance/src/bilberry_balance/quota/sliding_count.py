"""Count events in a sliding window."""

from collections import deque


class SlidingCount:
    """Count the events of the last `window_ms`, by parts of `part_ms`.

    An event counts until its whole part has left the window.
    """

    __slots__ = ("part_ms", "parts", "total", "window_ms")

    def __init__(self, window_ms: int, part_ms: int) -> None:
        self.window_ms = window_ms
        self.part_ms = part_ms
        self.parts: deque[list[int]] = deque()
        self.total = 0

    def add(self, now_ms: int) -> None:
        """Count an event."""
        part = now_ms // self.part_ms
        if not self.parts or self.parts[-1][0] < part:
            self.parts.append([part, 0])
        self.parts[-1][1] += 1
        self.total += 1

    def remove(self, at_ms: int) -> None:
        """Take back an event counted at `at_ms`, if it still counts."""
        number = at_ms // self.part_ms
        for part in reversed(self.parts):
            if part[0] <= number:
                if part[0] == number and part[1]:
                    part[1] -= 1
                    self.total -= 1
                return

    def at(self, now_ms: int) -> int:
        """Return the number of events."""
        first = (now_ms - self.window_ms) // self.part_ms
        while self.parts and self.parts[0][0] < first:
            self.total -= self.parts.popleft()[1]
        return self.total
