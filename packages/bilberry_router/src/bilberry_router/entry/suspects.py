"""Track requests that crash upstreams, together with the other nodes."""

import logging

import gevent

from bilberry_balance.const import MAX_SUSPECT_REPORTS
from bilberry_balance.quarantine import (
    Allowed,
    Quarantined,
    QuarantineDecision,
    QuarantineTable,
)
from bilberry_balance.suspects import CrashLimits, SuspectReport
from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND
from bilberry_fleet.discovery.messages import SuspectCall, SuspectReply, TrialRequest
from bilberry_steering.token_bucket import TokenBucket

from .suspect_peers import NoPeers, SuspectPeers

_LOGGER = logging.getLogger(__name__)

MAX_HEARTBEAT_REPORTS = 8
# Of suspects, as lost answers can be many.
MAX_BROADCASTS_PER_S = 12.0
MAX_BROADCASTS_AT_ONCE = 10.0
# In which the nodes tell of all that was lost in a crash.
TRIAL_SETTLE_MS = 150
# Lost answers alone are common, so that a single one means little.
ENTRY_CRASH_LIMITS = CrashLimits(to_suspect=2, to_quarantine=3)


class EntrySuspects:
    """Store what is known of suspects, and exchange it with the peers.

    One node grants all trials. Every node tells it of each crash at once, and
    it tells all nodes of new suspects.
    """

    __slots__ = ("broadcasts", "clock", "own_trials", "peers", "table")

    def __init__(self, node: str, clock: Clock) -> None:
        self.clock = clock
        self.table = QuarantineTable(node, limits=ENTRY_CRASH_LIMITS)
        self.peers: SuspectPeers | NoPeers = NoPeers(node)
        self.own_trials = 0
        self.broadcasts = TokenBucket(
            MAX_BROADCASTS_PER_S, clock.now_ms(), MAX_BROADCASTS_AT_ONCE
        )

    def update_members(self, own_is_known: bool) -> None:
        """Apply which nodes may grant trials."""
        members = self.peers.members(own_is_known, self.clock.now_ms())
        self.table.set_members(members)

    def check(self, fingerprint: str) -> QuarantineDecision:
        """Return whether and how a request may run."""
        return self.table.check(fingerprint, self.clock.now_ms())

    def reports(self) -> list[SuspectReport]:
        """Return what to tell the peers with each heartbeat.

        A single lost answer is known to the owner of the trials only.
        """
        reports = self.table.recent_reports(self.clock.now_ms(), MAX_HEARTBEAT_REPORTS)
        return [r for r in reports if r.cleared or len(r.crashes) > 1]

    def merge(self, reports: list[SuspectReport]) -> None:
        """Merge the reports that a peer has sent."""
        now_ms = self.clock.now_ms()
        for report in reports:
            self.table.merge(report, now_ms)

    def request_trial(self, request: TrialRequest) -> bool:
        """Return whether a suspect may be tried at an upstream now."""
        if not self._has_other_owner():
            self.own_trials += 1
            return self._grant(request, f"{self.table.node}:{self.own_trials}")
        known = self._known([request.fingerprint])
        reply = self.peers.call(self.table.owner, known, request)
        if reply is None:
            return False
        self.merge(reply.reports)
        return reply.trial_granted

    def on_lost_answer(self, fingerprint: str, upstream: str) -> None:
        """Count a lost answer as a crash, and learn what others counted.

        Return once the node that grants trials knows it, or doesn't reply.
        """
        self._count_and_learn(fingerprint, upstream, in_trial=False)

    def on_trial_crash(self, fingerprint: str, upstream: str) -> None:
        """Quarantine a request whose trial crashed its upstream.

        All nodes tell first what they lost there, as another suspect may be
        the cause.
        """
        self.count_crash(fingerprint, upstream)
        gevent.sleep(TRIAL_SETTLE_MS / MS_PER_SECOND)
        self._count_and_learn(fingerprint, upstream, in_trial=True)

    def on_trial_ended(self, fingerprint: str) -> None:
        """End a trial that proved nothing."""
        self._tell_owner(self.table.end_trial(fingerprint))

    def on_answer(self, fingerprint: str) -> None:
        """Clear, at all nodes, a request that was answered."""
        report = self.table.on_success(fingerprint, self.clock.now_ms())
        if report is not None and self._has_other_owner():
            self.peers.tell(self.table.owner, report)

    def count_crash(self, fingerprint: str, upstream: str) -> int:
        """Count a crash without waiting for the owner; return the time."""
        now_ms = self.clock.now_ms()
        before = self.check(fingerprint)
        report = self.table.on_crash(fingerprint, upstream, now_ms)
        if self._has_other_owner():
            self._tell_owner(report)
        else:
            self._tell_all_of_change(fingerprint, before)
        return now_ms

    def withdraw(self, fingerprint: str, upstream: str, at_ms: int) -> None:
        """Take back a crash, as the upstream is alive."""
        now_ms = self.clock.now_ms()
        report = self.table.withdraw_crash(fingerprint, upstream, at_ms, now_ms)
        self._tell_owner(report)

    def answer_call(self, call: SuspectCall) -> SuspectReply:
        """Return the reply to another node's call.

        One that doesn't wait for a reply tells all nodes itself.
        """
        before = {
            report.fingerprint: self.check(report.fingerprint)
            for report in call.reports
        }
        self.merge(call.reports)
        if call.call_id:
            for fingerprint, decision in before.items():
                self._tell_all_of_change(fingerprint, decision)
        if call.asks_all:
            reports = self.table.reports(self.clock.now_ms(), MAX_SUSPECT_REPORTS)
            return SuspectReply(call.call_id, reports)
        granted = False
        if call.trial is not None:
            granted = self._grant(call.trial, f"{call.sender}/{call.call_id}")
        now_ms = self.clock.now_ms()
        known = {
            known.fingerprint: known
            for report in call.reports
            for known in self.table.reports_beside(report, now_ms)
        }
        return SuspectReply(call.call_id, list(known.values()), granted)

    def learn_all(self) -> bool:
        """Ask peers for all suspects; return whether one replied."""
        replies = self.peers.ask_all()
        for reply in replies:
            self.merge(reply.reports)
        return bool(replies)

    def _grant(self, request: TrialRequest, holder: str) -> bool:
        now_ms = self.clock.now_ms()
        granted = self.table.begin_trial(
            request.fingerprint, now_ms, request.limit_ms, request.upstream, holder
        )
        if granted:
            _LOGGER.info(
                "entry: Request %s is tried at %s for %s.",
                request.fingerprint,
                request.upstream,
                holder,
            )
        return granted

    def _count_and_learn(self, fingerprint: str, upstream: str, in_trial: bool) -> None:
        before = self.check(fingerprint)
        now_ms = self.clock.now_ms()
        report = self.table.on_crash(fingerprint, upstream, now_ms, in_trial)
        reply = None
        if self._has_other_owner():
            reply = self.peers.call(self.table.owner, [report])
        if reply is not None:
            self.merge(reply.reports)
        else:
            self._tell_all_of_change(fingerprint, before)

    def _tell_all_of_change(self, fingerprint: str, before: QuarantineDecision) -> None:
        """Tell all nodes if a request has become suspect or quarantined."""
        after = self.check(fingerprint)
        if type(after) is type(before) or isinstance(after, Allowed):
            return
        suspect = self.table.suspects[fingerprint]
        is_quarantined = isinstance(after, Quarantined)
        _LOGGER.warning(
            "entry: Request %s is %s: upstreams crashed under it: %s.",
            fingerprint,
            "quarantined" if is_quarantined else "suspect",
            sorted(suspect.upstreams()),
        )
        self._tell_all(self._known([fingerprint]), always=is_quarantined)

    def _known(self, fingerprints: list[str]) -> list[SuspectReport]:
        now_ms = self.clock.now_ms()
        suspects = self.table.suspects
        return [
            suspects[f].make_report(f, now_ms) for f in fingerprints if f in suspects
        ]

    def _tell_all(self, reports: list[SuspectReport], always: bool) -> None:
        """Tell all nodes, unless that was done too often lately."""
        if always or self.broadcasts.can_take(1, self.clock.now_ms()):
            self.broadcasts.take(1)
            self.peers.tell_all(reports)

    def _tell_owner(self, report: SuspectReport) -> None:
        """Tell it without waiting, but again if it doesn't reply."""
        if self._has_other_owner():
            gevent.spawn(self.peers.call, self.table.owner, [report])

    def _has_other_owner(self) -> bool:
        """Return whether another node grants the trials."""
        return self.table.owner != self.table.node
