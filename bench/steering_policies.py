"""The interface of steering policies, and baselines behind it.

The baselines follow Oracle Directory Server Enterprise Edition Reference,
ch. 16, read as policies among regions: each entry region is the pool's
client, each region a data source whose weight is its capacity, the nearest
taken first. None of them sheds.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from bilberry_core.registry import Registry
from bilberry_resources.kinds.intents import IntentSpec
from bilberry_steering.topology import regions_by_distance

from .steering_deployments import Deployment

REQUIRED_SHARE = 0.4


@dataclass(slots=True, frozen=True)
class Flow:
    """Send requests/s of a home's callers from an entry to a region."""

    service: str
    home: str
    entry: str
    region: str
    rate: float


@dataclass(slots=True)
class Moment:
    """Hold what happens in one tick.

    `entries` names the region through which each home's callers enter;
    `down` is known to the policies, `truly_down` only to the driver.
    """

    now_ms: int
    demand: dict[tuple[str, str], float]
    entries: dict[str, str]
    down: str | None
    truly_down: str | None
    planner_runs: bool
    intent: IntentSpec | None


class Policy(Protocol):
    """Steer one tick's demand."""

    def steer(self, moment: Moment) -> list[Flow]:
        """Return the flows that are sent; the rest is shed."""
        ...


PolicyFactory = Callable[[Deployment, int, int], Policy]
POLICIES: Registry[str, PolicyFactory] = Registry()


@dataclass(slots=True)
class SharePolicy:
    """Divide each entry's demand by shares that ignore load."""

    deployment: Deployment
    served: dict[tuple[str, str, str], float] = field(default_factory=dict)

    def steer(self, moment: Moment) -> list[Flow]:
        """Return flows by this policy's shares."""
        flows: list[Flow] = []
        for (service, home), rate in moment.demand.items():
            entry = moment.entries[home]
            weights = self.weights(service, entry, moment)
            for region, part in self.divide(service, entry, weights, rate).items():
                if part > 0:
                    flows.append(Flow(service, home, entry, region, part))
        return flows

    def weights(self, service: str, entry: str, moment: Moment) -> dict[str, float]:
        """Return the weights of the regions that are up, best first."""
        intent = moment.intent
        wanted = intent.weights if intent and intent.service == service else {}
        order = regions_by_distance(self.deployment.snapshot, entry)
        weights = {
            region: self.deployment.capacity(service, region) * wanted.get(region, 1.0)
            for region in order
            if region != moment.down
        }
        return {region: weight for region, weight in weights.items() if weight > 0}

    def divide(
        self, service: str, entry: str, weights: dict[str, float], rate: float
    ) -> dict[str, float]:
        """Return the requests/s that each region gets."""
        raise NotImplementedError


class StaticPolicy(SharePolicy):
    """Send everything to the nearest region that has a weight."""

    def divide(
        self, service: str, entry: str, weights: dict[str, float], rate: float
    ) -> dict[str, float]:
        """Return all for the first region."""
        return {next(iter(weights)): rate}


class ProportionalPolicy(SharePolicy):
    """Keep the load since the start in proportion to the weights."""

    def divide(
        self, service: str, entry: str, weights: dict[str, float], rate: float
    ) -> dict[str, float]:
        """Return parts that bring the sums back to the weights."""
        sums = {r: self.served.get((service, entry, r), 0.0) for r in weights}
        whole = sum(weights.values())
        total = sum(sums.values()) + rate
        lacks = {r: max(0.0, total * w / whole - sums[r]) for r, w in weights.items()}
        lack = sum(lacks.values())
        parts = {region: rate * part / lack for region, part in lacks.items()}
        for region, part in parts.items():
            key = (service, entry, region)
            self.served[key] = self.served.get(key, 0.0) + part
        return parts


class SaturationPolicy(SharePolicy):
    """Fill the nearest region up to its level, then the next as well.

    A level is the entry's part of the capacity, which is kinder than
    connections: they outnumber the slots many times.
    """

    def divide(
        self, service: str, entry: str, weights: dict[str, float], rate: float
    ) -> dict[str, float]:
        """Return parts up to each level; the excess follows the weights."""
        parts: dict[str, float] = {}
        whole = sum(weights.values())
        rest = rate
        for region, weight in weights.items():
            level = weight if region == entry else weight / len(weights)
            parts[region] = min(rest, level)
            rest -= parts[region]
        return {r: part + rest * weights[r] / whole for r, part in parts.items()}


class AdaptiveFailoverPolicy(SharePolicy):
    """Use as many regions, nearest first, as sum to a required weight."""

    def divide(
        self, service: str, entry: str, weights: dict[str, float], rate: float
    ) -> dict[str, float]:
        """Return parts by weight among the regions in use."""
        names = self.deployment.snapshot.regions
        declared = sum(self.deployment.capacity(service, r) for r in names)
        used: dict[str, float] = {}
        for region, weight in weights.items():
            if sum(used.values()) >= REQUIRED_SHARE * declared:
                break
            used[region] = weight
        whole = sum(used.values())
        return {region: rate * weight / whole for region, weight in used.items()}


@POLICIES.register("static weights")
def make_static(deployment: Deployment, lag_ms: int, seed: int) -> Policy:
    """Return the policy of static weights."""
    return StaticPolicy(deployment)


@POLICIES.register("proportional")
def make_proportional(deployment: Deployment, lag_ms: int, seed: int) -> Policy:
    """Return the paper's proportional policy."""
    return ProportionalPolicy(deployment)


@POLICIES.register("saturation")
def make_saturation(deployment: Deployment, lag_ms: int, seed: int) -> Policy:
    """Return the paper's saturation policy."""
    return SaturationPolicy(deployment)


@POLICIES.register("adaptive failover")
def make_adaptive(deployment: Deployment, lag_ms: int, seed: int) -> Policy:
    """Return the paper's adaptive failover policy."""
    return AdaptiveFailoverPolicy(deployment)
