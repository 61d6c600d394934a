"""Keep the requests of all nodes within the rates that upstreams name.

Nodes tell each other the limits that they are told, and the rates at which
they send to limited upstreams. Each takes a share of the limit that follows
its own part of these rates. A small part of the limit is divided equally, so
that any node may begin to send, and shares move to the nodes with more to do.

Many nodes that send rarely each keep to their shares and still exceed the
limit. An upstream is then left to a fraction of the keys, the same ones at all
nodes, so that the others get cached elsewhere.
"""

from collections.abc import Iterable, Mapping

from bilberry_core.const import MS_PER_SECOND
from bilberry_core.ids import HASH_SPACE, stable_hash

from .const import (
    ADMISSION_INTERVAL_MS,
    EQUAL_SHARE_FRACTION,
    MAX_LATE_TURN_MS,
    MAX_SEND_INTERVAL_MS,
    MIN_RATE_LIMIT_PER_S,
    MIN_SEND_RATE_PER_S,
)
from .peer_loads import PeerLoads
from .rate_limit import RateLimitReport
from .upstream import Upstream


class RateLimiter:
    """Limit this node to its share of each limited upstream's request rate."""

    __slots__ = ("node", "node_count", "peer_rates")

    def __init__(self, node: str) -> None:
        self.node = node
        self.node_count = 1
        self.peer_rates = PeerLoads(MIN_SEND_RATE_PER_S)

    def is_allowed(
        self, upstream: Upstream, key: str, waited_ms: int, now_ms: int
    ) -> bool:
        """Return whether this node may send a request for a key now.

        A request that has waited long gets another chance.
        """
        limit = upstream.rate_limit
        if limit.per_s is None:
            return True
        if now_ms < limit.next_send_ms:
            return False
        if limit.admitted >= 1.0:
            return True
        chance = waited_ms // ADMISSION_INTERVAL_MS
        object_key = key or f"{self.node} {now_ms // ADMISSION_INTERVAL_MS}"
        fraction = stable_hash(object_key, upstream.name, str(chance)) / HASH_SPACE
        return fraction < limit.admitted

    def adjust(self, upstreams: Iterable[Upstream], now_ms: int) -> None:
        """Adjust which fraction of the keys may use each upstream."""
        for upstream in upstreams:
            limit = upstream.rate_limit
            if limit.per_s is None:
                limit.admit_all()
                continue
            total_per_s = limit.sent.per_s(now_ms)
            total_per_s += self.peer_rates.total(upstream.name)
            limit.adjust(_effective_per_s(limit.per_s), total_per_s, now_ms)

    def record_sent(self, upstream: Upstream, now_ms: int) -> None:
        """Record a request, and schedule the next one if there is a limit."""
        limit = upstream.rate_limit
        limit.sent.record(now_ms)
        if limit.per_s is not None:
            interval_ms = round(MS_PER_SECOND / self.share_per_s(upstream, now_ms))
            turn_ms = max(limit.next_send_ms, now_ms - MAX_LATE_TURN_MS)
            limit.next_send_ms = turn_ms + min(interval_ms, MAX_SEND_INTERVAL_MS)

    def share_per_s(self, upstream: Upstream, now_ms: int) -> float:
        """Return this node's share of an upstream's limit."""
        limit = upstream.rate_limit
        assert limit.per_s is not None, "only a limit has shares"
        limit_per_s = _effective_per_s(limit.per_s)
        equal_per_s = EQUAL_SHARE_FRACTION * limit_per_s / self.node_count
        own_per_s = limit.sent.per_s(now_ms) + equal_per_s
        others_per_s = self.peer_rates.total(upstream.name)
        others_per_s += equal_per_s * (self.node_count - 1)
        return limit_per_s * own_per_s / (own_per_s + others_per_s)

    def send_rates(
        self, upstreams: Iterable[Upstream], now_ms: int
    ) -> dict[str, float]:
        """Return this node's rates at limited upstreams, not the lowest."""
        rates = {
            upstream.name: round(upstream.rate_limit.sent.per_s(now_ms), 2)
            for upstream in upstreams
            if upstream.rate_limit.per_s is not None
        }
        return {
            name: rate for name, rate in rates.items() if rate >= MIN_SEND_RATE_PER_S
        }


def make_rate_limit_reports(
    upstreams: Iterable[Upstream], now_ms: int
) -> list[RateLimitReport]:
    """Return what answers to this node lately named, for its peers."""
    return [
        RateLimitReport(
            upstream.name,
            upstream.rate_limit.per_s,
            now_ms - upstream.rate_limit.told_at_ms,
            upstream.spec.started_at_ms,
        )
        for upstream in upstreams
        if upstream.rate_limit.is_shared(now_ms)
    ]


def merge_rate_limit_reports(
    reports: Iterable[RateLimitReport], upstreams: Mapping[str, Upstream], now_ms: int
) -> list[Upstream]:
    """Apply a peer's reports; return the upstreams whose limit changed."""
    return [
        upstream
        for report in reports
        if (upstream := upstreams.get(report.upstream)) is not None
        and upstream.spec.started_at_ms == report.started_at_ms
        and upstream.rate_limit.apply(report.per_s, now_ms - report.age_ms)
    ]


def newest_reports(
    groups: Iterable[Iterable[RateLimitReport]],
) -> list[RateLimitReport]:
    """Return the newest report of each incarnation of an upstream."""
    newest: dict[tuple[str, int], RateLimitReport] = {}
    for reports in groups:
        for report in reports:
            incarnation = (report.upstream, report.started_at_ms)
            known = newest.get(incarnation)
            if known is None or report.age_ms < known.age_ms:
                newest[incarnation] = report
    return list(newest.values())


def _effective_per_s(per_s: float) -> float:
    """Return the rate to keep; a few requests must learn when it ends."""
    return max(per_s, MIN_RATE_LIMIT_PER_S)
