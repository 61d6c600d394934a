"""Client of a node's resource API."""

import re
from collections.abc import Callable
from typing import TypeVar
from urllib.parse import quote, urlencode

from bilberry_core.clock import SystemClock
from bilberry_core.outcome import Failure, RequestOutcome, Result, Success
from bilberry_resources.codec import decode, encode
from bilberry_resources.model import StoredObject
from bilberry_store.http import CallError, HttpResponse, HttpSession

from .const import (
    DEFAULT_REQUEST_TIMEOUT_MS,
    DEFAULT_RETRY_MS,
    PATH_AUDIT,
    PATH_LOOKUP,
    PATH_STATUS,
    PREFIX_API,
    RETRY_PAUSE_MS,
    ExitCode,
)
from .errors import CommandError, failed, usage_error
from .messages import (
    AuditPage,
    EventPage,
    LookupAnswer,
    ObjectPage,
    Overview,
    ServerProblem,
)
from .pause import sleep_ms

T = TypeVar("T")

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_GONE = 410
INPUT_STATUSES = (400, 413, 422)
BUSY_STATUSES = (429, 503)
NOT_RUN = RequestOutcome.NOT_RUN

SERVER_PATTERN = re.compile(r"^http://[^/:\s]+:\d{1,5}/?$")


class ApiClient:
    """Call one node's resource API.

    A change is resent only if the server reports that it did not run.
    Retries stop after `retry_ms`.
    """

    __slots__ = ("caller", "clock", "headers", "retry_ms", "server", "timeout_ms")

    def __init__(
        self,
        server: str,
        token: str | None = None,
        timeout_ms: int = DEFAULT_REQUEST_TIMEOUT_MS,
        retry_ms: int = DEFAULT_RETRY_MS,
    ) -> None:
        self.clock = SystemClock()
        self.retry_ms = retry_ms
        self.server = server.rstrip("/")
        self.caller = HttpSession(self.server)
        self.timeout_ms = timeout_ms
        self.headers = {"Content-Type": "application/json"}
        if token:
            self.headers["Authorization"] = f"Bearer {token}"

    def close(self) -> None:
        """Close the idle connections."""
        self.caller.close()

    def list(self, kind: str) -> Result[ObjectPage, CommandError]:
        """Return all objects of a kind."""
        return self.read(f"{PREFIX_API}/{kind}", ObjectPage)

    def get(
        self, kind: str, name: str, retry_ms: int | None = None
    ) -> Result[StoredObject, CommandError]:
        """Return one object."""
        return self.read(_object_path(kind, name), StoredObject, retry_ms=retry_ms)

    def find(self, kind: str, name: str) -> Result[StoredObject | None, CommandError]:
        """Return one object, None if it doesn't exist."""
        found = self.get(kind, name)
        if isinstance(found, Failure) and found.failure().status == STATUS_NOT_FOUND:
            return Success(None)
        return found

    def put(self, wanted: StoredObject) -> Result[StoredObject, CommandError]:
        """Write one object if the stored version equals its own."""
        path = _object_path(wanted.kind, wanted.metadata.name)
        body = encode(
            StoredObject(kind=wanted.kind, metadata=wanted.metadata, spec=wanted.spec)
        )
        return _decoded(self.change("PUT", path, body), StoredObject)

    def delete(self, kind: str, name: str, version: int) -> Result[None, CommandError]:
        """Delete one object if its stored version is `version`."""
        path = _object_path(kind, name) + "?" + urlencode({"version": version})
        return self.change("DELETE", path, b"").map(lambda _: None)

    def watch(
        self, kind: str, since: int, wait_ms: int
    ) -> Result[EventPage, CommandError]:
        """Wait up to `wait_ms` for changes of a kind after version `since`."""
        query = urlencode({"watch": 1, "since": since, "timeout_ms": wait_ms})
        path = f"{PREFIX_API}/{kind}?{query}"
        return self.read(path, EventPage, wait_ms + self.timeout_ms, retry_ms=0)

    def audit(self, since_ms: int | None) -> Result[AuditPage, CommandError]:
        """Return the audit trail since a Unix time in ms, or all of it."""
        query = "" if since_ms is None else "?" + urlencode({"since": since_ms})
        return self.read(f"{PREFIX_API}/{PATH_AUDIT}{query}", AuditPage)

    def status(self) -> Result[Overview, CommandError]:
        """Return the node's overview."""
        return self.read(f"{PREFIX_API}/{PATH_STATUS}", Overview)

    def lookup(self, service: str, client: str) -> Result[LookupAnswer, CommandError]:
        """Return the VMs that a client is directed to."""
        query = urlencode({"service": service, "client": client})
        return self.read(f"{PATH_LOOKUP}?{query}", LookupAnswer)

    def change(
        self, method: str, path: str, body: bytes
    ) -> Result[HttpResponse, CommandError]:
        """Send a change; resend it only if it is known not to have run."""
        return self.repeat(
            lambda: self.caller.write(
                method, path, body, self.headers, self.timeout_ms
            ),
            self.retry_ms,
        )

    def repeat(
        self, call: Callable[[], Result[HttpResponse, CallError]], retry_ms: int
    ) -> Result[HttpResponse, CommandError]:
        """Retry a call while the server reports that it did not run."""
        started_ms = self.clock.now_ms()
        while True:
            checked = self.checked(call())
            if isinstance(checked, Success) or not checked.failure().may_retry:
                return checked
            if self.clock.now_ms() - started_ms + RETRY_PAUSE_MS > retry_ms:
                return checked
            sleep_ms(RETRY_PAUSE_MS)

    def read(
        self,
        path: str,
        model: type[T],
        timeout_ms: int | None = None,
        retry_ms: int | None = None,
    ) -> Result[T, CommandError]:
        """Send a read request and decode the response to `model`."""
        limit_ms = timeout_ms or self.timeout_ms
        answer = self.repeat(
            lambda: self.caller.read("GET", path, b"", self.headers, limit_ms),
            self.retry_ms if retry_ms is None else retry_ms,
        )
        return _decoded(answer, model)

    def checked(
        self, answer: Result[HttpResponse, CallError]
    ) -> Result[HttpResponse, CommandError]:
        """Return a successful response, or the error for a failed one."""
        if isinstance(answer, Failure):
            return Failure(failed(f"{self.server}: {answer.failure().reason}"))
        found = answer.unwrap()
        if found.status == STATUS_OK:
            return Success(found)
        return Failure(_error_of(found))


def check_server(server: str) -> CommandError | None:
    """Return an error if `server` is not a valid node URL."""
    if SERVER_PATTERN.match(server):
        return None
    return usage_error(f"--server: expected http://IP:PORT, not {server!r}")


def _decoded(
    answer: Result[HttpResponse, CommandError], model: type[T]
) -> Result[T, CommandError]:
    if isinstance(answer, Failure):
        return Failure(answer.failure())
    decoded = decode(answer.unwrap().body, model)
    if isinstance(decoded, Failure):
        return Failure(failed(f"the server's answer is not valid: {decoded.failure()}"))
    return Success(decoded.unwrap())


def _error_of(answer: HttpResponse) -> CommandError:
    if answer.status == STATUS_CONFLICT:
        return _conflict_of(answer)
    problem = _problem_of(answer)
    code = ExitCode.USAGE if answer.status in INPUT_STATUSES else ExitCode.FAILED
    message = f"{problem.title}: {problem.detail}" if problem.detail else problem.title
    if problem.outcome:
        message += f" ({problem.outcome})"
    may_retry = answer.status in BUSY_STATUSES and problem.outcome == NOT_RUN
    return CommandError(code, message, problem.errors, answer.status, may_retry)


def _conflict_of(answer: HttpResponse) -> CommandError:
    current = decode(answer.body, StoredObject)
    if isinstance(current, Failure):
        message = f"conflict: {_problem_of(answer).detail}"
    else:
        stored = current.unwrap()
        where = f"{stored.kind}/{stored.metadata.name}"
        message = f"conflict: {where} is now at version {stored.metadata.version}"
    return CommandError(ExitCode.CONFLICT, message, [], answer.status)


def _problem_of(answer: HttpResponse) -> ServerProblem:
    decoded = decode(answer.body, ServerProblem)
    if isinstance(decoded, Success) and decoded.unwrap().title:
        return decoded.unwrap()
    return ServerProblem(f"the server answered {answer.status}")


def _object_path(kind: str, name: str) -> str:
    return f"{PREFIX_API}/{kind}/{quote(name, safe='')}"
