"""What discovery needs of the platform's store, whatever its format."""

from dataclasses import dataclass, field
from typing import Any, Protocol

from bilberry_core.outcome import Result
from bilberry_store.errors import StoreError


@dataclass(slots=True, frozen=True)
class Record:
    """Hold an object as it lies in the store; `content` is None if unread."""

    name: str
    revision: int
    content: Any


@dataclass(slots=True, frozen=True)
class Change:
    """Hold one change of an object."""

    record: Record
    deleted: bool


@dataclass(slots=True)
class Snapshot:
    """Hold all objects of a kind at one revision of the store."""

    records: list[Record]
    revision: int


@dataclass(slots=True)
class Changes:
    """Hold what has changed up to a revision of the store."""

    changes: list[Change] = field(default_factory=list)
    revision: int = 0


class ObjectSource(Protocol):
    """Read objects of the platform's store."""

    def list(self, kind: str) -> Result[Snapshot, StoreError]:
        """Return all objects of a kind."""
        ...

    def watch(
        self, kind: str, revision: int, wait_ms: int
    ) -> Result[Changes, StoreError]:
        """Return the changes after `revision`, after `wait_ms` at most."""
        ...
