"""Test spill, floors and demand estimates when parts of the system fail."""

import itertools
import math

import pytest

from bilberry_core.ids import stable_hash
from bilberry_resources.kinds.services import Priority, ServiceSpec
from bilberry_steering.const import HEADROOM_TARGET_UTILIZATION
from bilberry_steering.demand import is_plausible
from bilberry_steering.inputs import RegionHealth
from bilberry_steering.messages import Demand, NodeReport
from bilberry_steering.routing_results import Route
from tests.bilberry_steering.simulated_fleet import SimulatedFleet, make_snapshot

LOST = RegionHealth(0.0)


def fleet_of(capacity=300.0, demand=60.0, **options):
    fleet = SimulatedFleet(make_snapshot(capacity, **options), nodes=6, demand=demand)
    fleet.run(3)
    return fleet


def test_callers_leave_a_lost_region_at_once_and_return_slowly():
    fleet = fleet_of()
    fleet.health = {"mtl": LOST}
    fleet.plan_round()
    fleet.tick()
    assert fleet.served("mtl") == 0
    assert fleet.shed() == 0
    fleet.health = {}
    seen = []
    for _ in range(20):
        fleet.run(1)
        seen.append(fleet.served("mtl"))
    steps = [b - a for a, b in itertools.pairwise(seen)]
    assert max(steps) <= 0.1 * fleet.demand + 1e-6
    assert seen[-1] == pytest.approx(fleet.demand)


def test_a_lost_failure_domain_halves_what_a_region_takes():
    fleet = fleet_of(capacity=100.0, demand=60.0)
    fleet.health = {"mtl": RegionHealth(0.5)}
    fleet.run(8)
    assert fleet.served("mtl") <= 50.0
    assert fleet.shed() == 0


def test_callers_that_fit_nowhere_are_shed_and_no_region_overflows():
    fleet = fleet_of(capacity=80.0, demand=60.0)
    fleet.health = {"mtl": LOST}
    fleet.run(4)
    assert fleet.served("qc") <= 80.0
    assert fleet.served("sag") <= 80.0
    assert fleet.shed() >= 180.0 - 160.0
    assert fleet.served("qc") + fleet.served("sag") >= 0.8 * 160.0


def test_without_a_planner_for_an_hour_nodes_serve_from_their_floor():
    fleet = fleet_of(capacity=100.0, demand=50.0)
    for _ in range(6):
        fleet.tick(1)
        fleet.now_ms += 600_000
    fleet.tick(2)
    assert fleet.served("mtl") >= 0.4 * 100.0
    assert fleet.shed() == 0


def test_a_full_region_spills_to_where_there_is_headroom():
    fleet = fleet_of(capacity=100.0, demand=30.0)
    key = fleet.group_key("mtl")
    for _ in range(8):
        for _ in range(5):
            fleet.tick()
            for name in ("n0", "n3"):
                fleet.nodes[name].route_interval("suivi", key, 30.0, fleet.now_ms)
        fleet.plan_round()
    spill = fleet.plan.services["suivi"].spill["mtl"]
    assert spill.fraction == pytest.approx(
        1 - HEADROOM_TARGET_UTILIZATION * 100 / 90, abs=0.05
    )
    assert set(spill.targets) == {"qc", "sag"}


def test_failover_stays_within_the_link_budget():
    fleet = fleet_of(link=200_000)
    fleet.health = {"mtl": LOST}
    fleet.run(3)
    fleet.tick()
    for target in ("qc", "sag"):
        served = fleet.served_between("mtl", target)
        assert 0 < served * 10_000 <= 200_000
    assert fleet.shed() > 0


@pytest.mark.parametrize("link", ["mtl>qc", "qc>mtl"])
def test_no_callers_cross_a_lost_link_either_way(link):
    fleet = fleet_of(capacity=100.0, demand=60.0)
    fleet.health = {"mtl": LOST}
    fleet.run(4)
    assert fleet.served_between("mtl", "qc") > 0
    fleet.lost_links = frozenset({link})
    fleet.plan_round()
    fleet.tick()
    assert fleet.served_between("mtl", "qc") == 0
    fleet.run(4)
    assert fleet.served_between("mtl", "sag") > 0
    assert fleet.served("sag") <= 100.0
    fleet.lost_links = frozenset()
    fleet.run(4)
    assert fleet.served_between("mtl", "qc") > 0


def test_a_full_link_sheds_the_lower_priority_first():
    snapshot = make_snapshot(10_000.0, link=1_000_000, services=("suivi", "annuaire"))
    snapshot.services["suivi"] = ServiceSpec(priority=Priority.LOW)
    snapshot.services["annuaire"] = ServiceSpec(
        priority=Priority.HIGH, reserved_share=0.5
    )
    fleet = SimulatedFleet(snapshot, nodes=6, demand=30.0)
    fleet.run(3)
    fleet.health = {"mtl": LOST}
    fleet.run(3)
    node, routed = fleet.nodes["n0"], {"suivi": 0, "annuaire": 0}
    for number in range(2_000):
        now_ms = fleet.now_ms + 5 * number
        service = ("suivi", "annuaire")[number % 2]
        point = stable_hash(str(number))
        if isinstance(node.route(service, "10.0.0.1", point, now_ms), Route):
            routed[service] += 1
    assert routed["annuaire"] > 2 * routed["suivi"]
    assert routed["annuaire"] > 400


def test_reports_with_impossible_figures_are_set_aside():
    demand = Demand("suivi", "mtl,qc,sag", -5.0)
    report = NodeReport(node="n0", region="mtl", sent_at_ms=5, window_ms=10)
    assert is_plausible(report, 10)
    report.demands = [demand]
    assert not is_plausible(report, 10)
    demand.requests = math.nan
    assert not is_plausible(report, 10)
    demand.requests = 1.0
    assert is_plausible(report, 10)
    assert not is_plausible(report, -60_000)


def test_a_lying_node_cannot_push_a_region_past_its_capacity():
    fleet = fleet_of(capacity=100.0)
    for _ in range(6):
        fleet.tick(5)
        fleet.nodes["n0"].tallies.demand("suivi", fleet.group_key("mtl")).requests = 1e9
        fleet.plan_round()
        for region in ("mtl", "qc", "sag"):
            assert fleet.served(region) <= 100.0


def test_when_reports_stop_the_last_demand_stays_in_force():
    fleet = fleet_of()
    before = fleet.plan.services["suivi"].demand_per_s
    fleet.silent_nodes = set(fleet.nodes)
    fleet.run(12)
    after = fleet.plan.services["suivi"].demand_per_s
    assert all(after[group] >= rate for group, rate in before.items())
    assert fleet.shed() == 0


@pytest.mark.parametrize(("silent", "followed"), [(1, True), (6, False)])
def test_one_silent_node_does_not_stop_spill_but_many_do(silent, followed):
    fleet = SimulatedFleet(make_snapshot(100.0), nodes=12, demand=30.0)
    fleet.run(3)
    fleet.silent_nodes = {f"n{number}" for number in range(silent)}
    fleet.run(3)
    fleet.demand = 80.0
    fleet.run(6)
    spill = fleet.plan.services["suivi"].spill
    demand = fleet.plan.services["suivi"].demand_per_s
    if followed:
        assert max(demand.values()) > 75.0
        fleet.demand = 30.0
        fleet.run(12)
        demand = fleet.plan.services["suivi"].demand_per_s
        assert max(demand.values()) < 45.0
    else:
        assert spill == {}


def test_lookups_leave_out_a_lost_region_and_return_to_it_slowly():
    fleet = fleet_of()
    node = fleet.nodes["n0"]
    assert node.lookup_regions("suivi", "10.1.2.3", fleet.now_ms)[0] == "qc"
    fleet.health = {"qc": LOST}
    fleet.plan_round()
    assert node.lookup_regions("suivi", "10.1.2.3", fleet.now_ms) == ["mtl", "sag"]
    fleet.health = {}
    fleet.run(3)
    firsts = [
        node.lookup_regions("suivi", f"10.1.2.{host}", fleet.now_ms)[0]
        for host in range(256)
    ]
    assert 0.15 < firsts.count("qc") / 256 < 0.45


def test_callers_that_enter_elsewhere_are_those_that_spill():
    fleet = fleet_of(capacity=10_000.0)
    fleet.health = {"qc": LOST}
    fleet.plan_round()
    fleet.health = {}
    fleet.run(4)
    node = fleet.nodes["n0"]
    for host in range(100):
        ip = f"10.1.2.{host}"
        first = node.lookup_regions("suivi", ip, fleet.now_ms)[0]
        point = stable_hash("suivi", ip)
        route = node.route("suivi", ip, point, fleet.now_ms + 1_000 * host)
        assert (first == "qc") == (route.region == "qc")


def test_single_requests_follow_the_spill_like_intervals_do():
    fleet = fleet_of(capacity=10_000.0)
    fleet.health = {"qc": LOST}
    fleet.plan_round()
    node = fleet.nodes["n0"]
    routes = [
        node.route("suivi", "10.1.2.3", stable_hash(str(i)), fleet.now_ms + 20 * i)
        for i in range(400)
    ]
    regions = [route.region for route in routes if isinstance(route, Route)]
    assert len(regions) == 400
    assert min(regions.count("mtl"), regions.count("sag")) > 100
