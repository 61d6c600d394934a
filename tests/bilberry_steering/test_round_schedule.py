"""Test which plans are stored."""

import msgspec
import pytest

from bilberry_steering.messages import NodeQuota, Plan, ServicePlan, ShiftState
from bilberry_steering.round_schedule import should_store_plan

INTERVAL_MS = 5_000

STORED = Plan(
    epoch=2,
    version=7,
    config_version=30,
    made_at_ms=100_000,
    valid_ms=60_000,
    regions=["mtl", "qc"],
    resources=["suivi@mtl"],
    services={"suivi": ServicePlan(slots={"mtl": [0, 10]}, demand_per_s={"mtl": 50})},
    nodes={"vm-1": NodeQuota("mtl", [10.0])},
)


def planned_with(**changes):
    return msgspec.structs.replace(STORED, version=8, made_at_ms=105_000, **changes)


def services_with(**changes):
    changed = msgspec.structs.replace(STORED.services["suivi"], **changes)
    return {"suivi": changed}


def test_a_plan_without_changes_is_not_stored():
    assert not should_store_plan(planned_with(), STORED, INTERVAL_MS, 105_000)
    assert not should_store_plan(
        planned_with(services=services_with(demand_per_s={"mtl": 55})),
        STORED,
        INTERVAL_MS,
        105_000,
    )


def test_a_plan_is_renewed_before_it_expires():
    assert not should_store_plan(planned_with(), STORED, INTERVAL_MS, 144_999)
    assert should_store_plan(planned_with(), STORED, INTERVAL_MS, 145_000)


@pytest.mark.parametrize(
    "changes",
    [
        {"epoch": 3},
        {"config_version": 31},
        {"resources": ["suivi@qc"]},
        {"regions": ["qc"]},
        {"nodes": {"vm-1": NodeQuota("mtl", [11.0])}},
        {"nodes": {"vm-2": NodeQuota("mtl", [10.0])}},
        {"services": {}},
        {"services": services_with(slots={"mtl": [0, 9, 1, 1]})},
        {"services": services_with(shift=ShiftState(step=1))},
        {"services": services_with(demand_per_s={"mtl": 70})},
        {"services": services_with(demand_per_s={"mtl": 50, "qc": 5})},
    ],
)
def test_a_plan_with_changes_is_stored(changes):
    assert should_store_plan(planned_with(**changes), STORED, INTERVAL_MS, 105_000)


def test_the_first_plan_is_stored():
    assert should_store_plan(STORED, None, INTERVAL_MS, 100_000)
