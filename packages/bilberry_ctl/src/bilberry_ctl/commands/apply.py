"""Commands `apply` and `diff`."""

from dataclasses import dataclass

import cappa
import msgspec

from bilberry_core.outcome import Failure, Result, Success
from bilberry_resources.model import StoredObject

from ..api import ApiClient
from ..arguments import File
from ..changes import (
    ChangeAction,
    FieldDifference,
    ObjectChange,
    compare,
    sort_by_dependency,
)
from ..context import Context
from ..errors import CommandError
from ..files import load_objects

RESULT_BY_ACTION = {
    ChangeAction.CREATE: "created",
    ChangeAction.UPDATE: "updated",
    ChangeAction.UNCHANGED: "unchanged",
}
MAX_VALUE_CHARS = 60


class AppliedObject(msgspec.Struct):
    """Represent the result for one object."""

    kind: str
    name: str
    action: str
    version: int


class AppliedList(msgspec.Struct):
    """Represent the results for all objects."""

    items: list[AppliedObject]


class ChangeList(msgspec.Struct):
    """Represent the changes that applying would make."""

    items: list[ObjectChange]


@cappa.command(
    description=(
        "Objects are written in the order in which they refer to each other; "
        "one that is already up to date is skipped.\n\n"
        "Example: `bilberryctl apply -f examples/arcq/config.jsonc`"
    )
)
@dataclass
class Apply:
    """Create or update the objects in a file."""

    file: File

    def run(self, context: Context) -> Result[None, CommandError]:
        """Apply each object in turn; stop at the first failure."""
        loaded = load_objects(self.file)
        if isinstance(loaded, Failure):
            return Failure(loaded.failure())
        done = AppliedList([])
        wanted = sort_by_dependency(loaded.unwrap())
        result: Result[None, CommandError] = Success(None)
        for stored in wanted:
            applied = apply_object(context.api, stored)
            if isinstance(applied, Failure):
                result = Failure(_prefix_object_name(stored, applied.failure()))
                break
            done.items.append(applied.unwrap())
            print_applied(context, applied.unwrap())
        print_summary(context, done, len(wanted))
        return result


@cappa.command(description="Example: `bilberryctl diff -f examples/arcq/config.jsonc`")
@dataclass
class Diff:
    """Show what applying a file would change, and change nothing."""

    file: File

    def run(self, context: Context) -> Result[None, CommandError]:
        """Compare each object with the stored one."""
        loaded = load_objects(self.file)
        if isinstance(loaded, Failure):
            return Failure(loaded.failure())
        changes: list[ObjectChange] = []
        for stored in sort_by_dependency(loaded.unwrap()):
            current = context.api.get_or_none(stored.kind, stored.metadata.name)
            if isinstance(current, Failure):
                return Failure(_prefix_object_name(stored, current.failure()))
            changes.append(compare(stored, current.unwrap()))
        show_changes(context, changes)
        return Success(None)


def apply_object(
    api: ApiClient, wanted: StoredObject
) -> Result[AppliedObject, CommandError]:
    """Write one object unless the stored one is already equal.

    A version given in the file has to match the stored one.
    """
    found = api.get_or_none(wanted.kind, wanted.metadata.name)
    if isinstance(found, Failure):
        return Failure(found.failure())
    current = found.unwrap()
    change = compare(wanted, current)
    version = current.metadata.version if current else 0
    if change.action is not ChangeAction.UNCHANGED:
        if not wanted.metadata.version:
            wanted.metadata.version = version
        written = api.put(wanted)
        if isinstance(written, Failure):
            return Failure(written.failure())
        version = written.unwrap().metadata.version
    return Success(
        AppliedObject(
            change.kind, change.name, RESULT_BY_ACTION[change.action], version
        )
    )


def print_applied(context: Context, applied: AppliedObject) -> None:
    """Print one object's result as soon as it is known."""
    if context.printer.is_json:
        return
    object_name = f"{applied.kind}/{applied.name}"
    context.printer.line(f"{object_name} {applied.action} (version {applied.version})")


def print_summary(context: Context, done: AppliedList, total: int) -> None:
    """Print the summary, or the whole result as JSON."""
    if context.printer.is_json:
        context.printer.json(done)
        return
    counts = [
        f"{sum(item.action == name for item in done.items)} {name}"
        for name in RESULT_BY_ACTION.values()
    ]
    left = total - len(done.items)
    if left:
        counts.append(f"{left} not applied")
    context.printer.line(", ".join(counts))


def show_changes(context: Context, changes: list[ObjectChange]) -> None:
    """Print the fields that differ."""
    if context.printer.is_json:
        context.printer.json(ChangeList(changes))
        return
    differing = [c for c in changes if c.action is not ChangeAction.UNCHANGED]
    for change in differing:
        context.printer.line(f"{change.action} {change.kind}/{change.name}")
        for difference in change.differences:
            context.printer.line(f"  {_describe(difference)}")
    context.printer.line(f"{len(differing)} of {len(changes)} objects differ")


def _describe(difference: FieldDifference) -> str:
    before, after = _truncate(difference.before), _truncate(difference.after)
    return f"{difference.field}: {before} -> {after}"


def _truncate(value: object) -> str:
    text = "(none)" if value is None else str(value)
    if len(text) <= MAX_VALUE_CHARS:
        return text
    return text[:MAX_VALUE_CHARS] + "..."


def _prefix_object_name(stored: StoredObject, error: CommandError) -> CommandError:
    object_name = f"{stored.kind}/{stored.metadata.name}"
    return msgspec.structs.replace(error, message=f"{object_name}: {error.message}")
