"""Store objects by kind and name, with one revision and a history."""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum, auto
from typing import Any

FIRST_REVISION = 100
DEFAULT_HISTORY = 1_000


class WriteRefusal(StrEnum):
    """Represent why a change was refused."""

    EXISTS = auto()
    MISSING = auto()
    CONFLICT = auto()


@dataclass(slots=True)
class StoredItem:
    """Store the current content of one object.

    With `raw` it is served as these bytes, which may be unreadable.
    """

    name: str
    revision: int
    created: int
    spec: Any = None
    status: Any = None
    raw: bytes | None = None


@dataclass(slots=True, frozen=True)
class TableEvent:
    """Represent one change of an object."""

    kind: str
    revision: int
    item: StoredItem
    deleted: bool


@dataclass(slots=True)
class ObjectTable:
    """Store all objects, with the latest changes as history.

    Changes up to `last_dropped_revision` are no longer in the history.
    """

    revision: int = FIRST_REVISION
    last_dropped_revision: int = FIRST_REVISION
    kinds: dict[str, dict[str, StoredItem]] = field(default_factory=dict)
    history: deque[TableEvent] = field(
        default_factory=lambda: deque(maxlen=DEFAULT_HISTORY)
    )

    def items(self, kind: str) -> list[StoredItem]:
        """Return the objects of a kind, sorted by name."""
        by_name = self.kinds.get(kind, {})
        return [by_name[name] for name in sorted(by_name)]

    def get(self, kind: str, name: str) -> StoredItem | None:
        """Return one object."""
        return self.kinds.get(kind, {}).get(name)

    def create(self, kind: str, name: str, spec: Any) -> StoredItem | WriteRefusal:
        """Add an object."""
        if self.get(kind, name) is not None:
            return WriteRefusal.EXISTS
        item = StoredItem(name, self.revision + 1, self.revision + 1, spec)
        self._store(kind, item)
        return item

    def replace(
        self, kind: str, name: str, spec: Any, revision: int | None = None
    ) -> StoredItem | WriteRefusal:
        """Replace an object's spec, if it is at `revision`."""
        old = self.get(kind, name)
        if old is None:
            return WriteRefusal.MISSING
        if revision is not None and revision != old.revision:
            return WriteRefusal.CONFLICT
        if old.spec == spec:
            return old
        item = StoredItem(name, self.revision + 1, old.created, spec, old.status)
        self._store(kind, item)
        return item

    def put(self, kind: str, name: str, spec: Any, status: Any = None) -> StoredItem:
        """Create or replace an object unconditionally."""
        old = self.get(kind, name)
        created = old.created if old else self.revision + 1
        item = StoredItem(name, self.revision + 1, created, spec, status)
        self._store(kind, item)
        return item

    def put_raw(self, kind: str, name: str, raw: bytes) -> StoredItem:
        """Create or replace an object that is served as `raw`."""
        item = StoredItem(name, self.revision + 1, self.revision + 1, raw=raw)
        self._store(kind, item)
        return item

    def delete(self, kind: str, name: str) -> bool:
        """Remove an object; return whether it was there."""
        old = self.kinds.get(kind, {}).pop(name, None)
        if old is None:
            return False
        self.revision += 1
        self.history.append(TableEvent(kind, self.revision, old, deleted=True))
        return True

    def events_since(self, kind: str, revision: int) -> list[TableEvent] | None:
        """Return the changes after `revision`, None if it lacks them."""
        if not self.last_dropped_revision <= revision <= self.revision:
            return None
        return [e for e in self.history if e.kind == kind and e.revision > revision]

    def copy(self) -> "ObjectTable":
        """Return an independent copy of all objects and the history."""
        kinds = {kind: dict(by_name) for kind, by_name in self.kinds.items()}
        history = deque(self.history, maxlen=DEFAULT_HISTORY)
        return ObjectTable(self.revision, self.last_dropped_revision, kinds, history)

    def drop_history(self) -> None:
        """Drop the history, so that watches must list again."""
        self.history.clear()
        self.last_dropped_revision = self.revision

    def _store(self, kind: str, item: StoredItem) -> None:
        self.revision = item.revision
        self.kinds.setdefault(kind, {})[item.name] = item
        self.history.append(TableEvent(kind, item.revision, item, deleted=False))
