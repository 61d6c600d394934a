"""Test how a node makes and installs plans and receives reports."""

import msgspec
import pytest

from bilberry_core.outcome import Success
from bilberry_fleet.messages import Member, MemberState, PlanRecord, Report, ReportBatch
from bilberry_resources.kinds.services import ServiceSpec
from bilberry_resources.kinds.topology import RegionSpec
from bilberry_resources.snapshot import ConfigSnapshot
from bilberry_router.planning import PlanningTask, PlanTrimmer
from bilberry_router.state import NodeState
from bilberry_steering.block_table import BlockTable
from bilberry_steering.messages import NodeQuota, NodeReport, Plan, PlanRef
from bilberry_steering.node import NodeSteering

from .common import make_settings


class FakeFleet:
    def __init__(self):
        self.published = []
        self.holds = True
        self.fails = None
        self.gone = []

    def is_planner(self):
        return self.holds

    def members(self):
        return [Member(name="vm-1", region="mtl", state=MemberState.LIVE)]

    def departed(self, names):
        return frozenset(self.gone) & frozenset(names)

    def publish_plan(self, body, epoch):
        if self.fails is not None:
            return self.fails
        self.published.append(msgspec.json.decode(body, type=Plan))
        version = len(self.published)
        return Success(PlanRecord(epoch=epoch, version=version, body=msgspec.Raw(body)))


class FakeAudit:
    def new_entry(self, **fields):
        return fields

    def append(self, entry):
        return Success(None)


@pytest.fixture
def fleet():
    return FakeFleet()


@pytest.fixture
def planning(clock, fleet):
    settings = make_settings(steering={"plan_interval_ms": 100})
    state = NodeState(settings, clock)
    steering = NodeSteering("vm-1", "mtl")
    region = RegionSpec(failure_domains=["a"], capacity_per_s={"suivi": 100})
    snapshot = ConfigSnapshot(
        version=1, regions={"mtl": region}, services={"suivi": ServiceSpec()}
    )
    state.install(snapshot)
    state.is_configured = True
    steering.install_config(snapshot, BlockTable(), clock.wall_ms())
    task = PlanningTask(state, steering, fleet, FakeAudit(), dict)
    task.start_planning(1)
    return task


def record(plan, version=1):
    body = msgspec.Raw(msgspec.json.encode(plan))
    return PlanRecord(epoch=plan.epoch, version=version, body=body)


def test_the_holder_plans_and_installs_its_own_plan(planning, fleet):
    planning.run_round()
    assert len(fleet.published) == 1
    assert planning.steering.plan.ref == PlanRef(1, 1)


def test_a_plan_that_changes_nothing_is_not_published(planning, fleet, clock):
    planning.run_round()
    clock.advance(100)
    planning.run_round()
    assert len(fleet.published) == 1
    clock.advance(planning.plan.valid_ms)
    planning.run_round()
    assert len(fleet.published) == 2


def test_without_the_lease_nothing_is_planned(planning, fleet):
    fleet.holds = False
    planning.run_round()
    fleet.holds = True
    planning.stop_planning()
    planning.run_round()
    assert fleet.published == []


def plan_of_two(clock):
    return Plan(
        epoch=1,
        version=4,
        config_version=1,
        made_at_ms=clock.wall_ms(),
        regions=["mtl"],
        resources=["suivi@mtl"],
        capacities=[100.0],
        nodes={"vm-1": NodeQuota("mtl", [10.0]), "vm-2": NodeQuota("mtl", [85.0])},
    )


def test_no_plan_is_made_from_a_partial_plan(planning, fleet, clock):
    whole = plan_of_two(clock)
    planning.receive_plan(record(whole.for_node("vm-1")))
    planning.run_round()
    assert fleet.published == []
    planning.receive_plan(record(whole))
    planning.run_round()
    (made,) = fleet.published
    held = made.nodes["vm-2"].held[0].amounts[0]
    assert held + made.nodes["vm-1"].amounts[0] <= 100.0


def test_the_quota_of_a_vm_that_is_gone_is_given_to_others(planning, fleet, clock):
    planning.receive_plan(record(plan_of_two(clock)))
    fleet.gone = ["vm-2"]
    planning.run_round()
    (made,) = fleet.published
    assert list(made.nodes) == ["vm-1"]
    assert made.nodes["vm-1"].amounts[0] > 80.0


def test_a_trimmed_plan_has_only_the_nodes_quotas(clock):
    plan = Plan(
        epoch=1,
        version=1,
        config_version=1,
        made_at_ms=0,
        nodes={"vm-1": NodeQuota("mtl", [1.0]), "vm-2": NodeQuota("mtl", [2.0])},
    )
    body = msgspec.Raw(msgspec.json.encode(plan))
    trimmed = msgspec.json.decode(PlanTrimmer().trim(body, "vm-2"), type=Plan)
    assert list(trimmed.nodes) == ["vm-2"]
    assert trimmed.partial


def test_only_a_nodes_newest_report_is_kept(planning):
    def batch(sent_at_ms):
        report = NodeReport(
            node="vm-2", region="mtl", sent_at_ms=sent_at_ms, window_ms=1
        )
        body = msgspec.Raw(msgspec.json.encode(report))
        carried = [Report(sender="vm-2", body=body)]
        return ReportBatch(relay="vm-1", failure_domain="a", reports=carried)

    planning.store_reports(batch(20))
    planning.store_reports(batch(10))
    assert planning.reports["vm-2"].sent_at_ms == 20


def test_a_bad_report_or_plan_is_left_out(planning, caplog):
    bad = msgspec.Raw(b'{"node": 7}')
    reports = [Report(sender="vm-2", body=bad)]
    planning.store_reports(
        ReportBatch(relay="vm-1", failure_domain="a", reports=reports)
    )
    planning.receive_plan(PlanRecord(epoch=1, version=1, body=bad))
    assert planning.reports == {}
    assert planning.plan is None
    assert "Ignored invalid report from vm-2" in caplog.text
    assert "Rejected invalid plan" in caplog.text
