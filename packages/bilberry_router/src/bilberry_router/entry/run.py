"""Hold a request on its way, and what is known of its attempts."""

from collections.abc import Callable
from dataclasses import dataclass, field

from bilberry_balance.placement.crashes import fingerprint_of
from bilberry_resources.routing import RouteRule

from .links import Outcome
from .messages import EntryAnswer, EntryRequest


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


@dataclass(slots=True)
class SentView:
    """Hold an attempt's outcome and what was known when it was sent.

    `load` is what the upstream's load was taken for, from a report that was
    `report_age_ms` old.
    """

    outcome: Outcome
    at_ms: int
    load: int
    report_age_ms: int
    retries: bool = False


def watch_of(run: Run) -> Callable[[Callable[[], None]], None]:
    """Return a function that sets what a hang-up calls."""

    def watch(on_gone: Callable[[], None]) -> None:
        run.request.on_gone = on_gone

    return watch
