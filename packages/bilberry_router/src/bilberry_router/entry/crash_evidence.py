"""Judge from the outcomes of attempts which requests crash upstreams."""

import gevent

from bilberry_balance.outcomes import FailurePoint
from bilberry_balance.placement.upstream import Upstream

from .active_request import ActiveRequest
from .answer_checks import LOST_ANSWER_POINTS
from .connections import ExchangeOutcome
from .liveness import CrashWitness, HealthConnection, Liveness
from .messages import HeaderNames
from .state import EntryState
from .suspects import EntrySuspects

# In a trial, each of these is checked with the upstream.
UNANSWERED_POINTS = LOST_ANSWER_POINTS | {
    FailurePoint.MALFORMED_ANSWER,
    FailurePoint.DEADLINE_AFTER_SEND,
    FailurePoint.CALLER_GONE,
}


class CrashEvidence:
    """Record crashes and answers of requests with the suspects.

    A lost answer counts as a crash until the request is answered. So does one
    that is overdue, unless its upstream turns out to be alive. In a trial, a
    crash is confirmed first.
    """

    __slots__ = ("checks", "header_names", "state", "suspects")

    def __init__(
        self, state: EntryState, suspects: EntrySuspects, header_names: HeaderNames
    ) -> None:
        self.state = state
        self.suspects = suspects
        self.header_names = header_names
        # The overdue answers, with their times, of upstreams being checked.
        self.checks: dict[str, list[tuple[str, int]]] = {}

    def make_witness(self, upstream: Upstream) -> CrashWitness:
        """Return a witness for a trial at an upstream."""
        return CrashWitness(self._health_connection(upstream))

    def record(
        self,
        active: ActiveRequest,
        upstream: Upstream,
        outcome: ExchangeOutcome,
        sent_at_ms: int,
        ended_at_ms: int,
    ) -> None:
        """Record what an attempt tells."""
        if active.witness is not None:
            self._record_trial(active, upstream, outcome, sent_at_ms, ended_at_ms)
        elif outcome.point in LOST_ANSWER_POINTS:
            self.suspects.on_lost_answer(active.fingerprint(), upstream.name)
        elif outcome.point is FailurePoint.DEADLINE_AFTER_SEND:
            if not self._is_alive_or_closed(upstream, sent_at_ms):
                self._record_overdue(active.fingerprint(), upstream)
        elif outcome.point is None and self.suspects.table.suspects:
            self.suspects.on_answer(active.fingerprint())

    def _record_trial(
        self,
        active: ActiveRequest,
        upstream: Upstream,
        outcome: ExchangeOutcome,
        sent_at_ms: int,
        ended_at_ms: int,
    ) -> None:
        """Record what a trial proves, if anything, and end it."""
        fingerprint = active.fingerprint()
        try:
            if outcome.point is None:
                self.suspects.on_answer(fingerprint)
            elif self._has_crashed(active, upstream, outcome, sent_at_ms, ended_at_ms):
                self.suspects.on_trial_crash(fingerprint, upstream.name)
            else:
                self.suspects.on_trial_ended(fingerprint)
        finally:
            active.end_trial()

    def _has_crashed(
        self,
        active: ActiveRequest,
        upstream: Upstream,
        outcome: ExchangeOutcome,
        sent_at_ms: int,
        ended_at_ms: int,
    ) -> bool:
        """Return whether the upstream crashed in a trial."""
        witness = active.witness
        if witness is None or outcome.point not in UNANSWERED_POINTS:
            return False
        was_closed = outcome.point in LOST_ANSWER_POINTS
        if not was_closed and self._is_alive_or_closed(upstream, sent_at_ms):
            return False
        return witness.confirms_crash(ended_at_ms, was_closed)

    def _record_overdue(self, fingerprint: str, upstream: Upstream) -> None:
        at_ms = self.suspects.count_crash(fingerprint, upstream.name)
        waiting = self.checks.setdefault(upstream.name, [])
        waiting.append((fingerprint, at_ms))
        if len(waiting) == 1:
            gevent.spawn(self._check, upstream)

    def _check(self, upstream: Upstream) -> None:
        """Withdraw the crashes of an upstream that is alive."""
        connection = self._health_connection(upstream)
        try:
            is_alive = connection.connect() and connection.ask() is Liveness.ALIVE
        finally:
            connection.close()
            overdue = self.checks.pop(upstream.name)
        if is_alive:
            for fingerprint, at_ms in overdue:
                self.suspects.withdraw(fingerprint, upstream.name, at_ms)

    def _is_alive_or_closed(self, upstream: Upstream, sent_at_ms: int) -> bool:
        """Return whether it has answered since, or is to get nothing more."""
        if upstream.has_answered_since(sent_at_ms):
            return True
        return not self.state.upstreams.accepts_requests(upstream)

    def _health_connection(self, upstream: Upstream) -> HealthConnection:
        path = self.state.pool(upstream.spec.service).health_path
        return HealthConnection(
            upstream.spec, path, self.header_names, self.state.clock
        )
