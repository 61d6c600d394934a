"""Forward requests to upstreams, with retries, until a final answer."""

from http import HTTPStatus

from bilberry_balance.outcomes import FailurePoint, Verdict, judge
from bilberry_balance.placement.admission import Refusal
from bilberry_balance.placement.selector import Selection, UpstreamRequirements
from bilberry_resources.routing import RouteRule
from bilberry_steering.route_table import RouteEntry

from ..http.head import RequestHead
from .accounts import Accounts
from .answers import final_answer, leaving_answer, passed_on, refusal_answer
from .connections import Attempt, AttemptOutcome, ConnectionPool
from .const import MAX_FORWARDED_TIMEOUT_MS, PROMPT_ANSWERS_A_SAMPLE
from .counts import END_ANSWERED, END_UPSTREAM_FAILED, NO_SERVICE
from .events import UPSTREAMS_ANSWER, AttemptFailed, RequestEnded, log_event
from .heads import request_data
from .messages import EntryAnswer, EntryRequest, HeaderNames, own_answer
from .placer import PlacementRequest, Placer
from .reading import is_own_failure, read_point
from .run import Run, SentView, watch_of
from .state import EntryState

HEADER_HOST = "host"
NO_CONFIG_RETRY_MS = 500
BROKEN_OFF = frozenset({FailurePoint.AWAITING_ANSWER, FailurePoint.MID_ANSWER})
UNSENT = frozenset({FailurePoint.DURING_CONNECT, FailurePoint.BEFORE_CONNECT})


class Forwarder:
    """Handle callers' requests by forwarding them to upstreams."""

    __slots__ = (
        "accounts",
        "connections",
        "names",
        "placer",
        "prompt_answers",
        "refusing",
        "state",
    )

    def __init__(
        self,
        state: EntryState,
        placer: Placer,
        connections: ConnectionPool,
        names: HeaderNames,
    ) -> None:
        self.state = state
        self.placer = placer
        self.connections = connections
        self.names = names
        self.accounts = Accounts(state, names)
        self.refusing = False
        self.prompt_answers = 0

    def may_overlap(self, head: RequestHead) -> bool:
        """Return whether it may run before earlier requests have ended."""
        entry = self.state.routes.find(head.first(HEADER_HOST) or "", head.path)
        return entry is not None and entry.rule.idempotent

    def handle(self, request: EntryRequest) -> EntryAnswer:
        """Return the final answer to a request."""
        head = request.head
        routes = self.state.routes
        if self.refusing:
            return self.counted(request, leaving_answer())
        if routes.config is None:
            answer = refusal_answer("no configuration yet", NO_CONFIG_RETRY_MS)
            return self.counted(request, answer)
        entry = routes.find(head.first(HEADER_HOST) or "", head.path)
        if entry is None:
            return self.counted(request, own_answer(HTTPStatus.NOT_FOUND, "no route"))
        run = self.new_run(request, entry)
        answer = self.refuse_crashing(run) or self.forward(run)
        took_ms = self.state.clock.now_ms() - request.arrived_ms
        if self.is_worth_a_line(run, answer, took_ms):
            self.log_end(run, answer, took_ms)
        return self.counted(request, answer, run.service)

    def is_worth_a_line(self, run: Run, answer: EntryAnswer, took_ms: int) -> bool:
        """Return whether to log it: it failed, was late or is sampled."""
        if answer.status >= HTTPStatus.BAD_REQUEST or took_ms > run.rule.target_ms:
            return True
        self.prompt_answers += 1
        return self.prompt_answers % PROMPT_ANSWERS_A_SAMPLE == 0

    def counted(
        self, request: EntryRequest, answer: EntryAnswer, service: str = NO_SERVICE
    ) -> EntryAnswer:
        """Count `answer` and return it."""
        took_ms = self.state.clock.now_ms() - request.arrived_ms
        self.state.counts.note_answer(service, answer, took_ms)
        return answer

    def new_run(self, request: EntryRequest, entry: RouteEntry) -> Run:
        """Return the state of a new request on a route."""
        head = request.head
        rule = entry.rule
        run = Run(
            request,
            rule,
            entry.next_service(),
            head.first(self.names.request_id.lower()) or "",
            head.first(self.names.affinity.lower()) or "",
            request.arrived_ms + self.timeout_ms(head, rule),
        )
        self.state.retry_budget(run.service).on_request(request.arrived_ms)
        return run

    def log_end(self, run: Run, answer: EntryAnswer, took_ms: int) -> None:
        """Log the end of a request."""
        state = self.state
        now_ms = state.clock.now_ms()
        config = state.routes.config
        refused = answer.status == HTTPStatus.SERVICE_UNAVAILABLE
        event = RequestEnded(
            status=answer.status,
            cause=answer.detail or UPSTREAMS_ANSWER,
            took_ms=took_ms,
            limit_ms=run.deadline_ms - run.request.arrived_ms,
            first_sent_ms=run.first_sent_ms,
            route=run.rule.name,
            config_version=config.version if config else 0,
            service=run.service,
            key=run.key,
            attempts=run.attempts,
            upstreams=sorted(run.tried),
            load=state.service_load(run.service, now_ms),
            slots=state.service_slots(run.service),
            room=self.placer.availability(self.placement_request(run))
            if refused
            else None,
        )
        log_event(run.request_id, event)

    def log_failure(self, run: Run, selection: Selection, sent: SentView) -> None:
        """Log an attempt without an answer that can be forwarded."""
        outcome = sent.outcome
        event = AttemptFailed(
            upstream=selection.upstream.name,
            point=str(outcome.point or END_UPSTREAM_FAILED),
            reason=outcome.reason,
            took_ms=self.state.clock.now_ms() - sent.at_ms,
            expected_ms=round(selection.expected_ms),
            warmth=selection.warmth.name.lower(),
            load=sent.load,
            report_age_ms=sent.report_age_ms,
            retries=sent.retries,
        )
        log_event(run.request_id, event)

    def timeout_ms(self, head: RequestHead, rule: RouteRule) -> int:
        """Return the request's own timeout, limited by that of its route."""
        text = head.first(self.names.timeout.lower()) or ""
        limit_ms = min(rule.timeout_ms, MAX_FORWARDED_TIMEOUT_MS)
        if text.isascii() and text.isdigit():
            return min(int(text), limit_ms)
        return limit_ms

    def refuse_crashing(self, run: Run) -> EntryAnswer | None:
        """Return a refusal if the request is quarantined, else None."""
        detector = self.state.crash_detector
        if not detector.table.suspicions:
            return None
        now_ms = self.state.clock.now_ms()
        refused = detector.find_quarantine(run.fingerprint(), now_ms)
        if refused is None:
            return None
        return refusal_answer("request quarantined", refused.retry_after_ms)

    def forward(self, run: Run) -> EntryAnswer:
        """Send the request to upstreams until there is a final answer."""
        while True:
            placed = self.placer.place(self.placement_request(run), watch_of(run))
            if run.request.gone:
                if isinstance(placed, Selection):
                    self.placer.release(placed.upstream)
                return own_answer(HTTPStatus.BAD_REQUEST, "the caller is gone")
            if isinstance(placed, Refusal):
                return self.refused(run, placed)
            sent = self.attempt(run, placed)
            outcome = sent.outcome
            if outcome.point is None:
                answer = passed_on(outcome)
                if not is_own_failure(outcome):
                    return answer
                sent.retries = self.may_try_again(run)
                self.log_failure(run, placed, sent)
                if not sent.retries:
                    return answer
                run.failed = answer
                continue
            verdict = self.judge(run, outcome.point)
            sent.retries = verdict.retry
            self.log_failure(run, placed, sent)
            run.maybe_run = verdict.maybe_run
            if not verdict.retry:
                return final_answer(outcome, verdict)
            if outcome.point not in UNSENT:
                budget = self.state.retry_budget(run.service)
                budget.take(self.state.clock.now_ms())

    def attempt(self, run: Run, selection: Selection) -> SentView:
        """Send the request to one upstream and record the outcome."""
        upstream = selection.upstream
        now_ms = self.state.clock.now_ms()
        load = upstream.load(self.state.peer_loads.total(upstream.name), now_ms)
        report_age_ms = upstream.report_age_ms(now_ms)
        attempt = Attempt(
            run.request.head.method,
            request_data(run.request, upstream, run.left_ms(now_ms), self.names),
            run.request_id,
            run.deadline_ms,
            run.rule.idempotent,
        )
        if run.first_sent_ms < 0:
            run.first_sent_ms = now_ms - run.request.arrived_ms
        run.request.on_gone = attempt.cancel
        run.tried.add(upstream.name)
        try:
            outcome = self.connections.exchange(upstream.spec.address, attempt)
        finally:
            run.request.on_gone = None
            self.placer.release(upstream)
        if attempt.sent:
            run.attempts += 1
        outcome.point = read_point(outcome, self.names)
        took_ms = self.state.clock.now_ms() - now_ms
        end = outcome.point or END_ANSWERED
        if outcome.point is None and is_own_failure(outcome):
            end = END_UPSTREAM_FAILED
        self.state.counts.note_attempt(run.service, end, took_ms)
        processing_times = self.state.processing_times(run.rule, run.service)
        self.note_crash(run, selection, outcome)
        self.accounts.settle(selection, outcome, processing_times, now_ms)
        return SentView(outcome, now_ms, load, report_age_ms)

    def note_crash(
        self, run: Run, selection: Selection, outcome: AttemptOutcome
    ) -> None:
        """Record whether the attempt may have crashed its upstream."""
        detector = self.state.crash_detector
        now_ms = self.state.clock.now_ms()
        if outcome.point in BROKEN_OFF:
            detector.on_answer_lost(run.fingerprint(), selection.upstream.name, now_ms)
        elif outcome.point is None and detector.table.suspicions:
            detector.on_answer(run.fingerprint(), now_ms)

    def may_try_again(self, run: Run) -> bool:
        """Return whether to retry after a server error of an upstream."""
        if not run.rule.idempotent:
            return False
        if not self.has_attempts(run) or run.request.gone:
            return False
        now_ms = self.state.clock.now_ms()
        processing_times = self.state.processing_times(run.rule, run.service)
        if run.left_ms(now_ms) < processing_times.means[0]:
            return False
        return self.state.retry_budget(run.service).take(now_ms)

    def judge(self, run: Run, point: FailurePoint) -> Verdict:
        """Return the verdict on a failed attempt: retry, or an answer."""
        now_ms = self.state.clock.now_ms()
        budget = self.state.retry_budget(run.service)
        granted = point in UNSENT or budget.has_left(now_ms)
        return judge(
            point,
            run.rule.idempotent,
            keyed=False,
            budget_left=granted and self.has_attempts(run),
            deadline_left_ms=run.left_ms(now_ms),
            maybe_run=run.maybe_run,
        )

    def has_attempts(self, run: Run) -> bool:
        """Return whether the route allows another attempt."""
        return run.attempts < run.rule.max_attempts

    def refused(self, run: Run, refusal: Refusal) -> EntryAnswer:
        """Return the final answer if no upstream could be selected."""
        if run.failed is not None:
            return run.failed
        if run.maybe_run:
            return own_answer(HTTPStatus.BAD_GATEWAY, "the answer was lost")
        return refusal_answer("no room", refusal.retry_after_ms)

    def placement_request(self, run: Run) -> PlacementRequest:
        """Return the placement request for the next attempt."""
        rule = run.rule
        requirements = UpstreamRequirements(
            run.service,
            run.key,
            self.state.processing_times(rule, run.service),
            rule.home_regions,
            run.tried,
        )
        target_end_ms = run.request.arrived_ms + rule.target_ms
        return PlacementRequest(
            requirements,
            rule.priority,
            rule.target_ms,
            self.state.clock.now_ms(),
            target_end_ms,
            run.deadline_ms,
        )
