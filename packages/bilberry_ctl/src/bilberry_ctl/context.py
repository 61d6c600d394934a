"""Context and interface of commands."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from bilberry_core.clock import Clock
from bilberry_core.outcome import Result

from .api import ApiClient
from .errors import CommandError
from .printer import Printer
from .sleep import sleep_ms


@dataclass(slots=True)
class Context:
    """Provide a command with the API client, the printer and the clock."""

    api: ApiClient
    printer: Printer
    clock: Clock
    sleep: Callable[[int], None] = sleep_ms


class Runnable(Protocol):
    """Define the interface of a runnable command."""

    def run(self, context: Context) -> Result[None, CommandError]:
        """Run the command."""
        ...
