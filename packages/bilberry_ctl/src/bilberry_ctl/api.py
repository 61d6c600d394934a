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
    RETRY_DELAY_MS,
    ExitCode,
)
from .errors import CommandError, command_failed, usage_error
from .messages import (
    AuditPage,
    EventPage,
    LookupResponse,
    ObjectPage,
    Overview,
    ServerProblem,
)
from .sleep import sleep_ms

T = TypeVar("T")

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_GONE = 410
INVALID_INPUT_STATUSES = (400, 413, 422)
RETRYABLE_STATUSES = (429, 503)
NOT_RUN = RequestOutcome.NOT_RUN

SERVER_PATTERN = re.compile(r"^http://[^/:\s]+:\d{1,5}/?$")


class ApiClient:
    """Call one node's resource API.

    A change is resent only if the server reports that it did not run.
    Retries stop after `retry_ms`.
    """

    __slots__ = ("clock", "headers", "retry_ms", "server", "session", "timeout_ms")

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
        self.session = HttpSession(self.server)
        self.timeout_ms = timeout_ms
        self.headers = {"Content-Type": "application/json"}
        if token:
            self.headers["Authorization"] = f"Bearer {token}"

    def close(self) -> None:
        """Close the idle connections."""
        self.session.close()

    def list(self, kind: str) -> Result[ObjectPage, CommandError]:
        """Return all objects of a kind."""
        return self.read(f"{PREFIX_API}/{kind}", ObjectPage)

    def get(
        self, kind: str, name: str, retry_ms: int | None = None
    ) -> Result[StoredObject, CommandError]:
        """Return one object."""
        return self.read(_object_path(kind, name), StoredObject, retry_ms=retry_ms)

    def get_or_none(
        self, kind: str, name: str
    ) -> Result[StoredObject | None, CommandError]:
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
        return _decode_response(self.send_change("PUT", path, body), StoredObject)

    def delete(self, kind: str, name: str, version: int) -> Result[None, CommandError]:
        """Delete one object if its stored version is `version`."""
        path = _object_path(kind, name) + "?" + urlencode({"version": version})
        return self.send_change("DELETE", path, b"").map(lambda _: None)

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

    def lookup(self, service: str, client: str) -> Result[LookupResponse, CommandError]:
        """Return the VMs that a client is directed to."""
        query = urlencode({"service": service, "client": client})
        return self.read(f"{PATH_LOOKUP}?{query}", LookupResponse)

    def send_change(
        self, method: str, path: str, body: bytes
    ) -> Result[HttpResponse, CommandError]:
        """Send a change; resend it only if it is known not to have run."""
        return self.retry_while_not_run(
            lambda: self.session.write(
                method, path, body, self.headers, self.timeout_ms
            ),
            self.retry_ms,
        )

    def retry_while_not_run(
        self, call: Callable[[], Result[HttpResponse, CallError]], retry_ms: int
    ) -> Result[HttpResponse, CommandError]:
        """Retry a call while the server reports that it did not run."""
        started_ms = self.clock.now_ms()
        while True:
            result = self.check_response(call())
            if isinstance(result, Success) or not result.failure().may_retry:
                return result
            if self.clock.now_ms() - started_ms + RETRY_DELAY_MS > retry_ms:
                return result
            sleep_ms(RETRY_DELAY_MS)

    def read(
        self,
        path: str,
        model: type[T],
        timeout_ms: int | None = None,
        retry_ms: int | None = None,
    ) -> Result[T, CommandError]:
        """Send a read request and decode the response to `model`."""
        call_timeout_ms = timeout_ms or self.timeout_ms
        response = self.retry_while_not_run(
            lambda: self.session.read("GET", path, b"", self.headers, call_timeout_ms),
            self.retry_ms if retry_ms is None else retry_ms,
        )
        return _decode_response(response, model)

    def check_response(
        self, response: Result[HttpResponse, CallError]
    ) -> Result[HttpResponse, CommandError]:
        """Return a successful response, or the error for a failed one."""
        if isinstance(response, Failure):
            return Failure(
                command_failed(f"{self.server}: {response.failure().reason}")
            )
        found = response.unwrap()
        if found.status == STATUS_OK:
            return Success(found)
        return Failure(_to_command_error(found))


def validate_server(server: str) -> CommandError | None:
    """Return an error if `server` is not a valid node URL."""
    if SERVER_PATTERN.match(server):
        return None
    return usage_error(f"--server: expected http://IP:PORT, not {server!r}")


def _decode_response(
    response: Result[HttpResponse, CommandError], model: type[T]
) -> Result[T, CommandError]:
    if isinstance(response, Failure):
        return Failure(response.failure())
    decoded = decode(response.unwrap().body, model)
    if isinstance(decoded, Failure):
        return Failure(
            command_failed(f"the server's answer is not valid: {decoded.failure()}")
        )
    return Success(decoded.unwrap())


def _to_command_error(response: HttpResponse) -> CommandError:
    if response.status == STATUS_CONFLICT:
        return _to_conflict_error(response)
    problem = _decode_problem(response)
    code = (
        ExitCode.USAGE if response.status in INVALID_INPUT_STATUSES else ExitCode.FAILED
    )
    message = f"{problem.title}: {problem.detail}" if problem.detail else problem.title
    if problem.outcome:
        message += f" ({problem.outcome})"
    may_retry = response.status in RETRYABLE_STATUSES and problem.outcome == NOT_RUN
    return CommandError(code, message, problem.errors, response.status, may_retry)


def _to_conflict_error(response: HttpResponse) -> CommandError:
    current = decode(response.body, StoredObject)
    if isinstance(current, Failure):
        message = f"conflict: {_decode_problem(response).detail}"
    else:
        stored = current.unwrap()
        object_name = f"{stored.kind}/{stored.metadata.name}"
        message = f"conflict: {object_name} is now at version {stored.metadata.version}"
    return CommandError(ExitCode.CONFLICT, message, [], response.status)


def _decode_problem(response: HttpResponse) -> ServerProblem:
    decoded = decode(response.body, ServerProblem)
    if isinstance(decoded, Success) and decoded.unwrap().title:
        return decoded.unwrap()
    return ServerProblem(f"the server answered {response.status}")


def _object_path(kind: str, name: str) -> str:
    return f"{PREFIX_API}/{kind}/{quote(name, safe='')}"
