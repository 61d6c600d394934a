"""Find one request in the logs of several nodes."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime

import msgspec

from bilberry_core.const import MS_PER_SECOND
from bilberry_core.log_line import LogLine

CONTEXT_WINDOW_MS = 5_000
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
DROPPED_PREFIX = "log: Dropped"


class EventFields(msgspec.Struct):
    """Represent the fields of a log event that name upstreams."""

    upstream: str = ""
    upstreams: list[str] = []

    def upstream_names(self) -> set[str]:
        """Return the names of the upstreams in the event."""
        return {*self.upstreams, self.upstream} - {""}


@dataclass(slots=True, frozen=True)
class LogEntry:
    """Represent a log line with the node or file that it comes from."""

    source: str
    time_ms: int
    line: LogLine


@dataclass(slots=True)
class RequestHistory:
    """Represent the log entries that concern a request.

    `request_entries` name the request. `upstream_entries` name an upstream
    which it was sent to, and `dropped_notices` report dropped log lines;
    both are at most `CONTEXT_WINDOW_MS` before or after the request's own.
    `unreadable_count` counts the lines that could not be parsed.
    """

    request_entries: list[LogEntry] = field(default_factory=list)
    upstream_entries: list[LogEntry] = field(default_factory=list)
    dropped_notices: list[LogEntry] = field(default_factory=list)
    unreadable_count: int = 0


def find_history(
    request_id: str, logs: Iterable[tuple[str, Iterable[str]]]
) -> RequestHistory:
    """Return a request's history from pairs of a log's name and lines."""
    history = RequestHistory()
    entries: list[LogEntry] = []
    for name, lines in logs:
        for text in lines:
            entry = parse_entry(name, text)
            if entry is not None:
                entries.append(entry)
            elif text.strip():
                history.unreadable_count += 1
    entries.sort(key=lambda entry: entry.time_ms)
    history.request_entries = [e for e in entries if e.line.request_id == request_id]
    if history.request_entries:
        _add_related_entries(history, entries)
    return history


def parse_entry(name: str, text: str) -> LogEntry | None:
    """Parse a line of a log; return None if it is not a log line.

    A log collector may write the node's name before the JSON object; its
    last word then replaces the log's name as the source.
    """
    before, brace, rest = text.partition("{")
    try:
        line = msgspec.json.decode(f"{brace}{rest}", type=LogLine)
        at = datetime.strptime(line.time, TIME_FORMAT)
    except (msgspec.DecodeError, ValueError):
        return None
    source = before.split()[-1] if before.split() else name
    return LogEntry(source, round(at.timestamp() * MS_PER_SECOND), line)


def _add_related_entries(history: RequestHistory, entries: list[LogEntry]) -> None:
    upstreams = set().union(
        *(_upstream_names(entry) for entry in history.request_entries)
    )
    sources = {entry.source for entry in history.request_entries}
    from_ms = history.request_entries[0].time_ms - CONTEXT_WINDOW_MS
    to_ms = history.request_entries[-1].time_ms + CONTEXT_WINDOW_MS
    for entry in entries:
        if not from_ms <= entry.time_ms <= to_ms or entry.line.request_id:
            continue
        if entry.line.message.startswith(DROPPED_PREFIX):
            if entry.source in sources:
                history.dropped_notices.append(entry)
        elif any(upstream in entry.line.message for upstream in upstreams):
            history.upstream_entries.append(entry)


def _upstream_names(entry: LogEntry) -> set[str]:
    if not bytes(entry.line.data):
        return set()
    try:
        return msgspec.json.decode(entry.line.data, type=EventFields).upstream_names()
    except msgspec.DecodeError:
        return set()
