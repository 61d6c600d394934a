"""Bound the rate of log lines that others can cause."""

from dataclasses import dataclass


@dataclass(slots=True)
class ThrottledLines:
    """Store when a line was last logged, and how many were left out since."""

    logged_at_ms: int
    left_out: int = 0


class LogThrottle:
    """Allow one log line of each kind in an interval.

    Callers of `admit` must name kinds from a bounded set.
    """

    __slots__ = ("interval_ms", "kinds")

    def __init__(self, interval_ms: int) -> None:
        self.interval_ms = interval_ms
        self.kinds: dict[str, ThrottledLines] = {}

    def admit(self, kind: str, now_ms: int) -> int | None:
        """Return how many lines were left out before it, None to omit it."""
        lines = self.kinds.get(kind)
        if lines is not None and now_ms - lines.logged_at_ms < self.interval_ms:
            lines.left_out += 1
            return None
        self.kinds[kind] = ThrottledLines(now_ms)
        return lines.left_out if lines is not None else 0
