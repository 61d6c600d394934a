"""Command line of the node."""

import logging
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from bilberry_core.outcome import Failure

from .const import EXIT_BAD_SETTINGS, EXIT_FAILED, EXIT_OK
from .logs import set_up_logging
from .settings import load_settings

_LOGGER = logging.getLogger(__name__)


@cappa.command(
    name="bilberryrouter",
    description=(
        "Run one node of the traffic steering system.\n\n"
        "Examples:\n"
        "  bilberryrouter --settings node.jsonc --check\n"
        "  bilberryrouter --settings node.jsonc"
    ),
)
@dataclass
class Command:
    """Run one node of the traffic steering system."""

    settings: Annotated[Path, cappa.Arg(long=True, help="JSON with comments.")]
    check: Annotated[
        bool, cappa.Arg(long=True, help="Check the settings and exit.")
    ] = False


def run(command: Command) -> int:
    """Run the node until a signal stops it; return the exit code."""
    loaded = load_settings(command.settings)
    if isinstance(loaded, Failure):
        for error in loaded.failure():
            sys.stderr.write(f"{command.settings}: {error}\n")
        return EXIT_BAD_SETTINGS
    settings = loaded.unwrap()
    if command.check:
        return EXIT_OK
    set_up_logging(settings.log)
    from .process import run_until_stopped

    try:
        return run_until_stopped(settings)
    except OSError as error:
        _LOGGER.error("node: Could not start: %s", error)
        return EXIT_FAILED


def main() -> None:
    """Parse the command line, run the node and exit with its code."""
    sys.exit(run(cappa.parse(Command)))
