"""Admit requests of workspaces within their quotas, and log refusals."""

import logging
from collections import Counter
from http import HTTPStatus

from bilberry_balance.quota.reports import QuotaRefusal
from bilberry_core.clock import Clock

from .active_request import ActiveRequest
from .answers import retry_later_answer
from .messages import EntryAnswer
from .permits import Permit
from .state import EntryState

_LOGGER = logging.getLogger(__name__)

LOG_INTERVAL_MS = 10_000
RESULT_ADMITTED = "admitted"
# Time of a request that counts against no quota.
NOT_COUNTED = -1


class QuotaLog:
    """Log which workspaces are limited, for all of them at a bounded rate."""

    __slots__ = ("clock", "next_line_ms", "refused")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.next_line_ms = 0
        self.refused: Counter[str] = Counter()

    def record_refusal(self, workspace: str, refusal: QuotaRefusal) -> None:
        """Count a refusal; log the counts at regular intervals."""
        self.refused[workspace] += 1
        now_ms = self.clock.now_ms()
        if now_ms < self.next_line_ms:
            return
        self.next_line_ms = now_ms + LOG_INTERVAL_MS
        ((most_refused, count),) = self.refused.most_common(1)
        _LOGGER.info(
            "entry: %d workspaces are over their quotas (%s): %d requests "
            "refused here since the last such line, most of %s (%d).",
            len(self.refused),
            refusal.reason,
            self.refused.total(),
            most_refused,
            count,
        )
        self.refused.clear()


class QuotaAdmission:
    """Count requests against the quotas, if the settings ask for it."""

    __slots__ = ("log", "state")

    def __init__(self, state: EntryState) -> None:
        self.state = state
        self.log = QuotaLog(state.clock)

    def admit(self, permit: Permit) -> int | EntryAnswer:
        """Return when a request counts, or the answer if over the quota."""
        quotas = self.state.quotas
        name = permit.workspace_name
        if quotas is None or not name:
            return NOT_COUNTED
        now_ms = self.state.clock.now_ms()
        refusal = quotas.admit(name, now_ms)
        if refusal is None:
            self.state.counts.quotas[RESULT_ADMITTED] += 1
            return now_ms
        self.state.counts.quotas[refusal.reason.value] += 1
        self.log.record_refusal(name, refusal)
        return retry_later_answer(
            HTTPStatus.TOO_MANY_REQUESTS, "over the quota", refusal.retry_after_ms
        )

    def record_sent(self, active: ActiveRequest, now_ms: int) -> None:
        """Count a request from its first attempt on, after a wait."""
        quotas = self.state.quotas
        if quotas is not None and active.quota_counted_ms != NOT_COUNTED:
            quotas.move(active.quota_workspace, active.quota_counted_ms, now_ms)
            active.quota_counted_ms = now_ms

    def record_end(self, active: ActiveRequest) -> None:
        """Give back the credit of a request that surely has not run."""
        quotas = self.state.quotas
        if quotas is None or active.quota_counted_ms == NOT_COUNTED:
            return
        if active.send_count == active.rejected_count:
            now_ms = self.state.clock.now_ms()
            quotas.release(active.quota_workspace, now_ms, active.quota_counted_ms)
