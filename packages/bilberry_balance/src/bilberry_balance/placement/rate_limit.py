"""State of the request rate that one upstream takes; times in ms."""

import math
from dataclasses import dataclass, field

import msgspec

from bilberry_core.const import MS_PER_SECOND

from .const import (
    MAX_EXCESS_FRACTION,
    MAX_EXCESS_PER_S,
    MIN_ADMITTED,
    RATE_LIMIT_SHARE_MS,
    SEND_RATE_WINDOW_MS,
)


class RateLimitReport(msgspec.Struct, frozen=True, array_like=True):
    """Report the limit that an upstream named, None if it named none.

    `age_ms` is the age of the answer that told when the report is sent. It is
    of the incarnation that started at `started_at_ms`.
    """

    upstream: str
    per_s: float | None
    age_ms: int
    started_at_ms: int = 0


@dataclass(slots=True)
class SendRate:
    """Store an exponentially decaying rate of requests."""

    decayed_per_s: float = 0.0
    at_ms: int = 0

    def record(self, now_ms: int) -> None:
        """Record that a request is sent."""
        self.decayed_per_s = self.per_s(now_ms) + MS_PER_SECOND / SEND_RATE_WINDOW_MS
        self.at_ms = now_ms

    def per_s(self, now_ms: int) -> float:
        """Return the requests a second."""
        age_ms = max(0, now_ms - self.at_ms)
        return self.decayed_per_s * math.exp(-age_ms / SEND_RATE_WINDOW_MS)


@dataclass(slots=True)
class RateLimit:
    """Store how many requests a second an upstream takes of all nodes.

    `per_s` is None while it names no limit. The newest answer, at
    `told_at_ms`, counts whichever node got it; `answered_at_ms` is that of
    this node's newest one. The limit began or ended at `changed_at_ms`.

    `sent` is the rate of this node's own requests, of which the next may
    follow at `next_send_ms`. `admitted` is the fraction of the keys that may
    use the upstream, and `mean_admitted` its mean while `sent` was measured.
    """

    per_s: float | None = None
    told_at_ms: int = 0
    answered_at_ms: int = 0
    changed_at_ms: int = -RATE_LIMIT_SHARE_MS
    next_send_ms: int = 0
    admitted: float = 1.0
    mean_admitted: float = 1.0
    adjusted_at_ms: int = 0
    sent: SendRate = field(default_factory=SendRate)

    def on_answer(self, per_s: float | None, now_ms: int) -> bool:
        """Apply the limit in an answer; return whether it changed."""
        self.answered_at_ms = now_ms
        return self.apply(per_s, now_ms)

    def apply(self, per_s: float | None, told_at_ms: int) -> bool:
        """Apply a limit unless a newer one is known; return if it changed."""
        if told_at_ms < self.told_at_ms:
            return False
        previous = self.per_s
        self.per_s = per_s
        self.told_at_ms = told_at_ms
        if (per_s is None) is not (previous is None):
            self.changed_at_ms = told_at_ms
        return per_s != previous

    def adjust(self, limit_per_s: float, total_per_s: float, now_ms: int) -> None:
        """Admit the fraction of keys with which all nodes send the limit.

        `total_per_s` is their rate, with `mean_admitted` of the keys.
        """
        weight = math.exp((self.adjusted_at_ms - now_ms) / SEND_RATE_WINDOW_MS)
        self.mean_admitted = self.admitted + weight * (
            self.mean_admitted - self.admitted
        )
        self.adjusted_at_ms = now_ms
        most_per_s = limit_per_s * (1 + MAX_EXCESS_FRACTION) + MAX_EXCESS_PER_S
        if total_per_s >= most_per_s:
            self.admitted = 0.0
        elif total_per_s > 0:
            wanted_per_s = total_per_s / max(self.mean_admitted, MIN_ADMITTED)
            self.admitted = min(1.0, limit_per_s / wanted_per_s)
        else:
            self.admitted = 1.0

    def busy_slots(self, slots: int, processing_ms: float) -> int:
        """Return how many of an upstream's slots its limit keeps busy."""
        if self.per_s is None:
            return slots
        return min(slots, math.ceil(self.per_s * processing_ms / MS_PER_SECOND))

    def admit_all(self) -> None:
        """Admit all keys, without a limit."""
        self.admitted = 1.0
        self.mean_admitted = 1.0

    def is_shared(self, now_ms: int) -> bool:
        """Return whether to tell peers what this node was told last."""
        if now_ms - self.answered_at_ms >= RATE_LIMIT_SHARE_MS:
            return False
        has_just_ended = now_ms - self.changed_at_ms < RATE_LIMIT_SHARE_MS
        is_own = self.answered_at_ms == self.told_at_ms
        return is_own and (self.per_s is not None or has_just_ended)
