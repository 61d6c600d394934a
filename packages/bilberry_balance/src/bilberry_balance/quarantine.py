"""Prevent requests that crash upstreams from crashing more of them.

A request is identified by its fingerprint. After one crash the fingerprint
is suspect and runs only as a trial. The requests in flight at the same
crash are tried one at a time over all nodes; the node that owns the crash
grants the trials. After a second crash the fingerprint is quarantined. All
times are monotonic ms of this node.
"""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec

from bilberry_core.ids import rendezvous_order

from .const import (
    CRASHES_TO_QUARANTINE,
    DEFAULT_MAX_SUSPECTS,
    DEFAULT_QUARANTINE_MS,
    DEFAULT_SUSPECT_MS,
    SAME_CRASH_WINDOW_MS,
)

FINGERPRINT_BYTES = 16


class CrashReport(msgspec.Struct, frozen=True):
    """Report a crash of an upstream; `ago_ms` is its age when sent."""

    upstream: str
    ago_ms: int
    in_trial: bool = False


class SuspectReport(msgspec.Struct, frozen=True):
    """Report the crashes under one fingerprint to peers.

    `left_ms` is the remaining validity when sent. `cleared` ends the
    suspicion; `trial_ended` means that a trial ended without a result.
    """

    fingerprint: str
    crashes: tuple[CrashReport, ...] = msgspec.field(name="deaths")
    left_ms: int
    cleared: bool = False
    trial_ended: bool = False


@dataclass(slots=True)
class Crash:
    """Store a crash of an upstream under one fingerprint."""

    upstream: str
    at_ms: int
    in_trial: bool


@dataclass(slots=True)
class SuspectRecord:
    """Store the crashes seen under one fingerprint."""

    crash_limit: int = CRASHES_TO_QUARANTINE
    crashes: list[Crash] = field(default_factory=list)
    expires_ms: int = 0

    def is_quarantined(self) -> bool:
        """Return whether there were enough crashes to refuse the request."""
        return len(self.crashes) >= self.crash_limit

    def add(self, upstream: str, at_ms: int, in_trial: bool = False) -> bool:
        """Add a crash; return False if it is known already."""
        new_crash = Crash(upstream, at_ms, in_trial)
        if any(_is_same_crash(crash, new_crash) for crash in self.crashes):
            return False
        self.crashes.append(new_crash)
        duration_ms = DEFAULT_SUSPECT_MS
        if self.is_quarantined():
            duration_ms = DEFAULT_QUARANTINE_MS
        self.expires_ms = max(self.expires_ms, at_ms + duration_ms)
        return True


@dataclass(slots=True)
class Trial:
    """Store the trial that runs for a crash."""

    fingerprint: str
    expires_ms: int


@dataclass(slots=True, frozen=True)
class Allowed:
    """Run the request without restrictions."""


@dataclass(slots=True, frozen=True)
class TrialRequired:
    """Run the request only as a trial that `owner` grants."""

    owner: str | None


@dataclass(slots=True, frozen=True)
class Quarantined:
    """Refuse the request with 503 `not-run`."""

    retry_after_ms: int


QuarantineDecision = Allowed | TrialRequired | Quarantined


def request_fingerprint(method: str, path: str, body: bytes) -> str:
    """Return a digest that is the same for identical requests."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method.encode(), path.encode()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()


class QuarantineTable:
    """Store this node's view of suspect and quarantined requests."""

    __slots__ = ("crash_limit", "max_suspects", "members", "node", "suspects", "trials")

    def __init__(
        self,
        node: str,
        max_suspects: int = DEFAULT_MAX_SUSPECTS,
        crash_limit: int = CRASHES_TO_QUARANTINE,
    ) -> None:
        self.node = node
        self.max_suspects = max_suspects
        self.crash_limit = crash_limit
        self.members: tuple[str, ...] = (node,)
        self.suspects: OrderedDict[str, SuspectRecord] = OrderedDict()
        self.trials: dict[str, Trial] = {}

    def set_members(self, members: tuple[str, ...]) -> None:
        """Set the nodes among which the ownership of crashes is divided."""
        self.members = members

    def owner(self, fingerprint: str) -> str | None:
        """Return the node that grants trials of `fingerprint`."""
        order = rendezvous_order(self._trial_key(fingerprint), self.members)
        return order[0] if order else None

    def check(self, fingerprint: str, now_ms: int) -> QuarantineDecision:
        """Return whether and how a request with `fingerprint` may run."""
        suspect = self._get_unexpired(fingerprint, now_ms)
        if suspect is None:
            return Allowed()
        if suspect.is_quarantined():
            return Quarantined(suspect.expires_ms - now_ms)
        return TrialRequired(self.owner(fingerprint))

    def crashed_upstreams(self, fingerprint: str, now_ms: int) -> frozenset[str]:
        """Return the upstreams that crashed under `fingerprint`."""
        suspect = self._get_unexpired(fingerprint, now_ms)
        if suspect is None:
            return frozenset()
        return frozenset(crash.upstream for crash in suspect.crashes)

    def begin_trial(self, fingerprint: str, now_ms: int, limit_ms: int) -> bool:
        """Start a trial; return False if it isn't granted.

        Only one trial per crash runs at a time, and none of a quarantined
        fingerprint. Call it at the owner only.
        """
        suspect = self._get_unexpired(fingerprint, now_ms)
        if suspect is not None and suspect.is_quarantined():
            return False
        trial_key = self._trial_key(fingerprint)
        running = self.trials.get(trial_key)
        if running is not None and now_ms < running.expires_ms:
            return False
        self.trials[trial_key] = Trial(fingerprint, now_ms + limit_ms)
        if suspect is not None:
            suspect.expires_ms = max(suspect.expires_ms, now_ms + limit_ms)
        return True

    def end_trial(self, fingerprint: str) -> SuspectReport:
        """End a trial without a result, for example after shedding it.

        Return the report to send to the peers.
        """
        self._end_trials(fingerprint)
        return SuspectReport(fingerprint, (), 0, trial_ended=True)

    def on_crash(
        self, fingerprint: str, upstream: str, now_ms: int, in_trial: bool = False
    ) -> SuspectReport:
        """Count a connection that broke during a request.

        Failures at one upstream at about the same time count as one crash,
        but that of a trial always as a new one. Return the report to send
        to the peers.
        """
        self._end_trials(fingerprint)
        suspect = self._get_unexpired(fingerprint, now_ms) or SuspectRecord(
            self.crash_limit
        )
        suspect.add(upstream, now_ms, in_trial)
        self._put(fingerprint, suspect)
        return self._build_report(fingerprint, suspect, now_ms)

    def on_success(self, fingerprint: str, now_ms: int) -> SuspectReport | None:
        """Clear a suspect request that was answered.

        Return the report to send to the peers, if any.
        """
        self._end_trials(fingerprint)
        suspect = self._get_unexpired(fingerprint, now_ms)
        if suspect is None or suspect.is_quarantined():
            return None
        del self.suspects[fingerprint]
        return SuspectReport(fingerprint, (), 0, cleared=True)

    def merge(self, report: SuspectReport, now_ms: int) -> None:
        """Merge a peer's report."""
        self._end_trials(report.fingerprint)
        suspect = self._get_unexpired(report.fingerprint, now_ms)
        if report.cleared:
            if suspect is not None and not suspect.is_quarantined():
                del self.suspects[report.fingerprint]
            return
        if report.left_ms <= 0 or report.trial_ended:
            return
        suspect = suspect or SuspectRecord(self.crash_limit)
        for crash in report.crashes:
            at_ms = now_ms - max(0, crash.ago_ms)
            suspect.add(crash.upstream, at_ms, crash.in_trial)
        if suspect.expires_ms > now_ms:
            self._put(report.fingerprint, suspect)

    def reports(self, now_ms: int) -> list[SuspectReport]:
        """Return reports of all suspects, for a peer that has just started."""
        self.expire(now_ms)
        return [self._build_report(f, s, now_ms) for f, s in self.suspects.items()]

    def expire(self, now_ms: int) -> None:
        """Drop expired suspects and trials."""
        for fingerprint in [
            f for f, s in self.suspects.items() if s.expires_ms <= now_ms
        ]:
            del self.suspects[fingerprint]
        for trial_key in [k for k, t in self.trials.items() if t.expires_ms <= now_ms]:
            del self.trials[trial_key]

    def _trial_key(self, fingerprint: str) -> str:
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return fingerprint
        return suspect.crashes[0].upstream

    def _end_trials(self, fingerprint: str) -> None:
        for trial_key, trial in list(self.trials.items()):
            if trial.fingerprint == fingerprint:
                del self.trials[trial_key]

    def _get_unexpired(self, fingerprint: str, now_ms: int) -> SuspectRecord | None:
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return None
        if suspect.expires_ms <= now_ms:
            del self.suspects[fingerprint]
            return None
        return suspect

    def _put(self, fingerprint: str, suspect: SuspectRecord) -> None:
        self.suspects[fingerprint] = suspect
        self.suspects.move_to_end(fingerprint)
        if len(self.suspects) > self.max_suspects:
            self._evict()

    def _evict(self) -> None:
        for fingerprint, suspect in self.suspects.items():
            if not suspect.is_quarantined():
                del self.suspects[fingerprint]
                return
        self.suspects.popitem(last=False)

    def _build_report(
        self, fingerprint: str, suspect: SuspectRecord, now_ms: int
    ) -> SuspectReport:
        crashes = tuple(
            CrashReport(crash.upstream, now_ms - crash.at_ms, crash.in_trial)
            for crash in suspect.crashes
        )
        return SuspectReport(fingerprint, crashes, suspect.expires_ms - now_ms)


def _is_same_crash(one: Crash, other: Crash) -> bool:
    is_close = abs(one.at_ms - other.at_ms) < SAME_CRASH_WINDOW_MS
    has_same_origin = one.upstream == other.upstream and one.in_trial == other.in_trial
    return is_close and has_same_origin
