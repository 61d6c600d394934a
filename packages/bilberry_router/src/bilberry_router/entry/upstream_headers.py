"""Read what upstreams say of themselves in the headers of their answers."""

import math
import re
from dataclasses import dataclass
from http import HTTPStatus

from bilberry_core.const import HEADER_RETRY_AFTER, MS_PER_SECOND
from bilberry_core.outcome import Failure, Result, Success

from ..http.response_parser import ResponseParser
from .messages import HeaderNames

# Three or four figures; what follows the fourth is ignored.
LOAD_PATTERN = re.compile(
    r"\s*([0-9]{1,9})\s*,\s*([0-9]{1,9})\s*,\s*([0-9]{1,9})\s*"
    r"(?:,\s*([0-9]{1,9})\s*(?:,.*)?)?"
)
USUAL_PACE_PERCENT = 100
DECIMAL_PATTERN = re.compile(r"\s*[0-9]{1,9}(\.[0-9]{1,9})?\s*")
LEAVING_VALUE = "1"


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Represent an upstream's running and waiting requests, and its slots.

    `pace` is how long work takes there now, as a ratio to the usual time.
    """

    running: int
    waiting: int
    slots: int
    pace: float = 1.0


@dataclass(slots=True, frozen=True)
class UnreadableHeader:
    """Represent a header of an answer that can't be read."""

    name: str
    text: str


def read_load(
    parser: ResponseParser, header_names: HeaderNames
) -> Result[LoadReport | None, UnreadableHeader]:
    """Return the load that an answer tells, None if it tells none."""
    text = parser.first(header_names.load.lower())
    if text is None:
        return Success(None)
    match = LOAD_PATTERN.fullmatch(text)
    if match is None:
        return Failure(UnreadableHeader(header_names.load, text))
    running, waiting, slots, percent = match.groups(default=USUAL_PACE_PERCENT)
    pace = int(percent) / USUAL_PACE_PERCENT
    return Success(LoadReport(int(running), int(waiting), int(slots), pace))


def read_rate_limit(
    parser: ResponseParser, header_names: HeaderNames
) -> Result[float | None, UnreadableHeader]:
    """Return the requests a second that it takes, None without a limit."""
    return _read_decimal(parser, header_names.rate_limit)


def read_retry_after_ms(
    parser: ResponseParser,
) -> Result[int | None, UnreadableHeader]:
    """Return how long a refusing upstream wants nothing, None if unsaid."""
    if parser.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return Success(None)
    return _read_decimal(parser, HEADER_RETRY_AFTER).map(_seconds_to_ms)


def is_leaving(parser: ResponseParser, header_names: HeaderNames) -> bool:
    """Return whether an answer tells that its upstream will stop."""
    return parser.first(header_names.leaving.lower()) == LEAVING_VALUE


def _read_decimal(
    parser: ResponseParser, name: str
) -> Result[float | None, UnreadableHeader]:
    text = parser.first(name.lower())
    if text is None:
        return Success(None)
    if not DECIMAL_PATTERN.fullmatch(text):
        return Failure(UnreadableHeader(name, text))
    return Success(float(text))


def _seconds_to_ms(seconds: float | None) -> int | None:
    return None if seconds is None else math.ceil(seconds * MS_PER_SECOND)
