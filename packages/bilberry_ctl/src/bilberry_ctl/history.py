"""Find one request in the logs of several nodes."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime

import msgspec

from bilberry_core.const import MS_PER_SECOND
from bilberry_core.log_line import LogLine

CONTEXT_MS = 5_000
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
DROPPED_PREFIX = "log: Dropped"


class EventFields(msgspec.Struct):
    """Represent the fields of a log event that name upstreams."""

    upstream: str = ""
    upstreams: list[str] = []

    def names(self) -> set[str]:
        """Return the names of the upstreams in the event."""
        return {*self.upstreams, self.upstream} - {""}


@dataclass(slots=True, frozen=True)
class Entry:
    """Represent a log line with the node or file that it comes from."""

    source: str
    at_ms: int
    line: LogLine


@dataclass(slots=True)
class History:
    """Represent the log entries that concern a request.

    `own` are the request's entries. `context` are entries within
    `CONTEXT_MS` of those that name an upstream which it was sent to.
    `dropped` are notices of the same period that log lines were dropped.
    `unreadable` counts the lines that could not be parsed.
    """

    own: list[Entry] = field(default_factory=list)
    context: list[Entry] = field(default_factory=list)
    dropped: list[Entry] = field(default_factory=list)
    unreadable: int = 0


def find_history(request_id: str, logs: Iterable[tuple[str, Iterable[str]]]) -> History:
    """Return a request's history from pairs of a log's name and lines."""
    history = History()
    entries: list[Entry] = []
    for name, lines in logs:
        for text in lines:
            entry = parse_entry(name, text)
            if entry is not None:
                entries.append(entry)
            elif text.strip():
                history.unreadable += 1
    entries.sort(key=lambda entry: entry.at_ms)
    history.own = [e for e in entries if e.line.request_id == request_id]
    if history.own:
        _add_context(history, entries)
    return history


def parse_entry(name: str, text: str) -> Entry | None:
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
    return Entry(source, round(at.timestamp() * MS_PER_SECOND), line)


def _add_context(history: History, entries: list[Entry]) -> None:
    named = set().union(*(_upstreams(entry) for entry in history.own))
    sources = {entry.source for entry in history.own}
    from_ms = history.own[0].at_ms - CONTEXT_MS
    to_ms = history.own[-1].at_ms + CONTEXT_MS
    for entry in entries:
        if not from_ms <= entry.at_ms <= to_ms or entry.line.request_id:
            continue
        if entry.line.message.startswith(DROPPED_PREFIX):
            if entry.source in sources:
                history.dropped.append(entry)
        elif any(upstream in entry.line.message for upstream in named):
            history.context.append(entry)


def _upstreams(entry: Entry) -> set[str]:
    if not bytes(entry.line.data):
        return set()
    try:
        return msgspec.json.decode(entry.line.data, type=EventFields).names()
    except msgspec.DecodeError:
        return set()
