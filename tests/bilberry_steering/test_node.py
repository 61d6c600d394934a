"""Test routing, quotas and reports of one node."""

import pytest

from bilberry_core.ids import stable_hash
from bilberry_core.outcome import Failure, Success
from bilberry_resources.codec import decode, encode
from bilberry_steering.block_table import BlockTable
from bilberry_steering.inputs import Member, PlannerInputs
from bilberry_steering.messages import NodeReport, Plan
from bilberry_steering.node import NodeSteering
from bilberry_steering.planner import Planner
from bilberry_steering.routing_results import (
    PlanRefusal,
    RequestResult,
    Route,
    Shed,
    ShedReason,
)
from tests.bilberry_steering.simulated_fleet import make_snapshot

START_MS = 1_000_000
NOW_MS = START_MS + 10_000


def node_of(snapshot, member_bound=1):
    node = NodeSteering("n0", "mtl", started_ms=START_MS, member_bound=member_bound)
    table = BlockTable.build(snapshot.client_block_sets)
    node.install_config(snapshot, table, START_MS)
    return node


def plan_for(snapshot, epoch=1, now_ms=NOW_MS, previous=None):
    inputs = PlannerInputs(
        snapshot,
        {},
        [Member("n0", "mtl")],
        previous_plan=previous,
        epoch=epoch,
        member_bound=1,
    )
    return Planner().plan(inputs, now_ms).plan


def route_request(node, number, now_ms, client="10.0.0.1"):
    return node.route("suivi", client, stable_hash(str(number)), now_ms)


def test_without_a_plan_a_node_serves_near_within_its_bootstrap():
    node = node_of(make_snapshot(capacity=100.0))
    routes = [route_request(node, i, START_MS + 10 * i) for i in range(100)]
    local = [r for r in routes if isinstance(r, Route) and r.region == "mtl"]
    assert routes[0] == Route("mtl", ["qc", "sag"], "mtl,qc,sag")
    assert 0 < len(local) <= 10


def test_requests_over_all_quotas_are_shed_and_never_pass_them():
    snapshot = make_snapshot(capacity=20.0)
    node = node_of(snapshot)
    assert isinstance(node.install_plan(plan_for(snapshot), NOW_MS), Success)
    routes = [route_request(node, i, NOW_MS + i) for i in range(1_000)]
    sent = [r.region for r in routes if isinstance(r, Route)]
    shed = [r for r in routes if isinstance(r, Shed)]
    assert all(0 < sent.count(region) <= 20 for region in ("mtl", "qc", "sag"))
    assert {s.reason for s in shed} == {ShedReason.NO_CAPACITY}


def test_an_unknown_service_is_shed():
    node = node_of(make_snapshot())
    answer = node.route("nothing", "10.0.0.1", 1, NOW_MS)
    assert answer.reason == ShedReason.UNKNOWN_SERVICE


@pytest.mark.parametrize(
    ("epoch", "reason"),
    [(1, PlanRefusal.OLDER_EPOCH), (2, PlanRefusal.OLDER_VERSION)],
)
def test_an_older_plan_is_refused(epoch, reason):
    snapshot = make_snapshot()
    node = node_of(snapshot)
    plan = plan_for(snapshot, epoch=2)
    assert isinstance(node.install_plan(plan, NOW_MS), Success)
    again = plan_for(snapshot, epoch=epoch)
    assert node.install_plan(again, NOW_MS) == Failure(reason)


def test_a_plan_from_before_the_start_gives_no_quota():
    snapshot = make_snapshot(capacity=100.0)
    node = node_of(snapshot)
    node.install_plan(plan_for(snapshot, now_ms=START_MS - 1), NOW_MS)
    assert node.quotas.amounts_at(NOW_MS)["suivi@mtl"] == 10


def test_quotas_fall_to_the_floor_and_then_to_the_bootstrap():
    snapshot = make_snapshot(capacity=100.0)
    node = node_of(snapshot)
    plan = plan_for(snapshot)
    node.install_plan(plan, NOW_MS)
    amounts = [
        node.quotas.amounts_at(at)["suivi@mtl"]
        for at in (NOW_MS, plan.expires_ms, plan.made_at_ms + plan.floor_valid_ms)
    ]
    assert amounts == [98.0, pytest.approx(98.0 * 0.9), 10.0]
    assert plan.floor_valid_ms >= 3_600_000


def test_a_lower_capacity_shrinks_quotas_before_the_next_plan():
    node = node_of(make_snapshot(capacity=100.0))
    node.install_plan(plan_for(make_snapshot(capacity=100.0)), NOW_MS)
    smaller = make_snapshot(capacity=50.0)
    node.install_config(smaller, node.table, NOW_MS)
    assert node.quotas.amounts_at(NOW_MS)["suivi@mtl"] == 49.0


def test_plan_and_report_pass_through_json():
    snapshot = make_snapshot()
    node = node_of(snapshot)
    plan = plan_for(snapshot)
    route_request(node, 1, NOW_MS)
    node.record_result(
        RequestResult("suivi", "mtl,qc,sag", "qc", True, 60.0, 10, 20), NOW_MS
    )
    report = node.collect_report(NOW_MS)
    assert decode(encode(plan), Plan) == Success(plan)
    assert decode(encode(report), NodeReport) == Success(report)
    assert report.demands[0].requests == 1
    assert report.link_bytes == {"mtl>qc": 10, "qc>mtl": 20}


def test_errors_send_callers_to_other_regions_and_back():
    snapshot = make_snapshot(capacity=10_000.0)
    node = node_of(snapshot)
    node.install_plan(plan_for(snapshot), NOW_MS)
    bad = RequestResult("suivi", "mtl,qc,sag", "mtl", False, 5.0)
    for _ in range(50):
        node.record_result(bad, NOW_MS)
    away = [route_request(node, i, NOW_MS + i).region for i in range(500)]
    assert "mtl" not in away
    assert {"qc", "sag"} == set(away)
    back = [route_request(node, i, NOW_MS + 30_000 + i).region for i in range(500)]
    assert set(back) == {"mtl"}


def test_a_photo_larger_than_expected_leaves_a_debt_on_the_link():
    snapshot = make_snapshot(capacity=10_000.0, link=1_000_000)
    node = node_of(snapshot)
    node.install_plan(plan_for(snapshot), NOW_MS)
    assert node.take_quotas("suivi", "qc", NOW_MS)
    photo = RequestResult("suivi", "mtl,qc,sag", "qc", True, 60.0, 100, 3_000_000)
    node.record_result(photo, NOW_MS)
    assert not node.take_quotas("suivi", "qc", NOW_MS + 2_000)
    assert node.take_quotas("suivi", "qc", NOW_MS + 6_000)


def test_a_region_that_no_plan_names_gives_its_bootstrap():
    node = node_of(make_snapshot(capacity=100.0))
    node.install_plan(plan_for(make_snapshot(capacity=100.0)), NOW_MS)
    larger = make_snapshot(capacity=100.0, services=("suivi", "annuaire"))
    node.install_config(larger, node.table, NOW_MS)
    amounts = node.quotas.amounts_at(NOW_MS)
    assert amounts["annuaire@mtl"] == 10.0
    assert amounts["suivi@mtl"] == 98.0


def test_a_shed_request_that_finds_room_later_counts_as_served():
    snapshot = make_snapshot(capacity=20.0)
    node = node_of(snapshot)
    node.install_plan(plan_for(snapshot), NOW_MS)
    shed = next(
        i for i in range(1_000) if isinstance(route_request(node, i, NOW_MS), Shed)
    )
    number = stable_hash(str(shed))
    assert node.route_again("suivi", "10.0.0.1", number, NOW_MS) is None
    later_ms = NOW_MS + 1_000
    again = node.route_again("suivi", "10.0.0.1", number, later_ms)
    assert isinstance(again, Route)
    (demand,) = node.collect_report(later_ms).demands
    assert demand.shed == 0
    assert demand.requests == shed + 1
