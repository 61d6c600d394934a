"""Test that a request waits while its key is being handed over."""

import gevent

from bilberry_core.clock import SystemClock
from bilberry_core.ids import new_uuid7
from tests.bilberry_router.forward.common import eventually

from .common import Nodes, answer_with_count


def new_key():
    return new_uuid7(SystemClock())


class DelayedHandovers:
    """Delay handovers until they are released."""

    def __init__(self, nodes):
        self.held = []
        self.send = {}
        for rig in nodes.rigs:
            coordinator = rig.forwarder.keys.coordinator
            self.send[coordinator.member] = coordinator.send_handover
            coordinator.send_handover = self.held.append

    def release(self):
        for handover in self.held:
            self.send[handover.source](handover)


def new_key_moving_to(nodes, target):
    """Return a key that `target` takes over once it is alone."""
    while True:
        key = new_key()
        if nodes.owner(key) != target:
            return key


def test_a_booking_waits_until_its_key_is_handed_over():
    with Nodes(answer_with_count) as nodes, eventually(5):
        key = new_key_moving_to(nodes, 0)
        held = DelayedHandovers(nodes)
        nodes.join(0)
        booking = gevent.spawn(nodes.ask, 0, key)
        gevent.sleep(0.15)
        assert not booking.ready()
        held.release()
        assert booking.get().status == 201
        assert len(nodes.executions) == 1


def test_request_is_answered_within_its_timeout_during_a_handover():
    with Nodes(answer_with_count) as nodes, eventually(5):
        key = new_key_moving_to(nodes, 0)
        DelayedHandovers(nodes)
        nodes.join(0)
        hurry = ["X-Request-Timeout-Ms: 200"]
        answer = nodes.ask(0, key, headers=hurry)
        assert (answer.status, answer.outcome) == (409, "unknown")
        assert nodes.executions == []


def test_without_a_handover_the_answer_is_unknown_in_the_end():
    with Nodes(answer_with_count) as nodes, eventually(8):
        key = new_key_moving_to(nodes, 0)
        DelayedHandovers(nodes)
        nodes.join(0)
        answer = nodes.ask(0, key)
        assert (answer.status, answer.outcome) == (409, "unknown")
        assert nodes.executions == []


def test_a_new_owner_that_has_not_heard_of_its_epoch_looks_it_up():
    with Nodes(answer_with_count) as nodes, eventually(8):
        nodes.join(0, 1)
        late = nodes.rigs[2]
        nodes.crashed = [late]
        nodes.join(0, 1, 2)
        members = [rig.forwarder.keys.coordinator.member for rig in nodes.rigs]
        newest = nodes.rigs[0].forwarder.keys.coordinator.ownership.newest
        assert members[2] in newest.members
        assert late.forwarder.keys.coordinator.ownership.newest.number < newest.number
        key = new_key()
        while nodes.owner(key) != 2:
            key = new_key()
        assert nodes.ask(0, key).status == 201
        assert len(nodes.executions) == 1
