"""All nodes learn who is alive, whatever happens to those that tell it."""

import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberry_core.clock import ManualClock
from bilberry_fleet.discovery.const import (
    DETAILS_MS,
    LISTEN_MS,
    OTHER_REGION_TIMEOUT_MS,
    SAME_DOMAIN_TIMEOUT_MS,
)
from bilberry_fleet.discovery.heartbeats import HeartbeatTask
from bilberry_fleet.discovery.messages import Heartbeat, NodeInfo
from bilberry_fleet.discovery.nodes import PeerTable
from bilberry_testing.machines.network import SimulatedNetwork

# A dead node is named no longer than this.
FORGET_MS = SAME_DOMAIN_TIMEOUT_MS + OTHER_REGION_TIMEOUT_MS + 500
START_MS = LISTEN_MS + 2_500


def assert_agreed(network):
    expected = network.reachable()
    for name in expected:
        assert network.nodes[name].alive_names() == expected, name


def test_all_nodes_know_each_other_soon_after_the_start():
    network = SimulatedNetwork()
    network.run(START_MS)
    assert_agreed(network)


@pytest.mark.parametrize("faulty", ["kill", "pause", "cut"])
def test_the_sender_of_a_domain_is_replaced_and_nobody_else_is_lost(faulty):
    network = SimulatedNetwork(domains=3, nodes=3)
    network.run(START_MS)
    now_ms = network.clock.now_ms()
    sender = next(
        name
        for name, node in network.nodes.items()
        if node.info.failure_domain == "d0" and node.peers.leads_domain(now_ms)
    )
    if faulty == "kill":
        network.kill(sender)
    elif faulty == "pause":
        network.nodes[sender].paused = True
    else:
        network.cut.add(sender)
    others = network.reachable()
    for _ in range(60):
        network.run(100)
        for name in others:
            assert others <= network.nodes[name].alive_names(), (
                network.clock.now_ms() - now_ms
            )
    assert_agreed(network)


def test_a_changed_readiness_reaches_other_domains_at_once():
    network = SimulatedNetwork()
    network.run(START_MS)
    node = network.nodes["n-0-1"]
    node.ready = False
    node.task.send_now()
    network.run(200)
    for other in network.nodes.values():
        if other is not node:
            assert not other.peers.peers["n-0-1"].ready


def test_a_restarted_node_is_known_by_its_new_run_without_the_store():
    network = SimulatedNetwork()
    network.run(START_MS)
    network.restart(network.kill("n-1-2"))
    network.run(DETAILS_MS)
    for other in network.nodes.values():
        if other.info.name != "n-1-2":
            known = other.peers.peers["n-1-2"]
            assert known.info.run_id == network.nodes["n-1-2"].info.run_id
    assert_agreed(network)


def test_other_domains_know_the_sum_of_a_domains_requests():
    network = SimulatedNetwork(domains=2, nodes=3, regions=1)
    network.run(START_MS)
    expected = {f"n-0-{index}": 1 for index in range(3)}
    for index in range(3):
        assert network.nodes[f"n-1-{index}"].loads["d0"] == expected


def test_bytes_between_domains_do_not_grow_with_the_square_of_the_nodes():
    sent = {}
    for nodes in (4, 16):
        network = SimulatedNetwork(domains=3, nodes=nodes)
        network.run(START_MS)
        before = network.bytes_between_domains
        network.run(3_000)
        sent[nodes] = network.bytes_between_domains - before
    assert sent[16] <= 4 * sent[4]


FAULTS = st.lists(
    st.tuples(
        st.sampled_from(["kill", "pause", "cut", "restart", "mend", "wait"]),
        st.integers(0, 8),
        st.integers(0, 12),
    ),
    max_size=8,
)


@settings(max_examples=15, derandomize=True, deadline=None)
@given(FAULTS)
def test_views_agree_once_the_faults_have_ended(faults):
    network = SimulatedNetwork(domains=3, nodes=3)
    network.run(START_MS)
    names = sorted(network.nodes)
    killed = {}
    for action, index, steps in faults:
        name = names[index]
        if action == "kill" and name in network.nodes and len(network.nodes) > 4:
            killed[name] = network.kill(name)
        elif action == "restart" and name in killed:
            network.restart(killed.pop(name))
        elif action == "cut":
            network.cut.add(name)
        elif action == "pause" and name in network.nodes:
            network.nodes[name].paused = True
        elif action == "mend":
            network.cut.discard(name)
            if name in network.nodes:
                network.nodes[name].paused = False
        network.run(1 + steps * 97)
    network.cut.clear()
    for node in network.nodes.values():
        node.paused = False
    network.run(FORGET_MS + DETAILS_MS)
    assert_agreed(network)


@pytest.mark.parametrize("address", ["10.0.0.9:65536", "10.0.0.9:x", "\x00:7200"])
def test_a_peer_with_an_odd_address_does_not_end_the_heartbeats(address):
    clock = ManualClock()
    own = NodeInfo("n1", "r1", "10.0.0.1:1", "10.0.0.1:7200", "d0", "r0")
    odd = NodeInfo("n2", "r2", "10.0.0.9:1", address, "d0", "r0")
    peers = PeerTable(own)
    peers.on_stored_nodes([odd], 0)
    task = HeartbeatTask(
        peers,
        clock,
        lambda: Heartbeat(own, 1, True, 1, {}),
        lambda heartbeat: None,
        lambda summary: None,
    )
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        task.sock = sock
        task.send_due(0)
    assert task.sent_bytes["heartbeat"] > 0
