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

KIND_ORDER = (
    KIND_REGION,
    KIND_LINK,
    KIND_SERVICE,
    KIND_SITE,
    KIND_UPSTREAM,
    KIND_CLIENT_BLOCK_SET,
    KIND_INTENT,
)


class Action(StrEnum):
    """Define what applying a file does to an object."""

    CREATE = "create"
    UPDATE = "update"
    UNCHANGED = "unchanged"


class Difference(msgspec.Struct, frozen=True):
    """Represent one field whose value differs."""

    field: str
    before: Any = None
    after: Any = None


class Change(msgspec.Struct):
    """Represent how a desired object differs from the stored one."""

    kind: str
    name: str
    action: Action
    differences: list[Difference] = []


def in_dependency_order(objects: list[StoredObject]) -> list[StoredObject]:
    """Sort objects so that each follows the kinds that it refers to."""
    return sorted(objects, key=lambda stored: KIND_ORDER.index(stored.kind))


def compare(wanted: StoredObject, current: StoredObject | None) -> Change:
    """Return the change that turns `current` into `wanted`."""
    kind, name = wanted.kind, wanted.metadata.name
    if current is None:
        after = list(differences({}, wanted.spec, "spec"))
        return Change(kind, name, Action.CREATE, after)
    found = list(differences(_normal(current), _normal(wanted), "spec"))
    found += differences(
        current.metadata.labels, wanted.metadata.labels, "metadata.labels"
    )
    action = Action.UPDATE if found else Action.UNCHANGED
    return Change(kind, name, action, found)


def differences(before: Any, after: Any, path: str) -> Iterator[Difference]:
    """Yield the fields that differ, comparing mappings recursively."""
    if isinstance(before, dict) and isinstance(after, dict):
        for key in sorted({*before, *after}):
            child = f"{path}.{key}"
            yield from differences(before.get(key), after.get(key), child)
    elif before != after:
        yield Difference(path, before, after)


def _normal(stored: StoredObject) -> Any:
    """Return the spec with defaults filled in, unchanged if invalid."""
    decoded: Result[Any, Any] = decode_spec(stored.kind, stored.spec)
    if isinstance(decoded, Success):
        return msgspec.to_builtins(decoded.unwrap())
    return stored.spec
