"""Play a fleet's requests through the real placement, on a manual clock."""

import random
from collections import Counter
from dataclasses import dataclass, field, replace

from bilberry_balance.placement.admission import Refusal
from bilberry_balance.placement.candidates import Selection, UpstreamRequirements
from bilberry_balance.placement.distances import Distance, Location
from bilberry_balance.placement.processing_times import ProcessingTimes
from bilberry_balance.placement.queue import QueueEntry
from bilberry_balance.placement.upstream import UpstreamSpec
from bilberry_core.clock import ManualClock
from bilberry_core.const import MS_PER_SECOND
from bilberry_router.entry.const import EXPIRY_INTERVAL_MS, QUEUE_POLL_MS
from bilberry_router.entry.placer import PlacementRequest

from .placement_attempt import Flow, Grant, SimulatedAttempt, flow_of
from .placement_events import EventLoop
from .placement_machines import Machine
from .placement_model import (
    Call,
    DeploymentModel,
    RestartSpell,
    ServiceModel,
    UpstreamModel,
    arrival_gap_ms,
    spell_of,
)
from .placement_node import SimulatedNode, make_node
from .placement_peers import PeerMessages

CLIENT_MS = 2
QUEUED_PER_SLOT = 3
OBJECT_SKEW = 0.2


@dataclass(slots=True)
class PlacementSimulation:
    """Run one deployment's load; `calls` holds how each request ended."""

    model: DeploymentModel
    seed: int
    rng: random.Random = field(init=False)
    loop: EventLoop = field(default_factory=EventLoop)
    upstreams: dict[str, UpstreamModel] = field(default_factory=dict)
    specs: dict[str, UpstreamSpec] = field(default_factory=dict)
    nodes: dict[str, list[SimulatedNode]] = field(default_factory=dict)
    calls: list[Call] = field(default_factory=list)
    flows: Counter[Flow] = field(default_factory=Counter)
    connects: int = 0

    @property
    def clock(self) -> ManualClock:
        """Return the clock that all parts use."""
        return self.loop.clock

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
                machines = self.model.machines
                rng = random.Random(f"{self.seed} {name}")
                self.upstreams[name] = UpstreamModel(
                    service,
                    self.rng,
                    service.slots * QUEUED_PER_SLOT,
                    spell_of(self.model.slow_spell, service, index),
                    spell_of(self.model.rate_limit_spell, service, index),
                    spell_of(self.model.restart_spell, service, index),
                    Machine(machines, rng) if machines else None,
                )

    def run(self, duration_ms: int) -> None:
        """Play requests for a duration; the last ones may not have ended."""
        PeerMessages(self.loop, self.model, self.nodes).start(self.rng)
        for domain, nodes in self.nodes.items():
            self.loop.at(0, self.arrive, domain, duration_ms)
            for node in nodes:
                first_ms = self.rng.randrange(QUEUE_POLL_MS)
                self.loop.at(first_ms, self.poll_queues, node)
                self.loop.at(first_ms, self.adjust_rate_limits, node)
        for name, upstream in self.upstreams.items():
            if upstream.restart_spell is not None:
                self.schedule_news(name, upstream.restart_spell)
        self.loop.run(duration_ms)

    def schedule_news(self, name: str, spell: RestartSpell) -> None:
        """Let each node read the entry of an upstream that started again."""
        for nodes in self.nodes.values():
            for node in nodes:
                news_ms = self.rng.randint(spell.min_news_ms, spell.max_news_ms)
                self.loop.at(spell.end_ms + news_ms, self.read_entry, node, name, spell)

    def read_entry(self, node: SimulatedNode, name: str, spell: RestartSpell) -> None:
        """Let a node know of the new incarnation of an upstream."""
        now_ms = self.clock.now_ms()
        spec = replace(self.specs[name], started_at_ms=spell.end_ms)
        upstreams = node.state.upstreams
        cold_left_ms = spell.end_ms + spell.cold_ms - now_ms
        upstream = upstreams.put(spec, draining=False)
        upstreams.mark_cold(upstream, cold_left_ms, self.model.cold_per_s, now_ms)

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
        self.loop.after(arrival_gap_ms(self.rng, per_s), self.arrive, domain, until_ms)
        shares = [service.share for service in self.model.services]
        service = self.rng.choices(self.model.services, shares)[0]
        weights = [(n + 1) ** -OBJECT_SKEW for n in range(service.objects)]
        number = self.rng.choices(range(service.objects), weights)[0]
        call = Call(service, f"{service.name}{number}", region, domain, now_ms)
        self.calls.append(call)
        self.loop.after(CLIENT_MS, self.submit, call)

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
            call.deadline_ms(),
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
            grant.on_set = lambda: self.loop.after(
                0, self.end_wait, node, call, begun, now_ms
            )
            end_ms = max(now_ms, begun.give_up_at_ms) + 1
            self.loop.at(end_ms, self.give_up, node, call, begun, now_ms)

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
            return
        assert isinstance(ended, Refusal), "the routes of a simulation don't change"
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
        left_ms = call.deadline_ms() - self.clock.now_ms()
        if call.retries_left and refusal.retry_after_ms <= left_ms / 3:
            call.retries_left -= 1
            self.loop.after(refusal.retry_after_ms + 2 * CLIENT_MS, self.submit, call)
        else:
            call.refused = True

    # Upstreams

    def send(self, node: SimulatedNode, call: Call, selection: Selection) -> None:
        """Send a request to the selected upstream."""
        upstream = selection.upstream
        attempt = SimulatedAttempt(node, call, selection, self.clock.now_ms())
        self.flows[flow_of(attempt)] += 1
        delay_ms = self.delay_ms(node.location, upstream.spec)
        self.loop.at(call.deadline_ms(), self.time_out, attempt)
        if node.take_connection(upstream):
            self.loop.after(delay_ms, self.receive, attempt)
        else:
            self.connects += 1
            attempt.connect_ms = 2 * delay_ms
            node.state.selector.distances.observe(upstream.spec, attempt.connect_ms)
            self.loop.after(attempt.connect_ms + delay_ms, self.receive, attempt)

    def receive(self, attempt: SimulatedAttempt) -> None:
        """Run a request at its upstream, queue it or turn it away."""
        upstream = self.upstreams[attempt.selection.upstream.name]
        now_ms = self.clock.now_ms()
        if upstream.restart_spell and upstream.restart_spell.is_down(now_ms):
            self.loop.after(self.way_back_ms(attempt), self.refused, attempt)
            return
        upstream.arrivals_ms.append(now_ms)
        if upstream.running < upstream.service.slots:
            self.work(attempt)
        elif len(upstream.waiting) < upstream.queue_limit:
            upstream.waiting.append(attempt)
        else:
            self.loop.after(
                self.way_back_ms(attempt),
                self.turned_away,
                attempt,
                len(upstream.waiting),
            )

    def work(self, attempt: SimulatedAttempt) -> None:
        """Occupy a slot until the work is done."""
        upstream = self.upstreams[attempt.selection.upstream.name]
        attempt.is_working = True
        work_ms = upstream.begin(attempt.call.key, self.clock.now_ms())
        self.loop.after(work_ms, self.finish, attempt)

    def finish(self, attempt: SimulatedAttempt) -> None:
        """End a request's work, unless it was cancelled, and answer it."""
        if not attempt.is_working:
            return
        self.free_slot(attempt)
        upstream = self.upstreams[attempt.selection.upstream.name]
        now_ms = self.clock.now_ms()
        load = upstream.load_report(now_ms)
        limit_per_s = upstream.rate_limit(now_ms)
        self.loop.after(
            self.way_back_ms(attempt), self.answered, attempt, load, limit_per_s
        )

    def free_slot(self, attempt: SimulatedAttempt) -> None:
        """End a request's work and start the next one that waits."""
        upstream = self.upstreams[attempt.selection.upstream.name]
        attempt.is_working = False
        upstream.end(attempt.call.key)
        while upstream.waiting:
            waiting = upstream.waiting.popleft()
            if not waiting.has_ended:
                self.work(waiting)
                return

    def way_back_ms(self, attempt: SimulatedAttempt) -> int:
        """Return the one-way delay from an attempt's upstream."""
        return self.delay_ms(attempt.node.location, attempt.selection.upstream.spec)

    def answered(
        self,
        attempt: SimulatedAttempt,
        load: tuple[int, int, float] | None,
        limit_per_s: float | None,
    ) -> None:
        """Record an answer at its node and hand it to the caller."""
        if attempt.has_ended:
            return
        now_ms = self.clock.now_ms()
        self.end_attempt(attempt)
        node, upstream = attempt.node, attempt.selection.upstream
        times = self.processing_times(node, attempt.call.service)
        if load is not None:
            upstream.on_report(*load, now_ms)
        node.state.restarts.on_answer(upstream, now_ms)
        upstream.rate_limit.on_answer(limit_per_s, now_ms)
        node.keep_connection(upstream)
        distances = node.state.selector.distances
        way_ms = distances.round_trip_ms(upstream.spec) + attempt.connect_ms
        is_local = distances.between(upstream.spec) is not Distance.OTHER_REGION
        took_ms = max(0.0, now_ms - attempt.sent_at_ms - way_ms)
        paces = (attempt.selection.pace, upstream.pace.at(now_ms))
        ratio = times.observe(attempt.selection.warmth, took_ms, is_local, paces)
        upstream.on_processing_time(ratio, now_ms)
        attempt.call.ended_ms = now_ms + CLIENT_MS
        self.start_queued(attempt)

    def refused(self, attempt: SimulatedAttempt) -> None:
        """Place a request again whose connection was refused."""
        if attempt.has_ended:
            return
        self.end_attempt(attempt)
        upstream = attempt.selection.upstream
        restarts = attempt.node.state.restarts
        restarts.on_unreachable(upstream, True, self.clock.now_ms())
        self.start_queued(attempt)
        self.submit(attempt.call)

    def turned_away(self, attempt: SimulatedAttempt, waiting: int) -> None:
        """Place a request again that a full upstream refused."""
        if attempt.has_ended:
            return
        self.end_attempt(attempt)
        now_ms = self.clock.now_ms()
        attempt.selection.upstream.on_shed(False, waiting, now_ms)
        self.start_queued(attempt)
        self.submit(attempt.call)

    def time_out(self, attempt: SimulatedAttempt) -> None:
        """Cancel an attempt that has no answer at its deadline."""
        if attempt.has_ended:
            return
        self.end_attempt(attempt)
        now_ms = self.clock.now_ms()
        expected_ms = max(attempt.selection.expected_ms, 1.0)
        ratio = (now_ms - attempt.sent_at_ms) / expected_ms
        attempt.selection.upstream.on_processing_time(ratio, now_ms)
        self.start_queued(attempt)
        self.loop.after(self.way_back_ms(attempt), self.cancel_work, attempt)

    def cancel_work(self, attempt: SimulatedAttempt) -> None:
        """Free the slot of a cancelled request."""
        if attempt.is_working:
            self.free_slot(attempt)

    def end_attempt(self, attempt: SimulatedAttempt) -> None:
        """Free the slot that its node had reserved."""
        attempt.has_ended = True
        attempt.node.placer.free_slot(attempt.selection.upstream)

    def start_queued(self, attempt: SimulatedAttempt) -> None:
        """Start what waits for the slot of an attempt that was recorded."""
        attempt.node.placer.start_queued(attempt.call.service.name)

    def adjust_rate_limits(self, node: SimulatedNode) -> None:
        """Adjust a node to rate limits, as it does at regular intervals."""
        node.state.adjust_rate_limits(self.clock.now_ms())
        self.loop.after(EXPIRY_INTERVAL_MS, self.adjust_rate_limits, node)

    def poll_queues(self, node: SimulatedNode) -> None:
        """Serve a node's queues, as it does at regular intervals."""
        for service in list(node.placer.queues):
            node.placer.start_queued(service)
        self.loop.after(QUEUE_POLL_MS, self.poll_queues, node)


def run_seconds(model: DeploymentModel, seed: int, seconds: int) -> PlacementSimulation:
    """Return a simulation that has played for some seconds."""
    simulation = PlacementSimulation(model, seed)
    simulation.run(seconds * MS_PER_SECOND)
    return simulation
