"""Upstreams that name a rate limit get no more than they take."""

from bisect import bisect_left
from dataclasses import replace

import pytest

from bench.placement import Size, make_model
from bench.placement_model import RateLimitSpell
from bench.placement_sim import run_seconds

SECONDS = 20
WINDOW_MS = 4_000
# A limit must be kept this long after it was first named.
NOTICE_MS = 5_000
SPELL = RateLimitSpell("s0", at_ms=4_000, end_ms=SECONDS * 1_000, share=0.7, per_s=2.0)
FLEETS = {
    "few-nodes": Size("few-nodes", 12, 9, 2, 0.3),
    "many-nodes": Size("many-nodes", 40, 9, 15, 0.3),
    "few-slots": Size("few-slots", 40, 3, 15, 0.3),
}


def play(size, spell=SPELL, seed=1):
    """Return a simulation in which upstreams name half of what they get."""
    model = make_model(size)
    per_upstream_s = 0.6 * model.per_s / size.upstreams
    spell = replace(spell, per_s=per_upstream_s * 0.5)
    return run_seconds(replace(model, rate_limit_spell=spell), seed, SECONDS)


def limited_upstreams(simulation):
    return [u for u in simulation.upstreams.values() if u.rate_limit_spell]


def most_in_window(arrivals_ms, from_ms):
    """Return the most arrivals in any window from `from_ms` on."""
    counts = [
        bisect_left(arrivals_ms, at_ms + WINDOW_MS) - index
        for index, at_ms in enumerate(arrivals_ms)
        if at_ms >= from_ms
    ]
    return max(counts, default=0)


@pytest.mark.parametrize("name", FLEETS)
def test_upstreams_get_no_more_requests_than_the_limit_that_they_name(name):
    simulation = play(FLEETS[name])
    for upstream in limited_upstreams(simulation):
        spell = upstream.rate_limit_spell
        most = most_in_window(upstream.arrivals_ms, spell.at_ms + NOTICE_MS)
        assert most <= 1.5 * spell.per_s * WINDOW_MS / 1_000 + 5
