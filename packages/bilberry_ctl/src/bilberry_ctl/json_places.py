"""Find places in JSON files with comments."""

import bisect
import json
import re
from collections.abc import Sequence

COMMENT = re.compile(r'("(?:[^"\\]|\\.)*")|//[^\r\n]*|/\*.*?\*/', re.DOTALL)
TRAILING_COMMA = re.compile(r'("(?:[^"\\]|\\.)*")|,(?=\s*[\]}])', re.DOTALL)
TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{},:]|[^\s\[\]{},:"]+', re.DOTALL)
NOT_NEWLINE = re.compile(r"[^\n]")


def blank_comments(text: str) -> str:
    """Replace comments and trailing commas by spaces; keep all places."""
    return TRAILING_COMMA.sub(_to_blank, COMMENT.sub(_to_blank, text))


def describe_syntax_error(text: str) -> str | None:
    """Return the line, column and reason of a syntax error, None without."""
    try:
        json.loads(blank_comments(text))
    except json.JSONDecodeError as error:
        return f"line {error.lineno}, column {error.colno}: {error.msg}"
    return None


def find_item_lines(text: str, path: Sequence[str]) -> list[int]:
    """Return the line of each item of the list at `path` in valid JSON.

    Each open container is either a list, None, or the current key of an
    object.
    """
    text = blank_comments(text)
    newlines = [match.start() for match in re.finditer("\n", text)]
    lines: list[int] = []
    containers: list[str | None] = []
    last = ""
    for match in TOKEN.finditer(text):
        token = match.group()
        if token in ("]", "}"):
            containers.pop()
        elif token == ":":
            containers[-1] = json.loads(last)
        elif token != ",":
            if containers and containers[-1] is None and containers[:-1] == [*path]:
                lines.append(bisect.bisect(newlines, match.start()) + 1)
            if token in ("[", "{"):
                containers.append(None if token == "[" else "")
            last = token
    return lines


def _to_blank(match: re.Match[str]) -> str:
    return match[1] or NOT_NEWLINE.sub(" ", match[0])
