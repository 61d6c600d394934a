"""Client that reads, watches and conditionally writes stored objects."""

import logging

import gevent
import msgspec

from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND
from bilberry_core.ids import new_uuid7
from bilberry_core.outcome import Failure, Result, Success
from bilberry_resources.codec import decode, encode
from bilberry_resources.const import MAX_OBJECT_BYTES
from bilberry_resources.model import StoredObject

from .answers import (
    CONFLICTS,
    STATUS_SERVER_ERROR,
    WRITTEN,
    conflict_error,
    decoded,
    lost_error,
    object_path,
    parse,
    status_error,
    unknown_error,
)
from .budget import CallBudget
from .const import (
    DEFAULT_CALL_BURST,
    DEFAULT_CALL_TIMEOUT_MS,
    DEFAULT_CALLS_PER_S,
    DEFAULT_RESOLVE_PAUSE_MS,
    DEFAULT_WATCH_GRACE_MS,
    HEADER_IF_MATCH,
    MAX_RESOLVE_ATTEMPTS,
    PATH_VMS,
)
from .errors import StoreError, StoreErrorKind
from .http import CallError, CallFailure, HttpAnswer, HttpCaller
from .stats import StoreStats
from .wire import ObjectList, VmItem, VmList, WatchBatch

_LOGGER = logging.getLogger(__name__)

OPERATION_LIST = "list"
OPERATION_GET = "get"
OPERATION_PUT = "put"
OPERATION_DELETE = "delete"
OPERATION_WATCH = "watch"
OPERATION_VMS = "vms"


class ClientSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Configure the timeouts and the call rate of a store client.

    `watch_grace_ms` is added to a watch's own timeout.
    `resolve_pause_ms` is the delay before a lost response is resolved;
    it grows with each attempt.
    """

    call_timeout_ms: int = DEFAULT_CALL_TIMEOUT_MS
    watch_grace_ms: int = DEFAULT_WATCH_GRACE_MS
    resolve_pause_ms: int = DEFAULT_RESOLVE_PAUSE_MS
    calls_per_s: float = DEFAULT_CALLS_PER_S
    call_burst: int = DEFAULT_CALL_BURST


class StoreClient:
    """Call the object API within a rate limit.

    Every write names the version that it replaces, so that it can't
    overwrite a concurrent change.
    """

    __slots__ = ("budget", "caller", "clock", "settings", "started", "stats")

    def __init__(
        self, base_url: str, clock: Clock, settings: ClientSettings | None = None
    ) -> None:
        self.clock = clock
        self.settings = settings or ClientSettings()
        self.caller = HttpCaller(base_url, size=self.settings.call_burst)
        self.budget = CallBudget(self.settings.calls_per_s, self.settings.call_burst)
        self.budget.filled_at_ms = clock.now_ms()
        self.stats = StoreStats()
        self.started = False

    def start(self) -> None:
        """Start accepting calls."""
        self.started = True

    def close(self) -> None:
        """Reject further calls and close the connections."""
        self.started = False
        self.caller.close()

    def list_objects(self, kind: str) -> Result[ObjectList, StoreError]:
        """Return all objects of `kind` with the store's version."""
        answer = self.read(OPERATION_LIST, object_path(kind))
        return decoded(answer, ObjectList)

    def get(self, kind: str, name: str) -> Result[StoredObject, StoreError]:
        """Return one object, or a NOT_FOUND error."""
        answer = self.read(OPERATION_GET, object_path(kind, name))
        return decoded(answer, StoredObject)

    def watch(
        self, kind: str, since: int, timeout_ms: int
    ) -> Result[WatchBatch, StoreError]:
        """Wait up to `timeout_ms` for changes after version `since`.

        A GONE error means that the store no longer has these changes, so
        the objects have to be listed again.
        """
        path = f"{object_path(kind)}?watch=1&since={since}&timeout_ms={timeout_ms}"
        limit_ms = timeout_ms + self.settings.watch_grace_ms
        answer = self.read(OPERATION_WATCH, path, limit_ms)
        return decoded(answer, WatchBatch)

    def list_vms(self) -> Result[list[VmItem], StoreError]:
        """Return the platform's list of VMs, which may be out of date."""
        answer = self.read(OPERATION_VMS, PATH_VMS)
        return decoded(answer, VmList).map(lambda vms: vms.items)

    def put(
        self, stored: StoredObject, if_version: int
    ) -> Result[StoredObject, StoreError]:
        """Write an object if its stored version is `if_version`.

        Version 0 creates the object. A write id is added if there is none.
        Return the object as stored, or an UNKNOWN error if the response
        was lost and reading the object did not show the outcome.
        """
        if not stored.metadata.write_id:
            metadata = msgspec.structs.replace(
                stored.metadata, write_id=new_uuid7(self.clock)
            )
            stored = msgspec.structs.replace(stored, metadata=metadata)
        body = encode(stored)
        if len(body) > MAX_OBJECT_BYTES:
            reason = f"{len(body)} bytes, limit {MAX_OBJECT_BYTES}"
            return Failure(StoreError(kind=StoreErrorKind.TOO_LARGE, reason=reason))
        return self.put_until_known(stored, body, if_version)

    def delete(self, kind: str, name: str, if_version: int) -> Result[None, StoreError]:
        """Delete an object if its stored version is `if_version`."""
        path = object_path(kind, name)
        lost = False
        for attempt in range(MAX_RESOLVE_ATTEMPTS):
            self.pause(attempt)
            result = self.write(OPERATION_DELETE, path, b"", if_version)
            if isinstance(result, Success):
                return self.after_delete(kind, name, result.unwrap(), lost)
            error = result.failure()
            if error.kind is not StoreErrorKind.UNKNOWN:
                break
            lost = True
        return Failure(unknown_error(error.reason, "") if lost else error)

    def after_delete(
        self, kind: str, name: str, answer: HttpAnswer, lost: bool
    ) -> Result[None, StoreError]:
        """Return the result of a delete's response.

        `lost` means that an earlier attempt got no response and may
        already have deleted the object.
        """
        if answer.status in WRITTEN:
            return Success(None)
        error = status_error(answer)
        if answer.status in CONFLICTS:
            error = self.conflict(kind, name, answer)
        if error.kind is StoreErrorKind.NOT_FOUND:
            return Success(None) if lost else Failure(error)
        if lost:
            return Failure(unknown_error("created again since", "", error.current))
        return Failure(error)

    def put_until_known(
        self, stored: StoredObject, body: bytes, if_version: int
    ) -> Result[StoredObject, StoreError]:
        """Write an object and, if the response is lost, read it back."""
        kind, name = stored.kind, stored.metadata.name
        write_id = stored.metadata.write_id
        path = object_path(kind, name)
        result = self.write(OPERATION_PUT, path, body, if_version)
        if isinstance(result, Success):
            return self.after_put(stored, result.unwrap())
        error = result.failure()
        if error.kind is not StoreErrorKind.UNKNOWN:
            return Failure(error)
        for attempt in range(1, MAX_RESOLVE_ATTEMPTS):
            self.pause(attempt)
            found = self.get(kind, name)
            if isinstance(found, Success):
                current = found.unwrap()
                if current.metadata.write_id == write_id:
                    return Success(current)
                if current.metadata.version != if_version:
                    return Failure(
                        unknown_error("overwritten since", write_id, current)
                    )
            elif found.failure().kind is not StoreErrorKind.NOT_FOUND:
                continue
            elif if_version == 0:
                return Failure(unknown_error("not there yet", write_id))
            else:
                return Failure(unknown_error("deleted since", write_id))
            again = self.write(OPERATION_PUT, path, body, if_version)
            if isinstance(again, Success):
                return self.after_put(stored, again.unwrap(), lost=True)
        return Failure(unknown_error(error.reason, write_id))

    def after_put(
        self, stored: StoredObject, answer: HttpAnswer, lost: bool = False
    ) -> Result[StoredObject, StoreError]:
        """Return the result of a write's response."""
        if answer.status in WRITTEN:
            return parse(answer.body, StoredObject)
        if answer.status not in CONFLICTS:
            return Failure(status_error(answer))
        error = self.conflict(stored.kind, stored.metadata.name, answer)
        current = error.current
        write_id = stored.metadata.write_id
        if current is not None and current.metadata.write_id == write_id:
            return Success(current)
        if lost:
            return Failure(unknown_error("overwritten since", write_id, current))
        return Failure(error)

    def conflict(self, kind: str, name: str, answer: HttpAnswer) -> StoreError:
        """Return a conflict error with the current object.

        The object is read if the response doesn't contain it.
        """
        parsed = decode(answer.body, StoredObject)
        if isinstance(parsed, Success):
            return conflict_error(parsed.unwrap())
        found = self.get(kind, name)
        if isinstance(found, Success):
            return conflict_error(found.unwrap())
        error = found.failure()
        return error if error.kind is StoreErrorKind.NOT_FOUND else conflict_error()

    def read(
        self, operation: str, path: str, timeout_ms: int | None = None
    ) -> Result[HttpAnswer, StoreError]:
        """Send a read request within the rate limit."""
        refused = self.admit(operation, 0)
        if refused is not None:
            return Failure(refused)
        began_ms = self.clock.now_ms()
        limit_ms = timeout_ms or self.settings.call_timeout_ms
        result = self.caller.read("GET", path, timeout_ms=limit_ms)
        if isinstance(result, Failure):
            reason = result.failure().reason
            self.fail(operation, reason)
            return Failure(StoreError(kind=StoreErrorKind.UNREACHABLE, reason=reason))
        answer = result.unwrap()
        self.succeed(operation, began_ms, answer)
        if answer.status >= STATUS_SERVER_ERROR:
            return Failure(status_error(answer))
        return Success(answer)

    def write(
        self, operation: str, path: str, body: bytes, if_version: int
    ) -> Result[HttpAnswer, StoreError]:
        """Send a conditional write once, within the rate limit."""
        refused = self.admit(operation, len(body))
        if refused is not None:
            return Failure(refused)
        began_ms = self.clock.now_ms()
        result = self.caller.write(
            "DELETE" if operation == OPERATION_DELETE else "PUT",
            path,
            body,
            {HEADER_IF_MATCH: str(if_version)},
            self.settings.call_timeout_ms,
        )
        if isinstance(result, Failure):
            error = result.failure()
            self.fail(operation, error.reason)
            return Failure(lost_error(error))
        answer = result.unwrap()
        self.succeed(operation, began_ms, answer)
        if answer.status >= STATUS_SERVER_ERROR:
            failure = CallFailure.NOT_SENT if answer.not_run else CallFailure.LOST
            return Failure(lost_error(CallError(failure, f"status {answer.status}")))
        return Success(answer)

    def admit(self, operation: str, sent_bytes: int) -> StoreError | None:
        """Count a call, or return the error if it isn't allowed."""
        if not self.started:
            return StoreError(kind=StoreErrorKind.UNREACHABLE, reason="client closed")
        if not self.budget.take(self.clock.now_ms()):
            self.stats.count_failure(StoreErrorKind.THROTTLED)
            return StoreError(kind=StoreErrorKind.THROTTLED, reason="own call budget")
        self.stats.count_call(operation, sent_bytes)
        return None

    def succeed(self, operation: str, began_ms: int, answer: HttpAnswer) -> None:
        """Record a response; a server error counts as an outage."""
        if answer.status >= STATUS_SERVER_ERROR:
            self.fail(operation, f"status {answer.status}")
            return
        now_ms = self.clock.now_ms()
        if operation == OPERATION_WATCH:
            began_ms = now_ms
        self.stats.observe(now_ms - began_ms, len(answer.body))
        outage_ms = self.stats.mark_up(now_ms)
        if outage_ms is not None:
            _LOGGER.info("store: reachable again after %s ms", outage_ms)

    def fail(self, operation: str, reason: str) -> None:
        """Record a call that got no usable response."""
        self.stats.count_failure(StoreErrorKind.UNREACHABLE)
        if self.stats.mark_down(self.clock.now_ms()):
            _LOGGER.warning("store: outage began, %s failed: %s", operation, reason)

    def pause(self, attempt: int) -> None:
        """Sleep before a repeated attempt, longer each time."""
        if attempt:
            gevent.sleep(self.settings.resolve_pause_ms * attempt / MS_PER_SECOND)
