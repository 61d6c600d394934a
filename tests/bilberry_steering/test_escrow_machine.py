"""Test that quotas of 12 nodes fit the capacity in any message order."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bench.steering_interleavings import ADVANCES_MS, EscrowModel, random_operation
from tests.bilberry_steering.simulated_fleet import make_snapshot, weights_intent

NODES = 12
VM_NUMBERS = st.integers(0, NODES - 1)
RATES = st.sampled_from([0, 5, 50, 500])


def make_model(nodes=NODES, bound=NODES + 2):
    intent = weights_intent({"mtl": 1, "qc": 0, "sag": 1}, rate=20.0)
    return EscrowModel(make_snapshot(capacity=200.0, drain=intent), nodes, bound)


class EscrowMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.model = make_model()
        self.model.report_all(50)
        self.model.plan(0, None)
        self.model.advance(3_000)

    @rule(delta_ms=st.sampled_from(ADVANCES_MS))
    def advance(self, delta_ms):
        self.model.advance(delta_ms)

    @rule(vm=VM_NUMBERS, plan=st.integers(0, 4))
    def deliver(self, vm, plan):
        self.model.deliver(vm, plan)

    @rule()
    def deliver_newest(self):
        self.model.deliver_newest()

    @rule(vm=VM_NUMBERS, rate=RATES)
    def report(self, vm, rate):
        self.model.report(vm, rate)

    @rule(vm=VM_NUMBERS)
    def collect(self, vm):
        self.model.collect(vm)

    @rule(rate=RATES)
    def report_all(self, rate):
        self.model.report_all(rate)

    @rule(
        unseen=st.sampled_from([0, 1, 0x5555, 0xFFF]),
        lost=st.sampled_from([None, None, "mtl"]),
        previous=st.sampled_from([0, 0, 0, 1, 2]),
    )
    def plan(self, unseen, lost, previous):
        self.model.plan(unseen, lost, previous)

    @rule(vm=VM_NUMBERS)
    def restart(self, vm):
        self.model.restart(vm)

    @rule(vm=VM_NUMBERS)
    def remove(self, vm):
        self.model.remove(vm)

    @rule()
    def add_vm(self):
        self.model.add_vm()

    @rule()
    def change_planner(self):
        self.model.change_planner()

    @invariant()
    def quotas_fit(self):
        assert self.model.overdrawn() == []


TestEscrowMachine = EscrowMachine.TestCase
TestEscrowMachine.settings = settings(max_examples=40, stateful_step_count=40)


def test_random_interleavings_with_a_fixed_seed():
    rng = random.Random(7)
    model = make_model()
    for _ in range(1_500):
        random_operation(model, rng)
        assert model.overdrawn() == []
    assert model.refused > 10
    assert model.fullest > 0.9
