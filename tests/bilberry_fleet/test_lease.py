"""Test the lease and the fencing of plans, also against a model."""

from dataclasses import dataclass, field

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberry_fleet.distribution import PlanState
from bilberry_fleet.lease import LeaseChange, LeaseSpec, LeaseStateMachine
from bilberry_fleet.messages import PlanRecord
from bilberry_fleet.settings import FleetSettings

SETTINGS = FleetSettings(
    lease_ms=10_000, lease_renew_ms=3_000, lease_margin_ms=2_000, lease_poll_ms=1_000
)
TERM_MS = 8_000


def holder(now=0):
    machine = LeaseStateMachine("a", SETTINGS)
    machine.observe(None, 0, now)
    write = machine.next_write(now, campaign=True)
    machine.record_write(write, 1, now + 5)
    assert machine.pop_change(now + 5) is LeaseChange.ACQUIRED
    return machine


def test_the_term_counts_from_when_the_write_was_sent():
    machine = LeaseStateMachine("a", SETTINGS)
    machine.observe(None, 0, 0)
    write = machine.next_write(0, campaign=True)
    machine.record_write(write, 1, 3_000)
    assert machine.is_held(TERM_MS - 1)
    assert not machine.is_held(TERM_MS)


def test_a_holder_paused_past_its_term_reports_the_loss():
    machine = holder()
    assert not machine.is_held(60_000)
    assert machine.pop_change(60_000) is LeaseChange.LOST
    assert machine.next_write(60_000, campaign=False) is None


def test_a_renewal_whose_reply_is_lost_counts_once_it_is_seen():
    machine = holder()
    write = machine.next_write(3_000, campaign=True)
    machine.observe(write.spec, 2, 5_000)
    assert machine.is_held(3_000 + TERM_MS - 1)
    assert not machine.is_held(3_000 + TERM_MS)


def test_a_resent_write_counts_from_the_first_sending():
    machine = holder()
    machine.next_write(3_000, campaign=True)
    again = machine.next_write(7_000, campaign=True)
    machine.observe(again.spec, 2, 7_500)
    assert not machine.is_held(3_000 + TERM_MS)


def test_an_observer_waits_a_full_term_after_first_seeing_the_lease():
    machine = LeaseStateMachine("b", SETTINGS)
    spec = LeaseSpec(holder="a", epoch=4, lease_ms=10_000)
    machine.observe(spec, 7, 50_000)
    machine.observe(spec, 7, 61_000)
    assert machine.next_write(61_999, campaign=True) is None
    write = machine.next_write(62_000, campaign=True)
    assert (write.spec.epoch, write.if_version) == (5, 7)


def test_an_old_replica_does_not_restart_the_wait():
    machine = LeaseStateMachine("b", SETTINGS)
    spec = LeaseSpec(holder="a", epoch=4, lease_ms=10_000)
    machine.observe(spec, 7, 0)
    machine.observe(spec, 5, 11_000)
    assert machine.observed.version == 7
    assert machine.next_write(12_000, campaign=True) is not None


def test_a_released_lease_is_claimed_at_once():
    first = holder()
    write = first.release(1_000)
    assert not first.is_held(1_000)
    second = LeaseStateMachine("b", SETTINGS)
    second.observe(write.spec, 2, 1_010)
    assert second.next_write(1_010, campaign=True).spec.epoch == 2


def test_a_deleted_lease_resumes_above_the_plans_epoch():
    machine = LeaseStateMachine("a", SETTINGS)
    machine.plan_epoch = 7
    machine.observe(None, 0, 0)
    assert machine.next_write(0, campaign=True).spec.epoch == 8


def test_a_deleted_lease_is_claimable_after_the_holders_term():
    machine = LeaseStateMachine("b", SETTINGS)
    machine.observe(LeaseSpec(holder="a", epoch=4, lease_ms=10_000), 7, 0)
    machine.observe(None, 0, 3_000)
    machine.observe(None, 0, 9_000)
    assert machine.next_write(14_999, campaign=True) is None
    assert machine.next_write(15_000, campaign=True).if_version == 0


def test_the_lease_runs_out_during_an_outage():
    machine = holder()
    for now in range(3_000, 8_000, 500):
        machine.next_write(now, campaign=True)
    assert machine.pop_change(8_000) is LeaseChange.LOST


def test_nodes_refuse_a_plan_of_an_older_epoch():
    plans = PlanState()
    assert plans.apply(PlanRecord(epoch=2, version=9))
    assert not plans.apply(PlanRecord(epoch=1, version=12))
    assert not plans.apply(PlanRecord(epoch=2, version=9))
    assert plans.refused_count == 1
    assert plans.apply(PlanRecord(epoch=2, version=13))


@dataclass
class Store:
    """A store of two objects with one version counter."""

    version: int = 0
    lease: tuple = (0, None)
    plan: tuple = (0, 0)

    def write_lease(self, spec, if_version):
        if self.lease[0] != if_version:
            return None
        self.version += 1
        self.lease = (self.version, spec)
        return self.version

    def write_plan(self, epoch, if_version):
        if self.plan[0] != if_version:
            return None
        self.version += 1
        self.plan = (self.version, epoch)
        return self.version


@dataclass
class Campaigner:
    machine: LeaseStateMachine
    offset_ms: int
    claimed: int = 0
    plan_version: int = 0
    delayed: list = field(default_factory=list)


class Model:
    """Simulate campaigners with separate clocks, a store and late writes.

    Bounds: 3 campaigners, up to 60 steps, pauses up to 15 s, each write
    delivered, lost on the way, lost on the way back or delivered later.
    """

    def __init__(self):
        self.now = 100_000
        self.store = Store()
        self.nodes = [
            Campaigner(LeaseStateMachine(name, SETTINGS), offset)
            for name, offset in (("a", 0), ("b", 77_000), ("c", 5_000_000))
        ]
        self.plans = PlanState()
        self.written = []
        self.claims = {}

    def local_ms(self, node):
        return self.now + node.offset_ms

    def read(self, index):
        node = self.nodes[index]
        version, spec = self.store.lease
        node.machine.observe(spec, version, self.local_ms(node))

    def campaign(self, index, delivery):
        node = self.nodes[index]
        write = node.machine.next_write(self.local_ms(node), campaign=True)
        if write is not None:
            self.deliver_write(node, write, delivery)

    def release(self, index, delivery):
        node = self.nodes[index]
        write = node.machine.release(self.local_ms(node))
        if write is not None:
            self.deliver_write(node, write, delivery)

    def deliver_write(self, node, write, delivery):
        if delivery == "late":
            node.delayed.append(
                lambda: self.store.write_lease(write.spec, write.if_version)
            )
        elif delivery != "lost":
            version = self.store.write_lease(write.spec, write.if_version)
            if version and delivery == "ok":
                node.machine.record_write(write, version, self.local_ms(node))

    def plan(self, index, delivery):
        """Claim the stored plan, or publish conditional on the last one."""
        node = self.nodes[index]
        if not node.machine.is_held(self.local_ms(node)):
            return
        epoch = node.machine.epoch
        if node.claimed != epoch:
            version, held = self.store.plan
            if held > epoch:
                return
            if held == epoch:
                node.claimed, node.plan_version = epoch, version
                return
            self.write_plan(node, epoch, version, delivery)
            return
        self.write_plan(node, epoch, node.plan_version, delivery)

    def write_plan(self, node, epoch, if_version, delivery):
        def deliver():
            version = self.store.write_plan(epoch, if_version)
            if version:
                self.written.append((version, epoch))
                self.claims.setdefault(epoch, version)
                self.plans.apply(PlanRecord(epoch=epoch, version=version))
            return version

        if delivery == "late":
            node.delayed.append(deliver)
        elif delivery != "lost":
            version = deliver()
            if version and delivery == "ok":
                node.claimed, node.plan_version = epoch, version

    def deliver_late(self, index):
        node = self.nodes[index]
        if node.delayed:
            node.delayed.pop(0)()

    def check(self):
        """Check for at most one holder and for plan epochs in order."""
        held = [n for n in self.nodes if n.machine.is_held(self.local_ms(n))]
        assert len(held) <= 1, [n.machine.name for n in held]
        epochs = [epoch for _, epoch in sorted(self.written)]
        assert epochs == sorted(epochs)
        assert self.plans.refused_count == 0


DELIVERIES = st.sampled_from(["ok", "ok", "lost", "reply-lost", "late"])
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("pass"), st.sampled_from([200, 1_000, 3_000, 9_000, 15_000])),
        st.tuples(st.just("read"), st.integers(0, 2)),
        st.tuples(st.just("campaign"), st.integers(0, 2), DELIVERIES),
        st.tuples(st.just("release"), st.integers(0, 2), DELIVERIES),
        st.tuples(st.just("plan"), st.integers(0, 2), DELIVERIES),
        st.tuples(st.just("deliver_late"), st.integers(0, 2)),
    ),
    max_size=60,
)


@settings(max_examples=600)
@given(STEPS)
def test_model_one_holder_and_no_older_plan(steps):
    model = Model()
    for index in range(3):
        model.read(index)
    for name, *arguments in steps:
        if name == "pass":
            model.now += arguments[0]
        else:
            getattr(model, name)(*arguments)
        model.check()


def test_model_finds_a_term_counted_from_the_reply():
    """Counting a term from the reply allows two holders at once."""

    class TermFromReply(LeaseStateMachine):
        def start_term(self, write, now_ms):
            super().start_term(msgspec.structs.replace(write, sent_ms=now_ms), now_ms)

    model = Model()
    model.nodes[0].machine = TermFromReply("a", SETTINGS)
    model.read(0)
    model.campaign(0, "reply-lost")
    model.read(1)
    model.now += 11_999
    model.read(0)
    model.now += 1
    model.campaign(1, "ok")
    held = [n for n in model.nodes if n.machine.is_held(model.local_ms(n))]
    assert len(held) == 2
