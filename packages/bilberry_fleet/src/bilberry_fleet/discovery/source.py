"""Interface to the platform's store, independent of its format."""

from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from bilberry_core.outcome import Result
from bilberry_store.errors import StoreError

from .read_progress import ReadProgress


@dataclass(slots=True, frozen=True)
class Record:
    """Represent a stored object; `content` is None if it can't be read."""

    name: str
    revision: int
    content: Any


@dataclass(slots=True, frozen=True)
class Change:
    """Represent one change of an object."""

    record: Record
    deleted: bool


@dataclass(slots=True)
class Changes:
    """Represent the changes up to a revision of the store.

    Those that could not be read, not even their names, are only counted.
    """

    changes: list[Change] = field(default_factory=list)
    revision: int = 0
    era: int = 0
    unreadable_count: int = 0


@dataclass(slots=True, frozen=True)
class NameGap:
    """Represent the names after one, up to `last`, that a list may lack.

    Without a `last` name they go on to the end.
    """

    after: str
    last: str | None = None

    def holds(self, name: str) -> bool:
        """Return whether the gap holds a name."""
        return name > self.after and (self.last is None or name <= self.last)


@dataclass(slots=True)
class Snapshot:
    """Represent all objects of a kind, with all changes up to `revision`.

    Of a list in pages, some may be as of later revisions, up to
    `latest_revision`. The `era` is 0 if the store names none, and `byte_count`
    the size of all pages. Objects in the `gaps` may be missing, unless they
    are among the `deleted` names.
    """

    records: list[Record]
    revision: int
    latest_revision: int = 0
    era: int = 0
    byte_count: int = 0
    gaps: tuple[NameGap, ...] = ()
    deleted: frozenset[str] = frozenset()

    def may_lack(self, name: str) -> bool:
        """Return whether an object may be there that isn't in the records."""
        return name not in self.deleted and any(gap.holds(name) for gap in self.gaps)

    @property
    def is_consistent(self) -> bool:
        """Return whether all records are as of one revision."""
        return self.latest_revision <= self.revision

    def with_changes(self, changes: Changes) -> "Snapshot":
        """Return the objects after all changes up to a later revision.

        A change that is older than its record was made before the record's
        page was read. A deletion may bear the revision of the record that it
        deletes.
        """
        by_name = {record.name: record for record in self.records}
        deleted = set(self.deleted)
        for change in changes.changes:
            record = change.record
            known = by_name.get(record.name)
            if known is not None and record.revision < known.revision:
                continue
            if change.deleted:
                by_name.pop(record.name, None)
                deleted.add(record.name)
            else:
                by_name[record.name] = record
        return replace(
            self,
            records=list(by_name.values()),
            revision=changes.revision,
            deleted=frozenset(deleted),
        )


class ObjectSource(Protocol):
    """Read objects of the platform's store."""

    def list(self, kind: str, progress: ReadProgress) -> Result[Snapshot, StoreError]:
        """Return all objects of a kind, which may come in pages."""
        ...

    def watch(
        self,
        kind: str,
        revision: int,
        wait_ms: int,
        may_be_stale: bool,
        progress: ReadProgress,
    ) -> Result[Changes, StoreError]:
        """Return the changes after `revision`; wait up to `wait_ms`.

        With `may_be_stale` it costs less, and may miss the latest changes.
        """
        ...
