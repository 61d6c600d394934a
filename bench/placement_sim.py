"""Play a fleet's requests through the real placement, on a manual clock."""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from bilberry_balance.placement.admission import Refusal
from bilberry_balance.placement.candidates import Selection, UpstreamRequirements
from bilberry_balance.placement.distances import Distance, Location
from bilberry_balance.placement.processing_times import ProcessingTimes
from bilberry_balance.placement.queue import QueueEntry
from bilberry_balance.placement.upstream import UpstreamSpec
from bilberry_core.clock import ManualClock
from bilberry_core.const import MS_PER_SECOND
from bilberry_router.entry.const import QUEUE_POLL_MS
from bilberry_router.entry.placer import PlacementRequest

from .placement_model import (
    Call,
    DeploymentModel,
    ServiceModel,
    UpstreamModel,
    arrival_gap_ms,
)
from .placement_node import SimulatedNode, make_node

CLIENT_MS = 2
HEARTBEAT_MS = 300
REGION_SUMMARY_MS = 250
DISTANT_SUMMARY_MS = 1_000
QUEUED_PER_SLOT = 3
OBJECT_SKEW = 0.2


@dataclass(slots=True)
class Grant:
    """Hold the slot granted to a queued request."""

    value: Selection | None = None
    on_set: Callable[[], None] | None = None

    def ready(self) -> bool:
        """Return whether the wait has ended."""
        return self.value is not None

    def set(self, selection: Selection | None) -> None:
        """Grant the slot."""
        self.value = selection
        if self.on_set is not None:
            self.on_set()


@dataclass(slots=True)
class PlacementSimulation:
    """Run one deployment's load; `calls` holds how each request ended."""

    model: DeploymentModel
    seed: int
    rng: random.Random = field(init=False)
    clock: ManualClock = field(default_factory=ManualClock)
    events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = field(
        default_factory=list
    )
    event_count: int = 0
    upstreams: dict[str, UpstreamModel] = field(default_factory=dict)
    specs: dict[str, UpstreamSpec] = field(default_factory=dict)
    nodes: dict[str, list[SimulatedNode]] = field(default_factory=dict)
    calls: list[Call] = field(default_factory=list)
    connects: int = 0

    def __post_init__(self) -> None:
        """Create the upstreams and the nodes."""
        self.rng = random.Random(self.seed)
        for service in self.model.services:
            self.add_upstreams(service)
        for region in self.model.phases:
            for index in range(self.model.domains_per_region):
                domain = f"{region}-{index}"
                self.nodes[domain] = [
                    make_node(
                        f"{domain}-{number}",
                        Location(domain, region),
                        self.clock,
                        self.model,
                        list(self.specs.values()),
                    )
                    for number in range(self.model.nodes_per_domain)
                ]

    def add_upstreams(self, service: ServiceModel) -> None:
        """Create a service's upstreams, spread over each region's domains."""
        for region, count in service.upstreams.items():
            for index in range(count):
                name = f"{service.name}-{region}-{index}"
                domain = f"{region}-{index % self.model.domains_per_region}"
                self.specs[name] = UpstreamSpec(
                    name, service.name, name, domain, region, service.slots
                )
                self.upstreams[name] = UpstreamModel(
                    service, self.rng, service.slots * QUEUED_PER_SLOT
                )

    def at(self, at_ms: int, function: Callable[..., None], *args: Any) -> None:
        """Schedule a call."""
        self.event_count += 1
        heapq.heappush(self.events, (at_ms, self.event_count, function, args))

    def after(self, delay_ms: int, function: Callable[..., None], *args: Any) -> None:
        """Schedule a call after a delay."""
        self.at(self.clock.now_ms() + delay_ms, function, *args)

    def run(self, duration_ms: int) -> None:
        """Play requests for a duration, and let the last ones end."""
        for domain in self.nodes:
            self.at(0, self.arrive, domain, duration_ms)
            self.at(0, self.send_summaries, domain, REGION_SUMMARY_MS, True)
            self.at(0, self.send_summaries, domain, DISTANT_SUMMARY_MS, False)
            for node in self.nodes[domain]:
                self.at(self.rng.randrange(HEARTBEAT_MS), self.send_heartbeat, node)
                self.at(self.rng.randrange(QUEUE_POLL_MS), self.poll_queues, node)
        while self.events and self.events[0][0] <= duration_ms:
            at_ms, _, function, args = heapq.heappop(self.events)
            self.clock.advance(at_ms - self.clock.now_ms())
            function(*args)

    def delay_ms(self, here: Location, there: UpstreamSpec) -> int:
        """Return the one-way delay between a node and an upstream."""
        if here.failure_domain == there.failure_domain:
            return 0
        if here.region == there.region:
            return self.model.domain_ms
        return self.model.region_ms

    # Callers

    def arrive(self, domain: str, until_ms: int) -> None:
        """Start a request of a domain, and schedule the next one."""
        now_ms = self.clock.now_ms()
        region = domain.rpartition("-")[0]
        per_s = self.model.per_s / len(self.nodes)
        per_s *= self.model.load_factor(region, now_ms)
        self.after(arrival_gap_ms(self.rng, per_s), self.arrive, domain, until_ms)
        shares = [service.share for service in self.model.services]
        service = self.rng.choices(self.model.services, shares)[0]
        weights = [(n + 1) ** -OBJECT_SKEW for n in range(service.objects)]
        number = self.rng.choices(range(service.objects), weights)[0]
        call = Call(service, f"{service.name}{number}", region, domain, now_ms)
        self.calls.append(call)
        self.after(CLIENT_MS, self.submit, call)

    def submit(self, call: Call) -> None:
        """Give a request to a node of the caller's domain."""
        node = self.rng.choice(self.nodes[call.domain])
        service = call.service
        now_ms = self.clock.now_ms()
        requirements = UpstreamRequirements(
            service.name, call.key, self.processing_times(node, service)
        )
        grant = Grant()
        request = PlacementRequest(
            requirements,
            service.priority,
            service.target_ms,
            now_ms,
            now_ms + service.target_ms,
            now_ms + service.timeout_ms,
            grant,
        )
        begun = node.placer.begin(request, now_ms)
        if isinstance(begun, Selection):
            self.send(node, call, begun)
        elif isinstance(begun, Refusal):
            self.refuse(call, begun)
        elif grant.ready():
            self.end_wait(node, call, begun, now_ms)
        else:
            grant.on_set = lambda: self.after(
                0, self.end_wait, node, call, begun, now_ms
            )
            end_ms = max(now_ms, begun.give_up_at_ms) + 1
            self.at(end_ms, self.give_up, node, call, begun, now_ms)

    def processing_times(
        self, node: SimulatedNode, service: ServiceModel
    ) -> ProcessingTimes:
        """Return what a node knows of the times of a service's requests."""
        config = node.state.routes.config
        assert config is not None, "each node has a configuration"
        rule = next(rule for rule in config.routes if rule.name == service.name)
        return node.state.processing_times(rule, service.name)

    def end_wait(
        self,
        node: SimulatedNode,
        call: Call,
        entry: QueueEntry[PlacementRequest],
        queued_at_ms: int,
    ) -> None:
        """Send a queued request that got a slot, or refuse it."""
        ended = node.placer.end_wait(entry, queued_at_ms)
        if isinstance(ended, Selection):
            self.send(node, call, ended)
        else:
            self.refuse(call, ended)

    def give_up(
        self,
        node: SimulatedNode,
        call: Call,
        entry: QueueEntry[PlacementRequest],
        queued_at_ms: int,
    ) -> None:
        """End the wait of a request that got no slot."""
        if not entry.item.granted.ready():
            self.end_wait(node, call, entry, queued_at_ms)

    def refuse(self, call: Call, refusal: Refusal) -> None:
        """Let a refused caller come back once, if there is time."""
        left_ms = call.started_ms + call.service.timeout_ms - self.clock.now_ms()
        if call.retries_left and refusal.retry_after_ms <= left_ms / 3:
            call.retries_left -= 1
            self.after(refusal.retry_after_ms + 2 * CLIENT_MS, self.submit, call)
        else:
            call.refused = True

    # Upstreams

    def send(self, node: SimulatedNode, call: Call, selection: Selection) -> None:
        """Send a request to the selected upstream."""
        delay_ms = self.delay_ms(node.location, selection.upstream.spec)
        if not node.take_connection(selection.upstream):
            self.connects += 1
            node.state.selector.distances.observe(selection.upstream.spec, 2 * delay_ms)
            self.after(2 * delay_ms, self.send_connected, node, call, selection)
        else:
            self.send_connected(node, call, selection)

    def send_connected(
        self, node: SimulatedNode, call: Call, selection: Selection
    ) -> None:
        """Send a request on a connection."""
        delay_ms = self.delay_ms(node.location, selection.upstream.spec)
        sent_at_ms = self.clock.now_ms()
        self.after(delay_ms, self.receive, node, call, selection, sent_at_ms)

    def receive(
        self, node: SimulatedNode, call: Call, selection: Selection, sent_at_ms: int
    ) -> None:
        """Run a request at its upstream, queue it or turn it away."""
        upstream = self.upstreams[selection.upstream.name]
        if upstream.running < upstream.service.slots:
            self.work(node, call, selection, sent_at_ms)
        elif len(upstream.waiting) < upstream.queue_limit:
            upstream.waiting.append((node, call, selection, sent_at_ms))
        else:
            delay_ms = self.delay_ms(node.location, selection.upstream.spec)
            waiting = len(upstream.waiting)
            self.after(delay_ms, self.turned_away, node, call, selection, waiting)

    def work(
        self, node: SimulatedNode, call: Call, selection: Selection, sent_at_ms: int
    ) -> None:
        """Occupy a slot until the work is done."""
        upstream = self.upstreams[selection.upstream.name]
        work_ms = upstream.begin(call.key)
        self.after(work_ms, self.finish, node, call, selection, sent_at_ms)

    def finish(
        self, node: SimulatedNode, call: Call, selection: Selection, sent_at_ms: int
    ) -> None:
        """End a request's work and start the next one that waits."""
        upstream = self.upstreams[selection.upstream.name]
        upstream.end(call.key)
        if upstream.waiting:
            self.work(*upstream.waiting.popleft())  # type: ignore[misc]
        load = (upstream.running, len(upstream.waiting))
        delay_ms = self.delay_ms(node.location, selection.upstream.spec)
        self.after(delay_ms, self.answered, node, call, selection, sent_at_ms, load)

    def answered(
        self,
        node: SimulatedNode,
        call: Call,
        selection: Selection,
        sent_at_ms: int,
        load: tuple[int, int],
    ) -> None:
        """Record an answer at its node and hand it to the caller."""
        now_ms = self.clock.now_ms()
        state, upstream = node.state, selection.upstream
        times = self.processing_times(node, call.service)
        node.placer.release(upstream)
        upstream.on_report(*load, now_ms)
        upstream.on_answer(0, now_ms)
        node.keep_connection(upstream)
        distances = state.selector.distances
        way_ms = distances.round_trip_ms(upstream.spec)
        is_local = distances.between(upstream.spec) is not Distance.OTHER_REGION
        took_ms = max(0.0, now_ms - sent_at_ms - way_ms)
        ratio = times.observe(selection.warmth, took_ms, is_local)
        upstream.on_processing_time(ratio, now_ms)
        call.ended_ms = now_ms + CLIENT_MS

    def turned_away(
        self, node: SimulatedNode, call: Call, selection: Selection, waiting: int
    ) -> None:
        """Place a request again that a full upstream refused."""
        now_ms = self.clock.now_ms()
        node.placer.release(selection.upstream)
        selection.upstream.on_shed(False, waiting, now_ms)
        self.submit(call)

    # What nodes tell each other

    def send_heartbeat(self, node: SimulatedNode) -> None:
        """Tell the other nodes of the domain this node's requests."""
        counts = node.state.in_flight()
        now_ms = self.clock.now_ms()
        for peer in self.nodes[node.location.failure_domain]:
            if peer is not node:
                peer.state.peer_loads.update(node.state.node, counts, now_ms)
        self.after(HEARTBEAT_MS, self.send_heartbeat, node)

    def send_summaries(self, domain: str, interval_ms: int, in_region: bool) -> None:
        """Tell the nodes of other domains the requests of this one."""
        total: Counter[str] = Counter()
        for node in self.nodes[domain]:
            total.update(node.state.in_flight())
        region = domain.rpartition("-")[0]
        for other, nodes in self.nodes.items():
            same = other.rpartition("-")[0] == region
            if other == domain or same is not in_region:
                continue
            delay_ms = self.model.domain_ms if same else self.model.region_ms
            self.after(delay_ms, self.receive_summary, nodes, domain, total, same)
        self.after(interval_ms, self.send_summaries, domain, interval_ms, in_region)

    def receive_summary(
        self,
        nodes: list[SimulatedNode],
        domain: str,
        total: Counter[str],
        same_region: bool,
    ) -> None:
        """Merge another domain's requests at some nodes."""
        now_ms = self.clock.now_ms()
        for node in nodes:
            loads = node.state.peer_loads
            if same_region:
                loads.update(domain, total, now_ms)
            else:
                loads.update_mean(domain, total, now_ms)

    def poll_queues(self, node: SimulatedNode) -> None:
        """Serve a node's queues, as it does at regular intervals."""
        for service in list(node.placer.queues):
            node.placer.start_queued(service)
        self.after(QUEUE_POLL_MS, self.poll_queues, node)


def run_seconds(model: DeploymentModel, seed: int, seconds: int) -> PlacementSimulation:
    """Return a simulation that has played for some seconds."""
    simulation = PlacementSimulation(model, seed)
    simulation.run(seconds * MS_PER_SECOND)
    return simulation
