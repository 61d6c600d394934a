"""Compare desired objects with the stored ones."""

from collections.abc import Iterator
from enum import StrEnum
from typing import Any

import msgspec

from bilberry_core.outcome import Result, Success
from bilberry_resources.const import (
    KIND_CLIENT_BLOCK_SET,
    KIND_INTENT,
    KIND_LINK,
    KIND_REGION,
    KIND_SERVICE,
    KIND_SITE,
    KIND_UPSTREAM,
)
from bilberry_resources.model import StoredObject
from bilberry_resources.snapshot import decode_spec

KINDS_IN_DEPENDENCY_ORDER = (
    KIND_REGION,
    KIND_LINK,
    KIND_SERVICE,
    KIND_SITE,
    KIND_UPSTREAM,
    KIND_CLIENT_BLOCK_SET,
    KIND_INTENT,
)


class ChangeAction(StrEnum):
    """Define what applying a file does to an object."""

    CREATE = "create"
    UPDATE = "update"
    UNCHANGED = "unchanged"


class FieldDifference(msgspec.Struct, frozen=True):
    """Represent one field whose value differs."""

    field: str
    before: Any = None
    after: Any = None


class ObjectChange(msgspec.Struct):
    """Represent how a desired object differs from the stored one."""

    kind: str
    name: str
    action: ChangeAction
    differences: list[FieldDifference] = []


def sort_by_dependency(objects: list[StoredObject]) -> list[StoredObject]:
    """Sort objects so that each follows the kinds that it refers to."""
    return sorted(
        objects, key=lambda stored: KINDS_IN_DEPENDENCY_ORDER.index(stored.kind)
    )


def compare(wanted: StoredObject, current: StoredObject | None) -> ObjectChange:
    """Return the change that turns `current` into `wanted`."""
    kind, name = wanted.kind, wanted.metadata.name
    if current is None:
        after = list(iter_differences({}, wanted.spec, "spec"))
        return ObjectChange(kind, name, ChangeAction.CREATE, after)
    found = list(
        iter_differences(
            _spec_with_defaults(current), _spec_with_defaults(wanted), "spec"
        )
    )
    found += iter_differences(
        current.metadata.labels, wanted.metadata.labels, "metadata.labels"
    )
    action = ChangeAction.UPDATE if found else ChangeAction.UNCHANGED
    return ObjectChange(kind, name, action, found)


def iter_differences(before: Any, after: Any, path: str) -> Iterator[FieldDifference]:
    """Yield the fields that differ, comparing mappings recursively."""
    if isinstance(before, dict) and isinstance(after, dict):
        for key in sorted({*before, *after}):
            child = f"{path}.{key}"
            yield from iter_differences(before.get(key), after.get(key), child)
    elif before != after:
        yield FieldDifference(path, before, after)


def _spec_with_defaults(stored: StoredObject) -> Any:
    """Return the spec with defaults filled in, unchanged if invalid."""
    decoded: Result[Any, Any] = decode_spec(stored.kind, stored.spec)
    if isinstance(decoded, Success):
        return msgspec.to_builtins(decoded.unwrap())
    return stored.spec
