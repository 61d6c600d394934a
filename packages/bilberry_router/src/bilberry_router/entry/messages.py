"""Requests and answers as the entry handles them; times in ms."""

from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from ..http.head import RequestHead
from ..http.messages import STATUS_LINES, Headers


@dataclass(slots=True, frozen=True)
class HeaderNames:
    """Name the headers by which callers and upstreams tell what they mean.

    `timeout` holds the time left in ms, `affinity` the object's key,
    `digest` the upstream's own mark on its answers, `load` its running and
    waiting requests and slots, `not_run` its word that nothing ran.
    """

    request_id: str
    timeout: str
    affinity: str
    digest: str
    expected_upstream: str
    load: str
    not_run: str


@dataclass(slots=True)
class EntryRequest:
    """Hold a whole request of a caller; `arrived_ms` is monotonic."""

    head: RequestHead
    body: bytes
    client: str
    arrived_ms: int
    gone: bool = False
    on_gone: Callable[[], None] | None = None

    def leave(self) -> None:
        """Note that the caller has hung up; safe in any greenlet."""
        self.gone = True
        if self.on_gone is not None:
            self.on_gone()


@dataclass(slots=True)
class EntryAnswer:
    """Hold a whole answer to a caller; `detail` says why this node made it."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    reason: str = ""
    close: bool = False
    detail: str = ""

    @property
    def status_line(self) -> str:
        """Return status and reason as they are sent."""
        if self.reason:
            return f"{self.status} {self.reason}"
        return STATUS_LINES.get(self.status, f"{self.status} Unknown")


def own_answer(
    status: HTTPStatus | int, detail: str, headers: Headers | None = None
) -> EntryAnswer:
    """Return an answer made by the node itself, in plain text."""
    head = [("Content-Type", "text/plain; charset=utf-8"), *(headers or [])]
    return EntryAnswer(int(status), head, detail.encode(), detail=detail)
