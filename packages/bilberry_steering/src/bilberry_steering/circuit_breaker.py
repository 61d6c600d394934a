"""Circuit breaker that readmits requests gradually."""

from dataclasses import dataclass

from .const import (
    BREAKER_ERROR_SHARE,
    BREAKER_MIN_REQUESTS,
    BREAKER_OPEN_MS,
    BREAKER_RAMP_MS,
    BREAKER_RAMP_START_SHARE,
    BREAKER_WINDOW_MS,
)


@dataclass(slots=True)
class CircuitBreaker:
    """Block a service in one region while its error rate is too high."""

    window_start_ms: int = 0
    requests: float = 0.0
    errors: float = 0.0
    opened_at_ms: int | None = None

    def record(self, ok: bool, now_ms: int, count: float = 1.0) -> None:
        """Count results and open if too many in the window failed."""
        if now_ms - self.window_start_ms >= BREAKER_WINDOW_MS:
            self.window_start_ms = now_ms
            self.requests = self.errors = 0.0
        self.requests += count
        if not ok:
            self.errors += count
        if self.requests < BREAKER_MIN_REQUESTS:
            return
        if self.errors >= BREAKER_ERROR_SHARE * self.requests:
            self.opened_at_ms = now_ms
            self.requests = self.errors = 0.0

    def admitted_share(self, now_ms: int) -> float:
        """Return the share of callers to admit: 0 if open, 1 if closed."""
        if self.opened_at_ms is None:
            return 1.0
        ramp_elapsed_ms = now_ms - self.opened_at_ms - BREAKER_OPEN_MS
        if ramp_elapsed_ms < 0:
            return 0.0
        if ramp_elapsed_ms >= BREAKER_RAMP_MS:
            self.opened_at_ms = None
            return 1.0
        ramp = ramp_elapsed_ms / BREAKER_RAMP_MS
        return BREAKER_RAMP_START_SHARE + (1 - BREAKER_RAMP_START_SHARE) * ramp
