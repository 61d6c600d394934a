"""Rate limit for a node's calls to the store."""

from dataclasses import dataclass

from bilberry_core.const import MS_PER_SECOND


@dataclass(slots=True)
class RateLimiter:
    """Limit calls by a token bucket.

    The bucket gains `rate_per_s` tokens per second and holds `burst`.
    """

    rate_per_s: float
    burst: int
    tokens: float = 0.0
    refilled_at_ms: int = 0
    refused_calls: int = 0

    def __post_init__(self) -> None:
        """Start with a full bucket."""
        self.tokens = float(self.burst)

    def try_acquire(self, now_ms: int) -> bool:
        """Take a token for one call; return False if there is none."""
        self.refill(now_ms)
        if self.tokens < 1.0:
            self.refused_calls += 1
            return False
        self.tokens -= 1.0
        return True

    def refill(self, now_ms: int) -> None:
        """Add the tokens gained since the last refill."""
        elapsed_ms = max(0, now_ms - self.refilled_at_ms)
        gained = elapsed_ms * self.rate_per_s / MS_PER_SECOND
        self.tokens = min(float(self.burst), self.tokens + gained)
        self.refilled_at_ms = now_ms

    def time_until_allowed_ms(self, now_ms: int) -> int:
        """Return the time in ms until the next call is allowed."""
        self.refill(now_ms)
        missing = max(0.0, 1.0 - self.tokens)
        return int(missing * MS_PER_SECOND / self.rate_per_s + 0.999)
