"""Test that the epoch of key owners follows the live members."""

import gevent
import pytest

from bilberry_core.clock import SystemClock
from bilberry_core.ids import new_uuid7
from bilberry_router.forward import forwarder
from tests.bilberry_router.forward.common import Caller, eventually

from .common import Nodes, answer_slowly, answer_with_count


def new_key():
    return new_uuid7(SystemClock())


def test_first_epoch_names_every_node():
    with Nodes(answer_with_count) as nodes:
        coordinators = [rig.forwarder.keys.coordinator for rig in nodes.rigs]
        newest = coordinators[0].ownership.newest
        assert newest.members == tuple(sorted(c.member for c in coordinators))
        assert all(
            coordinator.ownership.newest.number == newest.number
            for coordinator in coordinators
        )


def test_keys_go_on_at_once_when_a_node_joins_or_leaves():
    with Nodes(answer_with_count) as nodes, eventually(5):
        keys = [new_key() for _ in range(12)]
        nodes.join(0, 1)
        for key in keys:
            assert nodes.ask(0, key).status == 201
        gevent.sleep(0.05)
        for live in ([0, 1, 2], [1, 2]):
            nodes.join(*live)
            for key in keys:
                again = nodes.ask(live[-1], key)
                assert again.headers.get("idempotency-replayed") == "true"
        assert len(nodes.executions) == 12


def test_run_that_ends_after_its_owner_changed_is_replayed():
    with Nodes(answer_slowly) as nodes, eventually(5):
        key = new_key()
        owner = nodes.owner(key)
        first = gevent.spawn(nodes.ask, owner, key)
        gevent.sleep(0.03)
        nodes.join(*[i for i in range(3) if i != owner])
        again = nodes.ask(nodes.live[0], key)
        assert first.get().body == b"ok"
        assert (again.status, again.body) == (200, b"ok")
        assert len(nodes.executions) == 1


def test_keys_go_on_while_the_store_is_down():
    with Nodes(answer_with_count) as nodes, eventually(5):
        nodes.store.is_down = True
        for rig in nodes.rigs:
            rig.forwarder.keys.coordinator.ownership.confirmed_ms = None
        nodes.tick()
        assert nodes.ask(0, new_key()).status == 201


def test_unconfirmed_owner_runs_nothing():
    with Nodes(answer_with_count) as nodes, eventually(5):
        key = new_key()
        coordinator = nodes.rigs[nodes.owner(key)].forwarder.keys.coordinator
        coordinator.ownership.confirmed_ms = None
        answer = nodes.ask(nodes.other(key), key)
        assert (answer.status, answer.outcome) == (409, "unknown")
        assert nodes.executions == []


def test_crashed_owner_leaves_its_keys_unknown():
    with Nodes(answer_with_count) as nodes, eventually(5):
        keys = [new_key() for _ in range(12)]
        crashed = nodes.owner(keys[0])
        for key in keys:
            nodes.ask(0, key)
        gevent.sleep(0.05)
        nodes.peers[crashed].stop(timeout=0)
        lost = [key for key in keys if nodes.owner(key) == crashed]
        nodes.crashed.append(nodes.rigs[crashed])
        nodes.join(*[i for i in range(3) if i != crashed])
        for key in lost:
            answer = nodes.ask(nodes.live[0], key)
            assert (answer.status, answer.outcome) == (409, "unknown")
        assert len(nodes.executions) == 12


def test_fleet_restarted_as_a_whole_owns_its_keys_again():
    with Nodes(answer_with_count, count=2) as nodes:
        former = nodes.rigs[0].forwarder.keys.coordinator.ownership.newest
    with Nodes(answer_with_count, count=2, store=nodes.store) as again:
        for rig in again.rigs:
            newest = rig.forwarder.keys.coordinator.ownership.newest
            assert newest.number > former.number
            assert newest.heard_from_former_member


@pytest.mark.parametrize("signature", ["", "1:00", "x"])
def test_unsigned_call_is_refused(signature):
    with Nodes(answer_with_count) as nodes, Caller(nodes.peers[1].server_port) as peer:
        head = "POST /internal/v1/keyed/epoch HTTP/1.1\r\nHost: x\r\n"
        head += f"X-Bilberry-Auth: {signature}\r\nContent-Length: 4\r\n\r\nnull"
        peer.sock.sendall(head.encode())
        assert peer.answer().status == 401


@pytest.mark.parametrize("spec", [{}, {"number": "x", "members": [], "former": []}])
def test_bad_epoch_in_the_store_stops_nothing(spec):
    with Nodes(answer_with_count) as nodes, eventually(5):
        for stored in nodes.store.objects.values():
            stored.spec = spec
        nodes.tick()
        assert nodes.ask(0, new_key()).status == 201


def test_too_large_call_is_refused(monkeypatch):
    monkeypatch.setattr(forwarder, "MAX_KEY_CALL_BYTES", 100)
    with Nodes(answer_with_count) as nodes, Caller(nodes.peers[1].server_port) as peer:
        head = "POST /internal/v1/keyed/begin HTTP/1.1\r\nHost: x\r\n"
        peer.sock.sendall(f"{head}Content-Length: 101\r\n\r\n".encode() + b"x" * 101)
        assert peer.answer().status == 413


def test_new_node_without_known_peers_removes_no_member():
    with Nodes(answer_with_count) as nodes, eventually(5):
        nodes.join(1, 2)
        before = dict(nodes.store.objects)
        alone = nodes.rigs[0]
        alone.state.set_members(nodes.members([0]))
        alone.forwarder.keys.epochs.started_ms = alone.clock.now_ms()
        alone.forwarder.keys.epochs.tick()
        assert len(alone.forwarder.keys.coordinator.ownership.newest.members) == 2
        assert nodes.store.objects == before


def test_a_node_that_owns_no_keys_reads_the_epoch_seldom():
    with Nodes(answer_with_count) as nodes:
        owner, other = nodes.rigs[0], nodes.rigs[2]
        newest = other.forwarder.keys.coordinator.ownership.newest
        newest.members = newest.members[:1]
        assert owner.forwarder.keys.epochs.tick_interval_ms() < 1_000
        assert other.forwarder.keys.epochs.tick_interval_ms() >= 5_000


def test_an_entry_node_with_an_old_epoch_finds_the_new_owner():
    with Nodes(answer_with_count) as nodes, eventually(5):
        nodes.join(1, 2)
        first, second, third = (rig.forwarder.keys.coordinator for rig in nodes.rigs)
        third.ownership.epochs.pop()
        moved = next(
            key
            for key in iter(new_key, "")
            if third.ownership.owner(key) == first.member
            and second.ownership.owner(key) == second.member
        )
        assert nodes.ask(2, moved).status == 201
        assert len(nodes.executions) == 1
