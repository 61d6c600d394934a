"""Limit retries to a fraction of the traffic."""

from bilberry_core.const import MS_PER_SECOND

from .const import (
    DEFAULT_MIN_RETRIES_PER_S,
    DEFAULT_RETRY_BURST,
    DEFAULT_RETRY_FRACTION,
)


class RetryBudget:
    """Grant retries in proportion to first attempts, by a token bucket.

    Each first attempt adds `fraction` of a token, each second
    `min_retries_per_s` tokens, up to `burst`. A retry costs one token.
    """

    __slots__ = ("burst", "fraction", "min_retries_per_s", "refilled_ms", "tokens")

    def __init__(
        self,
        fraction: float = DEFAULT_RETRY_FRACTION,
        burst: float = DEFAULT_RETRY_BURST,
        min_retries_per_s: float = DEFAULT_MIN_RETRIES_PER_S,
    ) -> None:
        self.fraction = fraction
        self.burst = burst
        self.min_retries_per_s = min_retries_per_s
        self.tokens = burst
        self.refilled_ms: int | None = None

    def on_request(self, now_ms: int) -> None:
        """Add the tokens for a first attempt."""
        self._refill(now_ms)
        self._add_tokens(self.fraction)

    def has_token(self, now_ms: int) -> bool:
        """Return whether a retry would be granted."""
        self._refill(now_ms)
        return self.tokens >= 1

    def try_take(self, now_ms: int) -> bool:
        """Take the token for a retry; return False if there is none."""
        if not self.has_token(now_ms):
            return False
        self.tokens -= 1
        return True

    def _refill(self, now_ms: int) -> None:
        last_ms = now_ms if self.refilled_ms is None else self.refilled_ms
        self.refilled_ms = now_ms
        self._add_tokens((now_ms - last_ms) * self.min_retries_per_s / MS_PER_SECOND)

    def _add_tokens(self, tokens: float) -> None:
        self.tokens = min(self.burst, self.tokens + tokens)
