"""Detect requests that crash upstreams, and quarantine them.

A request that is repeated can crash one upstream after the other. A lost
answer alone is no proof: it counts as a crash only if the upstream becomes
unreachable shortly after.
"""

from collections import deque
from dataclasses import dataclass

from ..quarantine import (
    Quarantined,
    QuarantineTable,
    SuspectReport,
    request_fingerprint,
)
from .const import (
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
    """Track suspected requests, as seen by this node and its peers."""

    __slots__ = ("lost_answers", "table")

    def __init__(self, node: str) -> None:
        self.table = QuarantineTable(node, crash_limit=CRASHES_TO_REFUSE)
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
        """Clear the suspicion of a request that was answered."""
        self.table.on_success(fingerprint, now_ms)

    def reports(self, now_ms: int) -> list[SuspectReport]:
        """Return the reports of recent crashes to send to peers."""
        fresh = [
            report
            for report in self.table.reports(now_ms)
            if min(crash.ago_ms for crash in report.crashes) < SHARED_REPORT_MAX_AGE_MS
        ]
        return fresh[:MAX_SHARED_REPORTS]

    def merge(self, reports: list[SuspectReport], now_ms: int) -> None:
        """Merge the reports that a peer has sent."""
        for report in reports:
            self.table.merge(report, now_ms)

    def _expire(self, now_ms: int) -> None:
        while (
            self.lost_answers
            and now_ms - self.lost_answers[0].lost_at_ms > CRASH_CONFIRM_MS
        ):
            self.lost_answers.popleft()


def fingerprint_of(caller: str, method: str, target: str, body: bytes) -> str:
    """Return the fingerprint that all repeats of a request share."""
    return request_fingerprint(f"{caller} {method}", target, body)
