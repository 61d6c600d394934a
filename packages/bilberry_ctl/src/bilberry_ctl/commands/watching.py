"""Commands `watch` and `wait`."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated

import cappa
import msgspec

from bilberry_core.outcome import Failure, Result, Success
from bilberry_resources.model import StoredObject

from ..api import STATUS_GONE, STATUS_NOT_FOUND
from ..arguments import Kind, Name
from ..const import (
    DEFAULT_WAIT_TIMEOUT_MS,
    WAIT_POLL_INTERVAL_MS,
    WATCH_MAX_WAIT_MS,
    WATCH_RETRY_DELAY_MS,
    ExitCode,
)
from ..context import Context
from ..errors import CommandError
from ..messages import ObjectEvent
from .objects import validate_kind


class WaitGoal(StrEnum):
    """Define the states that `wait` can wait for."""

    IN_FORCE = "in-force"
    COMPLETE = "complete"


class WaitResult(msgspec.Struct):
    """Represent the result of a successful wait."""

    kind: str
    name: str
    reached: WaitGoal
    waited_ms: int


@cappa.command(
    description=(
        "Changes are printed until interrupted. "
        "Example: `bilberryctl watch upstream --timeout-ms 60000`"
    )
)
@dataclass
class Watch:
    """Print each change of a kind as it happens."""

    kind: Kind
    since: Annotated[
        int | None,
        cappa.Arg(
            long=True, help="Start after this version; the default is the current."
        ),
    ] = None
    timeout_ms: Annotated[
        int | None, cappa.Arg(long=True, help="Stop after this time in ms.")
    ] = None

    def run(self, context: Context) -> Result[None, CommandError]:
        """Print changes until the timeout, if there is one."""
        unknown = validate_kind(self.kind)
        if unknown is not None:
            return Failure(unknown)
        since = self.since
        if since is None:
            listed = context.api.list(self.kind)
            if isinstance(listed, Failure):
                return Failure(listed.failure())
            since = listed.unwrap().version
        return self.follow(context, since)

    def follow(self, context: Context, since: int) -> Result[None, CommandError]:
        """Print changes after a version; retry after a lost connection."""
        started_ms = context.clock.now_ms()
        while True:
            wait_ms = WATCH_MAX_WAIT_MS
            if self.timeout_ms is not None:
                left_ms = started_ms + self.timeout_ms - context.clock.now_ms()
                if left_ms <= 0:
                    return Success(None)
                wait_ms = min(wait_ms, left_ms)
            watched = context.api.watch(self.kind, since, wait_ms)
            if isinstance(watched, Success):
                since = watched.unwrap().version
                for event in watched.unwrap().events:
                    print_event(context, event)
                continue
            if _is_permanent(watched.failure()):
                return Failure(watched.failure())
            context.sleep(min(WATCH_RETRY_DELAY_MS, wait_ms))


@cappa.command(
    description=(
        "Examples: `bilberryctl wait intent suivi-to-qc --for complete`, "
        "`bilberryctl wait upstream suivi-mtl-1 --for in-force --timeout-ms 20000`"
    )
)
@dataclass
class Wait:
    """Wait until an object is in force, or an intent complete."""

    kind: Kind
    name: Name
    goal: Annotated[WaitGoal, cappa.Arg(long="--for", help="in-force or complete.")] = (
        WaitGoal.IN_FORCE
    )
    timeout_ms: Annotated[
        int, cappa.Arg(long=True, help="Maximum time to wait in ms.")
    ] = DEFAULT_WAIT_TIMEOUT_MS

    def run(self, context: Context) -> Result[None, CommandError]:
        """Poll the object until it reaches the goal."""
        unknown = validate_kind(self.kind)
        if unknown is not None:
            return Failure(unknown)
        started_ms = context.clock.now_ms()
        last_state = "the object was not read"
        while True:
            found = context.api.get(self.kind, self.name, retry_ms=0)
            waited_ms = context.clock.now_ms() - started_ms
            if isinstance(found, Success):
                if is_goal_reached(self.goal, found.unwrap()):
                    return self.print_reached(context, waited_ms)
                last_state = _describe_progress(found.unwrap())
            elif _is_permanent(found.failure()):
                return Failure(found.failure())
            else:
                last_state = found.failure().message
            if waited_ms >= self.timeout_ms:
                return Failure(self.timed_out(last_state))
            context.sleep(min(WAIT_POLL_INTERVAL_MS, self.timeout_ms - waited_ms))

    def print_reached(
        self, context: Context, waited_ms: int
    ) -> Result[None, CommandError]:
        """Print that the goal was reached."""
        if context.printer.is_json:
            context.printer.json(WaitResult(self.kind, self.name, self.goal, waited_ms))
        else:
            object_name = f"{self.kind}/{self.name}"
            context.printer.line(f"{object_name} is {self.goal} after {waited_ms} ms")
        return Success(None)

    def timed_out(self, last_state: str) -> CommandError:
        """Return the error for a wait that timed out."""
        message = (
            f"{self.kind}/{self.name} is not {self.goal} "
            f"after {self.timeout_ms} ms: {last_state}"
        )
        return CommandError(ExitCode.TIMED_OUT, message)


def is_goal_reached(goal: WaitGoal, stored: StoredObject) -> bool:
    """Return whether an object's status reaches the goal."""
    status = stored.status
    if status is None or not status.in_force:
        return False
    if status.accepted_version < stored.metadata.version:
        return False
    return goal is WaitGoal.IN_FORCE or status.progress >= 1.0


def print_event(context: Context, event: ObjectEvent) -> None:
    """Print a change on one line."""
    if context.printer.is_json:
        context.printer.json_line(event)
        return
    metadata = event.object.metadata
    object_name = f"{event.object.kind}/{metadata.name}"
    context.printer.line(f"{event.type:<7} {object_name} (version {metadata.version})")


def _is_permanent(error: CommandError) -> bool:
    if error.status in (STATUS_GONE, STATUS_NOT_FOUND):
        return True
    return error.exit_code is ExitCode.USAGE or error.status in (401, 403)


def _describe_progress(stored: StoredObject) -> str:
    status = stored.status
    if status is None:
        return "it has no status"
    notes = [c.message for c in status.conditions if c.message]
    sites = f"{status.sites_applied} of {status.sites_total} sites"
    return ", ".join([sites, f"progress {status.progress:.0%}", *notes])
