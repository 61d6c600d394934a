"""Store versioned objects in memory, without I/O."""

from collections import deque
from enum import StrEnum

import msgspec

from bilberry_core.outcome import Failure, Result, Success
from bilberry_resources.codec import encode

from ..const import DEFAULT_HISTORY_EVENTS, MAX_VALUE_BYTES
from .messages import (
    Deleted,
    EventType,
    ObjectList,
    PlatformObject,
    WatchEvent,
    WatchResult,
)


class RefusalReason(StrEnum):
    """Represent why a call was refused."""

    CONFLICT = "conflict"
    MISSING = "missing"
    TOO_LARGE = "too large"
    TOO_OLD = "too old"


class Refusal(msgspec.Struct, frozen=True):
    """Represent a refused call; `version` is the object's current one."""

    reason: RefusalReason
    detail: str
    version: int = 0


class EncodedObject(msgspec.Struct, frozen=True):
    """Store an encoded object and its version."""

    version: int
    data: bytes


class HistoryEntry(msgspec.Struct, frozen=True):
    """Store one event of a kind's history."""

    version: int
    event: WatchEvent


class KindTable:
    """Store the objects of one kind and their recent changes."""

    __slots__ = ("entries", "history", "history_limit", "oldest_version")

    def __init__(self, history_limit: int) -> None:
        self.entries: dict[str, EncodedObject] = {}
        self.history: deque[HistoryEntry] = deque()
        self.history_limit = history_limit
        self.oldest_version = 0

    def record(self, version: int, event: WatchEvent) -> None:
        """Append an event and drop the oldest ones above the limit."""
        self.history.append(HistoryEntry(version, event))
        while len(self.history) > self.history_limit:
            self.oldest_version = self.history.popleft().version

    def events_since(self, version: int) -> list[WatchEvent]:
        """Return the events after `version`, oldest first."""
        found: list[WatchEvent] = []
        for change in reversed(self.history):
            if change.version <= version:
                break
            found.append(change.event)
        found.reverse()
        return found

    def copy(self) -> "KindTable":
        """Return a copy that later changes don't affect."""
        copied = KindTable(self.history_limit)
        copied.entries = dict(self.entries)
        copied.history = deque(self.history)
        copied.oldest_version = self.oldest_version
        return copied


class ObjectTable:
    """Store objects of all kinds under one version counter.

    Each change increments the counter and gives the object its value.
    """

    __slots__ = ("history_limit", "kinds", "max_value_bytes", "version")

    def __init__(
        self,
        history_limit: int = DEFAULT_HISTORY_EVENTS,
        max_value_bytes: int = MAX_VALUE_BYTES,
    ) -> None:
        self.version = 0
        self.kinds: dict[str, KindTable] = {}
        self.history_limit = history_limit
        self.max_value_bytes = max_value_bytes

    def copy(self) -> "ObjectTable":
        """Return a copy that later changes don't affect."""
        copied = ObjectTable(self.history_limit, self.max_value_bytes)
        copied.version = self.version
        copied.kinds = {name: table.copy() for name, table in self.kinds.items()}
        return copied

    def kind_table(self, kind: str) -> KindTable:
        """Return the table of `kind`, created on first use."""
        found = self.kinds.get(kind)
        if found is None:
            found = KindTable(self.history_limit)
            self.kinds[kind] = found
        return found

    def get(self, kind: str, name: str) -> Result[bytes, Refusal]:
        """Return an encoded object."""
        entry = self.kind_table(kind).entries.get(name)
        if entry is None:
            return Failure(_build_missing_refusal(kind, name))
        return Success(entry.data)

    def list(self, kind: str) -> ObjectList:
        """Return all objects of `kind`, sorted by name."""
        entries = self.kind_table(kind).entries
        items = [msgspec.Raw(entries[name].data) for name in sorted(entries)]
        return ObjectList(self.version, items)

    def put(
        self, kind: str, name: str, value: PlatformObject, if_match: int | None = None
    ) -> Result[bytes, Refusal]:
        """Store `value`; `if_match` 0 only creates, None always writes."""
        refused = self.check_match(kind, name, if_match)
        if refused is not None:
            return Failure(refused)
        version = self.version + 1
        value.kind = kind
        value.metadata = {**value.metadata, "name": name, "version": version}
        data = encode(value)
        if len(data) > self.max_value_bytes:
            detail = f"{len(data)} bytes is above {self.max_value_bytes}"
            return Failure(Refusal(RefusalReason.TOO_LARGE, detail))
        self.version = version
        table = self.kind_table(kind)
        table.entries[name] = EncodedObject(version, data)
        table.record(version, WatchEvent(EventType.PUT, msgspec.Raw(data)))
        return Success(data)

    def delete(
        self, kind: str, name: str, if_match: int | None = None
    ) -> Result[Deleted, Refusal]:
        """Delete an object; the watch event has its last content."""
        table = self.kind_table(kind)
        entry = table.entries.get(name)
        if entry is None:
            return Failure(_build_missing_refusal(kind, name))
        refused = self.check_match(kind, name, if_match)
        if refused is not None:
            return Failure(refused)
        self.version += 1
        del table.entries[name]
        last = msgspec.json.decode(entry.data, type=PlatformObject)
        last.metadata["version"] = self.version
        event = WatchEvent(EventType.DELETE, msgspec.Raw(encode(last)))
        table.record(self.version, event)
        return Success(Deleted(self.version))

    def changes(self, kind: str, since: int) -> Result[WatchResult, Refusal]:
        """Return the changes of `kind` after the version `since`."""
        table = self.kind_table(kind)
        if since < table.oldest_version:
            detail = f"history begins after version {table.oldest_version}"
            refusal = Refusal(RefusalReason.TOO_OLD, detail, self.version)
            return Failure(refusal)
        return Success(WatchResult(self.version, table.events_since(since)))

    def check_match(self, kind: str, name: str, if_match: int | None) -> Refusal | None:
        """Return a refusal if the object isn't at version `if_match`."""
        if if_match is None:
            return None
        entry = self.kind_table(kind).entries.get(name)
        current = entry.version if entry else 0
        if current == if_match:
            return None
        detail = f"{kind}/{name} is at version {current}, not {if_match}"
        return Refusal(RefusalReason.CONFLICT, detail, current)


def _build_missing_refusal(kind: str, name: str) -> Refusal:
    return Refusal(RefusalReason.MISSING, f"there is no {kind}/{name}")
