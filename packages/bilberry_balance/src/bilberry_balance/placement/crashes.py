"""Detect requests that crash upstreams, and quarantine them.

A request that is repeated can crash one upstream after the other. A lost
answer alone is no proof: it counts as a crash only if the upstream becomes
unreachable shortly after.
"""

from collections import deque
from dataclasses import dataclass

import msgspec

from ..quarantine import (
    Quarantined,
    QuarantineTable,
    SuspectReport,
    request_fingerprint,
)
from .const import (
    CLEARANCE_SHARE_MS,
    CRASH_CONFIRM_MS,
    CRASHES_TO_REFUSE,
    MAX_SHARED_REPORTS,
    SHARED_REPORT_MAX_AGE_MS,
)


@dataclass(slots=True, frozen=True)
class LostAnswer:
    """Represent a request whose answer was lost, with upstream and time."""

    fingerprint: str
    upstream: str
    lost_at_ms: int


class CrashDetector:
    """Track suspected requests, as seen by this node and its peers.

    An answer at any node clears a request for all of them.
    """

    __slots__ = ("cleared_at_ms", "lost_answers", "table")

    def __init__(self, node: str) -> None:
        self.table = QuarantineTable(node, crash_limit=CRASHES_TO_REFUSE)
        self.cleared_at_ms: dict[str, int] = {}
        self.lost_answers: deque[LostAnswer] = deque()

    def find_quarantine(self, fingerprint: str, now_ms: int) -> Quarantined | None:
        """Return the quarantine of a request, or None if it may run."""
        check = self.table.check(fingerprint, now_ms)
        return check if isinstance(check, Quarantined) else None

    def on_answer_lost(self, fingerprint: str, upstream: str, now_ms: int) -> None:
        """Record a lost answer."""
        self._expire(now_ms)
        self.lost_answers.append(LostAnswer(fingerprint, upstream, now_ms))

    def on_unreachable(self, upstream: str, now_ms: int) -> list[str]:
        """Count recent lost answers of an upstream as crashes.

        Return the fingerprints of these requests.
        """
        self._expire(now_ms)
        crashed = [lost for lost in self.lost_answers if lost.upstream == upstream]
        for lost in crashed:
            self.lost_answers.remove(lost)
            self.table.on_crash(lost.fingerprint, upstream, lost.lost_at_ms)
        return [lost.fingerprint for lost in crashed]

    def on_answer(self, fingerprint: str, now_ms: int) -> None:
        """Clear, for all nodes, the suspicion of an answered request."""
        if self.table.on_success(fingerprint, now_ms) is not None:
            self.cleared_at_ms[fingerprint] = now_ms

    def reports(self, now_ms: int) -> list[SuspectReport]:
        """Return the recent clearances and crashes to send to peers."""
        self._expire(now_ms)
        cleared = [
            SuspectReport(fingerprint, (), 0, cleared=True)
            for fingerprint, at_ms in self.cleared_at_ms.items()
            if now_ms - at_ms < CLEARANCE_SHARE_MS
        ]
        crashed = [
            report
            for report in self.table.reports(now_ms)
            if min(crash.ago_ms for crash in report.crashes) < SHARED_REPORT_MAX_AGE_MS
        ]
        return [*cleared, *crashed][:MAX_SHARED_REPORTS]

    def merge(self, reports: list[SuspectReport], now_ms: int) -> None:
        """Merge the reports that a peer has sent.

        Crashes from before an answer to the same request count no more.
        """
        for report in reports:
            if report.cleared and report.fingerprint in self.table.suspects:
                self.cleared_at_ms[report.fingerprint] = now_ms
            self.table.merge(self._without_old_crashes(report, now_ms), now_ms)

    def _without_old_crashes(self, report: SuspectReport, now_ms: int) -> SuspectReport:
        cleared_at_ms = self.cleared_at_ms.get(report.fingerprint)
        if cleared_at_ms is None:
            return report
        since_ms = now_ms - cleared_at_ms
        crashes = tuple(crash for crash in report.crashes if crash.ago_ms < since_ms)
        return msgspec.structs.replace(report, crashes=crashes)

    def _expire(self, now_ms: int) -> None:
        for fingerprint, at_ms in list(self.cleared_at_ms.items()):
            if now_ms - at_ms >= SHARED_REPORT_MAX_AGE_MS:
                del self.cleared_at_ms[fingerprint]
        while (
            self.lost_answers
            and now_ms - self.lost_answers[0].lost_at_ms > CRASH_CONFIRM_MS
        ):
            self.lost_answers.popleft()


def fingerprint_of(method: str, host: str, target: str, body: bytes) -> str:
    """Return the fingerprint that all repeats of a request share.

    Its caller's address is no part of it, as a repeat may come from another.
    """
    return request_fingerprint(f"{method} {host}", target, body)
