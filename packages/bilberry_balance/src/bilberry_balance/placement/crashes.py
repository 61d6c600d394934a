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
from .const import CRASH_CONFIRM_MS, DEATHS_TO_REFUSE, MAX_SHARED_NOTES, SHARE_NOTES_MS


@dataclass(slots=True, frozen=True)
class LostAnswer:
    """Represent a request whose answer was lost, with upstream and time."""

    fingerprint: str
    upstream: str
    at_ms: int


class CrashWatch:
    """Track suspected requests, as seen by this node and its peers."""

    __slots__ = ("lost", "table")

    def __init__(self, node: str) -> None:
        self.table = QuarantineTable(node, crash_limit=DEATHS_TO_REFUSE)
        self.lost: deque[LostAnswer] = deque()

    def refuses(self, fingerprint: str, now_ms: int) -> Quarantined | None:
        """Return the quarantine of a request, or None if it may run."""
        check = self.table.check(fingerprint, now_ms)
        return check if isinstance(check, Quarantined) else None

    def on_lost(self, fingerprint: str, upstream: str, now_ms: int) -> None:
        """Record a lost answer."""
        self._expire(now_ms)
        self.lost.append(LostAnswer(fingerprint, upstream, now_ms))

    def on_unreachable(self, upstream: str, now_ms: int) -> list[str]:
        """Count recent lost answers of an upstream as crashes.

        Return the fingerprints of these requests.
        """
        self._expire(now_ms)
        died = [lost for lost in self.lost if lost.upstream == upstream]
        for lost in died:
            self.lost.remove(lost)
            self.table.on_crash(lost.fingerprint, upstream, lost.at_ms)
        return [lost.fingerprint for lost in died]

    def on_answer(self, fingerprint: str, now_ms: int) -> None:
        """Clear the suspicion of a request that was answered."""
        self.table.on_success(fingerprint, now_ms)

    def notes(self, now_ms: int) -> list[SuspectReport]:
        """Return the recent suspicions to send to peers."""
        fresh = [
            note
            for note in self.table.reports(now_ms)
            if min(death.ago_ms for death in note.crashes) < SHARE_NOTES_MS
        ]
        return fresh[:MAX_SHARED_NOTES]

    def merge(self, notes: list[SuspectReport], now_ms: int) -> None:
        """Merge the suspicions that a peer has sent."""
        for note in notes:
            self.table.merge(note, now_ms)

    def _expire(self, now_ms: int) -> None:
        while self.lost and now_ms - self.lost[0].at_ms > CRASH_CONFIRM_MS:
            self.lost.popleft()


def fingerprint_of(caller: str, method: str, target: str, body: bytes) -> str:
    """Return the fingerprint that all repeats of a request share."""
    return request_fingerprint(f"{caller} {method}", target, body)
