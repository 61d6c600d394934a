"""Tell other nodes which upstreams are slow.

In a large fleet a node sends few requests to each upstream, and would learn
of each slow one at the price of a late request. The latest observation of any
node counts for all of them, also one that finds it fast again.

A node that finds most upstreams slow is slow itself, or its network is: it
only passes on what it heard.
"""

from collections.abc import Collection, Iterable, Mapping

import msgspec

from .const import MAX_SHARED_REPORTS, MAX_SLOW_FRACTION
from .upstream import Upstream


class SlowReport(msgspec.Struct, frozen=True, array_like=True):
    """Report how slow an upstream was when last observed.

    `slow_ratio` is the mean ratio of its processing times to the expected
    ones, and `age_ms` the age of the last observation when sent. It is of the
    incarnation that started at `started_at_ms`, and tells nothing of others.
    """

    upstream: str
    slow_ratio: float
    age_ms: int
    started_at_ms: int = 0


def make_slow_reports(upstreams: Collection[Upstream], now_ms: int) -> list[SlowReport]:
    """Return reports of the upstreams lately found slow, the newest first."""
    observed = [upstream for upstream in upstreams if upstream.is_observed(now_ms)]
    slow_count = sum(upstream.is_slow(now_ms) for upstream in observed)
    # A single one may be all that it observed.
    is_reliable = slow_count <= max(1, MAX_SLOW_FRACTION * len(observed))
    reports = [
        SlowReport(
            upstream.name,
            round(upstream.slow_ratio, 1),
            now_ms - upstream.slow_ratio_at_ms,
            upstream.spec.started_at_ms,
        )
        for upstream in upstreams
        if upstream.is_slowness_shared(now_ms)
        and (is_reliable or upstream.observed_at_ms != upstream.slow_ratio_at_ms)
    ]
    reports.sort(key=lambda report: report.age_ms)
    return reports[:MAX_SHARED_REPORTS]


def merge_slow_reports(
    reports: Iterable[SlowReport], upstreams: Mapping[str, Upstream], now_ms: int
) -> list[str]:
    """Apply a peer's reports that are newer than what is known here.

    Return the upstreams that count as slow now, and did not before.
    """
    newly_slow = []
    for report in reports:
        upstream = upstreams.get(report.upstream)
        if upstream is None or upstream.spec.started_at_ms != report.started_at_ms:
            continue
        was_slow = upstream.is_slow(now_ms)
        upstream.on_slow_report(report.slow_ratio, now_ms - report.age_ms)
        if upstream.is_slow(now_ms) and not was_slow:
            newly_slow.append(upstream.name)
    return newly_slow
