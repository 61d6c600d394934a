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

from .const import (
    DEFAULT_CALL_BURST,
    DEFAULT_CALL_TIMEOUT_MS,
    DEFAULT_CALLS_PER_S,
    DEFAULT_RESOLVE_DELAY_MS,
    DEFAULT_WATCH_TIMEOUT_MARGIN_MS,
    HEADER_IF_MATCH,
    MAX_RESOLVE_ATTEMPTS,
    PATH_VMS,
)
from .errors import StoreError, StoreErrorKind
from .http import CallError, CallFailure, HttpResponse, HttpSession
from .rate_limiter import RateLimiter
from .responses import (
    CONFLICT_STATUSES,
    STATUS_SERVER_ERROR,
    WRITE_SUCCESS_STATUSES,
    conflict_error,
    decode_body,
    decode_response,
    failed_write_error,
    object_path,
    status_error,
    unknown_outcome_error,
)
from .stats import StoreStats
from .wire import ObjectList, VmItem, VmList, WatchBatch

_LOGGER = logging.getLogger(__name__)

OPERATION_LIST = "list"
OPERATION_GET = "get"
OPERATION_PUT = "put"
OPERATION_DELETE = "delete"
OPERATION_WATCH = "watch"
OPERATION_VMS = "vms"


class StoreClientSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Configure the timeouts and the call rate of a store client.

    `watch_timeout_margin_ms` is added to a watch's own timeout.
    `resolve_delay_ms` is the delay before a lost response is resolved;
    it grows with each attempt.
    """

    call_timeout_ms: int = DEFAULT_CALL_TIMEOUT_MS
    watch_timeout_margin_ms: int = DEFAULT_WATCH_TIMEOUT_MARGIN_MS
    resolve_delay_ms: int = DEFAULT_RESOLVE_DELAY_MS
    calls_per_s: float = DEFAULT_CALLS_PER_S
    call_burst: int = DEFAULT_CALL_BURST


class StoreClient:
    """Call the object API within a rate limit.

    Every write names the version that it replaces, so that it can't
    overwrite a concurrent change.
    """

    __slots__ = ("clock", "is_open", "rate_limiter", "session", "settings", "stats")

    def __init__(
        self, base_url: str, clock: Clock, settings: StoreClientSettings | None = None
    ) -> None:
        self.clock = clock
        self.settings = settings or StoreClientSettings()
        self.session = HttpSession(base_url, max_connections=self.settings.call_burst)
        self.rate_limiter = RateLimiter(
            self.settings.calls_per_s, self.settings.call_burst
        )
        self.rate_limiter.refilled_at_ms = clock.now_ms()
        self.stats = StoreStats()
        self.is_open = False

    def start(self) -> None:
        """Start accepting calls."""
        self.is_open = True

    def close(self) -> None:
        """Reject further calls and close the connections."""
        self.is_open = False
        self.session.close()

    def list_objects(self, kind: str) -> Result[ObjectList, StoreError]:
        """Return all objects of `kind` with the store's version."""
        response = self.read(OPERATION_LIST, object_path(kind))
        return decode_response(response, ObjectList)

    def get(self, kind: str, name: str) -> Result[StoredObject, StoreError]:
        """Return one object, or a NOT_FOUND error."""
        response = self.read(OPERATION_GET, object_path(kind, name))
        return decode_response(response, StoredObject)

    def watch(
        self, kind: str, since: int, timeout_ms: int
    ) -> Result[WatchBatch, StoreError]:
        """Wait up to `timeout_ms` for changes after version `since`.

        A GONE error means that the store no longer has these changes, so
        the objects have to be listed again.
        """
        path = f"{object_path(kind)}?watch=1&since={since}&timeout_ms={timeout_ms}"
        read_timeout_ms = timeout_ms + self.settings.watch_timeout_margin_ms
        response = self.read(OPERATION_WATCH, path, read_timeout_ms)
        return decode_response(response, WatchBatch)

    def list_vms(self) -> Result[list[VmItem], StoreError]:
        """Return the platform's list of VMs, which may be out of date."""
        response = self.read(OPERATION_VMS, PATH_VMS)
        return decode_response(response, VmList).map(lambda vms: vms.items)

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
        return self.put_and_resolve(stored, body, if_version)

    def delete(self, kind: str, name: str, if_version: int) -> Result[None, StoreError]:
        """Delete an object if its stored version is `if_version`."""
        path = object_path(kind, name)
        response_lost = False
        for attempt in range(MAX_RESOLVE_ATTEMPTS):
            self.sleep_before_retry(attempt)
            result = self.write(OPERATION_DELETE, path, b"", if_version)
            if isinstance(result, Success):
                return self.to_delete_result(kind, name, result.unwrap(), response_lost)
            error = result.failure()
            if error.kind is not StoreErrorKind.UNKNOWN:
                break
            response_lost = True
        return Failure(
            unknown_outcome_error(error.reason, "") if response_lost else error
        )

    def to_delete_result(
        self, kind: str, name: str, response: HttpResponse, response_lost: bool
    ) -> Result[None, StoreError]:
        """Return the result of a delete's response.

        `response_lost` means that an earlier attempt got no response and may
        already have deleted the object.
        """
        if response.status in WRITE_SUCCESS_STATUSES:
            return Success(None)
        error = status_error(response)
        if response.status in CONFLICT_STATUSES:
            error = self.to_conflict_error(kind, name, response)
        if error.kind is StoreErrorKind.NOT_FOUND:
            return Success(None) if response_lost else Failure(error)
        if response_lost:
            return Failure(
                unknown_outcome_error("created again since", "", error.current)
            )
        return Failure(error)

    def put_and_resolve(
        self, stored: StoredObject, body: bytes, if_version: int
    ) -> Result[StoredObject, StoreError]:
        """Write an object and, if the response is lost, read it back."""
        kind, name = stored.kind, stored.metadata.name
        write_id = stored.metadata.write_id
        path = object_path(kind, name)
        result = self.write(OPERATION_PUT, path, body, if_version)
        if isinstance(result, Success):
            return self.to_put_result(stored, result.unwrap())
        error = result.failure()
        if error.kind is not StoreErrorKind.UNKNOWN:
            return Failure(error)
        for attempt in range(1, MAX_RESOLVE_ATTEMPTS):
            self.sleep_before_retry(attempt)
            found = self.get(kind, name)
            if isinstance(found, Success):
                current = found.unwrap()
                if current.metadata.write_id == write_id:
                    return Success(current)
                if current.metadata.version != if_version:
                    return Failure(
                        unknown_outcome_error("overwritten since", write_id, current)
                    )
            elif found.failure().kind is not StoreErrorKind.NOT_FOUND:
                continue
            elif if_version == 0:
                return Failure(unknown_outcome_error("not there yet", write_id))
            else:
                return Failure(unknown_outcome_error("deleted since", write_id))
            again = self.write(OPERATION_PUT, path, body, if_version)
            if isinstance(again, Success):
                return self.to_put_result(stored, again.unwrap(), response_lost=True)
        return Failure(unknown_outcome_error(error.reason, write_id))

    def to_put_result(
        self, stored: StoredObject, response: HttpResponse, response_lost: bool = False
    ) -> Result[StoredObject, StoreError]:
        """Return the result of a write's response."""
        if response.status in WRITE_SUCCESS_STATUSES:
            return decode_body(response.body, StoredObject)
        if response.status not in CONFLICT_STATUSES:
            return Failure(status_error(response))
        error = self.to_conflict_error(stored.kind, stored.metadata.name, response)
        current = error.current
        write_id = stored.metadata.write_id
        if current is not None and current.metadata.write_id == write_id:
            return Success(current)
        if response_lost:
            return Failure(
                unknown_outcome_error("overwritten since", write_id, current)
            )
        return Failure(error)

    def to_conflict_error(
        self, kind: str, name: str, response: HttpResponse
    ) -> StoreError:
        """Return a conflict error with the current object.

        The object is read if the response doesn't contain it.
        """
        parsed = decode(response.body, StoredObject)
        if isinstance(parsed, Success):
            return conflict_error(parsed.unwrap())
        found = self.get(kind, name)
        if isinstance(found, Success):
            return conflict_error(found.unwrap())
        error = found.failure()
        return error if error.kind is StoreErrorKind.NOT_FOUND else conflict_error()

    def read(
        self, operation: str, path: str, timeout_ms: int | None = None
    ) -> Result[HttpResponse, StoreError]:
        """Send a read request within the rate limit."""
        refused = self.admit_call(operation, 0)
        if refused is not None:
            return Failure(refused)
        started_ms = self.clock.now_ms()
        read_timeout_ms = timeout_ms or self.settings.call_timeout_ms
        result = self.session.read("GET", path, timeout_ms=read_timeout_ms)
        if isinstance(result, Failure):
            reason = result.failure().reason
            self.record_failure(operation, reason)
            return Failure(StoreError(kind=StoreErrorKind.UNREACHABLE, reason=reason))
        response = result.unwrap()
        self.record_response(operation, started_ms, response)
        if response.status >= STATUS_SERVER_ERROR:
            return Failure(status_error(response))
        return Success(response)

    def write(
        self, operation: str, path: str, body: bytes, if_version: int
    ) -> Result[HttpResponse, StoreError]:
        """Send a conditional write once, within the rate limit."""
        refused = self.admit_call(operation, len(body))
        if refused is not None:
            return Failure(refused)
        started_ms = self.clock.now_ms()
        result = self.session.write(
            "DELETE" if operation == OPERATION_DELETE else "PUT",
            path,
            body,
            {HEADER_IF_MATCH: str(if_version)},
            self.settings.call_timeout_ms,
        )
        if isinstance(result, Failure):
            error = result.failure()
            self.record_failure(operation, error.reason)
            return Failure(failed_write_error(error))
        response = result.unwrap()
        self.record_response(operation, started_ms, response)
        if response.status >= STATUS_SERVER_ERROR:
            failure = (
                CallFailure.NOT_SENT if response.not_run else CallFailure.MAYBE_SENT
            )
            return Failure(
                failed_write_error(CallError(failure, f"status {response.status}"))
            )
        return Success(response)

    def admit_call(self, operation: str, sent_bytes: int) -> StoreError | None:
        """Count a call, or return the error if it isn't allowed."""
        if not self.is_open:
            return StoreError(kind=StoreErrorKind.UNREACHABLE, reason="client closed")
        if not self.rate_limiter.try_acquire(self.clock.now_ms()):
            self.stats.count_failure(StoreErrorKind.THROTTLED)
            return StoreError(kind=StoreErrorKind.THROTTLED, reason="own call budget")
        self.stats.count_call(operation, sent_bytes)
        return None

    def record_response(
        self, operation: str, started_ms: int, response: HttpResponse
    ) -> None:
        """Record a response; a server error counts as an outage."""
        if response.status >= STATUS_SERVER_ERROR:
            self.record_failure(operation, f"status {response.status}")
            return
        now_ms = self.clock.now_ms()
        if operation == OPERATION_WATCH:
            started_ms = now_ms
        self.stats.record_response(now_ms - started_ms, len(response.body))
        outage_ms = self.stats.end_outage(now_ms)
        if outage_ms is not None:
            _LOGGER.info("store: reachable again after %s ms", outage_ms)

    def record_failure(self, operation: str, reason: str) -> None:
        """Record a call that got no usable response."""
        self.stats.count_failure(StoreErrorKind.UNREACHABLE)
        if self.stats.begin_outage(self.clock.now_ms()):
            _LOGGER.warning("store: outage began, %s failed: %s", operation, reason)

    def sleep_before_retry(self, attempt: int) -> None:
        """Sleep before a repeated attempt, longer each time."""
        if attempt:
            gevent.sleep(self.settings.resolve_delay_ms * attempt / MS_PER_SECOND)
