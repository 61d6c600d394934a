"""Know at all nodes which upstreams have ended, and start again cold.

An upstream that refuses connections has ended, and what answers at its address
next has just started. In a large fleet each node sends it few requests: many
don't notice that it was away, and if all that did tried it at once when it is
back, they alone would exceed what it bears. So nodes tell each other, and take
turns until it answers, as they do while it is cold.
"""

from collections.abc import Callable, Collection, Iterable

import msgspec

from bilberry_resources.routing import PoolConfig

from .const import LATE_ANSWER_MS, MAX_SHARED_REPORTS
from .directory import UpstreamDirectory
from .upstream import Upstream


class RestartReport(msgspec.Struct, frozen=True, array_like=True):
    """Report that an incarnation of an upstream has ended, or answers again.

    `age_ms` is the age of the observation when sent.
    """

    upstream: str
    started_at_ms: int
    has_ended: bool
    age_ms: int


class RestartTracker:
    """Track which upstreams have ended; the newest observation counts."""

    __slots__ = ("directory", "pool_of")

    def __init__(
        self, directory: UpstreamDirectory, pool_of: Callable[[str], PoolConfig]
    ) -> None:
        self.directory = directory
        self.pool_of = pool_of

    def on_unreachable(self, upstream: Upstream, refused: bool, now_ms: int) -> bool:
        """Record a failed connect; return whether the upstream has ended.

        One that still works on a request of this node only refuses more of
        them.
        """
        upstream.on_unreachable(now_ms)
        if refused and upstream.in_flight <= 1:
            self._observe_end(upstream, now_ms)
        return upstream.restart.has_ended

    def on_answer(self, upstream: Upstream, now_ms: int) -> None:
        """Record a complete answer; after an outage, treat it as cold."""
        was_unreachable = upstream.unreachable
        upstream.on_answer(now_ms)
        if upstream.restart.has_ended:
            self._observe_start(upstream, now_ms, now_ms)
        elif was_unreachable:
            self._mark_cold(upstream, now_ms, now_ms)

    def make_reports(self, now_ms: int) -> list[RestartReport]:
        """Return what peers should know, the newest first."""
        reports = [
            RestartReport(
                upstream.name,
                upstream.spec.started_at_ms,
                upstream.restart.has_ended,
                now_ms - upstream.restart.observed_at_ms,
            )
            for upstream in self.directory.by_name.values()
            if upstream.restart.is_shared(now_ms)
        ]
        reports.sort(key=lambda report: report.age_ms)
        return reports[:MAX_SHARED_REPORTS]

    def merge(self, reports: Iterable[RestartReport], now_ms: int) -> Collection[str]:
        """Apply what a peer observed; return the upstreams found ended."""
        ended = []
        for report in reports:
            upstream = self.directory.by_name.get(report.upstream)
            if upstream is None or upstream.spec.started_at_ms != report.started_at_ms:
                continue
            at_ms = now_ms - report.age_ms
            if at_ms <= upstream.restart.observed_at_ms:
                continue
            if not report.has_ended:
                self._observe_start(upstream, at_ms, now_ms)
            elif upstream.has_answered_since(at_ms + LATE_ANSWER_MS):
                self._observe_start(upstream, upstream.answered_at_ms or at_ms, now_ms)
            elif self._observe_end(upstream, at_ms):
                ended.append(upstream.name)
        return ended

    def _observe_end(self, upstream: Upstream, at_ms: int) -> bool:
        """Let requests take turns from now on; return whether this is new."""
        if not upstream.restart.observe(True, at_ms):
            return False
        pool = self.pool_of(upstream.spec.service)
        self.directory.cold_rate_limiter.schedule_first(
            upstream, pool.cold_requests_per_s, at_ms
        )
        return True

    def _observe_start(self, upstream: Upstream, at_ms: int, now_ms: int) -> None:
        """Record that an upstream has started, at `at_ms` or before."""
        upstream.restart.observe(False, at_ms)
        upstream.unreachable = False
        self._mark_cold(upstream, at_ms, now_ms)

    def _mark_cold(self, upstream: Upstream, from_ms: int, now_ms: int) -> None:
        pool = self.pool_of(upstream.spec.service)
        left_ms = from_ms + pool.cold_start_ms - now_ms
        self.directory.mark_cold(upstream, left_ms, pool.cold_requests_per_s, now_ms)
