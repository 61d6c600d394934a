"""Changes of a pool move few keys at a node, from its entries to its ranks."""

import random

import pytest

from bench.moves import KEYS, check_moves, make_keys, make_pools
from bench.moves_cases import CASES
from bench.moves_model import MovesNode, Scenario
from bench.report import Report

POOLS = {pool.name: pool for pool in make_pools()}


@pytest.mark.parametrize("pool", ["12 of 3", "36 unequal", "36 even"])
@pytest.mark.parametrize("case", ["doubles while two drain", "rolling release"])
def test_overlapping_changes_keep_the_promises_of_the_measurement(pool, case):
    """Guard against keys without a place, and moves that nothing asks for."""
    node = MovesNode(POOLS[pool].specs().values())
    scenario = Scenario(node, make_keys(KEYS // 3, seed=2))
    CASES[case](scenario, POOLS[pool], random.Random(2))
    report = Report()
    check_moves(report, case, scenario.moves)
    assert report.broken == []
