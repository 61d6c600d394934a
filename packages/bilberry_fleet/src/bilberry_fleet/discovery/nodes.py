"""Track the other nodes through the store, heartbeats and summaries."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from bilberry_balance.placement.rate_limit import RateLimitReport
from bilberry_balance.placement.rate_limiter import newest_reports
from bilberry_core.ids import stable_hash

from .const import (
    DETAILS_MS,
    MAX_MISSED_SUMMARIES,
    OTHER_REGION_TIMEOUT_MS,
    SAME_DOMAIN_TIMEOUT_MS,
    SAME_REGION_TIMEOUT_MS,
)
from .messages import DomainSummary, Heartbeat, NodeInfo


@dataclass(slots=True)
class Peer:
    """Store what is known about another node; times in monotonic ms.

    `last_seen_ms` is when it last sent a heartbeat or was in a summary, and
    `missed_summaries` counts its domain's summaries without it since then.
    The live node with the lowest `rank` leads its failure domain.
    """

    info: NodeInfo
    rank: tuple[int, str]
    last_seen_ms: int | None = None
    first_heartbeat_ms: int | None = None
    sequence: int = 0
    missed_summaries: int = 0
    ready: bool = False
    in_flight: dict[str, int] = field(default_factory=dict)
    revisions: list[int] = field(default_factory=list)
    store_era: int = 0
    rate_limits: list[RateLimitReport] = field(default_factory=list)
    send_rates: dict[str, float] = field(default_factory=dict)
    can_read: bool = True


@dataclass(slots=True)
class SummarySource:
    """Store who sent a domain's latest summary, and its sequence."""

    run_id: str
    sequence: int


@dataclass(slots=True)
class PeerTable:
    """Track the other nodes and whether they are alive.

    Nodes of the own failure domain send heartbeats; those of other domains
    are known from summaries.
    """

    own: NodeInfo
    peers: dict[str, Peer] = field(default_factory=dict)
    by_domain: dict[str, dict[str, Peer]] = field(default_factory=dict)
    ended_runs: set[str] = field(default_factory=set)
    summaries: dict[str, SummarySource] = field(default_factory=dict)

    def on_stored_nodes(self, infos: list[NodeInfo], now_ms: int) -> None:
        """Apply the nodes listed in the store, except to live peers."""
        for info in infos:
            known = self.peers.get(info.name)
            if known is None or not self.is_alive(known, now_ms):
                self._get_or_add(info, is_heard=False)
        listed = {info.name for info in infos}
        for name, peer in list(self.peers.items()):
            if name not in listed and not self.is_alive(peer, now_ms):
                self._remove(peer)

    def on_heartbeat(self, heartbeat: Heartbeat, now_ms: int) -> bool:
        """Apply a heartbeat; return False for an outdated one."""
        peer = self._get_or_add(heartbeat.node)
        if peer is None or heartbeat.sequence <= peer.sequence:
            return False
        if peer.first_heartbeat_ms is None:
            peer.first_heartbeat_ms = now_ms
        peer.last_seen_ms = now_ms
        peer.sequence = heartbeat.sequence
        peer.ready = heartbeat.ready
        peer.in_flight = heartbeat.in_flight
        peer.revisions = heartbeat.revisions
        peer.store_era = heartbeat.store_era
        peer.rate_limits = heartbeat.rate_limits
        peer.send_rates = heartbeat.send_rates
        peer.can_read = heartbeat.can_read
        return True

    def on_summary(self, summary: DomainSummary, now_ms: int) -> bool:
        """Apply another domain's summary; return False for an outdated one."""
        if summary.failure_domain == self.own.failure_domain:
            return False
        if not self._accept_summary(summary):
            return False
        for info in summary.details:
            self._get_or_add(info)
        for names, ready in ((summary.ready, True), (summary.not_ready, False)):
            for name in names:
                peer = self.peers.get(name)
                if peer is not None:
                    peer.last_seen_ms = now_ms
                    peer.missed_summaries = 0
                    peer.ready = ready
        self._count_missing(summary)
        return True

    def summarize(self, own: Heartbeat, is_new: bool, now_ms: int) -> DomainSummary:
        """Return the summary of this node's failure domain.

        With `is_new` this node started recently.
        """
        names: dict[bool, list[str]] = {True: [], False: []}
        names[own.ready].append(self.own.name)
        in_flight = Counter(own.in_flight)
        send_rates: Counter[str] = Counter()
        send_rates.update(own.send_rates)
        rate_limits = [own.rate_limits]
        revisions = own.revisions
        details = [self.own] if is_new else []
        for peer in self.domain_peers(now_ms):
            names[peer.ready].append(peer.info.name)
            in_flight.update(peer.in_flight)
            send_rates.update(peer.send_rates)
            rate_limits.append(peer.rate_limits)
            if peer.store_era == own.store_era:
                pairs = zip(revisions, peer.revisions, strict=False)
                revisions = [max(pair) for pair in pairs] or revisions
            if now_ms - (peer.first_heartbeat_ms or 0) < DETAILS_MS:
                details.append(peer.info)
        return DomainSummary(
            sender=self.own.name,
            run_id=self.own.run_id,
            sequence=own.sequence,
            failure_domain=self.own.failure_domain,
            ready=names[True],
            not_ready=names[False],
            details=details,
            in_flight=dict(in_flight),
            suspects=own.suspects,
            revisions=revisions,
            slow_upstreams=own.slow_upstreams,
            rate_limits=newest_reports(rate_limits),
            send_rates=dict(send_rates),
            store_era=own.store_era,
            restarts=own.restarts,
        )

    def leads_domain(self, now_ms: int) -> bool:
        """Return whether this node is the first of its live domain.

        It sends the domain's summaries.
        """
        own_rank = _rank(self.own)
        return all(own_rank < peer.rank for peer in self.domain_peers(now_ms))

    def by_rank(self, infos: Iterable[NodeInfo]) -> list[NodeInfo]:
        """Return nodes of one failure domain, the first one first."""
        return sorted(infos, key=_rank)

    def alive(self, now_ms: int) -> list[Peer]:
        """Return the peers that were seen recently."""
        return [peer for peer in self.peers.values() if self.is_alive(peer, now_ms)]

    def domain_peers(self, now_ms: int) -> list[Peer]:
        """Return the live peers of the own failure domain."""
        return [p for p in self.known_domain_peers() if self.is_alive(p, now_ms)]

    def known_domain_peers(self) -> list[Peer]:
        """Return all known peers of the own failure domain, alive or not."""
        return list(self.by_domain.get(self.own.failure_domain, {}).values())

    def nearest_first(self, peers: Iterable[Peer]) -> list[Peer]:
        """Return peers of the own domain first, then those of the region."""
        return sorted(
            peers,
            key=lambda peer: (
                not self.is_in_own_domain(peer.info),
                not self.is_in_own_region(peer.info),
                peer.rank,
            ),
        )

    def is_in_own_region(self, info: NodeInfo) -> bool:
        """Return whether a node is in this node's region."""
        return info.region == self.own.region

    def is_own_region_domain(self, failure_domain: str) -> bool:
        """Return whether a failure domain is known to be in this region."""
        peers = self.by_domain.get(failure_domain, {})
        return any(self.is_in_own_region(peer.info) for peer in peers.values())

    def is_in_own_domain(self, info: NodeInfo) -> bool:
        """Return whether a node is in this node's failure domain."""
        return info.failure_domain == self.own.failure_domain

    def _accept_summary(self, summary: DomainSummary) -> bool:
        known = self.summaries.get(summary.failure_domain)
        is_same_run = known is not None and known.run_id == summary.run_id
        if known is not None and is_same_run and summary.sequence <= known.sequence:
            return False
        source = SummarySource(summary.run_id, summary.sequence)
        self.summaries[summary.failure_domain] = source
        return True

    def _count_missing(self, summary: DomainSummary) -> None:
        """Drop nodes that several summaries of their domain didn't name."""
        named = {*summary.ready, *summary.not_ready}
        for name, peer in self.by_domain.get(summary.failure_domain, {}).items():
            if name in named:
                continue
            peer.missed_summaries += 1
            if peer.missed_summaries >= MAX_MISSED_SUMMARIES:
                peer.last_seen_ms = None

    def is_alive(self, peer: Peer, now_ms: int) -> bool:
        """Return whether a peer was seen recently."""
        if peer.last_seen_ms is None:
            return False
        return now_ms - peer.last_seen_ms < self._timeout_ms(peer.info)

    def _timeout_ms(self, info: NodeInfo) -> int:
        if self.is_in_own_domain(info):
            return SAME_DOMAIN_TIMEOUT_MS
        if self.is_in_own_region(info):
            return SAME_REGION_TIMEOUT_MS
        return OTHER_REGION_TIMEOUT_MS

    def _get_or_add(self, info: NodeInfo, is_heard: bool = True) -> Peer | None:
        """Return the peer's state; a new run replaces the previous one.

        Only a run that was heard of from nodes shows that the previous one
        has ended, as stored entries may be outdated.
        """
        if info.name == self.own.name or info.run_id in self.ended_runs:
            return None
        known = self.peers.get(info.name)
        if known is None or known.info.run_id != info.run_id:
            if known is not None:
                if is_heard:
                    self.ended_runs.add(known.info.run_id)
                self._remove(known)
            known = Peer(info, _rank(info))
            self.peers[info.name] = known
            self.by_domain.setdefault(info.failure_domain, {})[info.name] = known
        return known

    def _remove(self, peer: Peer) -> None:
        del self.peers[peer.info.name]
        del self.by_domain[peer.info.failure_domain][peer.info.name]


def _rank(info: NodeInfo) -> tuple[int, str]:
    return stable_hash(info.failure_domain, info.name), info.name
