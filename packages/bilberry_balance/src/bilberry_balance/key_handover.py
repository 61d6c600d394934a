"""Hand idempotency keys over to their new owner after a membership change.

When a former owner sees a new epoch, it sends each new owner all keys that
moved there, and later the final state of each key that was still running.
Messages carry ages, since nodes don't share a monotonic clock.
"""

from enum import StrEnum, auto

import msgspec

from .keys import KeyEntry, KeyState, KeyTable, StoredResponse
from .ownership import Ownership


class RecordState(StrEnum):
    """List the states of a key at its former owner."""

    RUNNING = auto()
    STORED = auto()
    LOST = auto()
    RELEASED = auto()


class KeyRecord(msgspec.Struct, frozen=True):
    """Describe the state of one key to its new owner."""

    key: str
    fingerprint: str
    state: RecordState
    age_ms: int
    answer: StoredResponse | None = None


class Handover(msgspec.Struct, frozen=True):
    """Describe the keys that moved from `source` to `target` with an epoch.

    `known_from_wall_ms` is the wall time since when `source` knows every
    execution of the keys; None if the records are not the complete table.
    """

    source: str
    target: str
    epoch: int
    records: tuple[KeyRecord, ...]
    known_from_wall_ms: int | None = None


def build_handovers(table: KeyTable, now_ms: int) -> list[Handover]:
    """Return the hand-overs to send to the new owners after a new epoch."""
    ownership = table.ownership
    newest = ownership.newest
    if newest is None or ownership.node not in newest.former_members:
        return []
    moved: dict[str, list[KeyRecord]] = {
        name: [] for name in newest.members if name != ownership.node
    }
    for key, entry in table.entries.items():
        owner = ownership.owner(key)
        if owner in moved:
            moved[owner].append(_build_key_record(key, entry, now_ms))
    known_from_ms = ownership.lost_keys_known_from_wall_ms(now_ms)
    return [
        Handover(ownership.node, target, newest.number, tuple(records), known_from_ms)
        for target, records in moved.items()
    ]


def build_end_report(table: KeyTable, key: str, now_ms: int) -> Handover | None:
    """Return the hand-over with the final state of a key that moved.

    Call it after `store`, `mark_lost` or `release`. Return None if this node
    still owns the key.
    """
    ownership = table.ownership
    newest = ownership.newest
    owner = ownership.owner(key)
    if newest is None or owner is None or owner == ownership.node:
        return None
    entry = table.entries.get(key)
    if entry is None:
        record = KeyRecord(key, "", RecordState.RELEASED, 0)
    else:
        record = _build_key_record(key, entry, now_ms)
    return Handover(ownership.node, owner, newest.number, (record,))


def apply_handover(table: KeyTable, handover: Handover, now_ms: int) -> bool:
    """Merge a hand-over; return False if the sender has to retry it."""
    newest = table.ownership.newest
    if newest is None or newest.number < handover.epoch:
        return False
    if len(table.entries) + len(handover.records) > 2 * table.max_keys:
        return False
    for record in handover.records:
        _merge_record(table, record, handover.source, now_ms)
    if handover.known_from_wall_ms is not None:
        _record_complete_table(table.ownership, handover)
    return True


def _record_complete_table(ownership: Ownership, handover: Handover) -> None:
    known_from_ms = handover.known_from_wall_ms
    assert known_from_ms is not None, "the hand-over is not a complete table"
    ownership.on_handover(handover.source, handover.epoch, known_from_ms)


def _build_key_record(key: str, entry: KeyEntry, now_ms: int) -> KeyRecord:
    state = RecordState(entry.state.value)
    age_ms = now_ms - entry.state_since_ms
    return KeyRecord(key, entry.fingerprint, state, age_ms, entry.response)


def _merge_record(table: KeyTable, record: KeyRecord, source: str, now_ms: int) -> None:
    existing_entry = table.entries.get(record.key)
    if existing_entry is not None and existing_entry.running_at != source:
        return
    if existing_entry is not None:
        table.remove(record.key)
    if record.state is RecordState.RELEASED:
        return
    is_running = record.state is RecordState.RUNNING
    entry = KeyEntry(
        fingerprint=record.fingerprint,
        state=KeyState(record.state.value),
        state_since_ms=now_ms,
        running_at=source if is_running else None,
    )
    table.insert_from_former_owner(record.key, entry)
    if record.answer is not None:
        table.attach_response(record.key, record.answer)
