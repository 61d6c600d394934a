"""Commands `apply` and `diff`."""

from dataclasses import dataclass

import cappa
import msgspec

from bilberry_core.outcome import Failure, Result, Success
from bilberry_resources.model import StoredObject

from ..api import ApiClient
from ..arguments import File
from ..changes import Action, Change, Difference, compare, in_dependency_order
from ..context import Context
from ..errors import CommandError
from ..files import load_objects

PAST = {
    Action.CREATE: "created",
    Action.UPDATE: "updated",
    Action.UNCHANGED: "unchanged",
}
MAX_VALUE_CHARS = 60


class Applied(msgspec.Struct):
    """Represent the result for one object."""

    kind: str
    name: str
    action: str
    version: int


class AppliedList(msgspec.Struct):
    """Represent the results for all objects."""

    items: list[Applied]


class ChangeList(msgspec.Struct):
    """Represent the changes that applying would make."""

    items: list[Change]


@cappa.command(
    description=(
        "Objects are written in the order in which they refer to each other; "
        "one that is already as wanted is left alone.\n\n"
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
        wanted = in_dependency_order(loaded.unwrap())
        result: Result[None, CommandError] = Success(None)
        for stored in wanted:
            applied = apply_object(context.api, stored)
            if isinstance(applied, Failure):
                result = Failure(_located(stored, applied.failure()))
                break
            done.items.append(applied.unwrap())
            report(context, applied.unwrap())
        finish(context, done, len(wanted))
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
        changes: list[Change] = []
        for stored in in_dependency_order(loaded.unwrap()):
            current = context.api.find(stored.kind, stored.metadata.name)
            if isinstance(current, Failure):
                return Failure(_located(stored, current.failure()))
            changes.append(compare(stored, current.unwrap()))
        show_changes(context, changes)
        return Success(None)


def apply_object(api: ApiClient, wanted: StoredObject) -> Result[Applied, CommandError]:
    """Write one object unless the stored one is already equal.

    A version given in the file has to match the stored one.
    """
    found = api.find(wanted.kind, wanted.metadata.name)
    if isinstance(found, Failure):
        return Failure(found.failure())
    current = found.unwrap()
    change = compare(wanted, current)
    version = current.metadata.version if current else 0
    if change.action is not Action.UNCHANGED:
        if not wanted.metadata.version:
            wanted.metadata.version = version
        written = api.put(wanted)
        if isinstance(written, Failure):
            return Failure(written.failure())
        version = written.unwrap().metadata.version
    return Success(Applied(change.kind, change.name, PAST[change.action], version))


def report(context: Context, applied: Applied) -> None:
    """Print one object's result as soon as it is known."""
    if context.printer.for_scripts:
        return
    where = f"{applied.kind}/{applied.name}"
    context.printer.line(f"{where} {applied.action} (version {applied.version})")


def finish(context: Context, done: AppliedList, total: int) -> None:
    """Print the summary, or the whole result as JSON."""
    if context.printer.for_scripts:
        context.printer.json(done)
        return
    counts = [
        f"{sum(item.action == name for item in done.items)} {name}"
        for name in PAST.values()
    ]
    left = total - len(done.items)
    if left:
        counts.append(f"{left} not applied")
    context.printer.line(", ".join(counts))


def show_changes(context: Context, changes: list[Change]) -> None:
    """Print the fields that differ."""
    if context.printer.for_scripts:
        context.printer.json(ChangeList(changes))
        return
    differing = [c for c in changes if c.action is not Action.UNCHANGED]
    for change in differing:
        context.printer.line(f"{change.action} {change.kind}/{change.name}")
        for difference in change.differences:
            context.printer.line(f"  {_describe(difference)}")
    context.printer.line(f"{len(differing)} of {len(changes)} objects differ")


def _describe(difference: Difference) -> str:
    before, after = _short(difference.before), _short(difference.after)
    return f"{difference.field}: {before} -> {after}"


def _short(value: object) -> str:
    text = "(none)" if value is None else str(value)
    if len(text) <= MAX_VALUE_CHARS:
        return text
    return text[:MAX_VALUE_CHARS] + "..."


def _located(stored: StoredObject, error: CommandError) -> CommandError:
    where = f"{stored.kind}/{stored.metadata.name}"
    return msgspec.structs.replace(error, message=f"{where}: {error.message}")
