"""Decide which part of a workspace's requests this node admits."""

import math
from dataclasses import dataclass

from bilberry_core.const import MS_PER_SECOND

from .const import (
    CHANCE_MARGIN,
    EARLY_HORIZON_MS,
    EARLY_REPORT_FACTOR,
    EARLY_REPORT_FRACTION,
    EARLY_REPORT_REQUESTS,
    EXPECTED_RISE,
    HORIZON_MS,
    MAX_RISE,
    MEAN_PEER_AGE_MS,
    MIN_RISKY_USUAL,
    MIN_USUAL,
    MIN_USUAL_FRACTION,
    PART_MS,
    RECENT_MS,
    RECENT_PART_MS,
    RISE_DEVIATIONS,
    RISE_MARGIN,
    USUAL_MS,
)
from .reports import QuotaBounds
from .sliding_count import SlidingCount
from .sources import QuotaSource


@dataclass(slots=True, frozen=True)
class FleetView:
    """Count all known nodes, the reachable ones and those of the own domain.

    Each count includes this node.
    """

    known_nodes: int = 1
    reachable_nodes: int = 1
    domain_nodes: int = 1

    @property
    def reachable_fraction(self) -> float:
        """Return the fraction of all nodes that is reachable."""
        return min(1.0, self.reachable_nodes / self.known_nodes)


@dataclass(slots=True)
class UsualDemand:
    """Store the mean of the requests in `RECENT_MS` over a longer time."""

    since_ms: int
    mean: float = 0.0
    at_ms: int = 0

    def update(self, recent: int, now_ms: int) -> None:
        """Move the mean towards the present, fast at the start."""
        known_ms = min(USUAL_MS, now_ms - self.since_ms + RECENT_MS)
        weight = 1 - math.exp((self.at_ms - now_ms) / known_ms)
        self.mean += weight * (recent - self.mean)
        self.at_ms = now_ms


@dataclass(slots=True)
class DomainUse:
    """Store what another failure domain reports of the workspace."""

    source: QuotaSource
    usual: UsualDemand
    used: int = 0
    recent: int = 0


@dataclass(slots=True)
class Estimate:
    """Store an estimate of all nodes: requests in the window, and demand.

    `unseen` may have run since the others' reports, less what has left the
    window since. `demand` is what comes in `RECENT_MS`.
    """

    used: float
    unseen: float
    demand: float


class WorkspaceQuota:
    """Track the requests of one workspace at all nodes.

    `peers_used` and `peers_recent` are sums of the other nodes of the own
    failure domain. Of the requests used, `unreachable_used` are of nodes that
    are no longer reachable. `credit` is what is left of the admitted fractions
    of requests; a whole one admits a request.
    """

    __slots__ = (
        "admitted_fraction",
        "bounds",
        "burst",
        "credit",
        "demand",
        "domains",
        "peers_recent",
        "peers_used",
        "promised_ms",
        "rate_per_s",
        "reported_demand",
        "unreachable_used",
        "used",
        "usual",
    )

    def __init__(self, bounds: QuotaBounds, credit: float, now_ms: int) -> None:
        self.bounds = bounds
        self.rate_per_s = 0.0
        self.burst = 0.0
        self.used = SlidingCount(bounds.window_ms, PART_MS)
        self.demand = SlidingCount(RECENT_MS, RECENT_PART_MS)
        self.usual = UsualDemand(now_ms, at_ms=now_ms)
        self.peers_used = 0
        self.peers_recent = 0
        self.unreachable_used = 0
        self.domains: dict[str, DomainUse] = {}
        self.credit = credit
        self.admitted_fraction = 1.0
        self.promised_ms = 0
        self.reported_demand = 0

    @property
    def limit(self) -> float:
        """Return the requests that a window may hold by the limit alone."""
        return self.rate_per_s * self.bounds.window_ms / MS_PER_SECOND + self.burst

    @property
    def ceiling(self) -> float:
        """Return the requests up to which to admit, less room for chance."""
        most = self.limit * (1 + self.bounds.overage) + self.bounds.slack
        return max(most / 2, most - self.margin)

    @property
    def margin(self) -> float:
        """Return the room to leave for chance and for rises."""
        return CHANCE_MARGIN * math.sqrt(self.limit) + RISE_MARGIN * self.limit

    def domain_recent(self, now_ms: int) -> int:
        """Return the recent demand in the own failure domain."""
        return self.demand.at(now_ms) + self.peers_recent

    def rise(self, view: FleetView, now_ms: int) -> float:
        """Return the factor by which demand has risen, 1 to `MAX_RISE`.

        It may show in the own domain first, or only in the sum of all.
        """
        recent = self.domain_recent(now_ms)
        least = self._least_usual(view.domain_nodes, view.known_nodes)
        usual = max(self.usual.mean, least)
        own_rise = _rise_lower_bound(recent, usual)
        for domain in self.domains.values():
            if not domain.source.is_timed_out:
                recent += domain.recent
                usual += domain.usual.mean
        return max(own_rise, _rise_lower_bound(recent, usual))

    def estimate(self, view: FleetView, now_ms: int) -> Estimate:
        """Return what all nodes have used and will ask for.

        What rises in the own domain is taken to rise in the others too.
        """
        window_ms = self.bounds.window_ms
        rise = self.rise(view, now_ms)
        estimate = Estimate(
            self.used.at(now_ms) + self.peers_used,
            self._unseen(self.peers_recent, self.peers_used, MEAN_PEER_AGE_MS),
            self.domain_recent(now_ms),
        )
        for domain in self.domains.values():
            estimate.used += domain.used
            if domain.source.is_timed_out:
                continue
            least = self._least_usual(domain.source.node_count, view.known_nodes)
            demand = max(domain.usual.mean, least) * rise if rise > 1 else 0.0
            demand = max(demand, domain.recent)
            age_ms = min(now_ms - domain.source.reported_at_ms, window_ms)
            estimate.unseen += self._unseen(demand, domain.used, age_ms)
            estimate.demand += demand
        return estimate

    def room(self, estimate: Estimate, view: FleetView) -> float:
        """Return how many more requests the nodes heard of may admit.

        Nodes that aren't heard of may use their part of the quota.
        """
        used = estimate.used + estimate.unseen
        reachable_used = used - self.unreachable_used
        return min(
            self.ceiling - used, self.ceiling * view.reachable_fraction - reachable_used
        )

    def update_fraction(self, view: FleetView, now_ms: int) -> float:
        """Return the fraction of requests to admit now."""
        estimate = self.estimate(view, now_ms)
        leaving = (estimate.used - self.unreachable_used) / self.bounds.window_ms
        room = self.room(estimate, view)
        if room < -self.margin * view.reachable_fraction / 2:
            self.admitted_fraction = 0.0
            return 0.0
        room += leaving * HORIZON_MS
        wanted = max(estimate.demand, 1) * HORIZON_MS / RECENT_MS
        self.admitted_fraction = min(1.0, max(0.0, room / wanted))
        return self.admitted_fraction

    def update_usual(self, now_ms: int) -> None:
        """Follow the usual demand in each failure domain."""
        self.usual.update(self.domain_recent(now_ms), now_ms)
        for domain in self.domains.values():
            domain.usual.update(domain.recent, now_ms)

    def needs_early_report(self, view: FleetView, now_ms: int) -> bool:
        """Return whether others must know of the demand before it is due.

        It has just risen, or all is admitted and a rise could use the room
        before the next heartbeat.
        """
        recent = self.domain_recent(now_ms)
        if recent <= self.reported_demand:
            return False
        estimate = self.estimate(view, now_ms)
        usual = self.usual.mean + sum(d.usual.mean for d in self.domains.values())
        risk = usual * EXPECTED_RISE * EARLY_HORIZON_MS / RECENT_MS
        is_risky = self.admitted_fraction >= 1 and usual >= MIN_RISKY_USUAL
        if is_risky and risk > self.room(estimate, view):
            return True
        told = max(self.reported_demand, self.usual.mean)
        wanted = EARLY_REPORT_FACTOR * told + EARLY_REPORT_REQUESTS
        return recent >= wanted and estimate.used >= EARLY_REPORT_FRACTION * self.limit

    def wait_ms(self, view: FleetView, now_ms: int) -> int:
        """Return when this node has credit for another request."""
        window_ms = self.bounds.window_ms
        estimate = self.estimate(view, now_ms)
        room = self.room(estimate, view)
        used = max(1.0, estimate.used)
        drained_ms = max(0.0, 1 - room) * window_ms / used
        own = max(1, self.demand.at(now_ms)) / max(1.0, estimate.demand)
        per_ms = own * self.ceiling * view.reachable_fraction / window_ms
        start_ms = max(now_ms, self.promised_ms)
        self.promised_ms = round(start_ms + 1 / per_ms)
        wait_ms = max(drained_ms, self.promised_ms - now_ms)
        self.promised_ms = min(self.promised_ms, now_ms + window_ms)
        return round(min(wait_ms, window_ms))

    def _unseen(self, demand: float, used: int, age_ms: int) -> float:
        came = demand * self.admitted_fraction * age_ms / RECENT_MS
        left = used * age_ms / self.bounds.window_ms
        return max(0.0, came - left)

    def _least_usual(self, nodes: int, known_nodes: int) -> float:
        per_recent = self.rate_per_s * RECENT_MS / MS_PER_SECOND
        return MIN_USUAL_FRACTION * per_recent * nodes / max(nodes, known_nodes)


def _rise_lower_bound(recent: int, usual: float) -> float:
    """Return a lower bound of the factor by which demand has risen.

    The square root of a Poisson count has a standard deviation of about 1/2.
    """
    sure = max(0.0, math.sqrt(recent) - RISE_DEVIATIONS / 2) ** 2
    return min(max(1.0, sure / max(usual, MIN_USUAL)), MAX_RISE)
