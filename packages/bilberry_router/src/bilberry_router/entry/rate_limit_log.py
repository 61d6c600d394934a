"""Log the rate limits that upstreams name, and what this node sends them."""

import logging
from dataclasses import dataclass

from bilberry_balance.placement.upstream import Upstream
from bilberry_core.clock import Clock

_LOGGER = logging.getLogger(__name__)

LOG_INTERVAL_MS = 1_000


@dataclass(slots=True)
class SentCount:
    """Count the requests at a limited upstream since a line was logged."""

    logged_at_ms: int
    first_attempts: int = 0
    retries: int = 0


class RateLimitLog:
    """Log the requests that upstreams with a rate limit get."""

    __slots__ = ("clock", "counts")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.counts: dict[str, SentCount] = {}

    def record_attempt(self, upstream: Upstream, is_retry: bool) -> None:
        """Count an attempt; log the counts at regular intervals."""
        if upstream.rate_limit.per_s is None:
            self.counts.pop(upstream.name, None)
            return
        now_ms = self.clock.now_ms()
        count = self.counts.setdefault(upstream.name, SentCount(now_ms))
        if is_retry:
            count.retries += 1
        else:
            count.first_attempts += 1
        if now_ms - count.logged_at_ms < LOG_INTERVAL_MS:
            return
        _LOGGER.info(
            "entry: Upstream %s, limit %.1f requests/s: %d first attempts and "
            "%d retries in %d ms.",
            upstream.name,
            upstream.rate_limit.per_s,
            count.first_attempts,
            count.retries,
            now_ms - count.logged_at_ms,
        )
        self.counts[upstream.name] = SentCount(now_ms)


def log_rate_limit(upstream: Upstream, source: str) -> None:
    """Log a changed limit; `source` is who told it."""
    if upstream.rate_limit.per_s is None:
        _LOGGER.info("entry: Upstream %s has no limit, by %s.", upstream.name, source)
        return
    _LOGGER.info(
        "entry: Upstream %s takes %.1f requests/s of all nodes, by %s.",
        upstream.name,
        upstream.rate_limit.per_s,
        source,
    )
