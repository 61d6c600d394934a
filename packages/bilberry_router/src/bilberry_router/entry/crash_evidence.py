"""Judge from the outcomes of attempts which requests crash upstreams."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import gevent
from gevent import Greenlet

from bilberry_balance.outcomes import FailurePoint
from bilberry_balance.placement.upstream import Upstream
from bilberry_core.const import MS_PER_SECOND

from ..http.response_parser import ResponseParser
from .active_request import ActiveRequest
from .answer_checks import LOST_ANSWER_POINTS
from .attempt import ExchangeOutcome
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


@dataclass(slots=True, frozen=True)
class OverdueAnswer:
    """Represent an answer that never came, counted as a crash."""

    fingerprint: str
    counted_at_ms: int


@dataclass(slots=True, frozen=True)
class EndedTrial:
    """Represent a trial whose result is to be found out.

    `point` is where it failed, None if it was answered.
    """

    fingerprint: str
    upstream: Upstream
    point: FailurePoint | None
    witness: CrashWitness
    sent_at_ms: int
    ended_at_ms: int


class CrashEvidence:
    """Record crashes and answers of requests with the suspects.

    A lost answer counts as a crash until the request is answered. So does one
    that is overdue, unless its upstream turns out to be alive. In a trial, a
    crash is confirmed first. `record_load` reads the load that a health answer
    tells.
    """

    __slots__ = ("header_names", "overdue", "record_load", "state", "suspects")

    def __init__(
        self,
        state: EntryState,
        suspects: EntrySuspects,
        header_names: HeaderNames,
        record_load: Callable[[Upstream, ResponseParser], object],
    ) -> None:
        self.state = state
        self.record_load = record_load
        self.suspects = suspects
        self.header_names = header_names
        # By upstream, while it is being checked.
        self.overdue: dict[str, list[OverdueAnswer]] = {}

    def make_witness(self, upstream: Upstream) -> CrashWitness:
        """Return a witness for a trial at an upstream."""
        return CrashWitness(self._health_connection(upstream))

    def record(
        self,
        active: ActiveRequest,
        upstream: Upstream,
        outcome: ExchangeOutcome,
        sent_at_ms: int,
    ) -> None:
        """Record what an attempt tells.

        What a lost answer means is known before the next attempt, unless the
        request's time is over before. No other trial of it begins until then.
        """
        if active.witness is not None:
            trial = EndedTrial(
                active.fingerprint(),
                upstream,
                outcome.point,
                active.witness,
                sent_at_ms,
                self.state.clock.now_ms(),
            )
            active.witness = None
            self._wait(active, gevent.spawn(self._judge_trial, trial))
        elif outcome.point in LOST_ANSWER_POINTS:
            told = gevent.spawn(
                self.suspects.on_lost_answer, active.fingerprint(), upstream.name
            )
            self._wait(active, told)
        elif outcome.point is FailurePoint.DEADLINE_AFTER_SEND:
            if not self._is_alive_or_closed(upstream, sent_at_ms):
                self._record_overdue(active.fingerprint(), upstream)
        elif outcome.point is None and self.suspects.table.suspects:
            self.suspects.on_answer(active.fingerprint())

    def _wait(self, active: ActiveRequest, task: Greenlet) -> None:
        """Wait until a task has ended, or the request's time is over."""
        left_ms = active.remaining_ms(self.state.clock.now_ms())
        task.join(timeout=left_ms / MS_PER_SECOND)

    def _judge_trial(self, trial: EndedTrial) -> None:
        """Record what a trial proves, if anything."""
        try:
            if trial.point is None:
                self.suspects.on_answer(trial.fingerprint)
            elif self._has_crashed(trial):
                self.suspects.on_trial_crash(trial.fingerprint, trial.upstream.name)
            else:
                self.suspects.on_trial_ended(trial.fingerprint)
        finally:
            trial.witness.close()

    def _has_crashed(self, trial: EndedTrial) -> bool:
        """Return whether the upstream crashed in a trial."""
        if trial.point not in UNANSWERED_POINTS:
            return False
        was_closed = trial.point in LOST_ANSWER_POINTS
        if not was_closed and self._is_alive_or_closed(
            trial.upstream, trial.sent_at_ms
        ):
            return False
        return trial.witness.confirms_crash(trial.ended_at_ms, was_closed)

    def _record_overdue(self, fingerprint: str, upstream: Upstream) -> None:
        at_ms = self.suspects.count_crash(fingerprint, upstream.name)
        waiting = self.overdue.setdefault(upstream.name, [])
        waiting.append(OverdueAnswer(fingerprint, at_ms))
        if len(waiting) == 1:
            gevent.spawn(self._check, upstream)

    def _check(self, upstream: Upstream) -> None:
        """Withdraw the crashes of an upstream that is alive."""
        connection = self._health_connection(upstream)
        try:
            is_alive = connection.connect() and connection.ask() is Liveness.ALIVE
        finally:
            connection.close()
            overdue = self.overdue.pop(upstream.name)
        if is_alive:
            for answer in overdue:
                self.suspects.withdraw(
                    answer.fingerprint, upstream.name, answer.counted_at_ms
                )

    def _is_alive_or_closed(self, upstream: Upstream, sent_at_ms: int) -> bool:
        """Return whether it has answered since, or is to get nothing more."""
        if upstream.has_answered_since(sent_at_ms):
            return True
        return not self.state.upstreams.accepts_requests(upstream)

    def _health_connection(self, upstream: Upstream) -> HealthConnection:
        path = self.state.pool(upstream.spec.service).health_path
        return HealthConnection(
            upstream.spec,
            path,
            self.header_names,
            self.state.clock,
            partial(self.record_load, upstream),
        )
