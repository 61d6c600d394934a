"""One request of a caller, its answer, and the answer's bytes."""

from dataclasses import dataclass
from typing import Protocol

from ..http.const import BODILESS_STATUSES, END_OF_HEAD, METHOD_HEAD
from ..http.head import RequestHead
from .answer_memory import HeldAnswer
from .messages import EntryAnswer, EntryRequest
from .request_memory import HeldBody


class Handler(Protocol):
    """Define the interface of a request handler."""

    def handle(self, request: EntryRequest) -> EntryAnswer:
        """Return the answer; called in a separate greenlet."""
        ...

    def may_overlap(self, head: RequestHead) -> bool:
        """Return whether it may run before earlier requests have ended."""
        ...


@dataclass(slots=True)
class Exchange:
    """Represent a request and its answer, which is None until ready."""

    request: EntryRequest
    held: HeldAnswer
    held_body: HeldBody
    answer: EntryAnswer | None = None


def encode_answer(
    answer: EntryAnswer, request_head: RequestHead, close: bool
) -> tuple[bytes, bytes]:
    """Return an answer's head and body, with `Connection: close` if told."""
    lines = [f"HTTP/1.1 {answer.status_line}"]
    lines += [f"{name}: {value}" for name, value in answer.headers]
    body = answer.body
    if answer.status not in BODILESS_STATUSES and request_head.method != METHOD_HEAD:
        lines.append(f"Content-Length: {len(body)}")
    else:
        body = b""
    if close:
        lines.append("Connection: close")
    elif request_head.minor_version == 0:
        lines.append("Connection: keep-alive")
    return "\r\n".join(lines).encode("latin-1") + END_OF_HEAD, body
