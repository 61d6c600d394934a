"""Test that requests with and without homes move within bounds."""

import random

import pytest

from bilberry_steering.const import REGION_SHARE_IDLE_MS
from bilberry_steering.region_share_limiters import ANY_REGION, RegionShareLimiters

from .test_region_share_limiter import MAX_SHARE, largest_move

MTL, QC, SAG = "mtl", "qc", "sag"
SLOTS = {MTL: 100.0, QC: 100.0, SAG: 100.0}
MTL_OR_QC, QC_OR_SAG = frozenset([MTL, QC]), frozenset([QC, SAG])


def limiter_of(limiters, homes, now_ms):
    if limiters.needs_shares(homes, now_ms):
        limiters.init_shares(homes, SLOTS, now_ms)
    return limiters.get_or_add(homes)


def place(limiters, homes, wanted, now_ms):
    """Return the region that a request gets, None if it gets none."""
    limiter = limiter_of(limiters, homes, now_ms)
    region = limiter.pick_region(wanted, now_ms)
    if region is not None:
        limiter.record_sent(region, now_ms)
    return region


def play_groups(wanted_by_homes, node_count, per_s, for_ms=40_000):
    """Return what groups of equal size get, as times and near or far.

    After 6 s all groups want their regions in reverse order.
    """
    rng = random.Random(11)
    nodes = [RegionShareLimiters(MTL, MAX_SHARE) for _ in range(node_count)]
    sent = []
    for now_ms in range(0, for_ms, 1_000 // per_s):
        homes = rng.choice(list(wanted_by_homes))
        wanted = list(wanted_by_homes[homes])
        if now_ms > 6_000:
            wanted.reverse()
        region = place(rng.choice(nodes), homes, wanted, now_ms)
        assert region is not None
        near = wanted_by_homes[homes][0]
        sent.append((now_ms, "home" if region == near else "far"))
    return sent


@pytest.mark.parametrize("nodes", [4, 18])
@pytest.mark.parametrize("group_count", [2, 3])
def test_all_groups_together_move_within_the_bound(group_count, nodes):
    groups = {
        ANY_REGION: [MTL, QC, SAG],
        QC_OR_SAG: [QC, SAG],
        MTL_OR_QC: [MTL, QC],
    }
    played = dict(list(groups.items())[:group_count])
    sent = play_groups(played, nodes, per_s=200)
    assert largest_move(sent) <= MAX_SHARE
    last = [region for _, region in sent[-400:]]
    assert last.count("far") > 0.9 * len(last)


def test_requests_bound_to_two_distant_regions_begin_in_both():
    limiters = RegionShareLimiters(MTL, MAX_SHARE)
    limiters.init_shares(QC_OR_SAG, {MTL: 100.0, QC: 30.0, SAG: 90.0}, 0)
    assert limiters.get_or_add(QC_OR_SAG).shares == {QC: 0.25, SAG: 0.75}


def test_new_homes_that_forbid_nothing_go_on_with_the_shares_of_before():
    limiters = RegionShareLimiters(MTL, MAX_SHARE)
    limiters.unbound.set_initial_shares({MTL: 0.45, QC: 0.55}, 0)
    limiters.init_shares(MTL_OR_QC, SLOTS, 0)
    shares = limiters.get_or_add(MTL_OR_QC).shares
    assert shares == pytest.approx({MTL: 0.45, QC: 0.55})


def test_shares_of_long_ago_are_set_anew():
    limiters = RegionShareLimiters(MTL, MAX_SHARE)
    limiters.unbound.set_initial_shares({MTL: 1.0}, 0)
    limiter = limiters.get_or_add(MTL_OR_QC)
    limiter.set_initial_shares({QC: 1.0}, 0)
    assert not limiters.needs_shares(MTL_OR_QC, REGION_SHARE_IDLE_MS)
    later_ms = REGION_SHARE_IDLE_MS + 1
    assert place(limiters, MTL_OR_QC, [MTL], later_ms) == MTL


def test_a_region_that_closes_moves_only_those_who_may_go_elsewhere():
    limiters = RegionShareLimiters(MTL, MAX_SHARE)
    for homes in (ANY_REGION, QC_OR_SAG, MTL_OR_QC):
        limiters.get_or_add(homes).set_initial_shares({QC: 1.0}, 0)
    limiters.set_open_regions({MTL, SAG})
    assert limiters.get_or_add(QC_OR_SAG).shares == {SAG: 1.0}
    assert limiters.get_or_add(MTL_OR_QC).shares == {MTL: 1.0}
    assert limiters.unbound.shares == {MTL: 0.5, SAG: 0.5}


def test_a_group_that_comes_after_the_loss_of_an_upstream_is_not_limited_either():
    limiters = RegionShareLimiters(MTL, MAX_SHARE)
    limiters.relax_limit(1_000)
    for now_ms in range(1_000, 2_000, 10):
        assert place(limiters, QC_OR_SAG, [SAG, QC], now_ms) == SAG
