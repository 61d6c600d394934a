"""Forward requests to upstreams, with retries, until a final answer."""

from http import HTTPStatus

from bilberry_balance.outcomes import FailurePoint
from bilberry_balance.placement.admission import Refusal, spread_retry_after_ms
from bilberry_balance.placement.candidates import Selection
from bilberry_balance.placement.upstream import Upstream
from bilberry_resources.routing import RouteRule
from bilberry_steering.route_table import RouteEntry

from ..http.head import RequestHead
from .access import AccessControl
from .accounts import OutcomeRecorder
from .active_request import (
    ActiveRequest,
    AttemptRecord,
    disconnect_hook,
    placement_request,
)
from .answer_checks import answer_failure_point, is_server_error
from .answer_memory import HeldAnswer
from .answers import (
    DRAINING_RETRY_MS,
    draining_answer,
    failure_answer,
    forwarded_answer,
    refusal_answer,
    unplaced_answer,
)
from .attempt import Attempt, ExchangeOutcome
from .connections import ConnectionPool
from .const import MAX_FORWARDED_TIMEOUT_MS
from .counts import (
    END_ANSWERED,
    END_UPSTREAM_FAILED,
    NO_SERVICE,
)
from .crash_evidence import CrashEvidence
from .heads import encode_request_head
from .messages import EntryAnswer, EntryRequest, HeaderNames, local_answer
from .permits import Permit
from .placer import PlacementRequest, Placer, Unplaced
from .quota_admission import QuotaAdmission
from .rate_limit_log import RateLimitLog
from .request_log import RequestLog
from .rereads import Rereads
from .retry_decisions import RetryDecisions
from .route_updates import RouteUpdates
from .state import EntryState
from .suspect_placement import SuspectPlacement, SuspectRefusal
from .suspects import EntrySuspects
from .upstream_reports import UpstreamReports

NO_CONFIG_RETRY_MS = 500


class Forwarder:
    """Handle callers' requests by forwarding them to upstreams.

    The node stops at `stop_at_ms`, None while that isn't planned. With
    `rereads`, requests wait for them after a standstill of the node.
    """

    __slots__ = (
        "access",
        "connections",
        "crash_evidence",
        "header_names",
        "is_refusing",
        "outcome_recorder",
        "placer",
        "quota_admission",
        "rate_limit_log",
        "request_log",
        "rereads",
        "retry_decisions",
        "route_updates",
        "state",
        "stop_at_ms",
        "suspect_placement",
        "suspects",
    )

    def __init__(
        self,
        state: EntryState,
        placer: Placer,
        connections: ConnectionPool,
        header_names: HeaderNames,
    ) -> None:
        self.state = state
        self.placer = placer
        self.connections = connections
        self.header_names = header_names
        reports = UpstreamReports(state, header_names)
        self.outcome_recorder = OutcomeRecorder(state, reports)
        self.rate_limit_log = RateLimitLog(state.clock)
        self.request_log = RequestLog(state, placer)
        self.retry_decisions = RetryDecisions(state)
        self.access = AccessControl(state)
        self.quota_admission = QuotaAdmission(state)
        self.route_updates = RouteUpdates(state, self.access)
        self.suspects = EntrySuspects(state.node, state.clock)
        self.crash_evidence = CrashEvidence(
            state, self.suspects, header_names, reports.record_load
        )
        self.suspect_placement = SuspectPlacement(placer, self.crash_evidence)
        self.is_refusing = False
        self.stop_at_ms: int | None = None
        self.rereads: Rereads | None = None

    def may_overlap(self, head: RequestHead) -> bool:
        """Return whether it may run before earlier requests have ended."""
        entry = self.route_updates.find(head)
        return entry is not None and entry.rule.idempotent

    def handle(self, request: EntryRequest) -> EntryAnswer:
        """Return the final answer to a request."""
        if self.is_refusing:
            return self.count_answer(request, draining_answer())
        if self.state.routes.config is None:
            answer = refusal_answer("no configuration yet", NO_CONFIG_RETRY_MS)
            return self.count_answer(request, answer)
        entry = self.find_route(request.head)
        if entry is None:
            return self.count_answer(request, self.access.refuse_unmatched())
        permit = self.access.decide(request.head, entry.rule)
        if not isinstance(permit, Permit):
            return self.count_answer(request, self.access.refuse(permit))
        counted = self.quota_admission.admit(permit)
        if isinstance(counted, EntryAnswer):
            return self.count_answer(request, counted)
        active = self.start_request(request, entry, permit)
        active.quota_counted_ms = counted
        active.quota_workspace = permit.workspace_name
        try:
            answer = self.forward(active)
        finally:
            self.quota_admission.record_end(active)
            active.held_error.release()
            if active.witness is not None:
                active.witness.close()
        took_ms = self.state.clock.now_ms() - request.arrived_ms
        self.request_log.record_end(active, answer, took_ms)
        return self.count_answer(request, answer, active.service)

    def find_route(self, head: RequestHead) -> RouteEntry | None:
        """Return the route of a new request, after a reread if needed."""
        entry = self.route_updates.find(head)
        if self.rereads is None or not self.rereads.is_needed():
            return entry
        limit_ms = MAX_FORWARDED_TIMEOUT_MS
        if entry is not None:
            limit_ms = self.timeout_ms(head, entry.rule)
        self.rereads.wait(limit_ms)
        return self.route_updates.find(head)

    def count_answer(
        self, request: EntryRequest, answer: EntryAnswer, service: str = NO_SERVICE
    ) -> EntryAnswer:
        """Count `answer` and return it."""
        took_ms = self.state.clock.now_ms() - request.arrived_ms
        self.state.counts.record_answer(service, answer, took_ms)
        return answer

    def start_request(
        self, request: EntryRequest, entry: RouteEntry, permit: Permit
    ) -> ActiveRequest:
        """Return the state of a new request on a route."""
        head = request.head
        rule = permit.rule
        key = head.first(self.header_names.affinity.lower()) if rule.sticky else None
        active = ActiveRequest(
            request,
            rule,
            entry.next_service(),
            head.first(self.header_names.request_id.lower()) or "",
            key or "",
            request.arrived_ms + self.timeout_ms(head, rule),
            HeldAnswer(self.connections.answer_memory),
            self.state.config_version,
            self.state.config_version,
            rule.idempotent,
            rule.max_attempts,
            entry.rule,
            workspace=permit.workspace_name,
            hides_key=self.access.requires_keys(),
        )
        self.state.retry_budget(active.service).on_request(request.arrived_ms)
        return active

    def timeout_ms(self, head: RequestHead, rule: RouteRule) -> int:
        """Return the request's own timeout, limited by that of its route."""
        text = head.first(self.header_names.timeout.lower()) or ""
        limit_ms = min(rule.timeout_ms, MAX_FORWARDED_TIMEOUT_MS)
        if text.isascii() and text.isdigit():
            return min(int(text), limit_ms)
        return limit_ms

    def forward(self, active: ActiveRequest) -> EntryAnswer:
        """Send the request to upstreams until there is a final answer."""
        while True:
            placed = self.suspect_placement.place(active, self.place)
            if isinstance(placed, SuspectRefusal):
                return unplaced_answer(active, placed.detail, placed.retry_after_ms)
            if isinstance(placed, EntryAnswer):
                return placed
            record = self.attempt(active, placed)
            outcome = record.outcome
            if outcome.point is None and not is_server_error(outcome):
                return forwarded_answer(outcome)
            self.route_updates.apply(active)
            if outcome.point is None:
                answer = forwarded_answer(outcome)
                record.will_retry = self.retry_decisions.may_retry_error(active)
                self.request_log.record_failed_attempt(active, placed, record)
                if not record.will_retry:
                    return answer
                active.hold_error(answer)
                active.may_have_run = True
                continue
            active.rejected_count += outcome.point is FailurePoint.SHED_NOT_RUN
            decision = self.retry_decisions.decide(active, outcome.point)
            record.will_retry = decision.retry
            self.request_log.record_failed_attempt(active, placed, record)
            active.may_have_run = decision.may_have_run
            if not decision.retry:
                return active.upstream_error or failure_answer(
                    outcome, decision, self.retry_after_ms(active)
                )
            self.retry_decisions.record_retry(active, outcome.point)

    def place(self, active: ActiveRequest) -> Selection | EntryAnswer:
        """Return the upstream for the next attempt, or the final answer."""
        placed = self.wait_for_upstream(active)
        is_gone = active.request.caller_gone
        if isinstance(placed, Selection) and (is_gone or self.ends_too_late(placed)):
            self.placer.release(placed.upstream)
            placed = Refusal(DRAINING_RETRY_MS)
        if is_gone:
            return local_answer(HTTPStatus.BAD_REQUEST, "the caller is gone")
        if isinstance(placed, EntryAnswer):
            return placed
        if isinstance(placed, Refusal):
            retry_after_ms = spread_retry_after_ms(
                placed.retry_after_ms, active.request_id
            )
            return unplaced_answer(active, "no room", retry_after_ms)
        return placed

    def wait_for_upstream(
        self, active: ActiveRequest
    ) -> Selection | Refusal | EntryAnswer:
        """Return what the placer decides by the newest configuration."""
        while True:
            request = self.current_placement(active)
            refused = self.access.refuse_waiting(active)
            if refused is not None:
                return refused
            placed = self.placer.place(request, disconnect_hook(active))
            if not isinstance(placed, Unplaced):
                return placed

    def current_placement(self, active: ActiveRequest) -> PlacementRequest:
        """Return a placement request that follows the newest configuration."""
        if self.rereads is not None:
            self.rereads.wait(active.remaining_ms(self.state.clock.now_ms()))
        self.route_updates.apply(active)
        return placement_request(
            active, self.state, lambda: self.route_updates.is_current(active)
        )

    def may_send(self, active: ActiveRequest, upstream: Upstream) -> bool:
        """Return whether an upstream that was selected may still get it."""
        if self.rereads is not None and self.rereads.is_due():
            return False
        if not self.route_updates.is_current(active):
            return False
        if not self.access.may_still_run(active):
            return False
        if self.state.clock.now_ms() < upstream.refuses_until_ms:
            return False
        return self.state.upstreams.accepts_requests(upstream)

    def begin_sending(self, active: ActiveRequest, upstream: Upstream) -> bytes:
        """Record that a request is sent now; return its head."""
        now_ms = self.state.clock.now_ms()
        active.send_count += 1
        active.last_sent_ms = now_ms - active.request.arrived_ms
        if active.first_sent_ms < 0:
            active.first_sent_ms = active.last_sent_ms
            self.quota_admission.record_sent(active, now_ms)
        return encode_request_head(
            active.request,
            upstream,
            active.remaining_ms(now_ms),
            self.header_names,
            active.workspace if self.hides_key(active) else None,
        )

    def hides_key(self, active: ActiveRequest) -> bool:
        """Return whether a key may be in the request's headers."""
        return active.hides_key or self.access.requires_keys()

    def ends_too_late(self, selection: Selection) -> bool:
        """Return whether the node stops before an answer is expected."""
        if self.stop_at_ms is None:
            return False
        return self.state.clock.now_ms() + selection.expected_ms > self.stop_at_ms

    def attempt(self, active: ActiveRequest, selection: Selection) -> AttemptRecord:
        """Send the request to one upstream and record the outcome."""
        upstream = selection.upstream
        now_ms = self.state.clock.now_ms()
        load = round(upstream.load(self.state.peer_loads.total(upstream.name), now_ms))
        report_age_ms = upstream.report_age_ms(now_ms)
        attempt = Attempt(
            active.request.head.method,
            b"",
            active.request_id,
            active.deadline_ms,
            active.idempotent,
            active.request.body,
            needs_new_connection=active.witness is not None,
            may_send=lambda: self.may_send(active, upstream),
            make_head=lambda: self.begin_sending(active, upstream),
        )
        self.rate_limit_log.record_attempt(upstream, is_retry=active.attempts > 0)
        active.request.on_caller_gone = attempt.cancel
        outcome = self.run_attempt(active, selection, attempt, now_ms)
        if outcome.point is not FailurePoint.PLACEMENT_OUTDATED:
            active.tried_upstreams.add(upstream.name)
            active.tried_regions.add(upstream.spec.region)
        took_ms = self.state.clock.now_ms() - now_ms
        self.crash_evidence.record(active, upstream, outcome, now_ms)
        return AttemptRecord(outcome, took_ms, load, report_age_ms)

    def run_attempt(
        self,
        active: ActiveRequest,
        selection: Selection,
        attempt: Attempt,
        sent_at_ms: int,
    ) -> ExchangeOutcome:
        """Return the recorded outcome, and start what waits for its slot."""
        try:
            outcome = self.exchange(active, selection.upstream, attempt)
            self.record_attempt(active, selection, attempt, outcome, sent_at_ms)
        finally:
            # Not before, as the answer may say what its upstream takes.
            self.placer.start_queued(selection.upstream.spec.service)
        return outcome

    def exchange(
        self, active: ActiveRequest, upstream: Upstream, attempt: Attempt
    ) -> ExchangeOutcome:
        """Return the outcome of an attempt, and free its slot."""
        try:
            outcome = self.connections.exchange(upstream.spec.address, attempt)
        finally:
            active.request.on_caller_gone = None
            self.placer.free_slot(upstream)
        outcome.point = answer_failure_point(outcome, self.header_names)
        return outcome

    def record_attempt(
        self,
        active: ActiveRequest,
        selection: Selection,
        attempt: Attempt,
        outcome: ExchangeOutcome,
        sent_at_ms: int,
    ) -> None:
        """Count an attempt that has ended, and apply what it tells."""
        end = outcome.point or END_ANSWERED
        if outcome.point is None and is_server_error(outcome):
            end = END_UPSTREAM_FAILED
        counts = self.state.counts
        took_ms = self.state.clock.now_ms() - sent_at_ms
        counts.record_attempt(active.service, end, took_ms)
        if attempt.sent:
            active.attempts += 1
            distance = self.state.selector.distances.between(selection.upstream.spec)
            counts.record_traffic(attempt.byte_count, outcome.received_bytes, distance)
        processing_times = self.state.processing_times(active.rule, active.service)
        self.outcome_recorder.record(selection, outcome, processing_times, sent_at_ms)

    def retry_after_ms(self, active: ActiveRequest) -> int:
        """Return when a request that an upstream refused may come back.

        Other upstreams may have room now, so that it needn't wait longer
        than those that are queued.
        """
        expected_ms = self.placer.expected_wait_ms(
            placement_request(active, self.state), self.state.clock.now_ms()
        )
        return spread_retry_after_ms(expected_ms, active.request_id)
