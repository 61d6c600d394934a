"""Let suspect requests to upstreams only in trials, quarantined ones never."""

from collections.abc import Callable
from dataclasses import dataclass

import gevent

from bilberry_balance.placement.candidates import Selection
from bilberry_balance.placement.upstream import Upstream
from bilberry_balance.quarantine import (
    Allowed,
    Quarantined,
    QuarantineDecision,
    TrialRequired,
)
from bilberry_core.const import MS_PER_SECOND
from bilberry_fleet.discovery.messages import TrialRequest

from .active_request import ActiveRequest
from .crash_evidence import CrashEvidence
from .messages import EntryAnswer
from .placer import Placer

TRIAL_WAIT_MS = 2_000
TRIAL_POLL_MS = 50
TRIAL_RETRY_AFTER_MS = 1_000
# For the checks after a trial.
TRIAL_MARGIN_MS = 4_000

Placement = Selection | EntryAnswer


@dataclass(slots=True, frozen=True)
class SuspectRefusal:
    """Represent why a suspect request may not run now."""

    detail: str
    retry_after_ms: int


class SuspectPlacement:
    """Place requests, and get leave for the trials of suspect ones."""

    __slots__ = ("crash_evidence", "placer", "suspects")

    def __init__(self, placer: Placer, crash_evidence: CrashEvidence) -> None:
        self.placer = placer
        self.crash_evidence = crash_evidence
        self.suspects = crash_evidence.suspects

    def place(
        self, active: ActiveRequest, find: Callable[[ActiveRequest], Placement]
    ) -> Placement | SuspectRefusal:
        """Return the upstream that `find` selects, if it may run there.

        Wait for some time while another trial is in the way.
        """
        active.trial_excluded.clear()
        wait_ms = min(self._remaining_ms(active) // 2, TRIAL_WAIT_MS)
        ends_at_ms = self.suspects.clock.now_ms() + wait_ms
        while True:
            decision = self.check(active)
            if isinstance(decision, Quarantined):
                return quarantine_refusal(decision)
            placed = find(active)
            if isinstance(placed, EntryAnswer):
                if not active.trial_excluded:
                    return placed
                active.trial_excluded.clear()
            elif self._may_run(active, placed):
                return placed
            elif placed.upstream.name in active.tried_upstreams:
                # It is not alive.
                continue
            if self.suspects.clock.now_ms() >= ends_at_ms:
                return SuspectRefusal("request suspected", TRIAL_RETRY_AFTER_MS)
            gevent.sleep(TRIAL_POLL_MS / MS_PER_SECOND)

    def check(self, active: ActiveRequest) -> QuarantineDecision:
        """Return whether and how a request may run."""
        if not self.suspects.table.suspects:
            return Allowed()
        return self.suspects.check(active.fingerprint())

    def _may_run(self, active: ActiveRequest, selection: Selection) -> bool:
        """Return whether it may run there; else release the slot."""
        decision = self.check(active)
        if isinstance(decision, Allowed):
            return True
        upstream = selection.upstream
        if isinstance(decision, TrialRequired) and self._begin_trial(active, upstream):
            return True
        self.placer.release(upstream)
        active.trial_excluded = {upstream.name}
        return False

    def _begin_trial(self, active: ActiveRequest, upstream: Upstream) -> bool:
        """Get leave for a trial at an upstream that is alive."""
        limit_ms = self._remaining_ms(active) + TRIAL_MARGIN_MS
        request = TrialRequest(active.fingerprint(), upstream.name, limit_ms)
        if not self.suspects.request_trial(request):
            return False
        witness = self.crash_evidence.make_witness(upstream)
        is_alive = witness.start(self._remaining_ms(active))
        if is_alive and not active.request.caller_gone:
            active.witness = witness
            return True
        witness.close()
        self.suspects.on_trial_ended(active.fingerprint())
        if not is_alive:
            upstream.on_failure(self.suspects.clock.now_ms())
            active.tried_upstreams.add(upstream.name)
        return False

    def _remaining_ms(self, active: ActiveRequest) -> int:
        return active.remaining_ms(self.suspects.clock.now_ms())


def quarantine_refusal(decision: Quarantined) -> SuspectRefusal:
    """Return the refusal of a quarantined request."""
    return SuspectRefusal("request quarantined", decision.retry_after_ms)
