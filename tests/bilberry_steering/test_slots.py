"""Test that a change of weights reassigns as few hash slots as possible."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from bilberry_steering.const import HASH_SLOTS
from bilberry_steering.slots import (
    apportion,
    count_moved_slots,
    overlay_runs,
    reassign,
    runs_from_counts,
    slot_of,
    slots_per_owner,
)

WEIGHTS = st.lists(st.integers(0, 1000), min_size=6, max_size=6).filter(any)


@given(st.lists(WEIGHTS, min_size=2, max_size=8))
def test_a_change_of_weights_moves_no_more_than_the_change(changes):
    runs = runs_from_counts(apportion(changes[0]))
    for old, new in itertools.pairwise(changes):
        changed = reassign(runs, apportion(new))
        before = [weight / sum(old) for weight in old]
        after = [weight / sum(new) for weight in new]
        pairs = zip(before, after, strict=True)
        difference = sum(abs(a - b) for a, b in pairs) / 2
        assert slots_per_owner(changed, 6) == apportion(new)
        assert count_moved_slots(runs, changed) <= difference * HASH_SLOTS + 6
        runs = changed


@given(WEIGHTS, WEIGHTS)
def test_the_overlay_covers_every_slot_once(old, new):
    before = runs_from_counts(apportion(old))
    after = reassign(before, apportion(new))
    assert sum(count for _, _, count in overlay_runs(before, after)) == HASH_SLOTS


def test_every_hash_has_a_slot():
    assert slot_of(0) == 0
    assert slot_of((1 << 64) - 1) == HASH_SLOTS - 1
