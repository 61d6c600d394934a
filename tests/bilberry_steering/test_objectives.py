"""Test how the objectives distribute load that spills."""

import pytest

from bilberry_steering.const import OBJECTIVE_HEADROOM, OBJECTIVE_LATENCY
from bilberry_steering.objectives import OBJECTIVES, SpillCandidate

CANDIDATES = [
    SpillCandidate("far", 60.0, 80.0, 1.0),
    SpillCandidate("dear", 20.0, 30.0, 5.0),
    SpillCandidate("cheap", 20.0, 30.0, 1.0),
    SpillCandidate("full", 0.0, 1.0, 1.0),
]


@pytest.mark.parametrize(
    ("name", "excess", "expected"),
    [
        (OBJECTIVE_HEADROOM, 50.0, {"far": 30.0, "dear": 10.0, "cheap": 10.0}),
        (OBJECTIVE_HEADROOM, 500.0, {"far": 60.0, "dear": 20.0, "cheap": 20.0}),
        (OBJECTIVE_LATENCY, 30.0, {"cheap": 20.0, "dear": 10.0}),
        (OBJECTIVE_LATENCY, 500.0, {"cheap": 20.0, "dear": 20.0, "far": 60.0}),
    ],
)
def test_no_region_gets_more_than_its_room(name, excess, expected):
    assert OBJECTIVES[name].distribute(excess, CANDIDATES) == expected
