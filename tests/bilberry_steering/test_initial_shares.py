"""Test that a region with too little capacity starts by sharing load."""

import pytest

from bilberry_steering.initial_shares import initial_shares

CAPACITIES = {"lowlands": 30, "highlands": 60, "borders": 90}


def test_a_short_region_uses_the_spare_capacity_of_others():
    shares = initial_shares(CAPACITIES, "lowlands")
    assert shares == pytest.approx({"lowlands": 0.5, "borders": 0.5})


def test_a_region_with_enough_capacity_keeps_its_requests():
    assert initial_shares(CAPACITIES, "highlands") == {"highlands": 1.0}
    assert initial_shares(CAPACITIES, "borders") == {"borders": 1.0}


def test_equal_regions_keep_their_requests():
    assert initial_shares({"a": 3, "b": 3}, "a") == {"a": 1.0}


def test_no_shares_without_the_regions_capacity():
    assert initial_shares({}, "a") == {}
    assert initial_shares({"b": 3}, "a") == {}
