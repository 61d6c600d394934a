"""Convert HTTP responses of the store to values and errors."""

from typing import TypeVar
from urllib.parse import quote

from bilberry_core.outcome import Failure, Result
from bilberry_resources.codec import decode
from bilberry_resources.model import StoredObject

from .const import PATH_OBJECTS
from .errors import StoreError, StoreErrorKind
from .http import CallError, CallFailure, HttpResponse

T = TypeVar("T")

STATUS_OK = 200
STATUS_CREATED = 201
STATUS_NO_CONTENT = 204
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_GONE = 410
STATUS_PRECONDITION_FAILED = 412
STATUS_TOO_LARGE = 413
STATUS_TOO_MANY_REQUESTS = 429
STATUS_SERVER_ERROR = 500

WRITE_SUCCESS_STATUSES = frozenset({STATUS_OK, STATUS_CREATED, STATUS_NO_CONTENT})
CONFLICT_STATUSES = frozenset({STATUS_CONFLICT, STATUS_PRECONDITION_FAILED})


def object_path(kind: str, name: str | None = None) -> str:
    """Return the URL path of a kind, or of one object."""
    if name is None:
        return f"{PATH_OBJECTS}/{quote(kind, safe='')}"
    return f"{PATH_OBJECTS}/{quote(kind, safe='')}/{quote(name, safe='')}"


def decode_body(body: bytes, model: type[T]) -> Result[T, StoreError]:
    """Decode a response body to `model`, or return a REFUSED error."""
    return decode(body, model).alt(
        lambda error: StoreError(kind=StoreErrorKind.REFUSED, reason=str(error))
    )


def decode_response(
    response: Result[HttpResponse, StoreError], model: type[T]
) -> Result[T, StoreError]:
    """Decode a response to `model`, or return the error of its status."""
    if isinstance(response, Failure):
        return response
    found = response.unwrap()
    if found.status != STATUS_OK:
        return Failure(status_error(found))
    return decode_body(found.body, model)


ERROR_KIND_BY_STATUS = {
    STATUS_NOT_FOUND: StoreErrorKind.NOT_FOUND,
    STATUS_GONE: StoreErrorKind.GONE,
    STATUS_TOO_LARGE: StoreErrorKind.TOO_LARGE,
    STATUS_TOO_MANY_REQUESTS: StoreErrorKind.THROTTLED,
}


def status_error(response: HttpResponse) -> StoreError:
    """Return the error for an unexpected HTTP status."""
    default = StoreErrorKind.REFUSED
    if response.status >= STATUS_SERVER_ERROR:
        default = StoreErrorKind.UNREACHABLE
    kind = ERROR_KIND_BY_STATUS.get(response.status, default)
    return StoreError(kind=kind, reason=f"status {response.status}")


def failed_write_error(error: CallError) -> StoreError:
    """Return the error for a write that got no response."""
    kind = StoreErrorKind.UNKNOWN
    if error.failure is CallFailure.NOT_SENT:
        kind = StoreErrorKind.UNREACHABLE
    return StoreError(kind=kind, reason=error.reason)


def unknown_outcome_error(
    reason: str, write_id: str, current: StoredObject | None = None
) -> StoreError:
    """Return the error for a write whose outcome is not known."""
    return StoreError(
        kind=StoreErrorKind.UNKNOWN,
        reason=reason,
        current=current,
        write_id=write_id,
    )


def conflict_error(current: StoredObject | None = None) -> StoreError:
    """Return the error for a write whose version condition failed."""
    return StoreError(
        kind=StoreErrorKind.CONFLICT, reason="version changed", current=current
    )
