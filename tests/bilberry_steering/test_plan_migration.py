"""Test that callers keep their region when others are added or removed."""

import pytest

from bilberry_resources.kinds.topology import LinkSpec, RegionSpec
from bilberry_steering.messages import Spill
from bilberry_steering.plan_migration import migrate_spill
from tests.bilberry_steering.simulated_fleet import (
    REGIONS,
    SimulatedFleet,
    make_snapshot,
    weights_intent,
)

SPLIT = {"mtl": 1, "qc": 3, "sag": 1}


def split_fleet():
    intent = weights_intent(SPLIT, max_share=0.5, step_ms=1_000, soak_ms=0)
    fleet = SimulatedFleet(make_snapshot(split=intent), nodes=3)
    fleet.run(40)
    assert fleet.last_round.shift_statuses["split"].progress == 1.0
    return fleet


def with_region(name, weight=0):
    weights = {**SPLIT, name: weight}
    snapshot = make_snapshot(split=weights_intent(weights, max_share=0.5))
    snapshot.version = 2
    snapshot.regions[name] = RegionSpec(
        failure_domains=["a"], capacity_per_s={"suivi": 300.0}
    )
    for other in REGIONS:
        for source, target in ((name, other), (other, name)):
            snapshot.links[f"{source}-{target}"] = LinkSpec(
                source=source, target=target, budget_bytes_per_s=10**7, one_way_ms=60
            )
    return snapshot


@pytest.mark.parametrize("name", ["abitibi", "nord", "zec"])
def test_callers_stay_when_a_region_is_added(name):
    fleet = split_fleet()
    fleet.tick()
    before = fleet.served_by_region()
    fleet.install_config(with_region(name))
    fleet.tick()
    assert fleet.served_by_region() == before
    fleet.plan_round()
    fleet.tick()
    for home, parts in before.items():
        assert fleet.served_by_region()[home] == pytest.approx(parts)
    default = fleet.nodes["n0"].default_group.key
    assert name in default
    slots = fleet.plan.services["suivi"].slots
    assert slots[default] != [fleet.plan.regions.index("mtl"), 10_000]


def test_callers_of_a_removed_region_go_to_the_nearest():
    fleet = split_fleet()
    fleet.install_config(with_region("abitibi", weight=5))
    fleet.run(60)
    fleet.tick()
    before = fleet.served_by_region()
    assert before["mtl"]["abitibi"] == pytest.approx(fleet.demand / 2)
    fleet.install_config(make_snapshot(split=weights_intent(SPLIT, max_share=0.01)))
    fleet.plan_round()
    fleet.tick()
    assert fleet.shed() == 0
    for home, parts in before.items():
        expected = {region: parts[region] for region in REGIONS}
        expected[home] += parts["abitibi"]
        now = fleet.served_by_region()[home]
        for region, count in expected.items():
            assert now[region] == pytest.approx(count, abs=0.011 * fleet.demand)


def test_spill_to_and_from_removed_regions_ends():
    rules = {
        "mtl": Spill(0.5, {"qc": 0.5, "gone": 0.5}),
        "gone": Spill(1.0, {"qc": 1.0}),
        "sag": Spill(0.2, {"gone": 1.0}),
    }
    assert migrate_spill(rules, ["mtl", "qc", "sag"]) == {
        "mtl": Spill(0.5, {"qc": 0.5})
    }
