"""Log how requests and attempts ended, with what led to it."""

from http import HTTPStatus

from bilberry_balance.placement.candidates import Selection

from .active_request import ActiveRequest, AttemptRecord, placement_request
from .answer_checks import LOST_ANSWER_POINTS
from .const import PROMPT_ANSWERS_PER_SAMPLE
from .counts import END_UPSTREAM_FAILED
from .events import UPSTREAM_ANSWER_CAUSE, AttemptFailed, RequestEnded, log_event
from .messages import EntryAnswer
from .placer import Placer
from .state import EntryState


class RequestLog:
    """Write one line for each failed, late or sampled request."""

    __slots__ = ("placer", "prompt_answer_count", "state")

    def __init__(self, state: EntryState, placer: Placer) -> None:
        self.state = state
        self.placer = placer
        self.prompt_answer_count = 0

    def record_end(
        self, active: ActiveRequest, answer: EntryAnswer, took_ms: int
    ) -> None:
        """Log how a request ended and the state that led to it.

        Most prompt answers aren't logged, to bound the volume.
        """
        if not self._should_log(active, answer, took_ms):
            return
        state = self.state
        now_ms = state.clock.now_ms()
        refused = answer.status == HTTPStatus.SERVICE_UNAVAILABLE
        event = RequestEnded(
            status=answer.status,
            cause=answer.detail or UPSTREAM_ANSWER_CAUSE,
            took_ms=took_ms,
            limit_ms=active.deadline_ms - active.request.arrived_ms,
            first_sent_ms=active.first_sent_ms,
            route=active.rule.name,
            config_version=state.config_version,
            service=active.service,
            key=active.key,
            attempts=active.attempts,
            upstreams=sorted(active.tried_upstreams),
            load=state.service_load(active.service, now_ms),
            slots=state.service_slots(active.service),
            room=self.placer.availability(placement_request(active, state))
            if refused
            else None,
            last_sent_ms=active.last_sent_ms,
            arrived_version=active.arrived_version,
            homes=sorted(active.rule.home_regions),
            regions=sorted(active.tried_regions),
            workspace=active.workspace,
        )
        log_event(active.request_id, event)

    def record_failed_attempt(
        self, active: ActiveRequest, selection: Selection, record: AttemptRecord
    ) -> None:
        """Log an attempt without an answer that can be forwarded."""
        outcome = record.outcome
        event = AttemptFailed(
            upstream=selection.upstream.name,
            point=str(outcome.point or END_UPSTREAM_FAILED),
            reason=outcome.reason,
            took_ms=record.took_ms,
            expected_ms=round(selection.expected_ms),
            warmth=selection.warmth.name.lower(),
            load=record.load,
            report_age_ms=record.report_age_ms,
            retries=record.will_retry,
            fingerprint=active.fingerprint()
            if outcome.point in LOST_ANSWER_POINTS
            else "",
        )
        log_event(active.request_id, event)

    def _should_log(
        self, active: ActiveRequest, answer: EntryAnswer, took_ms: int
    ) -> bool:
        """Return whether to log it: it failed, was late or is sampled."""
        if (
            answer.status >= HTTPStatus.BAD_REQUEST
            or took_ms > active.rule.target_latency_ms
        ):
            return True
        self.prompt_answer_count += 1
        return self.prompt_answer_count % PROMPT_ANSWERS_PER_SAMPLE == 0
