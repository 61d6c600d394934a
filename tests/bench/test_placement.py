"""Callers are served in time in each region, also where it is short.

Plays the load of a small deployment: one region has a tenth of the upstreams
and as many callers as each other one, and its caches can't hold all objects.
"""

from dataclasses import replace

import pytest

from bench import placement_peers
from bench.placement import Size, make_model
from bench.placement_model import SlowSpell
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


def unserved_while_slow():
    """Return how many callers wait in vain while many upstreams are slow."""
    size = Size("slow", upstreams=40, slots=3, nodes_per_domain=6, load=0.4)
    spell = SlowSpell("s0", at_ms=8_000, end_ms=18_000, share=0.4, factor=8.0)
    model = replace(make_model(size), slow_spell=spell)
    simulation = run_seconds(model, seed=1, seconds=16)
    return sum(
        call.ended_ms is None
        for call in simulation.calls
        if call.service.name == spell.service and 10_000 <= call.started_ms < 14_000
    )


def test_fewer_callers_wait_in_vain_if_nodes_tell_which_upstreams_are_slow(
    monkeypatch,
):
    told = unserved_while_slow()
    monkeypatch.setattr(placement_peers, "make_slow_reports", lambda upstreams, now: [])
    assert told <= 0.75 * unserved_while_slow()


def test_a_seed_gives_the_same_day():
    size = Size("calm", upstreams=20, slots=3, nodes_per_domain=2, load=0.2)
    model = make_model(size)
    outcomes = [outcome_of(run_seconds(model, seed=3, seconds=14)) for _ in range(2)]
    assert outcomes[0] == outcomes[1]
