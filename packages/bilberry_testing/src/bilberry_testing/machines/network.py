"""Simulate the datagrams between many nodes on a manual clock."""

import heapq
from itertools import count

from bilberry_core.clock import ManualClock
from bilberry_fleet.discovery.heartbeats import HeartbeatTask
from bilberry_fleet.discovery.messages import DomainSummary, Heartbeat, NodeInfo
from bilberry_fleet.discovery.nodes import PeerTable

STEP_MS = 50
SAME_DOMAIN_DELAY_MS = 4
OTHER_DOMAIN_DELAY_MS = 55


class SimulatedNode:
    """Run the heartbeats of one node, whose socket is the network."""

    __slots__ = (
        "in_flight",
        "info",
        "loads",
        "network",
        "paused",
        "peers",
        "ready",
        "received_count",
        "sequence",
        "task",
    )

    def __init__(self, network: "SimulatedNetwork", info: NodeInfo) -> None:
        self.network = network
        self.info = info
        self.sequence = 0
        self.ready = True
        self.paused = False
        self.received_count = 0
        self.in_flight = {info.name: 1}
        self.loads: dict[str, dict[str, int]] = {}
        self.peers = PeerTable(info)
        self.task = HeartbeatTask(
            self.peers,
            network.clock,
            self.make_heartbeat,
            lambda heartbeat: None,
            self.on_summary,
        )
        self.task.started_at_ms = network.clock.now_ms()
        self.task.sock = self

    def make_heartbeat(self) -> Heartbeat:
        """Return the node's next heartbeat."""
        self.sequence += 1
        return Heartbeat(self.info, self.sequence, self.ready, 1, self.in_flight)

    def on_summary(self, summary: DomainSummary) -> None:
        """Store the load of another failure domain."""
        self.loads[summary.failure_domain] = summary.in_flight

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram."""
        self.network.send(self, address, data)

    def receive(self, data: bytes) -> None:
        """Handle a datagram."""
        self.received_count += 1
        message = self.task.decoder.decode(data)
        if isinstance(message, Heartbeat):
            self.task.receive_heartbeat(message)
        else:
            self.task.receive_summary(message)

    def alive_names(self) -> set[str]:
        """Return the nodes that it takes for alive, and itself."""
        peers = self.peers.alive(self.network.clock.now_ms())
        return {peer.info.name for peer in peers} | {self.info.name}


class SimulatedNetwork:
    """Deliver datagrams, except to and from nodes in `cut`.

    `bytes_between_domains` counts what was sent from one failure domain to
    another.
    """

    __slots__ = (
        "addresses",
        "bytes_between_domains",
        "clock",
        "cut",
        "nodes",
        "order",
        "queue",
        "runs",
    )

    def __init__(self, domains: int = 3, nodes: int = 4, regions: int = 2) -> None:
        self.clock = ManualClock()
        self.queue: list[tuple[int, int, str, bytes]] = []
        self.order = count()
        self.runs = count(1)
        self.nodes: dict[str, SimulatedNode] = {}
        self.addresses: dict[tuple[str, int], str] = {}
        self.cut: set[str] = set()
        self.bytes_between_domains = 0
        infos: list[NodeInfo] = []
        for domain in range(domains):
            for index in range(nodes):
                info = self.make_info(len(infos), domain, domain % regions, index)
                infos.append(info)
        for info in infos:
            self.nodes[info.name] = SimulatedNode(self, info)
        for node in self.nodes.values():
            node.peers.on_stored_nodes(infos, 0)

    def make_info(self, number: int, domain: int, region: int, index: int) -> NodeInfo:
        """Return a new node's description."""
        name = f"n-{domain}-{index}"
        host, port = f"10.0.{number}.1", 7200
        self.addresses[host, port] = name
        address = f"{host}:{port}"
        run_id = f"run{next(self.runs)}"
        return NodeInfo(name, run_id, address, address, f"d{domain}", f"r{region}")

    def send(
        self, sender: SimulatedNode, address: tuple[str, int], data: bytes
    ) -> None:
        """Queue a datagram for delivery."""
        receiver = self.nodes.get(self.addresses[address])
        if receiver is None or {sender.info.name, receiver.info.name} & self.cut:
            return
        delay_ms = SAME_DOMAIN_DELAY_MS
        if sender.info.failure_domain != receiver.info.failure_domain:
            delay_ms = OTHER_DOMAIN_DELAY_MS
            self.bytes_between_domains += len(data)
        at_ms = self.clock.now_ms() + delay_ms
        item = (at_ms, next(self.order), receiver.info.name, data)
        heapq.heappush(self.queue, item)

    def run(self, duration_ms: int) -> None:
        """Advance the clock, deliver what is due and let the nodes send."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.deliver()
            now_ms = self.clock.now_ms()
            if now_ms % STEP_MS == 0:
                for node in list(self.nodes.values()):
                    if not node.paused:
                        node.task.send_due(now_ms)
            self.clock.advance(1)

    def deliver(self) -> None:
        """Deliver the datagrams that are due."""
        while self.queue and self.queue[0][0] <= self.clock.now_ms():
            _, _, name, data = heapq.heappop(self.queue)
            node = self.nodes.get(name)
            if node is not None and not node.paused:
                node.receive(data)

    def kill(self, name: str) -> SimulatedNode:
        """Stop a node, and return it."""
        return self.nodes.pop(name)

    def restart(self, old: SimulatedNode) -> None:
        """Start a stopped node again, with a new run."""
        info = NodeInfo(
            old.info.name,
            f"run{next(self.runs)}",
            old.info.entry_address,
            old.info.peer_address,
            old.info.failure_domain,
            old.info.region,
        )
        node = SimulatedNode(self, info)
        self.nodes[info.name] = node
        infos = [other.info for other in self.nodes.values()]
        node.peers.on_stored_nodes(infos, self.clock.now_ms())

    def reachable(self) -> set[str]:
        """Return the nodes that run and are not cut off."""
        return {
            name
            for name, node in self.nodes.items()
            if name not in self.cut and not node.paused
        }
