"""Interface to the platform's store, independent of its format."""

from dataclasses import dataclass, field
from typing import Any, Protocol

from bilberry_core.outcome import Result
from bilberry_store.errors import StoreError


@dataclass(slots=True, frozen=True)
class Record:
    """Represent a stored object; `content` is None if not decoded."""

    name: str
    revision: int
    content: Any


@dataclass(slots=True, frozen=True)
class Change:
    """Represent one change of an object."""

    record: Record
    deleted: bool


@dataclass(slots=True)
class Snapshot:
    """Represent all objects of a kind at one revision of the store."""

    records: list[Record]
    revision: int


@dataclass(slots=True)
class Changes:
    """Represent the changes up to a revision of the store."""

    changes: list[Change] = field(default_factory=list)
    revision: int = 0


class ObjectSource(Protocol):
    """Read objects of the platform's store."""

    def list(self, kind: str) -> Result[Snapshot, StoreError]:
        """Return all objects of a kind."""
        ...

    def watch(
        self, kind: str, revision: int, wait_ms: int, may_be_stale: bool
    ) -> Result[Changes, StoreError]:
        """Return the changes after `revision`; wait up to `wait_ms`.

        With `may_be_stale` it costs less, and may miss the latest changes.
        """
        ...
