"""Limit retries to a fraction of the requests in any window of time."""

from collections import deque
from dataclasses import dataclass

# Parts of a window; requests and retries are counted by part.
PARTS = 20


@dataclass(slots=True)
class WindowPart:
    """Count the requests and retries of one part of a window."""

    started_ms: int
    requests: int = 0
    retries: int = 0


class RetryWindow:
    """Grant retries while a sliding window holds few enough of them.

    In `window_ms` there may be `fraction` retries for each request, and
    `slack` more. Unlike a token bucket of that rate, it grants all of them at
    once, so that a burst of failures within the limit costs no request.
    """

    __slots__ = ("fraction", "part_ms", "parts", "slack", "window_ms")

    def __init__(self, fraction: float, slack: float, window_ms: int) -> None:
        self.fraction = fraction
        self.slack = slack
        self.window_ms = window_ms
        self.part_ms = max(1, window_ms // PARTS)
        self.parts: deque[WindowPart] = deque()

    def on_request(self, now_ms: int) -> None:
        """Count a first attempt."""
        self._current(now_ms).requests += 1

    def has_retry(self, now_ms: int) -> bool:
        """Return whether a retry would be granted."""
        self._expire(now_ms)
        retries = sum(part.retries for part in self.parts)
        whole_since_ms = now_ms - self.window_ms
        requests = sum(
            part.requests for part in self.parts if part.started_ms >= whole_since_ms
        )
        return retries + 1 <= self.fraction * requests + self.slack

    def try_take(self, now_ms: int) -> bool:
        """Count a retry; return False if it is not granted."""
        if not self.has_retry(now_ms):
            return False
        self._current(now_ms).retries += 1
        return True

    def _current(self, now_ms: int) -> WindowPart:
        self._expire(now_ms)
        if not self.parts or now_ms >= self.parts[-1].started_ms + self.part_ms:
            self.parts.append(WindowPart(now_ms))
        return self.parts[-1]

    def _expire(self, now_ms: int) -> None:
        """Drop the parts that lie before the window as a whole."""
        ended_ms = now_ms - self.window_ms - self.part_ms
        while self.parts and self.parts[0].started_ms < ended_ms:
            self.parts.popleft()
