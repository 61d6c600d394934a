"""Prevent requests that crash upstreams from crashing more of them.

A request is identified by its fingerprint. After some crashes the fingerprint
is suspect and runs only in trials, which one node grants for all of them:
one trial at a time of each fingerprint, and none in which another suspect may
crash the upstream. A crash in a trial quarantines the fingerprint. All times
are monotonic ms of this node.
"""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass

from bilberry_core.ids import rendezvous_order, stable_hash

from .const import (
    CLEARANCE_SHARE_MS,
    CRASHES_TO_QUARANTINE,
    CRASHES_TO_SUSPECT,
    DEFAULT_MAX_SUSPECTS,
    PROOF_WAIT_MS,
    SHARED_REPORT_MAX_AGE_MS,
)
from .suspects import (
    Crash,
    CrashLimits,
    CrashReport,
    SuspectRecord,
    SuspectReport,
)
from .trials import Trial, TrialTable

TRIAL_OWNER_KEY = "trials"
DEFAULT_LIMITS = CrashLimits(CRASHES_TO_SUSPECT, CRASHES_TO_QUARANTINE)


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


class QuarantineTable:
    """Store this node's view of suspect and quarantined requests."""

    __slots__ = (
        "cleared_at_ms",
        "limits",
        "max_suspects",
        "members",
        "node",
        "owner",
        "repeated",
        "suspects",
        "trials",
    )

    def __init__(
        self,
        node: str,
        max_suspects: int = DEFAULT_MAX_SUSPECTS,
        limits: CrashLimits = DEFAULT_LIMITS,
    ) -> None:
        self.node = node
        self.max_suspects = max_suspects
        self.limits = limits
        self.members: tuple[str, ...] = (node,)
        self.owner: str | None = node
        self.suspects: OrderedDict[str, SuspectRecord] = OrderedDict()
        # The fingerprints with more than one crash.
        self.repeated: dict[str, None] = {}
        self.trials = TrialTable()
        self.cleared_at_ms: dict[str, int] = {}

    def set_members(self, members: tuple[str, ...]) -> None:
        """Set the nodes, one of which grants the trials."""
        if members != self.members:
            self.members = members
            order = rendezvous_order(TRIAL_OWNER_KEY, members)
            self.owner = order[0] if order else None

    def check(self, fingerprint: str, now_ms: int) -> QuarantineDecision:
        """Return whether and how a request with `fingerprint` may run."""
        suspect = self._get_unexpired(fingerprint, now_ms)
        if suspect is None:
            return Allowed()
        if self._is_quarantined(fingerprint, suspect):
            return Quarantined(suspect.expires_ms - now_ms)
        if suspect.is_suspect():
            return TrialRequired(self.owner)
        return Allowed()

    def crashed_upstreams(self, fingerprint: str, now_ms: int) -> frozenset[str]:
        """Return the upstreams that crashed under `fingerprint`."""
        suspect = self._get_unexpired(fingerprint, now_ms)
        return suspect.upstreams() if suspect is not None else frozenset()

    def begin_trial(
        self,
        fingerprint: str,
        now_ms: int,
        limit_ms: int,
        upstream: str = "",
        holder: str = "",
    ) -> bool:
        """Start a trial; return False if it isn't granted.

        A quarantined fingerprint gets none, and one that is probably the cause
        of a crash not before the others. Call it at the owner only.
        """
        suspect = self._get_unexpired(fingerprint, now_ms)
        if suspect is not None and not self._may_try(fingerprint, suspect, now_ms):
            return False
        crashed = suspect.upstreams() if suspect is not None else frozenset()
        trial = Trial(fingerprint, holder, now_ms + limit_ms, upstream, crashed)
        if not self.trials.begin(trial, now_ms):
            return False
        if suspect is not None:
            suspect.expires_ms = max(suspect.expires_ms, now_ms + limit_ms)
        return True

    def end_trial(self, fingerprint: str) -> SuspectReport:
        """End a trial without a result, for example after shedding it.

        Return the report to send to the peers.
        """
        self.trials.end(fingerprint)
        return SuspectReport(fingerprint, (), 0, trial_ended=True)

    def on_crash(
        self, fingerprint: str, upstream: str, now_ms: int, in_trial: bool = False
    ) -> SuspectReport:
        """Count a connection that broke during a request.

        Failures at one upstream at about the same time count as one crash,
        but that of a trial always as a new one. Return the report to send
        to the peers.
        """
        if in_trial:
            self.trials.end(fingerprint)
        suspect = self._get_or_make(fingerprint, now_ms)
        origin = f"{stable_hash(self.node, upstream, str(now_ms)):x}"
        suspect.add(Crash(upstream, now_ms, in_trial, {origin}))
        self._put(fingerprint, suspect)
        return suspect.make_report(fingerprint, now_ms)

    def withdraw_crash(
        self, fingerprint: str, upstream: str, at_ms: int, now_ms: int
    ) -> SuspectReport:
        """Remove a crash that turned out not to have happened.

        Return the report to send to the peers.
        """
        self._withdraw(fingerprint, upstream, at_ms)
        crash = CrashReport(upstream, now_ms - at_ms)
        return SuspectReport(fingerprint, (crash,), 0, withdrawn=True)

    def on_success(self, fingerprint: str, now_ms: int) -> SuspectReport | None:
        """Clear a suspect request that was answered.

        Return the report to send to the peers, if any.
        """
        self.trials.end(fingerprint)
        suspect = self._get_unexpired(fingerprint, now_ms)
        if suspect is None or self._is_quarantined(fingerprint, suspect):
            return None
        self._remove(fingerprint)
        self.cleared_at_ms[fingerprint] = now_ms
        return SuspectReport(fingerprint, (), 0, cleared=True)

    def merge(self, report: SuspectReport, now_ms: int) -> None:
        """Merge a peer's report.

        Crashes from before an answer to the same request count no more.
        """
        fingerprint = report.fingerprint
        if report.cleared:
            self._merge_clearance(fingerprint, now_ms - report.cleared_ago_ms, now_ms)
        elif report.withdrawn:
            for crash in report.crashes:
                self._withdraw(fingerprint, crash.upstream, now_ms - crash.ago_ms)
        elif report.trial_ended:
            self.trials.end(fingerprint)
        elif report.left_ms > 0:
            self._merge_crashes(report, now_ms)

    def recent_reports(self, now_ms: int, limit: int) -> list[SuspectReport]:
        """Return what peers should know, the most important first.

        That is all quarantined requests, also for nodes that have just
        started, and recent clearances and crashes.
        """
        self.expire(now_ms)
        quarantined = {
            fingerprint: self.suspects[fingerprint]
            for fingerprint in self.repeated
            if self._is_quarantined(fingerprint, self.suspects[fingerprint])
        }
        told = self._make_reports(quarantined, now_ms, limit)
        told += self._clearances(now_ms)
        recent = {}
        for fingerprint, suspect in reversed(self.suspects.items()):
            if fingerprint in quarantined:
                continue
            if now_ms - suspect.last_crash_ms() >= SHARED_REPORT_MAX_AGE_MS:
                break
            recent[fingerprint] = suspect
        told += self._make_reports(recent, now_ms, limit)
        return told[:limit]

    def reports(self, now_ms: int, limit: int) -> list[SuspectReport]:
        """Return reports of the worst suspects, for a peer that starts."""
        self.expire(now_ms)
        return self._make_reports(self.suspects, now_ms, limit)

    def _make_reports(
        self, suspects: Mapping[str, SuspectRecord], now_ms: int, limit: int
    ) -> list[SuspectReport]:
        """Return reports of the worst of some suspects."""
        worst = sorted(
            suspects.items(),
            key=lambda item: (self._is_quarantined(*item), len(item[1].crashes)),
            reverse=True,
        )
        return [s.make_report(f, now_ms) for f, s in worst[:limit]]

    def expire(self, now_ms: int) -> None:
        """Drop expired suspects, clearances and trials."""
        for fingerprint in [
            f for f, s in self.suspects.items() if s.expires_ms <= now_ms
        ]:
            self._remove(fingerprint)
        for fingerprint, at_ms in list(self.cleared_at_ms.items()):
            if now_ms - at_ms >= SHARED_REPORT_MAX_AGE_MS:
                del self.cleared_at_ms[fingerprint]
        self.trials.expire(now_ms)

    def reports_beside(self, report: SuspectReport, now_ms: int) -> list[SuspectReport]:
        """Return what is known of a request, and of those that ran beside it.

        Others count if more than one upstream crashed under them.
        """
        suspect = self._get_unexpired(report.fingerprint, now_ms)
        if suspect is None:
            return []
        beside = {report.fingerprint: suspect}
        for crash in suspect.trial_crashes():
            beside.update(self._find_beside(report.fingerprint, crash))
        return [s.make_report(f, now_ms) for f, s in beside.items()]

    def _is_quarantined(self, fingerprint: str, suspect: SuspectRecord) -> bool:
        """Return whether a trial proves it to be the cause of a crash."""
        return any(
            not self._find_beside(fingerprint, crash)
            for crash in suspect.trial_crashes()
        )

    def _may_try(self, fingerprint: str, suspect: SuspectRecord, now_ms: int) -> bool:
        """Return whether a trial may tell something new.

        If less suspected requests were lost in the crash of its trial, their
        answers may prove it for some time.
        """
        for crash in suspect.trial_crashes():
            beside = self._find_beside(fingerprint, crash).values()
            if not beside:
                return False
            is_recent = now_ms - crash.at_ms < PROOF_WAIT_MS
            is_worst = any(len(o.crashes) < len(suspect.crashes) for o in beside)
            if is_recent and is_worst:
                return False
        return True

    def _find_beside(self, fingerprint: str, crash: Crash) -> dict[str, SuspectRecord]:
        """Return the other requests that may have caused a crash."""
        return {
            other: self.suspects[other]
            for other in self.repeated
            if other != fingerprint and self.suspects[other].was_at(crash)
        }

    def _clearances(self, now_ms: int) -> list[SuspectReport]:
        return [
            SuspectReport(
                fingerprint, (), 0, cleared=True, cleared_ago_ms=now_ms - at_ms
            )
            for fingerprint, at_ms in self.cleared_at_ms.items()
            if now_ms - at_ms < CLEARANCE_SHARE_MS
        ]

    def _merge_clearance(self, fingerprint: str, at_ms: int, now_ms: int) -> None:
        self.trials.end(fingerprint)
        suspect = self._get_unexpired(fingerprint, now_ms)
        if suspect is None or self._is_quarantined(fingerprint, suspect):
            return
        known_ms = self.cleared_at_ms.get(fingerprint, at_ms)
        self.cleared_at_ms[fingerprint] = max(known_ms, at_ms)
        suspect.crashes = [c for c in suspect.crashes if c.at_ms > at_ms]
        self._drop_if_empty(fingerprint, suspect)

    def _merge_crashes(self, report: SuspectReport, now_ms: int) -> None:
        fingerprint = report.fingerprint
        suspect = self._get_or_make(fingerprint, now_ms)
        cleared_at_ms = self.cleared_at_ms.get(fingerprint)
        has_news = False
        for crash in report.crashes:
            at_ms = now_ms - max(0, crash.ago_ms)
            if cleared_at_ms is not None and at_ms <= cleared_at_ms:
                continue
            origins = {crash.origin} if crash.origin else set()
            is_new = suspect.add(Crash(crash.upstream, at_ms, crash.in_trial, origins))
            has_news |= is_new
            if is_new and crash.in_trial:
                self.trials.end(fingerprint)
        if has_news and suspect.expires_ms > now_ms:
            self._put(fingerprint, suspect)

    def _withdraw(self, fingerprint: str, upstream: str, at_ms: int) -> None:
        suspect = self.suspects.get(fingerprint)
        if suspect is None or self._is_quarantined(fingerprint, suspect):
            return
        suspect.withdraw(upstream, at_ms)
        self._drop_if_empty(fingerprint, suspect)

    def _drop_if_empty(self, fingerprint: str, suspect: SuspectRecord) -> None:
        if not suspect.crashes:
            self._remove(fingerprint)

    def _get_or_make(self, fingerprint: str, now_ms: int) -> SuspectRecord:
        known = self._get_unexpired(fingerprint, now_ms)
        return known if known is not None else SuspectRecord(self.limits)

    def _get_unexpired(self, fingerprint: str, now_ms: int) -> SuspectRecord | None:
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return None
        if suspect.expires_ms <= now_ms:
            self._remove(fingerprint)
            return None
        return suspect

    def _put(self, fingerprint: str, suspect: SuspectRecord) -> None:
        self.suspects[fingerprint] = suspect
        self.suspects.move_to_end(fingerprint)
        if len(suspect.crashes) > 1:
            self.repeated[fingerprint] = None
        if len(self.suspects) > self.max_suspects:
            self._evict()

    def _evict(self) -> None:
        for fingerprint, suspect in self.suspects.items():
            if not suspect.trial_crashes():
                self._remove(fingerprint)
                return
        self._remove(next(iter(self.suspects)))

    def _remove(self, fingerprint: str) -> None:
        del self.suspects[fingerprint]
        self.repeated.pop(fingerprint, None)
