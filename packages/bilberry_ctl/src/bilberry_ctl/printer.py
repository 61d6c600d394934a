"""Print results as tables or as JSON."""

import sys
from collections.abc import Sequence
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table
from rich.text import Text

from bilberry_resources.codec import encode

from .const import TABLE_WIDTH, OutputFormat
from .errors import CommandError

JSON_INDENT = 2

STYLE_BY_VALUE = {
    "active": "green",
    "ready": "green",
    "yes": "green",
    "accepted": "green",
    "created": "green",
    "updated": "green",
    "draining": "yellow",
    "warming": "yellow",
    "no": "yellow",
    "pending": "yellow",
    "retired": "dim",
    "unchanged": "dim",
    "refused": "red",
    "unknown": "red",
}


class Printer:
    """Write results to standard output in the chosen format."""

    __slots__ = ("console", "output_format")

    def __init__(self, output: OutputFormat) -> None:
        self.output_format = output
        self.console = Console(highlight=False, soft_wrap=True)
        if not self.console.is_terminal:
            self.console = Console(highlight=False, soft_wrap=True, width=TABLE_WIDTH)

    @property
    def is_json(self) -> bool:
        """Return whether the output is JSON."""
        return self.output_format is OutputFormat.JSON

    def json(self, message: Any) -> None:
        """Write a message as indented JSON."""
        data = msgspec.json.format(encode(message), indent=JSON_INDENT)
        sys.stdout.write(data.decode() + "\n")

    def json_line(self, message: Any) -> None:
        """Write a message as one line of JSON and flush it."""
        sys.stdout.write(encode(message).decode() + "\n")
        sys.stdout.flush()

    def line(self, text: str) -> None:
        """Write one line of text and flush it."""
        sys.stdout.write(text + "\n")
        sys.stdout.flush()

    def table(self, columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
        """Write rows in aligned columns, numbers right-aligned."""
        table = Table(box=None, pad_edge=False, header_style="bold")
        for index, name in enumerate(columns):
            numeric = bool(rows) and all(
                isinstance(row[index], int | float) for row in rows
            )
            justify = "right" if numeric else "left"
            table.add_column(name, justify=justify, no_wrap=True)  # type: ignore[arg-type]
        for row in rows:
            table.add_row(*[_format_cell(value) for value in row])
        self.console.print(table)

    def heading(self, text: str) -> None:
        """Write a heading."""
        self.console.print(Text(text, style="bold underline"))


def print_error(error: CommandError) -> None:
    """Write an error to standard error."""
    first, *rest = error.lines()
    sys.stderr.write("\n".join([f"bilberryctl: {first}", *rest]) + "\n")


def _format_cell(value: Any) -> Text:
    if isinstance(value, bool):
        value = "yes" if value else "no"
    if isinstance(value, float):
        value = f"{value:g}" if abs(value) < 1 else f"{value:,.0f}"
    text = str(value)
    return Text(text, style=STYLE_BY_VALUE.get(text, ""))
