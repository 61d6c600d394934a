"""Run-length encoded owners of hash slots, reassigned with few moves.

Runs are flat lists [owner, count, owner, count, ...] that cover
`HASH_SLOTS`. New runs depend only on the old runs and the new counts, so
all nodes that have the same plan send a caller to the same owner.
"""

from collections.abc import Iterator, Sequence

from bilberry_core.ids import HASH_BITS

from .const import HASH_SLOTS

SlotRuns = list[int]


def slot_of(request_hash: int) -> int:
    """Return the slot of a 64-bit hash."""
    return (request_hash * HASH_SLOTS) >> HASH_BITS


def iter_runs(runs: Sequence[int]) -> Iterator[tuple[int, int]]:
    """Yield each run's owner and count."""
    return zip(runs[::2], runs[1::2], strict=True)


def slots_per_owner(runs: Sequence[int], owners: int) -> list[int]:
    """Return the number of slots of each of `owners` owners."""
    counts = [0] * owners
    for owner, count in iter_runs(runs):
        counts[owner] += count
    return counts


def apportion(weights: Sequence[float], total: int = HASH_SLOTS) -> list[int]:
    """Return integer counts that sum to `total`, by largest remainder."""
    total_weight = sum(weights)
    assert total_weight > 0, "at least one weight must be positive"
    exact = [weight * total / total_weight for weight in weights]
    counts = [int(value) for value in exact]
    order = sorted(range(len(weights)), key=lambda i: (counts[i] - exact[i], i))
    for index in order[: total - sum(counts)]:
        counts[index] += 1
    return counts


def runs_from_counts(counts: Sequence[int]) -> SlotRuns:
    """Return runs with one run for each owner that has slots."""
    return merge_runs([v for i, c in enumerate(counts) for v in (i, c)])


def merge_runs(runs: Sequence[int]) -> SlotRuns:
    """Return runs without empty ones, joining neighbours of one owner."""
    merged: SlotRuns = []
    for owner, count in iter_runs(runs):
        if count == 0:
            continue
        if merged and merged[-2] == owner:
            merged[-1] += count
        else:
            merged += [owner, count]
    return merged


def remap_owners(runs: Sequence[int], new_owners: Sequence[int]) -> SlotRuns:
    """Return runs with each owner replaced by `new_owners[owner]`."""
    return merge_runs(
        [v for owner, count in iter_runs(runs) for v in (new_owners[owner], count)]
    )


def reassign(runs: Sequence[int], counts: Sequence[int]) -> SlotRuns:
    """Return runs with the new counts, moving only the surplus slots."""
    owned = slots_per_owner(runs, len(counts))
    surplus = [max(0, old - new) for old, new in zip(owned, counts, strict=True)]
    missing = [max(0, new - old) for old, new in zip(owned, counts, strict=True)]
    assert sum(surplus) == sum(missing), "runs and counts must cover all slots"
    changed: SlotRuns = []
    for owner, count in iter_runs(runs):
        moved = min(count, surplus[owner])
        surplus[owner] -= moved
        changed += [owner, count - moved, *_assign_slots(missing, moved)]
    return merge_runs(changed)


def _assign_slots(missing: list[int], moved: int) -> SlotRuns:
    assigned: SlotRuns = []
    for owner, need in enumerate(missing):
        taken = min(need, moved)
        if taken:
            assigned += [owner, taken]
            missing[owner] -= taken
            moved -= taken
    return assigned


def overlay_runs(
    before: Sequence[int], after: Sequence[int]
) -> list[tuple[int, int, int]]:
    """Return (owner before, owner after, count) in slot order."""
    overlaid: list[tuple[int, int, int]] = []
    left, right = list(iter_runs(before)), list(iter_runs(after))
    i = j = 0
    left_count, right_count = left[0][1], right[0][1]
    while True:
        count = min(left_count, right_count)
        overlaid.append((left[i][0], right[j][0], count))
        left_count -= count
        right_count -= count
        if left_count == 0:
            i += 1
            if i == len(left):
                return overlaid
            left_count = left[i][1]
        if right_count == 0:
            j += 1
            right_count = right[j][1]


def count_moved_slots(before: Sequence[int], after: Sequence[int]) -> int:
    """Return how many slots change their owner."""
    return sum(count for old, new, count in overlay_runs(before, after) if old != new)
