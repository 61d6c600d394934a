"""State of a request in progress and of its attempts."""

from collections.abc import Callable
from dataclasses import dataclass, field

from bilberry_balance.placement.candidates import UpstreamRequirements
from bilberry_balance.suspects import request_fingerprint
from bilberry_resources.routing import RouteRule

from ..http.const import HEADER_HOST
from .answer_memory import HeldAnswer
from .attempt import ExchangeOutcome
from .liveness import CrashWitness
from .messages import EntryAnswer, EntryRequest
from .permits import Denial
from .placer import PlacementRequest, is_always_current
from .state import EntryState


@dataclass(slots=True)
class ActiveRequest:
    """Store the state of a request in progress; times in monotonic ms.

    `first_sent_ms` and `last_sent_ms` are the times from its arrival to the
    first and the latest attempt, -1 until then. It arrived under the
    configuration `arrived_version`, and `rule` is that of `config_version`. It
    may be repeated if it is `idempotent` by all its rules, and `max_attempts`
    is the smallest of them. A trial has a `witness`, and avoids
    `trial_excluded` upstreams. `upstream_error` is an upstream's answer with
    a server error, which is the final answer if no other attempt can be made;
    `held_error` counts its bytes meanwhile. `route` is the rule without what
    the workspace changes. It `hides_key` from upstreams if the configuration
    asks for keys, or did since it arrived. A `denial` is why it may not run
    by the newest configuration. It counts against the quota of
    `quota_workspace`, that of its arrival, at `quota_counted_ms`. Of the
    `send_count` upstreams that got it, `rejected_count` proved not to run it.
    """

    request: EntryRequest
    rule: RouteRule
    service: str
    request_id: str
    key: str
    deadline_ms: int
    held_error: HeldAnswer
    arrived_version: int
    config_version: int
    idempotent: bool
    max_attempts: int
    route: RouteRule
    attempts: int = 0
    first_sent_ms: int = -1
    last_sent_ms: int = -1
    may_have_run: bool = False
    tried_upstreams: set[str] = field(default_factory=set)
    tried_regions: set[str] = field(default_factory=set)
    upstream_error: EntryAnswer | None = None
    witness: CrashWitness | None = None
    trial_excluded: set[str] = field(default_factory=set)
    known_fingerprint: str = ""
    workspace: str = ""
    hides_key: bool = False
    denial: Denial | None = None
    quota_counted_ms: int = -1
    send_count: int = 0
    rejected_count: int = 0
    quota_workspace: str = ""

    def fingerprint(self) -> str:
        """Return the fingerprint that all repeats of this request share.

        It leaves out the caller's address, as repeats come from others too.
        """
        if not self.known_fingerprint:
            request = self.request
            head = request.head
            method = f"{head.method} {head.first(HEADER_HOST)}"
            self.known_fingerprint = request_fingerprint(
                method, head.target, request.body
            )
        return self.known_fingerprint

    def hold_error(self, answer: EntryAnswer) -> None:
        """Keep an upstream's error while another attempt is made."""
        self.upstream_error = answer
        self.held_error.release()
        self.held_error.add(len(answer.body))

    def remaining_ms(self, now_ms: int) -> int:
        """Return the time left until the deadline, in ms."""
        return max(0, self.deadline_ms - now_ms)


@dataclass(slots=True)
class AttemptRecord:
    """Store an attempt's outcome and the upstream's state when it was sent.

    `load` is the upstream's known load, `report_age_ms` the age of its
    latest load report, and `will_retry` is whether another attempt follows.
    """

    outcome: ExchangeOutcome
    took_ms: int
    load: int
    report_age_ms: int
    will_retry: bool = False


def disconnect_hook(active: ActiveRequest) -> Callable[[Callable[[], None]], None]:
    """Return a function that sets the callback for a disconnect."""

    def set_callback(on_caller_gone: Callable[[], None]) -> None:
        active.request.on_caller_gone = on_caller_gone

    return set_callback


def placement_request(
    active: ActiveRequest,
    state: EntryState,
    is_current: Callable[[], bool] = is_always_current,
) -> PlacementRequest:
    """Return the placement request for the next attempt."""
    rule = active.rule
    requirements = UpstreamRequirements(
        active.service,
        active.key,
        state.processing_times(rule, active.service),
        rule.home_regions,
        active.tried_upstreams | active.trial_excluded,
    )
    target_end_ms = active.request.arrived_ms + rule.target_latency_ms
    return PlacementRequest(
        requirements,
        rule.priority,
        rule.target_latency_ms,
        state.clock.now_ms(),
        target_end_ms,
        active.deadline_ms,
        is_current=is_current,
    )
