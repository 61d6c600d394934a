"""Test message orders in which nodes could overdraw a capacity."""

import pytest

from bench.steering_interleavings import EscrowModel
from bilberry_steering.const import BOOTSTRAP_SHARE, MAX_FLOOR_SHARE
from bilberry_steering.escrow import allocate
from tests.bilberry_steering.simulated_fleet import make_snapshot


def model_with_undelivered_smaller_quota():
    """Return a model in which n0 acknowledged a large quota.

    A newer plan with a small quota for it is stored but not delivered.
    """
    model = EscrowModel(make_snapshot(capacity=200.0), count=12, member_bound=12)
    model.advance(5_000)
    model.report_all(0)
    model.report(0, 500)
    model.collect(0)
    plan_and_deliver(model)
    assert quota(model, "n0") > 80
    model.advance(1_000)
    model.report_all(0)
    model.report(3, 500)
    model.collect(3)
    model.plan(0, None)
    return model


def plan_and_deliver(model):
    model.plan(0, None)
    model.deliver_newest()


def quota(model, name):
    vm = model.vms[name]
    return vm.node.quotas.amounts_at(model.now_ms + vm.skew_ms)["suivi@mtl"]


def index_of(model, name):
    return sorted(model.vms).index(name)


def test_growth_waits_until_the_shrunk_node_acknowledges():
    model = model_with_undelivered_smaller_quota()
    for name in sorted(model.vms):
        if name != "n0":
            model.deliver(index_of(model, name), 0)
    assert quota(model, "n3") < 60
    assert model.overdrawn() == []
    model.deliver_newest()
    model.advance(1_000)
    for number in range(12):
        model.report(number, 500 if sorted(model.vms)[number] == "n3" else 0)
        model.collect(number)
    plan_and_deliver(model)
    assert quota(model, "n3") > 80
    assert model.overdrawn() == []


def test_a_restarted_node_ignores_the_quota_of_an_old_plan():
    model = model_with_undelivered_smaller_quota()
    model.deliver_newest()
    model.report_all(0)
    plan_and_deliver(model)
    model.restart(index_of(model, "n0"))
    model.deliver(index_of(model, "n0"), 2)
    assert quota(model, "n0") == pytest.approx(200 * BOOTSTRAP_SHARE / 12)
    assert model.overdrawn() == []


def test_a_silent_nodes_quota_is_reassigned_only_after_it_expires():
    model = model_with_undelivered_smaller_quota()
    lagging = model.vms["n0"]
    lagging.skew_ms = -900
    valid_ms = model.plans[-2].valid_ms
    for step_ms in (valid_ms - 1_100, 300, 300, 600, 300, 1_500):
        model.advance(step_ms)
        model.plan(0, None)
        for name in sorted(model.vms):
            if name != "n0":
                model.deliver(index_of(model, name), 0)
        assert model.overdrawn() == []
    assert lagging.node.plan is model.plans[0]


def test_nothing_grows_while_reservations_exceed_the_budget():
    assert allocate(10.0, [8.0, 8.0], [9.0, 1.0]) == [8.0, 1.0]
    assert allocate(20.0, [8.0, 8.0], [20.0, 1.0]) == [12.0, 1.0]


def test_a_silent_nodes_large_quota_expires_despite_new_plans():
    model = model_with_undelivered_smaller_quota()
    large = quota(model, "n0")
    small = quota(model, "n3")
    for _ in range(8):
        model.advance(10_000)
        for number in range(12):
            if sorted(model.vms)[number] != "n0":
                model.report(number, 0)
                model.collect(number)
        model.report(index_of(model, "n3"), 500)
        model.collect(index_of(model, "n3"))
        model.plan(0, None)
        for number in range(1, 12):
            model.deliver(index_of(model, f"n{number}"), 0)
        assert model.overdrawn() == []
    assert quota(model, "n0") <= MAX_FLOOR_SHARE * large
    assert quota(model, "n3") >= small + 0.8 * (1 - MAX_FLOOR_SHARE) * large


def test_vms_replaced_in_another_region_do_not_overdraw_it():
    model = EscrowModel(make_snapshot(capacity=200.0), count=12, member_bound=12)
    model.advance(5_000)
    for _ in range(3):
        model.report_all(500)
        plan_and_deliver(model)
        model.advance(5_000)
    for name in ("n1", "n2", "n4"):
        model.remove(index_of(model, name))
    for _ in range(3):
        model.made += -model.made % len(model.snapshot.regions)
        model.add_vm()
        assert model.overdrawn() == []
    assert sum(vm.member.region == "mtl" for vm in model.vms.values()) == 7
