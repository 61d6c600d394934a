"""Commands `get`, `describe` and `delete`."""

from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec

from bilberry_core.outcome import Failure, Result, Success
from bilberry_resources.model import StoredObject

from ..arguments import Kind, Name, format_time
from ..context import Context
from ..errors import CommandError, usage_error
from ..tables import SPEC_COLUMNS, build_object_table


class Deleted(msgspec.Struct):
    """Represent a deleted object."""

    kind: str
    name: str
    action: str = "deleted"


@cappa.command(
    description=(
        "Examples: `bilberryctl get upstream`, "
        "`bilberryctl --output json get region mtl`"
    )
)
@dataclass
class Get:
    """List the objects of a kind, or show one."""

    kind: Kind
    name: Annotated[str | None, cappa.Arg(help="Only this object.")] = None

    def run(self, context: Context) -> Result[None, CommandError]:
        """Print the objects as a table or as JSON."""
        unknown = validate_kind(self.kind)
        if unknown is not None:
            return Failure(unknown)
        if self.name is not None:
            return self.show_one(context, self.name)
        listed = context.api.list(self.kind)
        if isinstance(listed, Failure):
            return Failure(listed.failure())
        page = listed.unwrap()
        if context.printer.is_json:
            context.printer.json(page)
        else:
            context.printer.table(*build_object_table(self.kind, page.items))
        return Success(None)

    def show_one(self, context: Context, name: str) -> Result[None, CommandError]:
        """Print one object."""
        found = context.api.get(self.kind, name)
        if isinstance(found, Failure):
            return Failure(found.failure())
        if context.printer.is_json:
            context.printer.json(found.unwrap())
        else:
            context.printer.table(*build_object_table(self.kind, [found.unwrap()]))
        return Success(None)


@cappa.command(description="Example: `bilberryctl describe intent suivi-to-qc`")
@dataclass
class Describe:
    """Show everything about one object."""

    kind: Kind
    name: Name

    def run(self, context: Context) -> Result[None, CommandError]:
        """Print metadata, spec, status and conditions."""
        unknown = validate_kind(self.kind)
        if unknown is not None:
            return Failure(unknown)
        found = context.api.get(self.kind, self.name)
        if isinstance(found, Failure):
            return Failure(found.failure())
        if context.printer.is_json:
            context.printer.json(found.unwrap())
        else:
            describe(context, found.unwrap())
        return Success(None)


@cappa.command(description="Example: `bilberryctl delete intent suivi-to-qc`")
@dataclass
class Delete:
    """Delete one object."""

    kind: Kind
    name: Name
    version: Annotated[
        int | None,
        cappa.Arg(
            long=True, help="Delete only this version; the default is the current."
        ),
    ] = None

    def run(self, context: Context) -> Result[None, CommandError]:
        """Delete the object at the given or the current version."""
        unknown = validate_kind(self.kind)
        if unknown is not None:
            return Failure(unknown)
        version = self.version
        if version is None:
            found = context.api.get(self.kind, self.name)
            if isinstance(found, Failure):
                return Failure(found.failure())
            version = found.unwrap().metadata.version
        deleted = context.api.delete(self.kind, self.name, version)
        if isinstance(deleted, Failure):
            return Failure(deleted.failure())
        if context.printer.is_json:
            context.printer.json(Deleted(self.kind, self.name))
        else:
            context.printer.line(f"{self.kind}/{self.name} deleted")
        return Success(None)


def validate_kind(kind: str) -> CommandError | None:
    """Return an error if the kind doesn't exist."""
    if kind in SPEC_COLUMNS:
        return None
    return usage_error(
        f"unknown kind {kind!r}; expected one of: {', '.join(SPEC_COLUMNS)}"
    )


def describe(context: Context, stored: StoredObject) -> None:
    """Print one object in sections."""
    printer = context.printer
    metadata, status = stored.metadata, stored.status
    printer.line(f"{stored.kind}/{metadata.name}")
    printer.line(f"version {metadata.version}, generation {metadata.generation}")
    for key, value in metadata.labels.items():
        printer.line(f"label {key}={value}")
    printer.heading("Spec")
    printer.json(stored.spec)
    if status is None:
        return
    printer.heading("Status")
    in_force = "in force" if status.in_force else "not in force"
    printer.line(
        f"{in_force}: {status.sites_applied} of {status.sites_total} sites, "
        f"progress {status.progress:.0%}, "
        f"accepted version {status.accepted_version}, "
        f"observed generation {status.observed_generation}"
    )
    rows = [
        [c.type, c.status.value, c.reason, c.message, _since(c.since_ms)]
        for c in status.conditions
    ]
    if rows:
        printer.heading("Conditions")
        printer.table(["TYPE", "STATUS", "REASON", "MESSAGE", "SINCE"], rows)


def _since(wall_ms: int) -> str:
    return format_time(wall_ms) if wall_ms else "-"
