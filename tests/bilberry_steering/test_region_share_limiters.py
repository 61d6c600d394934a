"""Test that home regions bind at once, and that others move within bounds."""

import random

import pytest

from bilberry_steering.region_share_limiters import ANY_REGION, RegionShareLimiters

from .test_region_share_limiter import MAX_SHARE, largest_move

MTL, QC, SAG = "mtl", "qc", "sag"
SLOTS = {MTL: 100.0, QC: 100.0, SAG: 100.0}
MTL_ONLY, QC_ONLY = frozenset([MTL]), frozenset([QC])
QC_OR_SAG = frozenset([QC, SAG])


class Nodes:
    """Place requests at several nodes of mtl, each with its own limiters."""

    def __init__(self, count=4):
        self.rng = random.Random(11)
        self.nodes = [RegionShareLimiters(MTL, MAX_SHARE) for _ in range(count)]

    def place(self, homes, wanted, now_ms):
        """Return the region that a request gets, None if it gets none."""
        limiters = self.rng.choice(self.nodes)
        limiter = limiters.for_homes(homes)
        if not limiter.shares:
            limiters.init_shares(homes, SLOTS, now_ms)
        region = limiter.pick_region(wanted, now_ms)
        if region is not None:
            limiter.record_sent(region, now_ms)
        return region


@pytest.mark.parametrize("per_s", [2, 30])
def test_requests_bound_to_another_region_are_never_held_back(per_s):
    nodes = Nodes()
    for now_ms in range(0, 7_000, 1_000 // per_s):
        assert nodes.place(ANY_REGION, [MTL, QC], now_ms) is not None
        assert nodes.place(QC_ONLY, [QC], now_ms) == QC


def test_homes_that_move_leave_the_share_of_other_requests_alone():
    nodes = Nodes()
    sent = []
    for now_ms in range(0, 20_000, 10):
        homes = QC_ONLY if now_ms < 10_000 else MTL_ONLY
        assert nodes.place(homes, sorted(homes), now_ms) is not None
        sent.append(nodes.place(ANY_REGION, [MTL, QC], now_ms))
    assert set(sent) == {MTL}


def play_groups(wanted_by_homes, for_ms=40_000):
    """Return what groups of equal size get, as times and near or far.

    After 6 s all groups want their regions in reverse order.
    """
    nodes = Nodes()
    sent = []
    for now_ms in range(0, for_ms, 5):
        homes = nodes.rng.choice(list(wanted_by_homes))
        wanted = list(wanted_by_homes[homes])
        if now_ms > 6_000:
            wanted.reverse()
        region = nodes.place(homes, wanted, now_ms)
        assert region is not None
        near = wanted_by_homes[homes][0]
        sent.append((now_ms, "home" if region == near else "far"))
    return sent


def test_all_groups_together_move_within_the_bound():
    sent = play_groups({ANY_REGION: [MTL, QC, SAG], QC_OR_SAG: [QC, SAG]})
    assert largest_move(sent) <= MAX_SHARE
    assert sent[-1][1] == "far"


def test_requests_bound_to_two_regions_begin_in_both():
    limiters = RegionShareLimiters(MTL, MAX_SHARE)
    limiters.init_shares(QC_OR_SAG, {MTL: 100.0, QC: 30.0, SAG: 90.0}, 0)
    assert limiters.for_homes(QC_OR_SAG).shares == {QC: 0.25, SAG: 0.75}


def test_a_region_that_closes_moves_only_those_who_may_go_elsewhere():
    limiters = RegionShareLimiters(MTL, MAX_SHARE)
    for homes in (ANY_REGION, QC_ONLY, QC_OR_SAG):
        limiters.init_shares(homes, SLOTS, 0)
    limiters.set_open_regions({MTL, SAG})
    assert limiters.for_homes(QC_ONLY).shares == {QC: 1.0}
    assert limiters.for_homes(QC_OR_SAG).shares == {SAG: 1.0}
    assert limiters.for_homes(ANY_REGION).shares == {MTL: 1.0}


def test_a_group_that_comes_after_the_loss_of_an_upstream_is_not_limited_either():
    limiters = RegionShareLimiters(MTL, MAX_SHARE)
    limiters.relax_limit(1_000)
    limiters.init_shares(QC_OR_SAG, SLOTS, 1_000)
    limiter = limiters.for_homes(QC_OR_SAG)
    for now_ms in range(1_000, 2_000, 10):
        assert limiter.pick_region([SAG, QC], now_ms) == SAG
        limiter.record_sent(SAG, now_ms)
