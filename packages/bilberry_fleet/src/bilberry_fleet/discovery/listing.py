"""Read all objects of a kind as of one revision of the store."""

from bilberry_core.outcome import Failure, Result, Success
from bilberry_store.errors import StoreError, StoreErrorKind

from .const import CATCH_UP_WAIT_MS
from .read_progress import ReadProgress
from .source import ObjectSource, Snapshot


def read_snapshot(
    kind: str, source: ObjectSource, progress: ReadProgress
) -> Result[Snapshot, StoreError]:
    """Return all objects of a kind, all as of the same revision.

    A long list comes in pages, each as of its own time. What changed between
    the first and the last one is read as well, exactly.
    """
    listed = source.list(kind, progress)
    if isinstance(listed, Failure):
        return listed
    snapshot = listed.unwrap()
    while not snapshot.is_consistent:
        read = source.watch(kind, snapshot.revision, CATCH_UP_WAIT_MS, False, progress)
        if isinstance(read, Failure):
            return read
        changes = read.unwrap()
        if changes.era and changes.era != snapshot.era:
            reason = f"era {changes.era} after {snapshot.era}"
            return Failure(StoreError(kind=StoreErrorKind.GONE, reason=reason))
        if changes.revision > snapshot.revision:
            snapshot = snapshot.with_changes(changes)
        elif changes.changes:
            reason = f"changes without progress at revision {snapshot.revision}"
            return Failure(StoreError(kind=StoreErrorKind.REFUSED, reason=reason))
        else:
            break
    return Success(snapshot)
