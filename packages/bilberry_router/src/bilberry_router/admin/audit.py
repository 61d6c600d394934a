"""Audit trail, kept as objects in the platform's store."""

import logging
from collections.abc import Iterable
from datetime import UTC, datetime, timedelta
from typing import Any

import gevent
import msgspec
from gevent.event import AsyncResult
from gevent.queue import Queue

from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND
from bilberry_core.ids import new_uuid7
from bilberry_core.outcome import Failure, Result, Success
from bilberry_resources.codec import encode
from bilberry_resources.model import Metadata, StoredObject
from bilberry_store.client import StoreClient
from bilberry_store.errors import StoreError

_LOGGER = logging.getLogger(__name__)

KIND_PREFIX = "audit-"
DAY_FORMAT = "%Y%m%d"
MAX_OBJECT_BYTES = 64_000
MAX_VALUE_BYTES = 8_000
MAX_DAYS_READ = 31
DEFAULT_SINCE_MS = 24 * 60 * 60 * MS_PER_SECOND
FIELD_ENTRIES = "entries"

RESULT_PENDING = "pending"
RESULT_ACCEPTED = "accepted"
RESULT_REFUSED = "refused"
RESULT_UNKNOWN = "unknown"


class AuditEntry(msgspec.Struct, kw_only=True):
    """Represent one audited change: who, what, when, and the result."""

    id: str
    when_ms: int
    who: str
    node: str
    action: str
    kind: str
    name: str
    before: Any = None
    after: Any = None
    result: str = ""
    detail: str = ""
    write_id: str = ""


class PendingAppend(msgspec.Struct):
    """Represent an entry queued for writing; `done` receives the result."""

    entry: AuditEntry
    done: Any


class AuditTask:
    """Write queued audit entries to the store, batching them per object."""

    def __init__(self, store: StoreClient, clock: Clock, node: str) -> None:
        self.store = store
        self.clock = clock
        self.node = node
        self.queue: Queue = Queue()
        self.greenlet: gevent.Greenlet | None = None
        self.current_object: StoredObject | None = None
        self.current_bytes = 0

    def start(self) -> None:
        """Start the greenlet that writes queued entries."""
        self.greenlet = gevent.spawn(self.run)

    def close(self) -> None:
        """Write the queued entries, then stop; wait 1 s at most."""
        if self.greenlet is None:
            return
        self.queue.put(None)
        self.greenlet.join(timeout=1)
        self.greenlet.kill()
        self.greenlet = None

    def new_entry(self, **fields: Any) -> AuditEntry:
        """Return a new entry with this node's name and the current time."""
        return AuditEntry(
            id=new_uuid7(self.clock),
            when_ms=self.clock.wall_ms(),
            node=self.node,
            **fields,
        )

    def append(self, entry: AuditEntry) -> Result[None, StoreError]:
        """Queue `entry`, wait until it is stored, and return the result."""
        done = AsyncResult()
        self.queue.put(PendingAppend(_omit_large_values(entry), done))
        result: Result[None, StoreError] = done.get()
        return result

    def run(self) -> None:
        """Write queued entries, all that are waiting in a single write."""
        while True:
            first = self.queue.get()
            if first is None:
                return
            batch = [first]
            while not self.queue.empty():
                item = self.queue.get()
                if item is None:
                    self.queue.put(None)
                    break
                batch.append(item)
            result = self.write([item.entry for item in batch])
            for item in batch:
                item.done.set(result)

    def write(self, entries: list[AuditEntry]) -> Result[None, StoreError]:
        """Append `entries` to the current object, or start a new one.

        A new object is started each day, and when the current one is full.
        """
        new_entries = [msgspec.to_builtins(entry) for entry in entries]
        size = len(encode(new_entries))
        kind = _kind_for_day(self.clock.wall_ms())
        target = self.current_object
        if (
            target is None
            or target.kind != kind
            or self.current_bytes + size > MAX_OBJECT_BYTES
        ):
            name = f"{self.node}-{new_uuid7(self.clock)}"
            target = StoredObject(kind=kind, metadata=Metadata(name=name))
            self.current_bytes = 0
        stored_entries = target.spec.get(FIELD_ENTRIES, [])
        updated_object = StoredObject(
            kind=kind,
            metadata=msgspec.structs.replace(target.metadata, write_id=""),
            spec={FIELD_ENTRIES: [*stored_entries, *new_entries]},
        )
        result = self.store.put(updated_object, target.metadata.version)
        if isinstance(result, Failure):
            self.current_object = None
            _LOGGER.warning("audit: Could not write entries: %s", result.failure())
            return Failure(result.failure())
        self.current_object = result.unwrap()
        self.current_bytes += size
        return Success(None)

    def read(self, since_ms: int | None) -> Result[list[AuditEntry], StoreError]:
        """Return the entries since a wall-clock time in ms, oldest first."""
        now_ms = self.clock.wall_ms()
        start_ms = now_ms - DEFAULT_SINCE_MS if since_ms is None else since_ms
        by_id: dict[str, AuditEntry] = {}
        for kind in _kinds_between(start_ms, now_ms):
            listed = self.store.list_objects(kind)
            if isinstance(listed, Failure):
                return Failure(listed.failure())
            for entry in _entries_of(listed.unwrap().items):
                if entry.when_ms >= start_ms and not _has_final_result(by_id, entry):
                    by_id[entry.id] = entry
        return Success(sorted(by_id.values(), key=lambda e: (e.when_ms, e.id)))


def _has_final_result(by_id: dict[str, AuditEntry], entry: AuditEntry) -> bool:
    previous = by_id.get(entry.id)
    return previous is not None and previous.result != RESULT_PENDING


def _entries_of(objects: Iterable[StoredObject]) -> Iterable[AuditEntry]:
    for stored in objects:
        for raw in stored.spec.get(FIELD_ENTRIES, []):
            try:
                yield msgspec.convert(raw, AuditEntry)
            except msgspec.ValidationError as error:
                _LOGGER.warning("audit: Skipped an invalid entry: %s", error)


def _omit_large_values(entry: AuditEntry) -> AuditEntry:
    return msgspec.structs.replace(
        entry, before=_omit_if_large(entry.before), after=_omit_if_large(entry.after)
    )


def _omit_if_large(value: Any) -> Any:
    if value is None:
        return None
    size = len(encode(value))
    if size <= MAX_VALUE_BYTES:
        return value
    return {"omitted_bytes": size}


def _kind_for_day(wall_ms: int) -> str:
    day = datetime.fromtimestamp(wall_ms / MS_PER_SECOND, UTC)
    return KIND_PREFIX + day.strftime(DAY_FORMAT)


def _kinds_between(start_ms: int, end_ms: int) -> list[str]:
    last = datetime.fromtimestamp(end_ms / MS_PER_SECOND, UTC).date()
    start_seconds = max(0, start_ms) / MS_PER_SECOND
    first = datetime.fromtimestamp(start_seconds, UTC).date()
    first = max(first, last - timedelta(days=MAX_DAYS_READ - 1))
    days = (last - first).days + 1
    return [
        KIND_PREFIX + (first + timedelta(days=i)).strftime(DAY_FORMAT)
        for i in range(days)
    ]
