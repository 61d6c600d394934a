"""Token buckets that grant at most their quota in any second."""

from dataclasses import dataclass

from bilberry_core.const import MS_PER_SECOND

from .const import BURST_SHARE, MIN_BURST_TOKENS


@dataclass(slots=True)
class TokenBucket:
    """Grant tokens at a quota per second.

    Depth and refill rate add up to the quota, so that no second grants more,
    even after idle time. The depth is at least `min_depth`. A quota below
    `min_depth` grants nothing, unless the bucket is `average_only`: a small
    quota then holds on average instead of in every second.
    """

    quota: float
    refilled_at_ms: int
    min_depth: float = MIN_BURST_TOKENS
    average_only: bool = False
    refill_per_s: float = 0.0
    depth: float = 0.0
    tokens: float = 0.0
    interval_tokens: float = 0.0

    def __post_init__(self) -> None:
        self.set_quota(self.quota, self.refilled_at_ms)
        self.tokens = self.depth

    def set_quota(self, quota: float, now_ms: int) -> None:
        """Change the quota and discard tokens above the new depth."""
        self.refill(now_ms)
        self.quota = quota
        self.depth = max(self.min_depth, BURST_SHARE * quota)
        self.refill_per_s = quota - self.depth
        if quota < self.min_depth:
            self.depth = self.refill_per_s = 0.0
        if self.average_only and 0 < quota < 2 * self.min_depth:
            self.depth, self.refill_per_s = self.min_depth, quota / 2
        self.tokens = min(self.tokens, self.depth)

    def refill(self, now_ms: int) -> None:
        """Add the tokens since the last refill, up to the depth."""
        if now_ms <= self.refilled_at_ms:
            return
        elapsed_ms = max(0, now_ms - self.refilled_at_ms)
        self.refilled_at_ms = max(self.refilled_at_ms, now_ms)
        gained = self.refill_per_s * elapsed_ms / MS_PER_SECOND
        self.tokens = min(self.depth, self.tokens + gained)

    def can_take(self, cost: float, now_ms: int, reserve_share: float = 0.0) -> bool:
        """Return whether `cost` tokens are available.

        `reserve_share` is the part of the depth that must remain afterwards. A
        cost above the depth needs a full bucket.
        """
        self.refill(now_ms)
        needed = min(cost + reserve_share * self.depth, self.depth)
        return self.depth > 0 and self.tokens >= needed

    def take(self, cost: float) -> None:
        """Remove tokens; a cost above the depth makes the balance negative."""
        self.tokens -= cost

    def refill_interval(self, now_ms: int, interval_ms: int) -> None:
        """Add the tokens of the interval that ends now, without clamping.

        Demand is assumed to be spread evenly over the interval. Tokens from
        before it count only up to the depth.
        """
        if now_ms <= self.refilled_at_ms:
            return
        self.refill(max(self.refilled_at_ms, now_ms - interval_ms))
        gained = self.refill_per_s * (now_ms - self.refilled_at_ms) / MS_PER_SECOND
        self.tokens = min(self.depth, self.tokens) + gained
        self.refilled_at_ms = now_ms
        self.interval_tokens = max(0.0, self.tokens)

    def available_in_interval(
        self, now_ms: int, interval_ms: int, reserve_share: float = 0.0
    ) -> float:
        """Return the tokens left for the interval that ends now.

        `reserve_share` is the share of its tokens that must remain.
        """
        self.refill_interval(now_ms, interval_ms)
        return max(0.0, self.tokens - reserve_share * self.interval_tokens)
