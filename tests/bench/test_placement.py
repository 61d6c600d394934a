"""Callers are served in time in each region, also where it is short.

Plays the load of a small deployment: one region has a tenth of the upstreams
and as many callers as each other one, and its caches can't hold all objects.
"""

import pytest

from bench.placement import Size, make_model
from bench.placement_outcome import outcome_of
from bench.placement_sim import run_seconds

SECONDS = 20


@pytest.mark.parametrize("slots", [3, 9])
def test_at_half_load_callers_of_each_region_are_served_in_time(slots):
    size = Size("busy", upstreams=20, slots=slots, nodes_per_domain=3, load=0.5)
    outcome = outcome_of(run_seconds(make_model(size), seed=5, seconds=SECONDS))
    assert outcome.served >= 0.97
    assert outcome.settled >= 0.9
    assert outcome.worst_domain >= 0.85


def test_a_seed_gives_the_same_day():
    size = Size("calm", upstreams=20, slots=3, nodes_per_domain=2, load=0.2)
    model = make_model(size)
    outcomes = [outcome_of(run_seconds(model, seed=3, seconds=14)) for _ in range(2)]
    assert outcomes[0] == outcomes[1]
