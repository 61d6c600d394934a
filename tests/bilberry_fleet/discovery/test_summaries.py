"""All nodes learn who is alive, whatever happens to those that tell it.

The network is simulated on a manual clock: datagrams take some ms, and a
fault may stop, pause or cut off nodes.
"""

import heapq
from itertools import count

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberry_fleet.discovery.const import (
    DETAILS_MS,
    LISTEN_MS,
    OTHER_REGION_TIMEOUT_MS,
    SAME_DOMAIN_TIMEOUT_MS,
)
from bilberry_fleet.discovery.heartbeats import HeartbeatTask
from bilberry_fleet.discovery.messages import Heartbeat, NodeInfo
from bilberry_fleet.discovery.nodes import PeerTable

STEP_MS = 50
DELAY_MS = {True: 4, False: 55}
# A dead node is named no longer than this.
FORGET_MS = SAME_DOMAIN_TIMEOUT_MS + OTHER_REGION_TIMEOUT_MS + 500
START_MS = LISTEN_MS + 2_500


class SimulatedClock:
    def __init__(self):
        self.now = 0

    def now_ms(self):
        return self.now


class SimulatedNode:
    """Run the heartbeats of one node, with the socket simulated."""

    def __init__(self, network, info):
        self.network = network
        self.info = info
        self.number = 0
        self.ready = True
        self.paused = False
        self.loads = {}
        self.peers = PeerTable(info)
        self.task = HeartbeatTask(
            self.peers, network.clock, self.beat, lambda beat: None, self.merge
        )
        self.task.started_at_ms = network.clock.now
        self.task.sock = self

    def beat(self):
        self.number += 1
        return Heartbeat(self.info, self.number, self.ready, 1, {self.info.name: 1})

    def merge(self, summary):
        self.loads[summary.failure_domain] = summary.in_flight

    def sendto(self, data, address):
        self.network.send(self, address, data)

    def receive(self, data):
        message = self.task.decoder.decode(data)
        if isinstance(message, Heartbeat):
            self.task.receive_heartbeat(message)
        else:
            self.task.receive_summary(message)

    def alive(self):
        now_ms = self.network.clock.now
        return {p.info.name for p in self.peers.alive(now_ms)} | {self.info.name}


class SimulatedNetwork:
    """Deliver datagrams between nodes, and count those between domains."""

    def __init__(self, domains=3, nodes=4, regions=2):
        self.clock = SimulatedClock()
        self.queue = []
        self.order = count()
        self.runs = count(1)
        self.nodes = {}
        self.cut = set()
        self.bytes_between_domains = 0
        infos = []
        for domain in range(domains):
            for index in range(nodes):
                infos.append(self.info_of(len(infos), domain, domain % regions, index))
        for info in infos:
            self.nodes[info.name] = SimulatedNode(self, info)
        for node in self.nodes.values():
            node.peers.on_stored_nodes(infos, 0)

    def info_of(self, number, domain, region, index):
        address = f"10.0.{number}.1:7200"
        name = f"n-{domain}-{index}"
        run = f"run{next(self.runs)}"
        return NodeInfo(name, run, address, address, f"d{domain}", f"r{region}")

    def send(self, sender, address, data):
        host, port = address
        target = f"{host}:{port}"
        receiver = next(
            (n for n in self.nodes.values() if n.info.peer_address == target), None
        )
        if receiver is None or {sender.info.name, receiver.info.name} & self.cut:
            return
        near = sender.info.failure_domain == receiver.info.failure_domain
        if not near:
            self.bytes_between_domains += len(data)
        at_ms = self.clock.now + DELAY_MS[near]
        entry = (at_ms, next(self.order), receiver.info.name, data)
        heapq.heappush(self.queue, entry)

    def run(self, duration_ms):
        end_ms = self.clock.now + duration_ms
        while self.clock.now < end_ms:
            while self.queue and self.queue[0][0] <= self.clock.now:
                _, _, name, data = heapq.heappop(self.queue)
                node = self.nodes.get(name)
                if node is not None and not node.paused:
                    node.receive(data)
            if self.clock.now % STEP_MS == 0:
                for node in list(self.nodes.values()):
                    if not node.paused:
                        node.task.send_due(self.clock.now)
            self.clock.now += 1

    def kill(self, name):
        return self.nodes.pop(name)

    def restart(self, old):
        run = f"run{next(self.runs)}"
        info = NodeInfo(
            old.info.name,
            run,
            old.info.entry_address,
            old.info.peer_address,
            old.info.failure_domain,
            old.info.region,
        )
        node = SimulatedNode(self, info)
        self.nodes[info.name] = node
        infos = [other.info for other in self.nodes.values()]
        node.peers.on_stored_nodes(infos, self.clock.now)

    def reachable(self):
        return {
            name
            for name, node in self.nodes.items()
            if name not in self.cut and not node.paused
        }

    def assert_agreed(self):
        expected = self.reachable()
        for name in expected:
            assert self.nodes[name].alive() == expected, name


def test_all_nodes_know_each_other_soon_after_the_start():
    network = SimulatedNetwork()
    network.run(START_MS)
    network.assert_agreed()


@pytest.mark.parametrize("faulty", ["kill", "pause", "cut"])
def test_the_sender_of_a_domain_is_replaced_and_nobody_else_is_lost(faulty):
    network = SimulatedNetwork(domains=3, nodes=3)
    network.run(START_MS)
    now_ms = network.clock.now
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
            assert others <= network.nodes[name].alive(), network.clock.now - now_ms
    network.assert_agreed()


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
    network.assert_agreed()


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
    network.assert_agreed()
