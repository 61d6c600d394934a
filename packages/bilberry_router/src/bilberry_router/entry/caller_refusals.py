"""Count the callers that were refused for a limit; log them at a bound."""

import logging
from collections import Counter
from enum import StrEnum, auto
from http import HTTPStatus

from bilberry_core.clock import Clock

_LOGGER = logging.getLogger(__name__)

LOG_INTERVAL_MS = 1_000


class CallerLimit(StrEnum):
    """Enumerate the limits that a caller may be refused for."""

    ADDRESS_CONNECTIONS = auto()
    CONNECTIONS = auto()
    MEMORY = auto()
    TIME = auto()
    HEAD_SIZE = auto()
    BODY_SIZE = auto()
    FORMAT = auto()


LIMITS_BY_STATUS: dict[int, CallerLimit] = {
    HTTPStatus.BAD_REQUEST: CallerLimit.FORMAT,
    HTTPStatus.REQUEST_TIMEOUT: CallerLimit.TIME,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: CallerLimit.BODY_SIZE,
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: CallerLimit.HEAD_SIZE,
}


class CallerRefusals:
    """Count refusals by limit, none of which has run a request."""

    __slots__ = ("clock", "counts", "logged_at_ms", "unlogged")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.counts: Counter[CallerLimit] = Counter()
        self.unlogged: Counter[CallerLimit] = Counter()
        self.logged_at_ms: int | None = None

    def record(self, limit: CallerLimit, address: str) -> None:
        """Count a refusal; log the counts once in an interval."""
        self.counts[limit] += 1
        self.unlogged[limit] += 1
        now_ms = self.clock.now_ms()
        last_ms = self.logged_at_ms
        if last_ms is not None and now_ms - last_ms < LOG_INTERVAL_MS:
            return
        self.logged_at_ms = now_ms
        counts = ", ".join(f"{key} {count}" for key, count in self.unlogged.items())
        _LOGGER.warning("entry: Refused callers: %s; the last is %s.", counts, address)
        self.unlogged.clear()


def limit_of_status(status: int) -> CallerLimit:
    """Return the limit for which a caller gets a status."""
    return LIMITS_BY_STATUS.get(status, CallerLimit.FORMAT)
