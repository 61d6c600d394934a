"""A caller's request while it is being forwarded."""

from dataclasses import dataclass, field
from typing import Any
from urllib.parse import unquote

from bilberry_balance.const import MAX_TIMEOUT_MS
from bilberry_balance.deadline import Deadline
from bilberry_core.clock import Clock
from bilberry_core.const import HEADER_IDEMPOTENCY_KEY
from bilberry_resources.kinds.services import ServiceSpec
from bilberry_steering.routing_results import Route

from ..const import PREFIX_FORWARD
from ..http.body import BodyError, BodyReader
from ..http.connection import Connection
from ..http.const import ENV_CONNECTION, ENV_HEAD
from ..http.head import RequestHead
from ..http.messages import Environ
from .const import BODY_BUFFER_BYTES


class RequestBody:
    """A request body: the start is buffered, the rest streamed."""

    __slots__ = ("is_streaming", "prefix", "reader")

    def __init__(self, reader: BodyReader) -> None:
        self.reader = reader
        self.prefix = b""
        self.is_streaming = False

    @property
    def is_fully_buffered(self) -> bool:
        """Return whether the buffered part is the entire body."""
        return self.reader.is_complete and not self.is_streaming

    @property
    def is_replayable(self) -> bool:
        """Return whether the body can still be sent from its start."""
        return not self.is_streaming

    def read_prefix(self, wait_ms: int, clock: Clock) -> None:
        """Read up to the buffer's size; raise BodyError."""
        ends_at_ms = clock.now_ms() + min(wait_ms, self.reader.timeout_ms)
        parts = []
        buffered_bytes = 0
        while buffered_bytes < BODY_BUFFER_BYTES:
            left_ms = ends_at_ms - clock.now_ms()
            data = self.reader.read_some(timeout_ms=left_ms)
            if not data:
                break
            parts.append(data)
            buffered_bytes += len(data)
        self.prefix = b"".join(parts)

    def read_rest(self) -> bytes:
        """Return the next bytes after the buffered part; raise BodyError."""
        self.is_streaming = True
        return self.reader.read_some()


@dataclass(slots=True)
class ForwardRequest:
    """A request to forward, shared by its attempts.

    With `has_caller_deadline` the caller set a deadline for the whole request;
    without, the service's `timeout_ms` limits the time without progress.
    """

    head: RequestHead
    body: RequestBody
    connection: Connection
    client_ip: str
    service_name: str
    target: str
    request_id: str
    service: ServiceSpec
    deadline: Deadline
    has_caller_deadline: bool
    headers: list[tuple[str, str]] = field(default_factory=list)
    fingerprint: str = ""
    is_trial: bool = False
    caller_gone: bool = False
    has_sent: bool = False
    caller_error: BodyError | None = None
    route: Route | None = None
    regions: list[str] = field(default_factory=list)

    @property
    def method(self) -> str:
        """Return the request's method."""
        return self.head.method

    @property
    def is_idempotent(self) -> bool:
        """Return whether the service declares the method idempotent."""
        return self.head.method in self.service.idempotent_methods

    @property
    def key(self) -> str | None:
        """Return the idempotency key, if the request has one."""
        return self.head.first(HEADER_IDEMPOTENCY_KEY.lower())

    def buffer_body(self, clock: Clock) -> None:
        """Buffer the body's start, then restart the deadline."""
        if self.body.reader.is_complete:
            return
        wait_ms = MAX_TIMEOUT_MS
        if self.has_caller_deadline:
            wait_ms = self.deadline.left_ms(clock.now_ms())
        self.body.read_prefix(wait_ms, clock)
        self.extend_deadline(clock.now_ms())

    def extend_deadline(self, now_ms: int) -> None:
        """Restart the deadline, unless the caller has set it."""
        if not self.has_caller_deadline:
            self.deadline = Deadline(now_ms + self.service.timeout_ms)


@dataclass(slots=True, frozen=True)
class ForwardAddress:
    """The service and the upstream request target that a path names."""

    service: str
    target: str


def parse_forward_address(head: RequestHead) -> ForwardAddress:
    """Split `/s/{service}/{path}?query`; keep the target unchanged."""
    path, mark, query = head.target.partition("?")
    service, _, rest = path[len(PREFIX_FORWARD) :].partition("/")
    return ForwardAddress(unquote(service), f"/{rest}{mark}{query}")


def get_head(environ: Environ) -> RequestHead:
    """Return the request's head as received."""
    head: RequestHead = environ[ENV_HEAD]
    return head


def get_connection(environ: Environ) -> Connection:
    """Return the caller's connection."""
    connection: Connection = environ[ENV_CONNECTION]
    return connection


def get_body(environ: dict[str, Any]) -> RequestBody:
    """Return the request's body, still unread."""
    return RequestBody(environ["wsgi.input"])
