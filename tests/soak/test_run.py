"""Nodes as processes keep their promises through a short seeded run."""

import gevent
import pytest

from soak.run import QUICK_SIZE, SoakRun

# Seed 8 once found callers refused whose region had lost its last upstream.
SEEDS = (1, 8)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_seeded_run_breaks_no_promise(seed, tmp_path):
    run = SoakRun(seed, QUICK_SIZE, tmp_path)
    broken = gevent.spawn(run.play).get()
    assert broken == [], run.summary(broken)
