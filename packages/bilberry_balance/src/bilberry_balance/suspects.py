"""Requests suspected of crashing upstreams, and reports of them to peers.

A request is identified by its fingerprint. All times are monotonic ms of this
node; reports carry ages, as nodes don't share a clock.
"""

import hashlib
from dataclasses import dataclass, field

import msgspec

from .const import DEFAULT_QUARANTINE_MS, DEFAULT_SUSPECT_MS, SAME_CRASH_WINDOW_MS

FINGERPRINT_BYTES = 16
MAX_CRASHES_KEPT = 8


class CrashReport(msgspec.Struct, frozen=True):
    """Report a crash of an upstream; `ago_ms` is its age when sent.

    The `origin` names the observation, so that a late report of a known crash
    isn't taken for another crash.
    """

    upstream: str
    ago_ms: int
    in_trial: bool = False
    origin: str = ""


class SuspectReport(msgspec.Struct, frozen=True):
    """Report the crashes under one fingerprint to peers.

    `left_ms` is the remaining validity when sent. `cleared` ends the
    suspicion from crashes before an answer `cleared_ago_ms` ago;
    `trial_ended` means that a trial ended without a result, and `withdrawn`
    that the upstreams of `crashes` turned out to be alive.
    """

    fingerprint: str
    crashes: tuple[CrashReport, ...] = msgspec.field(name="deaths")
    left_ms: int
    cleared: bool = False
    trial_ended: bool = False
    cleared_ago_ms: int = 0
    withdrawn: bool = False


@dataclass(slots=True, frozen=True)
class CrashLimits:
    """Limit the crashes under a fingerprint.

    From `to_suspect` crashes on it runs only in trials; the trial that brings
    them to `to_quarantine` or more quarantines it.
    """

    to_suspect: int
    to_quarantine: int


@dataclass(slots=True)
class Crash:
    """Store a crash of an upstream under one fingerprint."""

    upstream: str
    at_ms: int
    in_trial: bool
    origins: set[str] = field(default_factory=set)

    def is_same(self, other: "Crash") -> bool:
        """Return whether both are observations of one crash."""
        if self.origins & other.origins:
            return True
        is_close = abs(self.at_ms - other.at_ms) < SAME_CRASH_WINDOW_MS
        has_same_origin = (
            self.upstream == other.upstream and self.in_trial == other.in_trial
        )
        return is_close and has_same_origin


@dataclass(slots=True)
class SuspectRecord:
    """Store the crashes seen under one fingerprint."""

    limits: CrashLimits
    crashes: list[Crash] = field(default_factory=list)
    expires_ms: int = 0

    def is_suspect(self) -> bool:
        """Return whether there were enough crashes to require trials."""
        return len(self.crashes) >= self.limits.to_suspect

    def trial_crashes(self) -> list[Crash]:
        """Return the crashes that may prove it to be the cause.

        Only those in trials do, as others ran beside it at the other ones.
        """
        if len(self.crashes) < self.limits.to_quarantine:
            return []
        return [crash for crash in self.crashes if crash.in_trial]

    def was_at(self, other: Crash) -> bool:
        """Return whether it ran when an upstream crashed under another."""
        return any(
            crash.upstream == other.upstream
            and abs(crash.at_ms - other.at_ms) < SAME_CRASH_WINDOW_MS
            for crash in self.crashes
        )

    def last_crash_ms(self) -> int:
        """Return the time of the latest crash."""
        return max(crash.at_ms for crash in self.crashes)

    def upstreams(self) -> frozenset[str]:
        """Return the upstreams that crashed."""
        return frozenset(crash.upstream for crash in self.crashes)

    def add(self, new_crash: Crash) -> bool:
        """Add a crash; return False if it is known, or one of very many."""
        for crash in self.crashes:
            if crash.is_same(new_crash):
                crash.origins |= new_crash.origins
                return False
        if len(self.crashes) >= MAX_CRASHES_KEPT and not new_crash.in_trial:
            return False
        self.crashes.append(new_crash)
        duration_ms = DEFAULT_SUSPECT_MS
        if self.trial_crashes():
            duration_ms = DEFAULT_QUARANTINE_MS
        self.expires_ms = max(self.expires_ms, new_crash.at_ms + duration_ms)
        return True

    def withdraw(self, upstream: str, at_ms: int) -> None:
        """Remove a crash that did not happen."""
        mistaken = Crash(upstream, at_ms, in_trial=False)
        self.crashes = [c for c in self.crashes if not c.is_same(mistaken)]

    def make_report(self, fingerprint: str, now_ms: int) -> SuspectReport:
        """Return the report to send to peers."""
        crashes = tuple(
            CrashReport(
                crash.upstream,
                now_ms - crash.at_ms,
                crash.in_trial,
                min(crash.origins, default=""),
            )
            for crash in self.crashes
        )
        return SuspectReport(fingerprint, crashes, self.expires_ms - now_ms)


def request_fingerprint(method: str, path: str, body: bytes | bytearray) -> str:
    """Return a digest that is the same for identical requests."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method.encode(), path.encode()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()
