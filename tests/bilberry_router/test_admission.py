"""Test when a new node is admitted to serve callers."""

import pytest

from bilberry_fleet.messages import Member, MemberState
from bilberry_resources.kinds.services import ServiceSpec
from bilberry_resources.kinds.topology import RegionSpec
from bilberry_resources.snapshot import ConfigSnapshot
from bilberry_router.admission import MAX_QUOTA_WAIT_MS, AdmissionTask
from bilberry_router.state import NodeState
from bilberry_steering.block_table import BlockTable
from bilberry_steering.messages import NodeQuota, Plan
from bilberry_steering.node import NodeSteering

from .common import make_settings


class FakeFleet:
    def __init__(self):
        self.ready = True
        self.others = [Member(name="vm-2", state=MemberState.LIVE)]

    def is_ready(self):
        return self.ready

    def members(self):
        return [Member(name="vm-1", state=MemberState.JOINING), *self.others]


@pytest.fixture
def fleet():
    return FakeFleet()


@pytest.fixture
def admission(clock, fleet):
    state = NodeState(make_settings(), clock)
    steering = NodeSteering("vm-1", "mtl", started_ms=clock.wall_ms())
    region = RegionSpec(failure_domains=["a"], capacity_per_s={"suivi": 100})
    snapshot = ConfigSnapshot(
        version=1, regions={"mtl": region}, services={"suivi": ServiceSpec()}
    )
    state.install(snapshot)
    steering.install_config(snapshot, BlockTable(), clock.wall_ms())
    return AdmissionTask(state, steering, fleet)


def give_plan(admission, clock):
    plan = Plan(
        epoch=1,
        version=1,
        config_version=1,
        made_at_ms=clock.wall_ms(),
        regions=["mtl"],
        resources=["suivi@mtl"],
        capacities=[100.0],
        nodes={"vm-1": NodeQuota("mtl", [40.0])},
    )
    admission.steering.install_plan(plan, clock.wall_ms())


def test_a_node_without_quotas_waits(admission, clock):
    assert not admission.can_be_admitted()
    clock.advance(MAX_QUOTA_WAIT_MS - 1)
    assert not admission.can_be_admitted()


def test_quotas_from_a_plan_end_the_wait(admission, clock):
    clock.advance(3_000)
    give_plan(admission, clock)
    assert admission.can_be_admitted()


def test_a_plan_made_before_the_node_started_does_not(admission, clock):
    give_plan(admission, clock)
    assert not admission.can_be_admitted()


def test_without_a_planner_the_wait_ends(admission, clock):
    admission.can_be_admitted()
    clock.advance(MAX_QUOTA_WAIT_MS)
    assert admission.can_be_admitted()


def test_the_first_node_of_all_does_not_wait(admission, fleet):
    fleet.others = []
    assert admission.can_be_admitted()


def test_a_node_that_is_not_ready_waits(admission, fleet):
    fleet.others = []
    fleet.ready = False
    assert not admission.can_be_admitted()
