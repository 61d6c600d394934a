"""Parse a request's timeout and pass the remaining time to the next hop."""

from dataclasses import dataclass

from bilberry_core.const import HEADER_REQUEST_TIMEOUT
from bilberry_core.outcome import Failure, FieldError, Result, Success

from .const import DEFAULT_HOP_MARGIN_MS, MAX_TIMEOUT_MS

REASON_NOT_AN_INTEGER = "must be a whole number of ms"
MAX_DIGITS = 12


@dataclass(slots=True, frozen=True)
class Deadline:
    """Store the monotonic time in ms at which the caller gives up."""

    expires_ms: int

    def left_ms(self, now_ms: int) -> int:
        """Return the remaining time in ms, 0 after the deadline."""
        return max(0, self.expires_ms - now_ms)

    def has_passed(self, now_ms: int) -> bool:
        """Return whether no time is left."""
        return now_ms >= self.expires_ms

    def forwarded_ms(
        self, now_ms: int, margin_ms: int = DEFAULT_HOP_MARGIN_MS
    ) -> int | None:
        """Return the timeout in ms for the next hop, None if none is left."""
        left_ms = self.expires_ms - now_ms - margin_ms
        return left_ms if left_ms > 0 else None


def parse_timeout(
    header: str | None, service_timeout_ms: int, now_ms: int
) -> Result[Deadline, FieldError]:
    """Return the deadline by the caller's timeout, at most the service's.

    Return a `FieldError` if the header isn't a whole number of ms.
    """
    limit_ms = min(service_timeout_ms, MAX_TIMEOUT_MS)
    if header is None:
        return Success(Deadline(now_ms + limit_ms))
    value = header.strip()
    is_digits = value.isascii() and value.isdigit()
    if not is_digits or len(value) > MAX_DIGITS:
        return Failure(FieldError(HEADER_REQUEST_TIMEOUT, REASON_NOT_AN_INTEGER))
    return Success(Deadline(now_ms + min(int(value), limit_ms)))
