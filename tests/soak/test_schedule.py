"""A seed decides which faults happen, and when."""

import itertools

from soak.faults import FAULTS
from soak.schedule import draw_schedule


def test_a_seed_gives_the_same_schedule():
    assert draw_schedule(5, 20_000) == draw_schedule(5, 20_000)
    assert draw_schedule(5, 20_000) != draw_schedule(6, 20_000)


def test_every_kind_is_drawn_by_some_seed():
    kinds = {fault.kind for seed in range(20) for fault in draw_schedule(seed, 20_000)}
    assert kinds == set(FAULTS)


def test_faults_overlap_in_most_schedules():
    def overlaps(seed):
        faults = draw_schedule(seed, 20_000)
        pairs = itertools.pairwise(faults)
        return any(
            first.at_ms + first.duration_ms > then.at_ms for first, then in pairs
        )

    assert sum(overlaps(seed) for seed in range(20)) >= 15
