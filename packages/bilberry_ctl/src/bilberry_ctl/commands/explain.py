"""Command `explain`, which finds one request in the nodes' logs."""

import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from bilberry_core.outcome import Failure, Result, Success

from ..context import Context
from ..errors import CommandError, command_failed, usage_error
from ..files import STDIN
from ..history import LogEntry, find_history

REQUEST_NOT_FOUND_MESSAGE = (
    "no line names request {}: it was answered in time, was never read, "
    "or its log lines were dropped"
)
COLUMNS = ["TIME", "NODE", "LEVEL", "MESSAGE"]


@cappa.command(
    description="Example: `bilberryctl explain --request 1028c6742cb8bb19 node-*.log`"
)
@dataclass
class Explain:
    """Show a request's history from the logs of any number of nodes."""

    request: Annotated[str, cappa.Arg(long=True, help="The request's id.")]
    files: Annotated[list[str], cappa.Arg(num_args=-1, help="Log files; - is stdin.")]

    def run(self, context: Context) -> Result[None, CommandError]:
        """Print the request's log lines in chronological order."""
        if not self.files:
            return Failure(usage_error("explain: name at least one log file"))
        try:
            history = find_history(self.request, read_logs(self.files))
        except OSError as error:
            return Failure(usage_error(f"explain: {error}"))
        if not history.request_entries:
            return Failure(
                command_failed(REQUEST_NOT_FOUND_MESSAGE.format(self.request))
            )
        printer = context.printer
        if printer.is_json:
            printer.json([entry.line for entry in history.request_entries])
            return Success(None)
        printer.table(
            COLUMNS, [log_entry_row(entry) for entry in history.request_entries]
        )
        if history.upstream_entries:
            printer.heading("Log lines about its upstreams")
            printer.table(
                COLUMNS, [log_entry_row(entry) for entry in history.upstream_entries]
            )
        for entry in history.dropped_notices:
            printer.line(f"gap at {entry.source}: {entry.line.message}")
        if history.unreadable_count:
            printer.line(f"{history.unreadable_count} lines could not be read")
        return Success(None)


def log_entry_row(entry: LogEntry) -> list[str]:
    """Return the table row for a log entry."""
    line = entry.line
    return [line.time, entry.source, line.level, line.message]


def read_logs(names: list[str]) -> Iterator[tuple[str, Iterable[str]]]:
    """Yield each log's name and its lines."""
    for name in names:
        if name == STDIN:
            yield "stdin", sys.stdin
            continue
        with Path(name).open(errors="replace") as lines:
            yield Path(name).stem, lines
