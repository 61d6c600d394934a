"""Judge a policy's flows from outside, whatever it says of itself."""

from dataclasses import dataclass, field

from bilberry_resources.kinds.intents import IntentSpec
from bilberry_steering.resources import link_resource
from bilberry_steering.topology import one_way_delay_ms

from .steering_deployments import Deployment
from .steering_policies import Flow, Moment

TOLERANCE = 1e-6
Shares = dict[str, dict[str, float]]


@dataclass(slots=True)
class Metrics:
    """Sum a run's outcome; overshoots are shares above the bound."""

    deployment: Deployment
    wanted: float = 0.0
    served: float = 0.0
    latency_sum: float = 0.0
    headroom_sum: float = 0.0
    ticks: int = 0
    capacity_over: float = 0.0
    link_over: float = 0.0
    cap_over: float = 0.0
    history: list[tuple[int, Shares]] = field(default_factory=list)
    delays: dict[tuple[str, str], float] = field(default_factory=dict)

    def add(self, moment: Moment, flows: list[Flow]) -> None:
        """Take in one tick."""
        self.ticks += 1
        self.wanted += sum(moment.demand.values())
        self.judge_regions(moment, flows)
        self.judge_links(flows)

    def judge_regions(self, moment: Moment, flows: list[Flow]) -> None:
        """Compare loads with capacities; what passes them is not served."""
        loads: dict[tuple[str, str], float] = {}
        for flow in flows:
            key = (flow.service, flow.region)
            loads[key] = loads.get(key, 0.0) + flow.rate
        least = 1.0
        for service in self.deployment.snapshot.services:
            for region in self.deployment.snapshot.regions:
                load = loads.get((service, region), 0.0)
                capacity = self.deployment.capacity(service, region)
                over = load / capacity - 1
                if over > TOLERANCE:
                    self.capacity_over = max(self.capacity_over, over)
                if region != moment.truly_down:
                    least = min(least, 1 - load / capacity)
        self.headroom_sum += max(0.0, least)
        for flow in flows:
            if moment.truly_down in (flow.region, flow.entry):
                continue
            capacity = self.deployment.capacity(flow.service, flow.region)
            load = loads[(flow.service, flow.region)]
            served = flow.rate * min(1.0, capacity / load)
            self.served += served
            self.latency_sum += served * self.delay(flow)

    def delay(self, flow: Flow) -> float:
        """Return a flow's one-way delay from caller to region in ms."""
        to_entry = self.between(flow.home, flow.entry)
        onward = self.between(flow.entry, flow.region)
        return self.deployment.client_ms + to_entry + onward

    def between(self, source: str, target: str) -> float:
        """Return the one-way delay between two regions in ms."""
        key = (source, target)
        if key not in self.delays:
            delay = one_way_delay_ms(self.deployment.snapshot, source, target)
            self.delays[key] = delay
        return self.delays[key]

    def judge_links(self, flows: list[Flow]) -> None:
        """Compare the bytes on each link with its budget."""
        loads: dict[str, float] = {}
        for flow in flows:
            if flow.entry == flow.region:
                continue
            spec = self.deployment.snapshot.services[flow.service]
            out = link_resource(flow.entry, flow.region)
            back = link_resource(flow.region, flow.entry)
            loads[out] = loads.get(out, 0.0) + flow.rate * spec.request_bytes
            loads[back] = loads.get(back, 0.0) + flow.rate * spec.response_bytes
        for link in self.deployment.snapshot.links.values():
            load = loads.get(link_resource(link.source, link.target), 0.0)
            over = load / link.budget_bytes_per_s - 1
            if over > TOLERANCE:
                self.link_over = max(self.link_over, over)

    def judge_shift(
        self, moment: Moment, flows: list[Flow], intent: IntentSpec
    ) -> None:
        """Compare what moved within a step time with the cap.

        Counted are callers that arrive in regions the intent fills,
        against where the same homes' callers went at any moment since.
        """
        totals: Shares = {}
        for flow in flows:
            if flow.service == intent.service:
                by_region = totals.setdefault(flow.home, {})
                rate = by_region.get(flow.region, 0.0) + flow.rate
                by_region[flow.region] = rate
        rates = {home: sum(parts.values()) for home, parts in totals.items()}
        shares = {
            home: {region: rate / rates[home] for region, rate in parts.items()}
            for home, parts in totals.items()
        }
        self.history.append((moment.now_ms, shares))
        cap = intent.cap.max_share * sum(rates.values())
        if intent.cap.max_rate_per_s is not None:
            cap = min(cap, intent.cap.max_rate_per_s)
        since_ms = moment.now_ms - intent.step_ms
        self.history = [entry for entry in self.history if entry[0] >= since_ms]
        for _, earlier in self.history:
            moved = sum(
                rates[home] * arrivals(earlier[home], shares[home], intent)
                for home in shares
                if home in earlier
            )
            if moved > cap * (1 + TOLERANCE):
                self.cap_over = max(self.cap_over, moved / cap - 1)

    @property
    def served_share(self) -> float:
        """Return the share of requests that were served."""
        return self.served / self.wanted if self.wanted else 0.0

    @property
    def headroom(self) -> float:
        """Return the mean over time of the least headroom of any region."""
        return self.headroom_sum / self.ticks if self.ticks else 0.0

    @property
    def latency_ms(self) -> float:
        """Return the mean one-way path delay of served requests in ms."""
        return self.latency_sum / self.served if self.served else 0.0


def arrivals(
    earlier: dict[str, float], now: dict[str, float], intent: IntentSpec
) -> float:
    """Return the share of callers that arrived where the intent sends."""
    return sum(
        max(0.0, share - earlier.get(region, 0.0))
        for region, share in now.items()
        if intent.weights.get(region, 0) > 0
    )
