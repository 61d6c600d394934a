"""Test that each service gets its share of turns over any span."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bilberry_resources.routing import WeightedService
from bilberry_steering.weighted_round_robin import WeightedRoundRobin


@given(
    st.lists(st.integers(1, 100), min_size=1, max_size=5),
    st.integers(0, 19),
    st.integers(1, 400),
)
def test_each_part_is_within_one_turn_a_part_of_its_share(weights, skipped, count):
    parts = tuple(WeightedService(f"s{i}", w) for i, w in enumerate(weights))
    round_robin = WeightedRoundRobin(parts, skipped)
    got = [round_robin.next() for _ in range(count)]
    for part in parts:
        share = count * part.weight / sum(weights)
        assert abs(got.count(part.service) - share) <= len(parts)


def test_a_small_part_gets_its_turns_spread_out():
    round_robin = WeightedRoundRobin(
        (WeightedService("big", 90), WeightedService("small", 10))
    )
    got = [round_robin.next() for _ in range(100)]
    assert got.count("small") == 10
    for start in range(0, 100, 10):
        assert got[start : start + 10].count("small") == 1


def test_a_route_without_services_is_a_fault_of_the_caller():
    with pytest.raises(AssertionError):
        WeightedRoundRobin(())
