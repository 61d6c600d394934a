"""Quarantine requests that seem to crash upstreams."""

from collections.abc import Callable

import gevent

from bilberry_balance.outcomes import FailurePoint
from bilberry_balance.quarantine import (
    Allowed,
    Quarantined,
    QuarantineTable,
)
from bilberry_balance.suspects import SuspectReport, request_fingerprint
from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND

from .request import ForwardRequest

CRASH_POINTS = frozenset(
    {
        FailurePoint.MID_BODY,
        FailurePoint.AWAITING_ANSWER,
        FailurePoint.MID_ANSWER,
        FailurePoint.MID_ANSWER_PASSED_ON,
    }
)
TRIAL_RUNNING_RETRY_MS = 1_000
TRIAL_WAIT_MS = 2_000
TRIAL_POLL_MS = 50

TrialRequester = Callable[[str, str, int], bool]
ReportSender = Callable[[SuspectReport], None]


def discard_report(report: SuspectReport) -> None:
    """Discard a report; the default without peers."""


def deny_trial(owner: str, fingerprint: str, limit_ms: int) -> bool:
    """Deny a trial; the default without peers."""
    return False


class SuspectTracker:
    """Track suspect requests and exchange reports with peers.

    `share_report` shares a report with all nodes through the fleet's shared
    entries, `report_to_peers` sends it to reachable nodes at once.
    `request_trial` asks a fingerprint's owner for permission to run the
    request; the owner allows one trial at a time.
    """

    __slots__ = (
        "clock",
        "node",
        "report_to_peers",
        "request_trial",
        "share_report",
        "table",
    )

    def __init__(self, node: str, clock: Clock) -> None:
        self.node = node
        self.clock = clock
        self.table = QuarantineTable(node)
        self.share_report: ReportSender = discard_report
        self.report_to_peers: ReportSender = discard_report
        self.request_trial: TrialRequester = deny_trial

    def check(self, request: ForwardRequest) -> int | None:
        """Return None if the request may run, else the ms to retry after.

        Wait for some time while another trial of the request is running.
        """
        now_ms = self.clock.now_ms()
        left_ms = request.deadline.left_ms(now_ms)
        ends_at_ms = now_ms + min(left_ms // 2, TRIAL_WAIT_MS)
        while True:
            wait_ms = self.check_once(request)
            if wait_ms != TRIAL_RUNNING_RETRY_MS or self.clock.now_ms() >= ends_at_ms:
                return wait_ms
            gevent.sleep(TRIAL_POLL_MS / MS_PER_SECOND)

    def check_once(self, request: ForwardRequest) -> int | None:
        """Return the same as `check`, without waiting."""
        request.is_trial = False
        if not self.table.suspects:
            return None
        fingerprint = fingerprint_of(request)
        result = self.table.check(fingerprint, self.clock.now_ms())
        if isinstance(result, Allowed):
            return None
        if isinstance(result, Quarantined):
            return result.retry_after_ms
        limit_ms = request.deadline.left_ms(self.clock.now_ms())
        if self.is_trial_allowed(result.owner or self.node, fingerprint, limit_ms):
            request.is_trial = True
            return None
        return TRIAL_RUNNING_RETRY_MS

    def upstreams_to_avoid(self, request: ForwardRequest) -> frozenset[str]:
        """Return the endpoints to avoid in a suspect's trial."""
        if not request.is_trial:
            return frozenset()
        now_ms = self.clock.now_ms()
        return self.table.crashed_upstreams(fingerprint_of(request), now_ms)

    def is_trial_allowed(self, owner: str, fingerprint: str, limit_ms: int) -> bool:
        """Return whether the fingerprint's owner allows a trial now."""
        if owner == self.node:
            return self.grant_trial(fingerprint, limit_ms)
        return self.request_trial(owner, fingerprint, limit_ms)

    def grant_trial(self, fingerprint: str, limit_ms: int) -> bool:
        """Return whether a trial may run, as the fingerprint's owner."""
        return self.table.begin_trial(fingerprint, self.clock.now_ms(), limit_ms)

    def on_failure(
        self, request: ForwardRequest, endpoint: str, point: FailurePoint
    ) -> None:
        """Record a failed attempt; a lost connection counts as a crash."""
        if point not in CRASH_POINTS:
            if request.is_trial:
                self.share_report(self.table.end_trial(fingerprint_of(request)))
            return
        now_ms = self.clock.now_ms()
        fingerprint = fingerprint_of(request)
        report = self.table.on_crash(fingerprint, endpoint, now_ms, request.is_trial)
        self.share_report(report)
        self.report_to_peers(report)

    def on_success(self, request: ForwardRequest) -> None:
        """Clear a suspect after a successful response."""
        if not self.table.suspects:
            return
        report = self.table.on_success(fingerprint_of(request), self.clock.now_ms())
        if report is not None:
            self.share_report(report)
            gevent.spawn(self.report_to_peers, report)

    def merge_report(self, report: SuspectReport) -> None:
        """Merge a peer's report."""
        self.table.merge(report, self.clock.now_ms())

    def set_members(self, members: tuple[str, ...]) -> None:
        """Set the nodes that fingerprints are distributed over."""
        self.table.set_members(members)


def fingerprint_of(request: ForwardRequest) -> str:
    """Return the request's fingerprint, computed once.

    It covers a body by its buffered start and, if there is more, its length.
    """
    if not request.fingerprint:
        body = request.body.prefix
        if not request.body.is_fully_buffered:
            body += str(request.head.content_length).encode()
        path = f"{request.service_name} {request.target}"
        request.fingerprint = request_fingerprint(request.method, path, body)
    return request.fingerprint
