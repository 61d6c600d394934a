"""Errors that commands return."""

import msgspec

from bilberry_core.outcome import FieldError

from .const import ExitCode


class CommandError(msgspec.Struct, frozen=True):
    """Describe why a command failed, and its exit code."""

    exit_code: ExitCode
    message: str
    errors: list[FieldError] = []
    status: int = 0
    may_retry: bool = False

    def lines(self) -> list[str]:
        """Return the message and one line for each field error."""
        return [self.message, *[f"  {error}" for error in self.errors]]


def usage_error(message: str, errors: list[FieldError] | None = None) -> CommandError:
    """Return an error for invalid usage or input."""
    return CommandError(ExitCode.USAGE, message, errors or [])


def command_failed(message: str) -> CommandError:
    """Return an error for a command that could not be carried out."""
    return CommandError(ExitCode.FAILED, message)
