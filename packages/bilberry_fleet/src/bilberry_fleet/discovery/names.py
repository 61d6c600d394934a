"""Track the names of all objects of a kind."""

from collections.abc import Callable

from bilberry_core.clock import Clock

from .const import REREGISTRATION_GRACE_MS
from .source import Changes, Snapshot


class NamesListener:
    """Track the names of all objects of a kind.

    Names that a restored store lacks are kept for a while, as it may have
    lost them and they are written again.
    """

    __slots__ = ("clock", "kept", "kept_until_ms", "listed", "names", "on_names")

    def __init__(
        self, on_names: Callable[[frozenset[str]], None], clock: Clock
    ) -> None:
        self.names: frozenset[str] = frozenset()
        self.listed: frozenset[str] = frozenset()
        self.kept: frozenset[str] = frozenset()
        self.kept_until_ms: int | None = None
        self.on_names = on_names
        self.clock = clock

    def on_snapshot(self, snapshot: Snapshot) -> bool:
        """Replace the names with those in the snapshot."""
        found = {record.name for record in snapshot.records}
        found |= {name for name in self.listed if snapshot.may_lack(name)}
        self.listed = frozenset(found)
        return self._update()

    def on_changes(self, changes: Changes) -> bool:
        """Add and remove the names in a batch of changes."""
        names = set(self.listed)
        for change in changes.changes:
            if change.deleted:
                names.discard(change.record.name)
                self.kept -= {change.record.name}
            else:
                names.add(change.record.name)
        self.listed = frozenset(names)
        self._update()
        return True

    def on_outage(self) -> None:
        """Keep the known names."""

    def on_store_restored(self) -> None:
        """Keep the known names for a while, whatever is listed."""
        self.kept = self.names
        self.kept_until_ms = self.clock.now_ms() + REREGISTRATION_GRACE_MS

    def expire(self, now_ms: int) -> None:
        """Drop the kept names that were not written again in time."""
        if self.kept_until_ms is not None and now_ms >= self.kept_until_ms:
            self.kept_until_ms = None
            self.kept = frozenset()
            self._update()

    def _update(self) -> bool:
        names = self.listed | self.kept
        if names == self.names:
            return False
        self.names = names
        self.on_names(names)
        return True
