"""Find requests that crash upstreams, and refuse them.

Answers a request that comes again and again and takes an upstream down each
time. An answer that was only lost proves nothing: a death counts once the
upstream turns out to be unreachable right after.
"""

from collections import deque
from dataclasses import dataclass

from ..quarantine import (
    Quarantined,
    QuarantineTable,
    SuspectNote,
    request_fingerprint,
)
from .const import CRASH_CONFIRM_MS, DEATHS_TO_REFUSE, MAX_SHARED_NOTES, SHARE_NOTES_MS


@dataclass(slots=True, frozen=True)
class LostAnswer:
    """Hold which request's answer an upstream lost, and when."""

    fingerprint: str
    upstream: str
    at_ms: int


class CrashWatch:
    """Own what this node and its peers know of such requests."""

    __slots__ = ("lost", "table")

    def __init__(self, node: str) -> None:
        self.table = QuarantineTable(node, deaths=DEATHS_TO_REFUSE)
        self.lost: deque[LostAnswer] = deque()

    def refuses(self, fingerprint: str, now_ms: int) -> Quarantined | None:
        """Return how long a request is refused, None if it may run."""
        check = self.table.check(fingerprint, now_ms)
        return check if isinstance(check, Quarantined) else None

    def on_lost(self, fingerprint: str, upstream: str, now_ms: int) -> None:
        """Note an answer that an upstream has lost."""
        self._expire(now_ms)
        self.lost.append(LostAnswer(fingerprint, upstream, now_ms))

    def on_unreachable(self, upstream: str, now_ms: int) -> list[str]:
        """Count the deaths at an upstream; return the fingerprints."""
        self._expire(now_ms)
        died = [lost for lost in self.lost if lost.upstream == upstream]
        for lost in died:
            self.lost.remove(lost)
            self.table.on_death(lost.fingerprint, upstream, lost.at_ms)
        return [lost.fingerprint for lost in died]

    def on_answer(self, fingerprint: str, now_ms: int) -> None:
        """Clear a request that an upstream has survived."""
        self.table.on_success(fingerprint, now_ms)

    def notes(self, now_ms: int) -> list[SuspectNote]:
        """Return what peers should be told now: the latest deaths."""
        fresh = [
            note
            for note in self.table.notes(now_ms)
            if min(death.ago_ms for death in note.deaths) < SHARE_NOTES_MS
        ]
        return fresh[:MAX_SHARED_NOTES]

    def merge(self, notes: list[SuspectNote], now_ms: int) -> None:
        """Take over what a peer knows."""
        for note in notes:
            self.table.merge(note, now_ms)

    def _expire(self, now_ms: int) -> None:
        while self.lost and now_ms - self.lost[0].at_ms > CRASH_CONFIRM_MS:
            self.lost.popleft()


def fingerprint_of(caller: str, method: str, target: str, body: bytes) -> str:
    """Return what the repeats of one caller's request have in common."""
    return request_fingerprint(f"{caller} {method}", target, body)
