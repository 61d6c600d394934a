"""Update the state of upstreams from the outcomes of attempts."""

import logging
from http import HTTPStatus

from bilberry_balance.outcomes import FailurePoint
from bilberry_balance.placement.processing_times import ProcessingTimes
from bilberry_balance.placement.selector import Selection
from bilberry_balance.placement.upstream import Upstream

from .connections import ExchangeOutcome
from .messages import HeaderNames
from .state import EntryState

_LOGGER = logging.getLogger(__name__)

LOAD_HEADER_FIELDS = 3
UPSTREAM_FAILURE_POINTS = frozenset(
    {
        FailurePoint.AWAITING_ANSWER,
        FailurePoint.MID_ANSWER,
        FailurePoint.MALFORMED_ANSWER,
    }
)


class OutcomeRecorder:
    """Apply the outcomes of attempts to the state of upstreams."""

    __slots__ = ("header_names", "state")

    def __init__(self, state: EntryState, header_names: HeaderNames) -> None:
        self.state = state
        self.header_names = header_names

    def record(
        self,
        selection: Selection,
        outcome: ExchangeOutcome,
        processing_times: ProcessingTimes,
        sent_at_ms: int,
    ) -> None:
        """Record the outcome of an attempt that was sent at `sent_at_ms`."""
        upstream = selection.upstream
        now_ms = self.state.clock.now_ms()
        point = outcome.point
        has_free_slot = self._record_load(upstream, outcome, now_ms)
        if point is None:
            pool = self.state.pool(upstream.spec.service)
            upstream.on_answer(pool.cold_start_ms, now_ms)
            self._record_processing_time(
                selection, outcome, processing_times, now_ms - sent_at_ms, now_ms
            )
        elif point is FailurePoint.DURING_CONNECT:
            self._record_unreachable(upstream, outcome, now_ms)
        elif point is FailurePoint.SHED_NOT_RUN:
            self._record_shed(upstream, outcome, has_free_slot, now_ms)
        elif point in UPSTREAM_FAILURE_POINTS:
            upstream.on_failure(now_ms)
        elif point is FailurePoint.DEADLINE_AFTER_SEND:
            ratio = (now_ms - sent_at_ms) / max(selection.expected_ms, 1.0)
            upstream.on_processing_time(ratio, now_ms)

    def _record_unreachable(
        self, upstream: Upstream, outcome: ExchangeOutcome, now_ms: int
    ) -> None:
        if not upstream.unreachable:
            _LOGGER.warning(
                "entry: Upstream %s is unreachable: %s.", upstream.name, outcome.reason
            )
        upstream.on_unreachable(now_ms)
        for fingerprint in self.state.crash_detector.on_unreachable(
            upstream.name, now_ms
        ):
            _LOGGER.warning(
                "entry: Upstream %s crashed during the request with fingerprint %s.",
                upstream.name,
                fingerprint,
            )
        self.state.region_share_limiter.relax_limit(now_ms)

    def _record_shed(
        self,
        upstream: Upstream,
        outcome: ExchangeOutcome,
        has_free_slot: bool,
        now_ms: int,
    ) -> None:
        parser = outcome.parser
        if parser is not None and parser.status == HTTPStatus.MISDIRECTED_REQUEST:
            _LOGGER.warning(
                "entry: Upstream %s was replaced at its address.", upstream.name
            )
            upstream.draining = True
            return
        upstream.on_shed(has_free_slot, now_ms)

    def _record_processing_time(
        self,
        selection: Selection,
        outcome: ExchangeOutcome,
        processing_times: ProcessingTimes,
        took_ms: int,
        now_ms: int,
    ) -> None:
        parser = outcome.parser
        if parser is None or parser.status >= HTTPStatus.BAD_REQUEST:
            return
        if selection.upstream.is_cold(now_ms):
            return
        ratio = processing_times.observe(selection.warmth, took_ms)
        selection.upstream.on_processing_time(ratio, now_ms)

    def _record_load(
        self, upstream: Upstream, outcome: ExchangeOutcome, now_ms: int
    ) -> bool:
        """Record an answer's load header; return whether slots were free."""
        parser = outcome.parser
        text = parser.first(self.header_names.load.lower()) if parser else None
        if text is None:
            return False
        numbers = [part.strip() for part in text.split(",")]
        if len(numbers) != LOAD_HEADER_FIELDS or not all(n.isdigit() for n in numbers):
            _LOGGER.warning(
                "entry: Invalid load header of upstream %s: %s.", upstream.name, text
            )
            return False
        running, waiting, slots = (int(number) for number in numbers)
        upstream.on_report(running, waiting, now_ms)
        return running < slots
