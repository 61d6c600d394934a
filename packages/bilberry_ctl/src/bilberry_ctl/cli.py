"""Entry point of bilberryctl."""

import sys
from dataclasses import dataclass
from typing import Annotated

import cappa

from bilberry_core.clock import SystemClock
from bilberry_core.outcome import Failure

from .api import ApiClient, validate_server
from .commands.apply import Apply, Diff
from .commands.check import Check
from .commands.drain import Drain, Undrain
from .commands.explain import Explain
from .commands.objects import Delete, Describe, Get
from .commands.reports import Audit, Lookup, Status
from .commands.watching import Wait, Watch
from .const import (
    DEFAULT_REQUEST_TIMEOUT_MS,
    DEFAULT_RETRY_MS,
    DEFAULT_SERVER,
    ENV_SERVER,
    ENV_TOKEN,
    ExitCode,
    OutputFormat,
)
from .context import Context
from .errors import CommandError
from .printer import Printer, print_error

DESCRIPTION = """
Declare the wanted state in files, apply them, and wait until it is in force.

Examples:

- `bilberryctl --server http://10.0.0.5:7081 apply -f examples/arcq/config.jsonc`
- `bilberryctl wait upstream suivi-mtl-1 --for in-force`
- `bilberryctl drain site/mtl-a`
- `bilberryctl --output json status`

Exit codes: 0 ok, 1 failed, 2 usage or invalid input, 3 conflict, 4 timed out.
"""


@cappa.command(name="bilberryctl", description=DESCRIPTION)
@dataclass
class Command:
    """Operate a bilberryrouter deployment through any of its nodes."""

    verb: cappa.Subcommands[
        Apply
        | Get
        | Describe
        | Delete
        | Watch
        | Wait
        | Drain
        | Undrain
        | Diff
        | Audit
        | Lookup
        | Status
        | Explain
        | Check
    ]
    server: Annotated[
        str,
        cappa.Arg(
            long=True,
            propagate=True,
            default=cappa.Env(ENV_SERVER, default=DEFAULT_SERVER),
            help=f"Admin URL of a node; also {ENV_SERVER}.",
        ),
    ] = DEFAULT_SERVER
    token: Annotated[
        str | None,
        cappa.Arg(
            long=True,
            propagate=True,
            default=cappa.Env(ENV_TOKEN),
            help=f"Bearer token; prefer setting {ENV_TOKEN}.",
        ),
    ] = None
    output: Annotated[
        OutputFormat,
        cappa.Arg(long=True, propagate=True, help="table or json."),
    ] = OutputFormat.TABLE
    request_timeout_ms: Annotated[
        int,
        cappa.Arg(long=True, propagate=True, help="Timeout of one call in ms."),
    ] = DEFAULT_REQUEST_TIMEOUT_MS
    retry_ms: Annotated[
        int,
        cappa.Arg(
            long=True,
            propagate=True,
            help="Time in ms for which a change that did not run is retried.",
        ),
    ] = DEFAULT_RETRY_MS


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    try:
        command = cappa.parse(Command, argv=argv, completion=False)
    except cappa.Exit as ended:
        return ended.code if isinstance(ended.code, int) else ExitCode.USAGE
    invalid = validate_server(command.server)
    if invalid is not None:
        return print_outcome(invalid)
    api = ApiClient(
        command.server, command.token, command.request_timeout_ms, command.retry_ms
    )
    context = Context(api, Printer(command.output), SystemClock())
    try:
        result = command.verb.run(context)
    except KeyboardInterrupt:
        return ExitCode.OK
    finally:
        api.close()
    return print_outcome(result.failure() if isinstance(result, Failure) else None)


def print_outcome(error: CommandError | None) -> int:
    """Print the error, if any, and return the exit code."""
    if error is None:
        return ExitCode.OK
    print_error(error)
    return error.exit_code


if __name__ == "__main__":
    sys.exit(main())
