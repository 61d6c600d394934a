"""Admit a request to the queue, or refuse it at once."""

from dataclasses import dataclass

from bilberry_core.const import MS_PER_SECOND

from .const import MIN_RETRY_AFTER_MS, MIN_START_RATE_PER_S, START_RATE_WEIGHT

RATE_WINDOW_MS = 500


@dataclass(slots=True)
class StartRate:
    """Estimate the rate at which requests of a service start.

    The rate is an exponentially weighted mean over `RATE_WINDOW_MS` windows.
    """

    per_s: float = 0.0
    window_start_ms: int = 0
    window_count: int = 0

    def record_start(self, now_ms: int) -> None:
        """Count a request that started."""
        self.advance_window(now_ms)
        self.window_count += 1

    def advance_window(self, now_ms: int) -> None:
        """Update the rate if the current window has ended."""
        length_ms = now_ms - self.window_start_ms
        if length_ms < RATE_WINDOW_MS:
            return
        rate = self.window_count * MS_PER_SECOND / length_ms
        if self.per_s == 0.0:
            self.per_s = rate
        else:
            self.per_s += START_RATE_WEIGHT * (rate - self.per_s)
        self.window_start_ms = now_ms
        self.window_count = 0

    def expected_wait_ms(self, ahead: int, now_ms: int) -> int:
        """Return the expected wait in ms behind `ahead` other requests.

        Return 0 until a rate has been measured.
        """
        self.advance_window(now_ms)
        if self.per_s == 0.0:
            return 0
        rate = max(self.per_s, MIN_START_RATE_PER_S)
        return int((ahead + 1) * MS_PER_SECOND / rate)


@dataclass(slots=True, frozen=True)
class Refusal:
    """Represent a refusal; the caller may retry after `retry_after_ms`."""

    retry_after_ms: int


def admit(expected_wait_ms: int, max_wait_ms: int) -> Refusal | None:
    """Return a refusal if the expected wait is longer than allowed."""
    if expected_wait_ms <= max_wait_ms:
        return None
    return Refusal(max(MIN_RETRY_AFTER_MS, expected_wait_ms))
