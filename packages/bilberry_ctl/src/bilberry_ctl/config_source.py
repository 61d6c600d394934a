"""Read a routing configuration from a file, standard input or the store."""

import importlib
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol
from urllib.parse import urlsplit

import jsonc

from bilberry_core.outcome import Failure, Result, Success
from bilberry_resources.config_file import ConfigFile
from bilberry_store.http import HttpSession

from .api import STATUS_OK
from .errors import CommandError, usage_error
from .files import STDIN
from .json_places import describe_syntax_error, find_item_lines

DEFAULT_FORMAT = "bilberry_platform.config_file"
DEFAULT_HTTP_PORT = 80
URL_PREFIX = "http://"


class ConfigFormat(Protocol):
    """Define the module that knows the format of the configuration."""

    read_config_file: Callable[[Any], Result[ConfigFile, str]]


@dataclass(slots=True, frozen=True)
class LocatedConfig:
    """Hold a decoded configuration and the line of each resource."""

    file: ConfigFile
    lines: list[int]


def load_format(module: str) -> Result[ConfigFormat, CommandError]:
    """Import the module that decodes configurations."""
    try:
        found = importlib.import_module(module)
    except ImportError as error:
        message = (
            f"--format: {module} can't be imported ({error}); add it to PYTHONPATH"
        )
        return Failure(usage_error(message))
    if not hasattr(found, "read_config_file"):
        return Failure(usage_error(f"--format: {module} has no read_config_file"))
    return Success(found)


def load_config(
    source: str, config_format: ConfigFormat, timeout_ms: int
) -> Result[LocatedConfig, CommandError]:
    """Read and decode the configuration at a path or URL."""
    text = read_text(source, timeout_ms)
    if isinstance(text, Failure):
        return text
    data = parse_text(source, text.unwrap())
    if isinstance(data, Failure):
        return data
    decoded = config_format.read_config_file(data.unwrap())
    if isinstance(decoded, Failure):
        return Failure(usage_error(f"{source}: {decoded.failure()}"))
    file = decoded.unwrap()
    return Success(LocatedConfig(file, find_item_lines(text.unwrap(), file.list_path)))


def read_text(source: str, timeout_ms: int) -> Result[str, CommandError]:
    """Return the text at a path, of standard input or at an http URL."""
    if source.startswith(URL_PREFIX):
        return _fetch(source, timeout_ms)
    try:
        return Success(
            sys.stdin.read() if source == STDIN else Path(source).read_text()
        )
    except (OSError, UnicodeDecodeError) as error:
        return Failure(usage_error(f"{source}: {error}"))


def parse_text(source: str, text: str) -> Result[Any, CommandError]:
    """Parse JSON with comments; name the line and column of an error."""
    try:
        return Success(jsonc.loads(text, parse_constant=_refuse_constant))
    except RecursionError:
        return Failure(usage_error(f"{source}: nested too deeply"))
    except ValueError as error:
        reason = describe_syntax_error(text) or str(error)
        return Failure(usage_error(f"{source}: not JSON with comments: {reason}"))


def _refuse_constant(constant: str) -> float:
    raise ValueError(f"{constant} is no number of JSON")


def _fetch(url: str, timeout_ms: int) -> Result[str, CommandError]:
    parts = urlsplit(url)
    try:
        address = f"{parts.hostname}:{parts.port or DEFAULT_HTTP_PORT}"
    except ValueError as error:
        return Failure(usage_error(f"{url}: {error}"))
    if not parts.hostname:
        return Failure(usage_error(f"{url}: no host"))
    session = HttpSession(address)
    path = f"{parts.path or '/'}?{parts.query}" if parts.query else parts.path or "/"
    result = session.read("GET", path, timeout_ms=timeout_ms)
    session.close()
    if isinstance(result, Failure):
        return Failure(usage_error(f"{url}: {result.failure().reason}"))
    response = result.unwrap()
    if response.status != STATUS_OK:
        return Failure(usage_error(f"{url}: status {response.status}"))
    try:
        return Success(response.body.decode())
    except UnicodeDecodeError as error:
        return Failure(usage_error(f"{url}: {error}"))
