"""Upstreams that start again get no more than they bear while cold."""

from bisect import bisect_left
from dataclasses import replace

import pytest

from bench.placement import Size, make_model
from bench.placement_model import RestartSpell
from bench.placement_sim import run_seconds

SECONDS = 14
WINDOW_MS = 1_000
COLD_PER_S = 6.1
OVERAGE, SLACK = 1.5, 8
FLEET = Size("many-nodes", 82, 9, 12, 0.2)


def play(down_ms, seed):
    """Return a simulation in which a third of a service starts again."""
    spell = RestartSpell("s0", at_ms=7_000, end_ms=7_000 + down_ms, share=0.3)
    model = replace(make_model(FLEET), restart_spell=spell, cold_per_s=COLD_PER_S)
    return run_seconds(model, seed, SECONDS)


def most_while_cold(upstream):
    """Return the most arrivals in any second of an upstream's cold time."""
    from_ms = upstream.restart_spell.end_ms
    until_ms = from_ms + upstream.restart_spell.cold_ms
    times = [t for t in upstream.arrivals_ms if from_ms <= t < until_ms]
    return max(
        (bisect_left(times, t + WINDOW_MS) - i for i, t in enumerate(times)), default=0
    )


@pytest.mark.parametrize(
    ("down_ms", "seed"), [(300, 4), (1_200, 1), (1_200, 2), (2_000, 5), (4_000, 3)]
)
def test_upstreams_that_start_again_are_not_flooded_by_many_nodes(down_ms, seed):
    simulation = play(down_ms, seed)
    restarted = [u for u in simulation.upstreams.values() if u.restart_spell]
    assert max(most_while_cold(u) for u in restarted) <= COLD_PER_S * OVERAGE + SLACK
