"""Play the quotas of a fleet on a manual clock, with lossy datagrams."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import msgspec

from bilberry_balance.quota.limiter import QuotaLimiter
from bilberry_balance.quota.reports import QuotaBounds
from bilberry_balance.quota.sliding_count import SlidingCount
from bilberry_core.const import MS_PER_SECOND
from bilberry_fleet.discovery.const import (
    HEARTBEAT_MS_PER_NODE,
    LISTEN_MS,
    MAX_HEARTBEAT_MS,
    MIN_HEARTBEAT_MS,
    OTHER_REGION_SUMMARY_MS,
    SAME_REGION_SUMMARY_MS,
)
from bilberry_fleet.discovery.heartbeats import LOOP_PAUSE_MS

from .quota_cases import JUMP_MS, QuotaCase, WorkspaceLoad

BOUNDS = QuotaBounds(5_000, 0.1, 20)
LOSS = 0.01
NEAR_MS = (1, 4)
FAR_MS = 55
# Requests begin once nodes have heard of each other.
START_MS = 3_000
# What is refused counts from here, as a load that just began isn't steady.
SETTLED_MS = 12_000
# After these, a lowered limit must hold, with one window before.
LOWERED_MS = 4_000
RESTART_MS = 1_000
# The store no longer lists nodes that ended.
UNLISTED_MS = 6_000


@dataclass(slots=True)
class Outcome:
    """Store the worst window of all workspaces, and what was refused."""

    worst_window: int = 0
    worst_bound: float = 1.0
    of_bound: float = 0.0
    admitted_per_s: float = 0.0
    refused: float = 0.0
    early_per_s: float = 0.0
    bytes_per_s: float = 0.0


@dataclass(slots=True)
class ModelNode:
    """Store a node of the model; each start is another run."""

    index: int
    domain: int
    region: int
    limiter: QuotaLimiter
    run: int = 0
    started_ms: int = 0
    alive: bool = True
    leads: bool = False
    next_heartbeat_ms: int = 0
    next_summary_ms: dict[int, int] = field(default_factory=dict)


class QuotaFleet:
    """Run one case."""

    __slots__ = (
        "admitted",
        "asked",
        "bytes",
        "case",
        "cut",
        "early",
        "events",
        "nodes",
        "now_ms",
        "number",
        "random",
        "refused",
    )

    def __init__(self, case: QuotaCase, seed: int) -> None:
        self.case = case
        self.random = random.Random(f"{seed} {case.name}")
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.now_ms = 0
        self.number = 0
        self.cut: set[int] = set()
        self.early = 0
        self.bytes = 0
        self.asked = 0
        self.refused = 0
        self.admitted: dict[str, list[int]] = {w.name: [] for w in case.workspaces}
        self.nodes = [
            ModelNode(i, i % case.domains, i % case.domains % case.regions, limiter)
            for i in range(case.nodes)
            if (limiter := self.new_limiter(i, 1.0))
        ]

    def new_limiter(self, index: int, factor: float) -> QuotaLimiter:
        """Return the limiter of a node that starts."""
        limiter = QuotaLimiter(f"n{index}", BOUNDS)
        limiter.node_count = self.case.nodes
        workspaces = [load.workspace(factor) for load in self.case.workspaces]
        limiter.set_workspaces(workspaces, self.now_ms)
        return limiter

    def at(self, time_ms: int, action: Callable[[], None]) -> None:
        """Schedule an action."""
        self.number += 1
        heapq.heappush(self.events, (time_ms, self.number, action))

    def run(self) -> Outcome:
        """Play the case and return its outcome."""
        end_ms = self.case.seconds * MS_PER_SECOND
        for node in self.nodes:
            self.at(self.random.randrange(LOOP_PAUSE_MS), partial(self.loop, node))
        for load in self.case.workspaces:
            self.next_request(load)
        self.at(JUMP_MS, self.change)
        while self.events and self.events[0][0] < end_ms:
            self.now_ms, _, action = heapq.heappop(self.events)
            action()
        return self.outcome()

    def next_request(self, load: WorkspaceLoad) -> None:
        """Schedule the next request of a workspace at a random node."""
        per_s = load.usual_per_s * (load.jump if self.now_ms >= JUMP_MS else 1.0)
        start_ms = max(self.now_ms, START_MS)
        at_ms = start_ms + self.random.expovariate(per_s / MS_PER_SECOND)
        if self.now_ms < JUMP_MS <= at_ms and load.jump != 1:
            at_ms = JUMP_MS + (at_ms - JUMP_MS) / load.jump
        self.at(round(at_ms), lambda: self.ask(load))

    def ask(self, load: WorkspaceLoad) -> None:
        """Let one live node decide on a request."""
        node = self.random.choice(self.nodes)
        while not node.alive:
            node = self.random.choice(self.nodes)
        refusal = node.limiter.admit(load.name, self.now_ms)
        if refusal is None:
            self.admitted[load.name].append(self.now_ms)
        if self.now_ms >= SETTLED_MS:
            self.asked += 1
            self.refused += refusal is not None
        self.next_request(load)

    def change(self) -> None:
        """Let the case's failure happen."""
        case = self.case
        if case.lowered_to < 1:
            workspaces = [load.workspace(case.lowered_to) for load in case.workspaces]
            for node in self.nodes:
                at_ms = self.now_ms + self.random.randrange(LOWERED_MS)
                self.at(at_ms, partial(node.limiter.set_workspaces, workspaces, at_ms))
        order = list(self.nodes)
        self.random.shuffle(order)
        killed = order[: round(case.killed * case.nodes)]
        for node in killed:
            node.alive = False
        if killed:
            self.at(self.now_ms + UNLISTED_MS, self.unlist)
        self.cut = {node.index for node in order[: round(case.cut_off * case.nodes)]}
        if case.restarts:
            for node in order[:8]:
                node.alive = False
                self.at(self.now_ms + RESTART_MS, partial(self.restart, node))

    def unlist(self) -> None:
        """Let the store drop the nodes that ended."""
        count = sum(node.alive for node in self.nodes)
        for node in self.nodes:
            node.limiter.node_count = count

    def restart(self, node: ModelNode) -> None:
        """Start a node again, without what it knew."""
        node.limiter = self.new_limiter(node.index, 1.0)
        node.run += 1
        node.started_ms = self.now_ms
        node.alive = True
        self.loop(node)

    def loop(self, node: ModelNode) -> None:
        """Send what is due, as the heartbeat task does."""
        if not node.alive:
            return
        now_ms = self.now_ms
        if node.limiter.needs_early_report(now_ms):
            self.early += 1
            node.next_heartbeat_ms = 0
            node.next_summary_ms.clear()
        if now_ms >= node.next_heartbeat_ms:
            members = self.nodes[node.domain :: self.case.domains]
            peers = [peer for peer in members if peer is not node]
            wanted_ms = HEARTBEAT_MS_PER_NODE * len(peers)
            interval_ms = min(max(wanted_ms, MIN_HEARTBEAT_MS), MAX_HEARTBEAT_MS)
            node.next_heartbeat_ms = now_ms + interval_ms
            self.send_heartbeat(node, peers)
            node.leads = self.leads(node)
        if now_ms - node.started_ms >= LISTEN_MS and node.leads:
            self.send_summaries(node)
        self.at(now_ms + LOOP_PAUSE_MS, lambda: self.loop(node))

    def leads(self, node: ModelNode) -> bool:
        """Return whether a node is the first of those that it hears."""
        members = self.nodes[node.domain :: self.case.domains]
        return next(m for m in members if m.alive and self.hears(node, m)) is node

    def hears(self, node: ModelNode, other: ModelNode) -> bool:
        """Return whether datagrams pass between two nodes."""
        return (node.index in self.cut) == (other.index in self.cut)

    def send_heartbeat(self, node: ModelNode, peers: list[ModelNode]) -> None:
        """Send a node's reports to its failure domain."""
        reports = node.limiter.make_reports(self.now_ms)
        node.limiter.record_reported(self.now_ms)
        source = f"{node.index} {node.run}"
        self.bytes += len(msgspec.msgpack.encode(reports)) * len(peers)
        at_ms = self.now_ms + self.random.randint(*NEAR_MS)
        heard = [
            peer
            for peer in peers
            if self.hears(node, peer) and self.random.random() >= LOSS
        ]

        def deliver() -> None:
            for peer in heard:
                if peer.alive:
                    peer.limiter.merge(source, reports, self.now_ms)

        self.at(at_ms, deliver)

    def send_summaries(self, node: ModelNode) -> None:
        """Send the sums of a failure domain to one node of each other one."""
        for domain in range(self.case.domains):
            if domain == node.domain:
                continue
            if self.now_ms < node.next_summary_ms.get(domain, 0):
                continue
            region = domain % self.case.regions
            is_near = region == node.region
            interval_ms = SAME_REGION_SUMMARY_MS if is_near else OTHER_REGION_SUMMARY_MS
            node.next_summary_ms[domain] = self.now_ms + interval_ms
            self.send_summary(node, domain, is_near)

    def send_summary(self, node: ModelNode, domain: int, is_near: bool) -> None:
        """Send one summary, which its receiver passes on."""
        members = self.nodes[domain :: self.case.domains]
        targets = [m for m in members if m.alive and self.hears(node, m)]
        if not targets or self.random.random() < LOSS:
            return
        receiver = self.random.choice(targets)
        reports = node.limiter.make_domain_reports(self.now_ms)
        self.bytes += len(msgspec.msgpack.encode(reports)) * len(members)
        own = self.nodes[node.domain :: self.case.domains]
        count = sum(m.alive and self.hears(node, m) for m in own)
        heard = [m for m in targets if m is receiver or self.random.random() >= LOSS]
        delay_ms = self.random.randint(*NEAR_MS) if is_near else FAR_MS

        def deliver() -> None:
            for member in heard:
                if member.alive:
                    member.limiter.merge_domain(
                        f"d{node.domain}", reports, count, self.now_ms
                    )

        self.at(self.now_ms + delay_ms + NEAR_MS[1], deliver)

    def outcome(self) -> Outcome:
        """Return the worst window against its bound, and shares."""
        seconds = self.case.seconds - SETTLED_MS / MS_PER_SECOND
        outcome = Outcome()
        for load in self.case.workspaces:
            times = self.admitted[load.name]
            lowered_from_ms = JUMP_MS + LOWERED_MS + BOUNDS.window_ms
            parts = [(times, 1.0)]
            if self.case.lowered_to < 1:
                late = [t for t in times if t >= lowered_from_ms]
                parts.append((late, self.case.lowered_to))
            for part, factor in parts:
                self.add_worst(outcome, part, load, factor)
            outcome.admitted_per_s += sum(t >= SETTLED_MS for t in times) / seconds
        outcome.refused = self.refused / max(1, self.asked)
        outcome.early_per_s = self.early / self.case.seconds / self.case.nodes
        outcome.bytes_per_s = self.bytes / self.case.seconds / self.case.nodes
        return outcome

    def add_worst(
        self, outcome: Outcome, times: list[int], load: WorkspaceLoad, factor: float
    ) -> None:
        """Keep a worst window if it is the nearest to its bound."""
        limit = load.rate_per_s * BOUNDS.window_ms / MS_PER_SECOND + load.burst
        bound = limit * factor * (1 + BOUNDS.overage) + BOUNDS.slack
        window = SlidingCount(BOUNDS.window_ms, 1)
        worst = 0
        for time_ms in times:
            window.add(time_ms)
            # The window is open at its start.
            worst = max(worst, window.at(time_ms + 1))
        if worst / bound > outcome.of_bound:
            outcome.of_bound = worst / bound
            outcome.worst_window = worst
            outcome.worst_bound = bound
