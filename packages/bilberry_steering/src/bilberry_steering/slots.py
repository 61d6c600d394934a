"""Run-length encoded owners of hash slots, reassigned with few moves.

Runs are flat lists [owner, count, owner, count, ...] that cover
`HASH_SLOTS`. New runs depend only on the old runs and the new counts, so
all nodes that have the same plan send a caller to the same owner.
"""

from collections.abc import Iterator, Sequence

from bilberry_core.ids import HASH_BITS

from .const import HASH_SLOTS

Runs = list[int]


def slot_of(request_hash: int) -> int:
    """Return the slot of a 64-bit hash."""
    return (request_hash * HASH_SLOTS) >> HASH_BITS


def pairs(runs: Sequence[int]) -> Iterator[tuple[int, int]]:
    """Yield each run's owner and count."""
    return zip(runs[::2], runs[1::2], strict=True)


def counts_of(runs: Sequence[int], owners: int) -> list[int]:
    """Return the number of slots of each of `owners` owners."""
    counts = [0] * owners
    for owner, count in pairs(runs):
        counts[owner] += count
    return counts


def apportion(weights: Sequence[float], total: int = HASH_SLOTS) -> list[int]:
    """Return integer counts that sum to `total`, by largest remainder."""
    whole = sum(weights)
    assert whole > 0, "at least one weight must be positive"
    exact = [weight * total / whole for weight in weights]
    counts = [int(value) for value in exact]
    order = sorted(range(len(weights)), key=lambda i: (counts[i] - exact[i], i))
    for index in order[: total - sum(counts)]:
        counts[index] += 1
    return counts


def from_counts(counts: Sequence[int]) -> Runs:
    """Return runs with one run for each owner that has slots."""
    return merge_runs([v for i, c in enumerate(counts) for v in (i, c)])


def merge_runs(runs: Sequence[int]) -> Runs:
    """Return runs without empty ones, joining neighbours of one owner."""
    merged: Runs = []
    for owner, count in pairs(runs):
        if count == 0:
            continue
        if merged and merged[-2] == owner:
            merged[-1] += count
        else:
            merged += [owner, count]
    return merged


def remap(runs: Sequence[int], places: Sequence[int]) -> Runs:
    """Return runs with each owner replaced by `places[owner]`."""
    return merge_runs(
        [v for owner, count in pairs(runs) for v in (places[owner], count)]
    )


def reassign(runs: Sequence[int], counts: Sequence[int]) -> Runs:
    """Return runs with the new counts, moving only the surplus slots."""
    owned = counts_of(runs, len(counts))
    surplus = [max(0, old - new) for old, new in zip(owned, counts, strict=True)]
    wanted = [max(0, new - old) for old, new in zip(owned, counts, strict=True)]
    assert sum(surplus) == sum(wanted), "runs and counts must cover all slots"
    changed: Runs = []
    for owner, count in pairs(runs):
        given = min(count, surplus[owner])
        surplus[owner] -= given
        changed += [owner, count - given, *_hand_out(wanted, given)]
    return merge_runs(changed)


def _hand_out(wanted: list[int], given: int) -> Runs:
    parts: Runs = []
    for owner, want in enumerate(wanted):
        taken = min(want, given)
        if taken:
            parts += [owner, taken]
            wanted[owner] -= taken
            given -= taken
    return parts


def overlay(before: Sequence[int], after: Sequence[int]) -> list[tuple[int, int, int]]:
    """Return (owner before, owner after, count) in slot order."""
    joined: list[tuple[int, int, int]] = []
    left, right = list(pairs(before)), list(pairs(after))
    i = j = 0
    rest_left, rest_right = left[0][1], right[0][1]
    while True:
        count = min(rest_left, rest_right)
        joined.append((left[i][0], right[j][0], count))
        rest_left -= count
        rest_right -= count
        if rest_left == 0:
            i += 1
            if i == len(left):
                return joined
            rest_left = left[i][1]
        if rest_right == 0:
            j += 1
            rest_right = right[j][1]


def moved_slots(before: Sequence[int], after: Sequence[int]) -> int:
    """Return how many slots change their owner."""
    return sum(count for old, new, count in overlay(before, after) if old != new)
