"""Requests and answers of callers; times in ms."""

from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from ..http.head import RequestHead
from ..http.messages import STATUS_LINES, Headers


@dataclass(slots=True, frozen=True)
class HeaderNames:
    """Name the platform's own headers of requests and answers.

    `timeout` is the time left in ms, `affinity` the object's key, `digest`
    an upstream's mark on its own answers, `load` its running requests,
    waiting requests and slots, and `not_run` means that nothing ran.
    `rate_limit` is how many requests a second an upstream takes from all
    nodes together, and `leaving` tells that it will stop. `upstream_id` names
    the upstream in answers about its health, and `workspace` the workspace of
    a request.
    """

    request_id: str
    timeout: str
    affinity: str
    digest: str
    expected_upstream: str
    load: str
    not_run: str
    rate_limit: str
    leaving: str
    upstream_id: str
    workspace: str


@dataclass(slots=True)
class EntryRequest:
    """Represent a caller's complete request; `arrived_ms` is monotonic."""

    head: RequestHead
    body: bytes | bytearray
    arrived_ms: int
    caller_gone: bool = False
    on_caller_gone: Callable[[], None] | None = None

    def mark_caller_gone(self) -> None:
        """Record that the caller is gone; safe in any greenlet."""
        self.caller_gone = True
        if self.on_caller_gone is not None:
            self.on_caller_gone()


@dataclass(slots=True)
class EntryAnswer:
    """Represent an answer; `detail` is why this node itself made it."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    reason: str = ""
    close: bool = False
    detail: str = ""

    @property
    def status_line(self) -> str:
        """Return the status code and reason phrase."""
        if self.reason:
            return f"{self.status} {self.reason}"
        return STATUS_LINES.get(self.status, f"{self.status} Unknown")


def local_answer(
    status: HTTPStatus | int, detail: str, headers: Headers | None = None
) -> EntryAnswer:
    """Return a plain-text answer of this node itself."""
    head = [("Content-Type", "text/plain; charset=utf-8"), *(headers or [])]
    return EntryAnswer(int(status), head, detail.encode(), detail=detail)
