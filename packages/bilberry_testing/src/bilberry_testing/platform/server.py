"""Serve the platform's object API over HTTP."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, TypeVar

import gevent
import msgspec
from gevent.event import Event

from bilberry_core.clock import Clock, SystemClock
from bilberry_core.const import MS_PER_SECOND
from bilberry_core.outcome import Failure, Result, Success
from bilberry_resources.codec import decode

from ..const import (
    DEFAULT_ADDRESS,
    DEFAULT_WATCH_TIMEOUT_MS,
    HEADER_IF_MATCH,
    MAX_WATCH_TIMEOUT_MS,
    PATH_CALLS,
    PATH_FAULTS,
    PATH_OBJECTS,
    PATH_SET_VMS,
    PATH_VMS,
)
from ..http import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    error_response,
    json_response,
    reset_connection,
)
from .messages import CallCounts, Faults, PlatformObject, VmUpdate
from .table import ObjectTable, Refusal, RefusalReason
from .vms import DelayedVmList

T = TypeVar("T")

REFUSAL_STATUSES = {
    RefusalReason.CONFLICT: HTTPStatus.CONFLICT,
    RefusalReason.MISSING: HTTPStatus.NOT_FOUND,
    RefusalReason.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    RefusalReason.TOO_OLD: HTTPStatus.GONE,
}


class PlatformServer:
    """Serve an object table over HTTP, with injected faults."""

    __slots__ = (
        "calls",
        "changed",
        "clock",
        "faults",
        "frozen_table",
        "http",
        "table",
        "vms",
    )

    def __init__(
        self,
        port: int = 0,
        address: str = DEFAULT_ADDRESS,
        table: ObjectTable | None = None,
        clock: Clock | None = None,
    ) -> None:
        self.table = table or ObjectTable()
        self.clock = clock or SystemClock()
        self.vms = DelayedVmList()
        self.faults = Faults()
        self.calls = CallCounts(by_kind={})
        self.frozen_table: ObjectTable | None = None
        self.changed = Event()
        self.http = HttpServer(self.handle, port, address)

    @property
    def url(self) -> str:
        """Return the base URL."""
        return self.http.url

    @property
    def port(self) -> int:
        """Return the bound port."""
        return self.http.port

    def start(self) -> None:
        """Bind and serve."""
        self.http.start()

    def close(self) -> None:
        """Stop serving; the objects stay."""
        self.http.close()

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults in effect."""
        if faults.stale and self.frozen_table is None:
            self.frozen_table = self.table.copy()
        if not faults.stale:
            self.frozen_table = None
        self.faults = faults
        self.wake_watches()

    def wake_watches(self) -> None:
        """Let each waiting watch look again."""
        self.changed.set()
        self.changed = Event()

    @property
    def visible_table(self) -> ObjectTable:
        """Return the table that reads use, a frozen copy if stale."""
        return self.frozen_table or self.table

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        control = CONTROL_HANDLERS.get(request.path)
        if control is not None:
            return control(self, request)
        if self.faults.slow_ms:
            gevent.sleep(self.faults.slow_ms / MS_PER_SECOND)
        if self.faults.down:
            reset_connection()
        if request.path == PATH_VMS:
            self.count("vms")
            return json_response(self.vms.current(self.clock.now_ms()))
        return self.handle_objects(request)

    def handle_objects(self, request: HttpRequest) -> HttpResponse:
        """Answer a request below `/objects`."""
        parts = request.path.split("/", 3)[1:]
        if f"/{parts[0]}" != PATH_OBJECTS or len(parts) < 2 or not parts[1]:
            return error_response(HTTPStatus.NOT_FOUND, f"no path {request.path}")
        if len(parts) == 2:
            return self.handle_collection(request, parts[1])
        return self.handle_object(request, parts[1], parts[2])

    def handle_collection(self, request: HttpRequest, kind: str) -> HttpResponse:
        """List or watch the objects of one kind."""
        if request.method != "GET":
            return error_response(HTTPStatus.METHOD_NOT_ALLOWED, request.method)
        if request.query.get("watch") == "1":
            self.count("watch", kind)
            return self.watch(request, kind)
        self.count("list", kind)
        return json_response(self.visible_table.list(kind))

    def handle_object(self, request: HttpRequest, kind: str, name: str) -> HttpResponse:
        """Read or write one object."""
        method = METHOD_HANDLERS.get(request.method)
        if method is None:
            return error_response(HTTPStatus.METHOD_NOT_ALLOWED, request.method)
        self.count(request.method.lower(), kind)
        return method(self, request, kind, name)

    def get(self, request: HttpRequest, kind: str, name: str) -> HttpResponse:
        """Return one object."""
        return _build_response(self.visible_table.get(kind, name))

    def put(self, request: HttpRequest, kind: str, name: str) -> HttpResponse:
        """Store one object."""
        match = _parse_if_match(request)
        decoded = decode(request.body, PlatformObject)
        if isinstance(match, Failure):
            return error_response(HTTPStatus.BAD_REQUEST, match.failure())
        if isinstance(decoded, Failure):
            return error_response(HTTPStatus.BAD_REQUEST, str(decoded.failure()))
        written = self.table.put(kind, name, decoded.unwrap(), match.unwrap())
        return self.respond_to_write(written)

    def delete(self, request: HttpRequest, kind: str, name: str) -> HttpResponse:
        """Delete one object."""
        match = _parse_if_match(request)
        if isinstance(match, Failure):
            return error_response(HTTPStatus.BAD_REQUEST, match.failure())
        return self.respond_to_write(self.table.delete(kind, name, match.unwrap()))

    def respond_to_write(self, written: Result[Any, Refusal]) -> HttpResponse:
        """Wake the watches and answer, unless `lose_reply` is set."""
        if isinstance(written, Success):
            self.wake_watches()
            if self.faults.lose_reply > 0:
                self.faults.lose_reply -= 1
                reset_connection()
        return _build_response(written)

    def watch(self, request: HttpRequest, kind: str) -> HttpResponse:
        """Wait for changes after `since`, at most `timeout_ms`."""
        since = _parse_int(request.query.get("since"), 0)
        timeout_ms = _parse_int(
            request.query.get("timeout_ms"), DEFAULT_WATCH_TIMEOUT_MS
        )
        if since is None or timeout_ms is None:
            detail = "since and timeout_ms must be whole numbers"
            return error_response(HTTPStatus.BAD_REQUEST, detail)
        deadline_ms = self.clock.now_ms() + min(timeout_ms, MAX_WATCH_TIMEOUT_MS)
        while True:
            found = self.visible_table.changes(kind, since)
            remaining_ms = deadline_ms - self.clock.now_ms()
            if isinstance(found, Failure) or found.unwrap().events or remaining_ms <= 0:
                return _build_response(found)
            self.changed.wait(remaining_ms / MS_PER_SECOND)
            if self.faults.down:
                reset_connection()

    def count(self, verb: str, kind: str = "") -> None:
        """Count one call by verb and kind."""
        self.calls.total += 1
        setattr(self.calls, verb, getattr(self.calls, verb) + 1)
        if kind:
            self.calls.by_kind[kind] = self.calls.by_kind.get(kind, 0) + 1

    def control_faults(self, request: HttpRequest) -> HttpResponse:
        """Read or replace the faults."""
        if request.method == "GET":
            return json_response(self.faults)
        decoded = decode(request.body, Faults)
        if isinstance(decoded, Failure):
            return error_response(HTTPStatus.BAD_REQUEST, str(decoded.failure()))
        self.set_faults(decoded.unwrap())
        return json_response(self.faults)

    def control_vms(self, request: HttpRequest) -> HttpResponse:
        """Replace the list of VMs."""
        decoded = decode(request.body, VmUpdate)
        if isinstance(decoded, Failure):
            return error_response(HTTPStatus.BAD_REQUEST, str(decoded.failure()))
        self.vms.set(decoded.unwrap(), self.clock.now_ms())
        return json_response(decoded.unwrap())

    def control_calls(self, request: HttpRequest) -> HttpResponse:
        """Read the call counts, or reset them with DELETE."""
        counts = self.calls
        if request.method == "DELETE":
            self.calls = CallCounts(by_kind={})
        return json_response(counts)


METHOD_HANDLERS: dict[
    str, Callable[[PlatformServer, HttpRequest, str, str], HttpResponse]
] = {
    "GET": PlatformServer.get,
    "PUT": PlatformServer.put,
    "DELETE": PlatformServer.delete,
}
CONTROL_HANDLERS: dict[str, Callable[[PlatformServer, HttpRequest], HttpResponse]] = {
    PATH_FAULTS: PlatformServer.control_faults,
    PATH_SET_VMS: PlatformServer.control_vms,
    PATH_CALLS: PlatformServer.control_calls,
}


def _build_response(result: Result[Any, Refusal]) -> HttpResponse:
    if isinstance(result, Failure):
        refusal = result.failure()
        status = REFUSAL_STATUSES[refusal.reason]
        return error_response(status, refusal.detail, refusal.version)
    value = result.unwrap()
    if isinstance(value, bytes):
        value = msgspec.Raw(value)
    return json_response(value)


def _parse_if_match(request: HttpRequest) -> Result[int | None, str]:
    text = request.header(HEADER_IF_MATCH)
    if text is None:
        return Success(None)
    version = _parse_int(text.strip('"'), None)
    if version is None:
        return Failure(f"If-Match must be a version, not {text!r}")
    return Success(version)


def _parse_int(text: str | None, default: int | None) -> int | None:
    if text is None:
        return default
    if not text.isdigit():
        return None
    return int(text)
