"""Take one request from its route to its final answer."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from bilberry_balance.outcomes import FailurePoint, Verdict, judge
from bilberry_balance.placement.admission import Refusal
from bilberry_balance.placement.chooser import Choice, Need
from bilberry_balance.placement.crashes import fingerprint_of
from bilberry_core.const import HEADER_RETRY_AFTER, MS_PER_SECOND
from bilberry_resources.routing import RouteRule

from ..http.head import RequestHead
from .accounts import Accounts
from .const import MAX_FORWARDED_TIMEOUT_MS
from .heads import answer_headers, request_data
from .links import Attempt, Links, Outcome
from .messages import EntryAnswer, EntryRequest, HeaderNames, own_answer
from .placing import Placer, PlaceRequest
from .reading import is_own_failure, read_point
from .state import EntryState

_LOGGER = logging.getLogger(__name__)

HEADER_HOST = "host"
NO_CONFIG_RETRY_MS = 500
BROKEN_OFF = frozenset({FailurePoint.AWAITING_ANSWER, FailurePoint.MID_ANSWER})
LEAVING_RETRY_MS = 50
UNSENT = frozenset({FailurePoint.DURING_CONNECT, FailurePoint.BEFORE_CONNECT})


@dataclass(slots=True)
class Run:
    """Hold a request on its way; times in monotonic ms.

    `first_sent_ms` is how long after its arrival it was first sent, -1
    until then. `failed` is an upstream's own failure, kept for when no
    other answer is to be had.
    """

    request: EntryRequest
    rule: RouteRule
    service: str
    request_id: str
    key: str
    ends_at_ms: int
    attempts: int = 0
    first_sent_ms: int = -1
    maybe_run: bool = False
    tried: set[str] = field(default_factory=set)
    failed: EntryAnswer | None = None

    def fingerprint(self) -> str:
        """Return what the repeats of this request have in common."""
        request = self.request
        head = request.head
        return fingerprint_of(request.client, head.method, head.target, request.body)

    def left_ms(self, now_ms: int) -> int:
        """Return the time until the final answer."""
        return max(0, self.ends_at_ms - now_ms)


class Forwarder:
    """Answer callers' requests by forwarding them to upstreams."""

    __slots__ = ("accounts", "links", "names", "placer", "refusing", "state")

    def __init__(
        self, state: EntryState, placer: Placer, links: Links, names: HeaderNames
    ) -> None:
        self.state = state
        self.placer = placer
        self.links = links
        self.names = names
        self.accounts = Accounts(state, names)
        self.refusing = False

    def may_overlap(self, head: RequestHead) -> bool:
        """Tell whether the request may run before earlier ones ended."""
        entry = self.state.routes.find(head.first(HEADER_HOST) or "", head.path)
        return entry is not None and entry.rule.idempotent

    def handle(self, request: EntryRequest) -> EntryAnswer:
        """Return the final answer to a request."""
        head = request.head
        routes = self.state.routes
        if self.refusing:
            return leaving_answer()
        if routes.config is None:
            return refusal_answer("no configuration yet", NO_CONFIG_RETRY_MS)
        entry = routes.find(head.first(HEADER_HOST) or "", head.path)
        if entry is None:
            return own_answer(HTTPStatus.NOT_FOUND, "no route")
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
        answer = self.refuse_crashing(run) or self.forward(run)
        took_ms = self.state.clock.now_ms() - request.arrived_ms
        if answer.status >= HTTPStatus.BAD_REQUEST or took_ms > rule.target_ms:
            self.log_end(run, answer, took_ms)
        return answer

    def log_end(self, run: Run, answer: EntryAnswer, took_ms: int) -> None:
        """Log what became of a request that failed or was late, and why."""
        state = self.state
        now_ms = state.clock.now_ms()
        config = state.routes.config
        _LOGGER.info(
            "entry: Ended with %s, %s, after %s ms of %s, first sent after %s ms; "
            "route %s in version %s, service %s, key %s, attempts %s at [%s], "
            "load %s of %s.",
            answer.status,
            answer.detail or "upstream's answer",
            took_ms,
            run.ends_at_ms - run.request.arrived_ms,
            run.first_sent_ms,
            run.rule.name,
            config.version if config else 0,
            run.service,
            run.key,
            run.attempts,
            ",".join(sorted(run.tried)),
            state.service_load(run.service, now_ms),
            state.service_slots(run.service),
            extra={"request_id": run.request_id},
        )

    def timeout_ms(self, head: RequestHead, rule: RouteRule) -> int:
        """Return how long the request may take: its own or its route's."""
        text = head.first(self.names.timeout.lower()) or ""
        limit_ms = min(rule.timeout_ms, MAX_FORWARDED_TIMEOUT_MS)
        if text.isascii() and text.isdigit():
            return min(int(text), limit_ms)
        return limit_ms

    def refuse_crashing(self, run: Run) -> EntryAnswer | None:
        """Refuse a request that keeps crashing upstreams."""
        crashes = self.state.crashes
        if not crashes.table.suspicions:
            return None
        now_ms = self.state.clock.now_ms()
        refused = crashes.refuses(run.fingerprint(), now_ms)
        if refused is None:
            return None
        return refusal_answer("request quarantined", refused.retry_after_ms)

    def forward(self, run: Run) -> EntryAnswer:
        """Place and send the request until there is a final answer."""
        while True:
            placed = self.placer.place(self.place_request(run), watch_of(run))
            if run.request.gone:
                if isinstance(placed, Choice):
                    self.placer.release(placed.upstream)
                return own_answer(HTTPStatus.BAD_REQUEST, "the caller is gone")
            if isinstance(placed, Refusal):
                return self.refused(run, placed)
            outcome = self.attempt(run, placed)
            if outcome.point is None:
                answer = passed_on(outcome)
                if not self.may_try_again(run, outcome):
                    return answer
                run.failed = answer
                continue
            verdict = self.judge(run, outcome.point)
            run.maybe_run = verdict.maybe_run
            if not verdict.retry:
                return final_answer(outcome, verdict)
            if outcome.point not in UNSENT:
                budget = self.state.retry_budget(run.service)
                budget.take(self.state.clock.now_ms())

    def attempt(self, run: Run, choice: Choice) -> Outcome:
        """Send the request to one upstream and account for the outcome."""
        upstream = choice.upstream
        now_ms = self.state.clock.now_ms()
        attempt = Attempt(
            run.request.head.method,
            request_data(run.request, upstream, run.left_ms(now_ms), self.names),
            run.request_id,
            run.ends_at_ms,
            run.rule.idempotent,
        )
        if run.first_sent_ms < 0:
            run.first_sent_ms = now_ms - run.request.arrived_ms
        run.request.on_gone = attempt.cancel
        run.tried.add(upstream.name)
        try:
            outcome = self.links.exchange(upstream.spec.address, attempt)
        finally:
            run.request.on_gone = None
            self.placer.release(upstream)
        if attempt.sent:
            run.attempts += 1
        outcome.point = read_point(outcome, self.names)
        work = self.state.work_times(run.rule, run.service)
        self.note_crash(run, choice, outcome)
        self.accounts.settle(choice, outcome, work, now_ms)
        return outcome

    def note_crash(self, run: Run, choice: Choice, outcome: Outcome) -> None:
        """Note an answer that may have been lost in a crash, or was not."""
        crashes = self.state.crashes
        now_ms = self.state.clock.now_ms()
        if outcome.point in BROKEN_OFF:
            crashes.on_lost(run.fingerprint(), choice.upstream.name, now_ms)
        elif outcome.point is None and crashes.table.suspicions:
            crashes.on_answer(run.fingerprint(), now_ms)

    def may_try_again(self, run: Run, outcome: Outcome) -> bool:
        """Tell whether an upstream's own failure is worth another try."""
        if not is_own_failure(outcome) or not run.rule.idempotent:
            return False
        if not self.has_attempts(run) or run.request.gone:
            return False
        now_ms = self.state.clock.now_ms()
        work = self.state.work_times(run.rule, run.service)
        if run.left_ms(now_ms) < work.means[0]:
            return False
        return self.state.retry_budget(run.service).take(now_ms)

    def judge(self, run: Run, point: FailurePoint) -> Verdict:
        """Decide what follows a failed attempt."""
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
        """Tell whether the route allows another upstream."""
        return run.attempts < run.rule.max_attempts

    def refused(self, run: Run, refusal: Refusal) -> EntryAnswer:
        """Return the final answer when there is no room to be had."""
        if run.failed is not None:
            return run.failed
        if run.maybe_run:
            return own_answer(HTTPStatus.BAD_GATEWAY, "the answer was lost")
        return refusal_answer("no room", refusal.retry_after_ms)

    def place_request(self, run: Run) -> PlaceRequest:
        """Describe what the request needs of its next upstream."""
        rule = run.rule
        need = Need(
            run.service,
            run.key,
            self.state.work_times(rule, run.service),
            rule.home_regions,
            run.tried,
        )
        target_at_ms = run.request.arrived_ms + rule.target_ms
        return PlaceRequest(
            need, rule.priority, rule.target_ms, target_at_ms, run.ends_at_ms
        )


def watch_of(run: Run) -> Callable[[Callable[[], None]], None]:
    """Return a function that sets what a hang-up calls."""

    def watch(on_gone: Callable[[], None]) -> None:
        run.request.on_gone = on_gone

    return watch


def refusal_answer(detail: str, retry_after_ms: int) -> EntryAnswer:
    """Return the answer to a request that has not run and never will."""
    seconds = f"{retry_after_ms / MS_PER_SECOND:.3f}"
    headers = [(HEADER_RETRY_AFTER, seconds)]
    return own_answer(HTTPStatus.SERVICE_UNAVAILABLE, detail, headers)


def leaving_answer() -> EntryAnswer:
    """Return the answer to a request that this node can't end in time."""
    answer = refusal_answer("this node is leaving", LEAVING_RETRY_MS)
    answer.close = True
    return answer


def final_answer(outcome: Outcome, verdict: Verdict) -> EntryAnswer:
    """Return the node's own answer after a failed attempt."""
    assert outcome.point is not None
    detail = f"{outcome.point.value} {outcome.reason}".strip()
    if verdict.retry_after_ms is not None:
        return refusal_answer(detail, verdict.retry_after_ms)
    return own_answer(verdict.status, detail)


def passed_on(outcome: Outcome) -> EntryAnswer:
    """Return an upstream's whole answer as it goes to the caller."""
    parser = outcome.parser
    assert parser is not None
    headers = answer_headers(parser.headers)
    return EntryAnswer(parser.status, headers, outcome.body, parser.reason)
