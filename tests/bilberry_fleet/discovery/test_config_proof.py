"""Keys are served only by a configuration that is known to be recent."""

import random

import gevent
import pytest

from bilberry_core.clock import ManualClock
from bilberry_fleet.discovery.config_proof import MAX_AGE_FRACTION, ConfigProof
from bilberry_fleet.discovery.messages import NodeInfo, ProofReply, ProofRequest
from bilberry_fleet.discovery.nodes import PeerTable
from bilberry_fleet.discovery.proof_calls import ProofCalls
from bilberry_fleet.discovery.proof_schedule import ProofAction, ProofSchedule
from bilberry_fleet.discovery.source import Change, Changes, Record, Snapshot

from .common import FeedRig, changes
from .test_config import ConfigRig, route, versions

REVOKE_MS = 5_000
MAX_AGE_MS = int(REVOKE_MS * MAX_AGE_FRACTION)


class Network:
    """Stand for the heartbeats' socket; a test delivers the datagrams."""

    def __init__(self, peers):
        self.peers = peers
        self.on_proof_message = None
        self.sent = []

    def send_to(self, addresses, message, purpose):
        self.sent += [(address, message) for address in addresses]


class Node:
    """Hold a configuration with its proof; clocks of nodes differ."""

    def __init__(self, name, boot_ms=0, version=1):
        self.clock = ManualClock(boot_ms)
        self.network = Network(
            PeerTable(NodeInfo(name, f"run-{name}", "", name, "mtl-a", "mtl"))
        )
        self.proof = ConfigProof(self.clock, REVOKE_MS)
        self.calls = ProofCalls(self.proof, self.network, self.clock, 100)
        self.calls.version = version

    def read(self):
        self.proof.record(self.clock.boot_ms())

    def take(self):
        return self.network.sent.pop()[1]


def exchange(asker, replier, pause=lambda: None):
    """Let `asker` have the proof of `replier`; `pause` lets time pass."""
    asker.calls.ask("replier")
    request = asker.take()
    pause()
    replier.calls.receive(request, "asker")
    pause()
    if replier.network.sent:
        asker.calls.receive(replier.take(), "replier")


def test_a_proof_ends_before_removed_keys_must_not_work():
    node = Node("a")
    assert not node.proof.is_valid()
    node.read()
    node.clock.advance(MAX_AGE_MS)
    assert node.proof.is_valid()
    node.clock.advance(1)
    assert not node.proof.is_valid()


def test_without_the_limit_no_proof_is_needed():
    assert ConfigProof(ManualClock()).is_valid()


def test_a_suspended_machine_does_not_keep_its_proof():
    """The monotonic clock stands still then."""
    node = Node("a")
    node.read()
    node.clock.suspend(REVOKE_MS)
    assert not node.proof.is_valid()


def test_an_older_proof_replaces_no_newer_one():
    node = Node("a", 10_000)
    node.read()
    node.proof.record(3_000)
    assert node.proof.age_ms() == 0


def test_a_proof_is_handed_on_with_its_age():
    reader, asker = Node("reader", 900_000), Node("asker", 70)
    reader.read()
    reader.clock.advance(1_200)
    exchange(asker, reader)
    assert asker.proof.age_ms() == 1_200


def test_delayed_datagrams_make_a_proof_no_younger():
    reader, asker = Node("reader", 900_000), Node("asker")
    reader.read()

    def pause():
        asker.clock.advance(700)
        reader.clock.advance(700)

    exchange(asker, reader, pause)
    assert asker.proof.age_ms() >= 1_400


def test_a_node_suspended_before_it_replies_makes_a_proof_no_younger():
    reader, asker = Node("reader", 900_000), Node("asker")
    reader.read()
    asker.calls.ask("reader")
    reader.clock.suspend(4_000)
    asker.clock.advance(4_000)
    reader.calls.receive(asker.take(), "asker")
    asker.calls.receive(reader.take(), "reader")
    assert asker.proof.age_ms() >= 4_000


@pytest.mark.parametrize("seed", range(20))
def test_chains_of_peers_never_make_a_proof_younger_than_it_is(seed):
    """Else a node that is cut off would serve removed keys on hearsay."""
    rng = random.Random(seed)
    nodes = [Node(str(i), rng.randrange(10**6)) for i in range(6)]
    read_at_ms = true_ms = 0
    nodes[0].read()

    def pause():
        nonlocal true_ms
        passed_ms = rng.randrange(300)
        true_ms += passed_ms
        for node in nodes:
            if rng.random() < 0.3:
                node.clock.suspend(passed_ms)
            else:
                node.clock.advance(passed_ms)

    for _ in range(60):
        exchange(*rng.sample(nodes, 2), pause)
        if rng.random() < 0.1:
            read_at_ms = true_ms
            nodes[0].read()
        for node in nodes:
            age_ms = node.proof.age_ms()
            assert age_ms is None or age_ms >= true_ms - read_at_ms


def test_clocks_that_run_apart_by_two_percent_stay_within_the_limit():
    """Each of two nodes counts less time than has passed."""
    reader, asker = Node("reader"), Node("asker")
    reader.read()
    reader.clock.advance(int(2_500 * 0.98))
    asker.clock.advance(int(2_500 * 0.98))
    exchange(asker, reader)
    asker.clock.advance(int(2_500 * 0.98))
    assert not asker.proof.is_valid()


@pytest.mark.parametrize("version", [7, 9])
def test_a_proof_of_another_configuration_proves_nothing(version):
    """A peer may have read an older one, from a store that came back so."""
    reader, asker = Node("reader", version=8), Node("asker", version=version)
    reader.read()
    exchange(asker, reader)
    assert asker.proof.age_ms() is None
    asker.calls.version = 8
    exchange(asker, reader)
    assert asker.proof.age_ms() == 0


def test_a_node_without_proof_asks_another_failure_domain_at_once():
    """All nodes of its own may be turned away by the store too."""
    node = Node("a")
    infos = [("a1", "mtl-a"), ("a2", "mtl-a"), ("b1", "mtl-b"), ("b2", "mtl-b")]
    peers = [NodeInfo(n, f"run-{n}", "", n, d, "mtl") for n, d in infos]
    node.network.peers.on_stored_nodes(peers, 0)
    for peer in node.network.peers.peers.values():
        peer.last_seen_ms = 0
    node.calls.renew(0)
    asked = {address for address, _ in node.network.sent}
    assert asked & {"b1", "b2"}
    assert asked & {"a1", "a2"}


def test_a_node_without_proof_does_not_reply():
    reader, asker = Node("reader"), Node("asker")
    exchange(asker, reader)
    assert asker.proof.age_ms() is None


@pytest.mark.parametrize(
    "reply", [ProofReply(99, 0, 1), ProofReply(102, 0, 1), ProofReply(101, -500, 1)]
)
def test_replies_that_were_not_asked_for_prove_nothing(reply):
    asker = Node("asker", 10_000)
    asker.calls.ask("reader")
    asker.calls.receive(reply, "reader")
    assert asker.proof.age_ms() is None


def test_a_repeated_reply_counts_once():
    reader, asker = Node("reader"), Node("asker")
    reader.read()
    asker.calls.ask("reader")
    request = asker.take()
    assert request == ProofRequest(101)
    reader.calls.receive(request, "asker")
    reply = reader.take()
    asker.calls.receive(reply, "reader")
    asker.proof.as_of_ms = None
    asker.calls.receive(reply, "reader")
    assert asker.proof.age_ms() is None


def test_a_list_is_an_exact_read_as_of_its_begin():
    began = []
    rig = FeedRig()
    rig.feed.on_exact_read = began.append
    rig.feed.start()
    gevent.sleep(0)
    rig.clock.advance(400)
    rig.source.answer(0, Snapshot([], 10))
    assert began == [0]
    rig.feed.close()


def test_a_cheap_read_proves_nothing():
    """It may be seconds old."""
    with FeedRig(stale=True) as rig:
        began = []
        rig.feed.on_exact_read = began.append
        rig.source.answer(1, changes(12))
        assert began == []


def test_an_exact_watch_counts_from_its_begin():
    with FeedRig(stale=False) as rig:
        began = []
        rig.feed.on_exact_read = began.append
        rig.clock.advance(3_000)
        rig.source.answer(1, changes(12))
        assert began == [0]


def test_an_answer_of_another_era_proves_nothing():
    with FeedRig(stale=False) as rig:
        began = []
        rig.feed.on_exact_read = began.append
        rig.source.answer(1, Changes([], 12, era=3))
        assert began == []


def test_a_configuration_that_cannot_be_read_proves_nothing():
    rig = ConfigRig(unreadable=(5,))
    rig.listener.on_changes(versions(4))
    assert rig.listener.is_current
    rig.listener.on_changes(versions(3, 5))
    assert not rig.listener.is_current
    rig.listener.on_changes(versions(6))
    assert rig.listener.is_current


def test_a_version_with_other_content_proves_nothing():
    """The number is used again, such as after the store came back older."""
    rig = ConfigRig()
    rig.listener.on_changes(versions(7))
    rig.is_newer = False
    rig.routes = (route("other"),)
    rig.listener.on_changes(versions(7))
    assert not rig.listener.is_current


def test_a_removed_or_missing_configuration_proves_nothing():
    rig = ConfigRig()
    rig.listener.on_changes(versions(7))
    removed = Changes([Change(Record("main", 8, {}), True)], 99)
    rig.listener.on_changes(removed)
    assert not rig.listener.is_current
    rig.listener.on_changes(versions(9))
    assert rig.listener.is_current
    rig.listener.on_snapshot(Snapshot([], 99))
    assert not rig.listener.is_current


def test_a_change_that_cannot_be_read_at_all_proves_nothing():
    """It may be the version that takes a key away."""
    rig = ConfigRig()
    rig.listener.on_changes(versions(7))
    rig.listener.on_changes(Changes([], 99, unreadable_count=1))
    assert not rig.listener.is_current


def test_a_store_with_an_older_configuration_proves_nothing():
    """It has come back from a copy, and may have lost what took keys away."""
    installed = []

    def install(config):
        is_newer = not installed or config.version > installed[-1]
        if is_newer:
            installed.append(config.version)
        return is_newer

    rig = ConfigRig()
    rig.listener.install = install
    rig.listener.on_changes(versions(7))
    rig.listener.on_changes(versions(6))
    assert not rig.listener.is_current
    rig.listener.on_changes(versions(7))
    assert rig.listener.is_current


def test_the_leader_reads_and_others_ask_it():
    leader, other = ProofSchedule(), ProofSchedule()
    assert leader.take(600, True, REVOKE_MS, 0) == {ProofAction.READ}
    assert other.take(600, False, REVOKE_MS, 0) == {ProofAction.ASK_LEADER}
    assert leader.take(600, True, REVOKE_MS, 200) == set()
    assert other.take(600, False, REVOKE_MS, 200) == set()
    assert other.take(400, False, REVOKE_MS, 1_000) == set()


def test_a_node_whose_leader_does_not_help_reads_and_asks_others():
    schedule = ProofSchedule()
    assert schedule.take(1_200, False, REVOKE_MS, 0) == set(ProofAction)
    assert schedule.take(None, True, REVOKE_MS, 1_000) == {
        ProofAction.READ,
        ProofAction.ASK_OTHERS,
    }
