"""Test that shifts stay under their cap and complete."""

import msgspec
import pytest

from bilberry_core.ids import stable_hash
from bilberry_resources.kinds.intents import (
    IntentSpec,
    ShiftStepLimit,
    ShiftThresholds,
    TrafficMove,
)
from bilberry_steering.inputs import RegionHealth
from bilberry_steering.messages import Plan, ShiftPhase
from bilberry_steering.shift import REASON_NO_HEADROOM, REASON_STALE, REASON_WAITING
from bilberry_steering.shift_targets import REASON_SUPERSEDED
from bilberry_steering.slots import count_moved_slots, slots_per_owner
from tests.bilberry_steering.simulated_fleet import (
    SimulatedFleet,
    make_snapshot,
    weights_intent,
)

DRAIN = {"mtl": 0, "qc": 1, "sag": 1}
FILL = {"mtl": 1, "qc": 0, "sag": 0}
STEP_MS = 10_000
ROUNDING_PER_S = 0.1


def drain_fleet(nodes=6, max_share=0.2, demand=60.0, capacity=300.0, **fields):
    intent = weights_intent(DRAIN, max_share=max_share, **fields)
    fleet = SimulatedFleet(
        make_snapshot(capacity, drain=intent), nodes=nodes, demand=demand
    )
    fleet.run(3)
    return fleet


def set_intents(fleet, **intents):
    snapshot = msgspec.structs.replace(fleet.snapshot, intents=intents)
    snapshot.version += 1
    fleet.install_config(snapshot)


def run_checked(fleet, rounds, limit, seconds=5, regions=None):
    """Run rounds and check each second that at most `limit` requests moved."""
    for _ in range(rounds):
        for _ in range(seconds):
            fleet.tick()
            moved = fleet.max_moved_within(STEP_MS, regions)
            assert moved <= limit(fleet) + ROUNDING_PER_S
        fleet.plan_round()


def share_limit(share):
    return lambda fleet: share * 3 * fleet.demand


def test_a_shift_completes_and_no_step_passes_its_cap():
    fleet = drain_fleet()
    run_checked(fleet, 60, share_limit(0.2))
    status = fleet.last_round.shift_statuses["drain"]
    assert status.phase == ShiftPhase.COMPLETE
    assert status.progress == 1.0
    assert fleet.served("mtl") == 0
    assert fleet.shed() == 0


def test_the_first_steps_are_small_for_cold_caches():
    intent = weights_intent(DRAIN, max_share=0.2)
    fleet = SimulatedFleet(make_snapshot(drain=intent), nodes=6)
    sizes = []
    for _ in range(30):
        fleet.run(1)
        plan = fleet.plan.services["suivi"]
        if plan.before:
            key = fleet.group_key("mtl")
            sizes.append(count_moved_slots(plan.before[key], plan.slots[key]))
    assert sizes[0] <= 0.25 * 0.2 * 10_000
    assert max(sizes) > 3 * sizes[0]


def test_demand_that_triples_within_a_step_stays_under_the_rate_cap():
    fleet = drain_fleet(rate=15.0)
    run_checked(fleet, 12, lambda _: 15.0)
    before = fleet.moved()
    assert before > 0
    fleet.demand *= 3
    run_checked(fleet, 80, lambda _: 15.0, regions=("qc", "sag"))
    assert fleet.last_round.shift_statuses["drain"].progress > 0.3


def test_stale_measurements_hold_the_shift():
    fleet = drain_fleet()
    fleet.silent_nodes = set(fleet.nodes)
    fleet.run(3)
    slots = fleet.plan.services["suivi"].slots
    run_checked(fleet, 10, share_limit(0.2))
    assert fleet.plan.services["suivi"].slots == slots
    assert fleet.last_round.shift_statuses["drain"].reason == REASON_STALE
    fleet.silent_nodes = set()
    run_checked(fleet, 60, share_limit(0.2))
    assert fleet.last_round.shift_statuses["drain"].phase == ShiftPhase.COMPLETE


def test_a_step_waits_for_a_node_that_misses_plans():
    fleet = drain_fleet()
    fleet.unreachable_nodes = {"n0"}
    run_checked(fleet, 6, share_limit(0.2))
    assert fleet.last_round.shift_statuses["drain"].reason == REASON_WAITING
    fleet.unreachable_nodes = set()
    run_checked(fleet, 60, share_limit(0.2))
    assert fleet.last_round.shift_statuses["drain"].phase == ShiftPhase.COMPLETE


def test_a_node_that_missed_three_steps_catches_up_under_the_cap():
    fleet = drain_fleet(max_share=0.1)
    lost, others = fleet.members[0], fleet.members[1:]
    fleet.unreachable_nodes = {"n0"}
    fleet.members = others
    while fleet.plan.services["suivi"].shift.step < 5:
        fleet.run(1)
    fleet.members = [lost, *others]
    fleet.unreachable_nodes = set()
    moved = []
    for _ in range(40):
        fleet.tick()
        offered = fleet.offered[("n0", "suivi")]
        away = sum(c for r, c in offered.served.items() if r != "mtl")
        moved.append(away / 30.0)
        fleet.plan_round()
    gains = [b - a for a, b in zip(moved, moved[10:], strict=False)]
    assert max(gains) <= 2 * 0.1 + 0.01
    assert moved[-1] > 0.2


def test_a_successor_resumes_where_the_planner_died():
    fleet = drain_fleet()
    run_checked(fleet, 8, share_limit(0.2))
    step = fleet.plan.services["suivi"].shift.step
    fleet.tick(90)
    fleet.plan = msgspec.json.decode(msgspec.json.encode(fleet.plan), type=Plan)
    fleet.epoch = 2
    fleet.plan_round()
    assert fleet.plan.epoch == 2
    assert fleet.plan.services["suivi"].shift.step in (step, step + 1)
    run_checked(fleet, 60, share_limit(0.2))
    assert fleet.last_round.shift_statuses["drain"].phase == ShiftPhase.COMPLETE


@pytest.mark.parametrize(
    ("bounds", "fault"),
    [
        ({"max_error_share": 0.05}, "errors"),
        ({"max_latency_ms": 50}, "latency"),
    ],
)
def test_a_passed_bound_pauses_and_then_rolls_back_the_step(bounds, fault):
    fleet = drain_fleet(bounds=ShiftThresholds(**bounds))
    while fleet.plan.services["suivi"].shift.step < 3:
        fleet.run(1)
    before = fleet.plan.services["suivi"].before
    if fault == "errors":
        fleet.error_share = {"qc": 0.2}
    else:
        fleet.latency_ms = 400.0
    fleet.run(1)
    assert fleet.last_round.shift_statuses["drain"].phase == ShiftPhase.PAUSED
    run_checked(fleet, 6, share_limit(0.2))
    assert fleet.last_round.shift_statuses["drain"].phase == ShiftPhase.ROLLED_BACK
    assert fleet.plan.services["suivi"].slots == before
    fleet.error_share, fleet.latency_ms = {}, 10.0
    run_checked(fleet, 5, share_limit(0.2))
    assert fleet.plan.services["suivi"].slots == before
    retry = weights_intent({"mtl": 0, "qc": 1, "sag": 2}, max_share=0.2)
    set_intents(fleet, drain=retry)
    run_checked(fleet, 60, share_limit(0.2))
    assert fleet.last_round.shift_statuses["drain"].phase == ShiftPhase.COMPLETE


def test_a_lost_target_region_ends_the_step_at_once():
    fleet = drain_fleet()
    run_checked(fleet, 6, share_limit(0.2))
    fleet.health = {"qc": RegionHealth(0.0)}
    fleet.run(1)
    assert fleet.last_round.shift_statuses["drain"].phase == ShiftPhase.ROLLED_BACK
    fleet.tick(3)
    assert fleet.served("qc") == 0


def test_an_operator_pauses_and_resumes():
    fleet = drain_fleet()
    paused = weights_intent(DRAIN, max_share=0.2, paused=True)
    set_intents(fleet, drain=paused)
    run_checked(fleet, 10, share_limit(0.2))
    step = fleet.plan.services["suivi"].shift.step
    run_checked(fleet, 10, share_limit(0.2))
    assert fleet.last_round.shift_statuses["drain"].phase == ShiftPhase.PAUSED
    assert fleet.plan.services["suivi"].shift.step == step
    set_intents(fleet, drain=weights_intent(DRAIN, max_share=0.2))
    run_checked(fleet, 60, share_limit(0.2))
    assert fleet.last_round.shift_statuses["drain"].phase == ShiftPhase.COMPLETE


def test_of_two_intents_that_set_weights_one_is_in_force():
    fleet = drain_fleet()
    fill = weights_intent(FILL, max_share=0.2)
    set_intents(fleet, drain=weights_intent(DRAIN, max_share=0.2), fill=fill)
    run_checked(fleet, 60, share_limit(0.2))
    assert fleet.last_round.shift_statuses["drain"].phase == ShiftPhase.COMPLETE
    assert fleet.last_round.shift_statuses["fill"].reason == REASON_SUPERSEDED


def test_intents_that_reverse_each_other_every_round_stay_under_the_cap():
    fleet = drain_fleet()
    for turn in range(20):
        weights = FILL if turn % 2 else DRAIN
        set_intents(fleet, drain=weights_intent(weights, max_share=0.2))
        run_checked(fleet, 1, share_limit(0.2))
    set_intents(fleet, drain=weights_intent(DRAIN, max_share=0.2))
    run_checked(fleet, 80, share_limit(0.2))
    assert fleet.last_round.shift_statuses["drain"].phase == ShiftPhase.COMPLETE


def test_overlapping_moves_share_the_tightest_cap():
    cap = ShiftStepLimit(max_share=0.2)
    tight = ShiftStepLimit(max_share=0.05)
    times = {"step_ms": STEP_MS, "soak_ms": 0}
    moves = [
        IntentSpec(
            service="suivi",
            moves=[TrafficMove(source="mtl", target=target, share=0.1)],
            cap=limit,
            **times,
        )
        for target, limit in (("qc", cap), ("sag", tight))
    ]
    fleet = SimulatedFleet(make_snapshot(first=moves[0], second=moves[1]), nodes=6)
    fleet.run(3)
    run_checked(fleet, 90, share_limit(0.05))
    assert fleet.last_round.shift_statuses["second"].phase == ShiftPhase.COMPLETE
    total = 3 * fleet.demand
    assert fleet.served("mtl") == pytest.approx(fleet.demand - 0.2 * total, rel=0.02)


def test_a_cap_lowered_midway_binds_the_running_step():
    fleet = drain_fleet(max_share=0.4)
    while fleet.plan.services["suivi"].shift.step < 4:
        fleet.run(1)
    set_intents(fleet, drain=weights_intent(DRAIN, max_share=0.05))
    fleet.run(2)
    key = fleet.group_key("mtl")
    plan = fleet.plan.services["suivi"]
    assert count_moved_slots(plan.before[key], plan.slots[key]) <= 0.05 * 10_000
    fleet.history.clear()
    run_checked(fleet, 20, share_limit(0.05))


def test_a_step_that_would_not_fit_is_not_taken():
    fleet = drain_fleet(capacity=75.0, demand=60.0)
    run_checked(fleet, 60, share_limit(0.2))
    assert fleet.last_round.shift_statuses["drain"].phase == ShiftPhase.HOLDING
    assert fleet.last_round.shift_statuses["drain"].reason == REASON_NO_HEADROOM
    for region in ("mtl", "qc", "sag"):
        assert fleet.served(region) <= 75.0
    assert fleet.shed() == 0


def test_removing_an_intent_returns_callers_under_its_last_cap():
    fleet = drain_fleet()
    run_checked(fleet, 60, share_limit(0.2))
    set_intents(fleet)
    run_checked(fleet, 60, share_limit(0.2))
    assert fleet.served("mtl") == pytest.approx(fleet.demand)


@pytest.mark.parametrize(("rate", "limit"), [(None, 0.2), (5.0, 0.05)])
def test_single_requests_keep_the_cap_too(rate, limit):
    fleet = drain_fleet(nodes=3, rate=rate, capacity=10_000.0, demand=100.0)
    while not fleet.plan.services["suivi"].before:
        fleet.run(1)
    node, key = fleet.nodes["n0"], fleet.group_key("mtl")
    before, after = (
        fleet.plan.services["suivi"].before[key],
        fleet.plan.services["suivi"].slots[key],
    )
    was, now = slots_per_owner(before, 3)[0], slots_per_owner(after, 3)[0]
    assert now < was
    away = 0
    for number in range(5_000):
        point = stable_hash(str(number // 500 * 500 + number % 3))
        route = node.route("suivi", "10.0.0.1", point, fleet.now_ms + 10 * number)
        away += route.region != "mtl"
    moved = sum(d.moved for d in node.tallies.demands.values())
    assert moved <= limit * 5_000 + 1
