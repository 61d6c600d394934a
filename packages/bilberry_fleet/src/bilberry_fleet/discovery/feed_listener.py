"""Interface to what a feed tells of its kind."""

from typing import Protocol

from .source import Changes, Snapshot


class FeedListener(Protocol):
    """Receive the snapshots and changes of a feed."""

    def on_snapshot(self, snapshot: Snapshot) -> bool:
        """Replace all known objects; return whether anything changed."""
        ...

    def on_changes(self, changes: Changes) -> bool:
        """Apply a batch; return False if it only renewed what is known."""
        ...

    def on_outage(self) -> None:
        """Record that the store cannot be read at present."""
        ...

    def on_store_restored(self) -> None:
        """Record that the next snapshot is of a store that lost changes."""
        ...
