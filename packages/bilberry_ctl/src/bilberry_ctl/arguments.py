"""Command-line arguments that several commands share."""

import re
from datetime import UTC, datetime
from typing import Annotated

import cappa

from bilberry_core.const import MS_PER_SECOND
from bilberry_resources.snapshot import SNAPSHOT_FIELD_BY_KIND

KIND_NAMES = list(SNAPSHOT_FIELD_BY_KIND)

Kind = Annotated[str, cappa.Arg(help="Kind: " + ", ".join(KIND_NAMES) + ".")]
Name = Annotated[str, cappa.Arg(help="Name of the object.")]
File = Annotated[
    str,
    cappa.Arg(short="-f", long="--file", help="JSON with comments; - is stdin."),
]

MS_PER_UNIT = {
    "s": MS_PER_SECOND,
    "m": 60 * MS_PER_SECOND,
    "h": 3_600 * MS_PER_SECOND,
    "d": 86_400 * MS_PER_SECOND,
}


def parse_since(text: str, now_ms: int) -> int | None:
    """Parse a time to Unix time in ms; return None if it is invalid.

    `text` is a Unix time in ms, an age such as 15m, 2h or 1d, or an ISO
    time. An ISO time without an offset is in UTC.
    """
    if text.isdigit():
        return int(text)
    age = re.fullmatch(r"(\d+)([smhd])", text)
    if age:
        return now_ms - int(age[1]) * MS_PER_UNIT[age[2]]
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        return None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=UTC)
    return round(moment.timestamp() * MS_PER_SECOND)


def format_time(wall_ms: int) -> str:
    """Format a Unix time in ms as an ISO time in UTC."""
    moment = datetime.fromtimestamp(wall_ms / MS_PER_SECOND, UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S.") + f"{wall_ms % MS_PER_SECOND:03d}Z"
