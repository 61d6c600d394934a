"""Update the state of upstreams from the outcomes of attempts."""

import logging
from http import HTTPStatus

from bilberry_balance.outcomes import FailurePoint
from bilberry_balance.placement.candidates import Selection
from bilberry_balance.placement.distances import Distance
from bilberry_balance.placement.processing_times import ProcessingTimes
from bilberry_balance.placement.upstream import Upstream

from .attempt import ExchangeOutcome
from .state import EntryState
from .upstream_headers import LoadReport
from .upstream_reports import UpstreamReports

_LOGGER = logging.getLogger(__name__)

UPSTREAM_FAILURE_POINTS = frozenset(
    {
        FailurePoint.AWAITING_ANSWER,
        FailurePoint.MID_ANSWER,
        FailurePoint.MALFORMED_ANSWER,
    }
)


class OutcomeRecorder:
    """Apply the outcomes of attempts to the state of upstreams."""

    __slots__ = ("reports", "state")

    def __init__(self, state: EntryState, reports: UpstreamReports) -> None:
        self.state = state
        self.reports = reports

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
        if outcome.connect_ms is not None:
            self.state.selector.distances.observe(upstream.spec, outcome.connect_ms)
        load = None
        if outcome.parser is not None:
            load = self.reports.record_load(upstream, outcome.parser)
            if point is None or point is FailurePoint.SHED_NOT_RUN:
                self.reports.record_directives(upstream, outcome.parser)
        if point is None:
            self.state.restarts.on_answer(upstream, now_ms)
            self._record_processing_time(
                selection, outcome, processing_times, now_ms - sent_at_ms, now_ms
            )
        elif point is FailurePoint.DURING_CONNECT:
            self._record_unreachable(upstream, outcome, now_ms)
        elif point is FailurePoint.SHED_NOT_RUN:
            self._record_shed(upstream, outcome, load, now_ms)
        elif point in UPSTREAM_FAILURE_POINTS:
            upstream.on_failure(now_ms)
        elif point is FailurePoint.DEADLINE_AFTER_SEND:
            ratio = (now_ms - sent_at_ms) / max(selection.expected_ms, 1.0)
            self._record_ratio(upstream, ratio, now_ms)

    def _record_unreachable(
        self, upstream: Upstream, outcome: ExchangeOutcome, now_ms: int
    ) -> None:
        was_known = upstream.unreachable
        has_ended = self.state.restarts.on_unreachable(
            upstream, outcome.is_refused, now_ms
        )
        if not was_known:
            _LOGGER.warning(
                "entry: Upstream %s is unreachable, has ended: %s: %s.",
                upstream.name,
                has_ended,
                outcome.reason,
            )
        self.state.region_share_limiter.relax_limit(now_ms)

    def _record_shed(
        self,
        upstream: Upstream,
        outcome: ExchangeOutcome,
        load: LoadReport | None,
        now_ms: int,
    ) -> None:
        parser = outcome.parser
        if parser is not None and parser.status == HTTPStatus.MISDIRECTED_REQUEST:
            _LOGGER.warning(
                "entry: Upstream %s was replaced at its address.", upstream.name
            )
            self.state.record_displaced(upstream)
            return
        has_free_slot = load is not None and load.running < load.slots
        upstream.on_shed(has_free_slot, load.waiting if load else 0, now_ms)

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
        upstream = selection.upstream
        spec = upstream.spec
        distances = self.state.selector.distances
        way_ms = distances.round_trip_ms(spec) + (outcome.connect_ms or 0)
        is_local = distances.between(spec) is not Distance.OTHER_REGION
        ratio = processing_times.observe(
            selection.warmth,
            max(0.0, took_ms - way_ms),
            is_local,
            (selection.pace, upstream.pace.at(now_ms)),
        )
        self._record_ratio(upstream, ratio, now_ms)

    def _record_ratio(self, upstream: Upstream, ratio: float, now_ms: int) -> None:
        """Record a processing time, as a ratio to the expected time."""
        was_slow = upstream.is_slow(now_ms)
        upstream.on_processing_time(ratio, now_ms)
        if upstream.is_slow(now_ms) and not was_slow:
            _LOGGER.info(
                "entry: Upstream %s is slow: %.1f times the expected time.",
                upstream.name,
                ratio,
            )
