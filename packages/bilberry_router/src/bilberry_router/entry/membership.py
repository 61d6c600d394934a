"""Register this node in the fleet, and exchange heartbeats with peers."""

import logging
from collections.abc import Callable

import gevent
from gevent import Greenlet

from bilberry_balance.placement.rate_limit import RateLimitReport
from bilberry_balance.placement.rate_limiter import (
    make_rate_limit_reports,
    merge_rate_limit_reports,
)
from bilberry_balance.placement.restarts import RestartReport
from bilberry_balance.placement.slow_reports import (
    SlowReport,
    make_slow_reports,
    merge_slow_reports,
)
from bilberry_balance.suspects import SuspectReport
from bilberry_core.const import MS_PER_SECOND
from bilberry_core.ids import stable_hash
from bilberry_core.outcome import Failure
from bilberry_fleet.discovery.const import (
    LEARN_INTERVAL_MS,
    LEARN_LIMIT_MS,
    LEARN_POLL_MS,
    LEARN_REPEATS,
    RETRY_BASE_MS,
    RETRY_MAX_MS,
)
from bilberry_fleet.discovery.heartbeats import HeartbeatTask
from bilberry_fleet.discovery.messages import DomainSummary, Heartbeat, NodeInfo
from bilberry_fleet.discovery.nodes import PeerTable
from bilberry_fleet.discovery.proof_calls import ProofCalls
from bilberry_fleet.discovery.source import Changes, Record, Snapshot
from bilberry_fleet.discovery.store_era import StoreEra
from bilberry_fleet.discovery.suspect_calls import SuspectCalls
from bilberry_steering.nearest import NodeLocation
from bilberry_store.backoff import Backoff

from .platform import Platform
from .quota_exchange import QuotaExchange
from .rate_limit_log import log_rate_limit
from .state import EntryState
from .store_reading import StoreReading
from .suspect_peers import SuspectPeers
from .suspects import EntrySuspects

_LOGGER = logging.getLogger(__name__)


class Membership:
    """Manage this node's entry in the store and its list of peers."""

    __slots__ = (
        "has_learned",
        "has_listed",
        "heartbeat_number",
        "heartbeats",
        "is_ready",
        "learning",
        "leaving",
        "node_info",
        "peers",
        "platform",
        "proof_calls",
        "quota_exchange",
        "reading",
        "records",
        "state",
        "store_era",
        "suspects",
        "task",
    )

    def __init__(
        self,
        node_info: NodeInfo,
        platform: Platform,
        state: EntryState,
        suspects: EntrySuspects,
        is_ready: Callable[[], bool],
    ) -> None:
        self.node_info = node_info
        self.suspects = suspects
        self.platform = platform
        self.state = state
        self.is_ready = is_ready
        self.store_era = StoreEra()
        self.peers = PeerTable(node_info)
        self.records: dict[str, NodeInfo] = {}
        self.heartbeat_number = 0
        self.leaving = False
        self.has_listed = False
        self.has_learned = False
        self.task: Greenlet | None = None
        self.learning: Greenlet | None = None
        self.heartbeats = HeartbeatTask(
            self.peers,
            state.clock,
            self.make_heartbeat,
            self.on_heartbeat,
            self.on_summary,
        )
        self.reading = StoreReading(self.heartbeats, state.clock)
        self.quota_exchange = QuotaExchange(state, self.heartbeats)
        self.proof_calls = ProofCalls(
            state.config_proof,
            self.heartbeats,
            state.clock,
            stable_hash(node_info.run_id),
        )
        calls = SuspectCalls(self.heartbeats, suspects.answer_call)
        suspects.peers = SuspectPeers(self.peers, calls)

    def start(self) -> None:
        """Start to register and to send heartbeats."""
        self.heartbeats.start()
        self.task = gevent.spawn(self.register)
        self.learning = gevent.spawn(self.learn_suspects)

    def leave(self) -> None:
        """Announce to the peers that this node accepts no new callers.

        Its entry is removed at once, as a slow store could hold up the end.
        """
        self.leaving = True
        self.reading.leave()
        self.stop_registering()
        self.task = gevent.spawn(self.unregister)
        self.heartbeats.send_now()

    def close(self) -> None:
        """Remove the node's entry, unless it has left, and stop."""
        self.stop_registering()
        if self.learning is not None:
            self.learning.kill()
            self.learning = None
        if not self.leaving:
            self.unregister()
        self.heartbeats.close()

    def unregister(self) -> None:
        """Remove the node's entry from the store."""
        deleted = self.platform.registration.delete(self.node_info.name)
        if isinstance(deleted, Failure):
            _LOGGER.warning(
                "fleet: Failed to remove this node's entry: %s.", deleted.failure()
            )

    def stop_registering(self) -> None:
        """Stop writing or removing the node's entry."""
        if self.task is not None:
            self.task.kill()
            self.task = None

    def register(self) -> None:
        """Write the node's entry, with retries until it is stored."""
        backoff = Backoff(stable_hash(self.node_info.name), RETRY_BASE_MS, RETRY_MAX_MS)
        while True:
            stored = self.platform.registration.put(self.node_info)
            if not isinstance(stored, Failure):
                return
            _LOGGER.warning(
                "fleet: Failed to store this node's entry: %s.", stored.failure()
            )
            gevent.sleep(backoff.next_delay_ms() / MS_PER_SECOND)

    def register_again(self) -> None:
        """Write the node's entry if the store has lost it."""
        is_registering = self.task is None or not self.task.ready()
        is_listed = self.records.get(self.node_info.name) == self.node_info
        if self.leaving or is_registering or is_listed:
            return
        _LOGGER.warning("fleet: The store lacks this node's entry.")
        self.task = gevent.spawn(self.register)

    def learn_suspects(self) -> None:
        """Learn which requests peers suspect, before this node is ready.

        Peers tell it of later ones only once they know it, so it asks again.
        """
        clock = self.state.clock
        end_ms = clock.now_ms() + LEARN_LIMIT_MS
        while not self.has_listed and clock.now_ms() < end_ms:
            gevent.sleep(LEARN_POLL_MS / MS_PER_SECOND)
        if self.peers.peers:
            self.heartbeats.send_now()
            while not self.suspects.learn_all() and clock.now_ms() < end_ms:
                gevent.sleep(LEARN_POLL_MS / MS_PER_SECOND)
        self.has_learned = True
        for _ in range(LEARN_REPEATS):
            gevent.sleep(LEARN_INTERVAL_MS / MS_PER_SECOND)
            self.suspects.learn_all()

    def entry_points(self) -> list[NodeLocation]:
        """Return the nodes that accept callers now."""
        now_ms = self.state.clock.now_ms()
        infos = [peer.info for peer in self.peers.alive(now_ms) if peer.ready]
        if self.is_ready():
            infos.append(self.node_info)
        infos.sort(key=lambda info: info.name)
        return [
            NodeLocation(info.entry_address, info.failure_domain, info.region)
            for info in infos
        ]

    def make_heartbeat(self) -> Heartbeat:
        """Return a heartbeat with this node's current state."""
        self.heartbeat_number += 1
        now_ms = self.state.clock.now_ms()
        upstreams = self.state.upstreams.by_name.values()
        return Heartbeat(
            node=self.node_info,
            sequence=self.heartbeat_number,
            ready=self.is_ready() and not self.leaving,
            config_version=self.state.config_version,
            in_flight=self.state.in_flight(),
            suspects=self.suspects.reports(),
            revisions=self.reading.revisions(self.store_era.value),
            slow_upstreams=make_slow_reports(upstreams, now_ms),
            rate_limits=make_rate_limit_reports(upstreams, now_ms),
            send_rates=self.state.rate_limiter.send_rates(upstreams, now_ms),
            store_era=self.store_era.value,
            restarts=self.state.restarts.make_reports(now_ms),
            quotas=self.quota_exchange.make_reports(now_ms),
            can_read=self.reading.can_read,
        )

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Merge a peer's load and what it learned."""
        name = heartbeat.node.name
        now_ms = self.state.clock.now_ms()
        self.state.peer_loads.update(name, heartbeat.in_flight, now_ms)
        self.merge_reports(heartbeat.suspects, heartbeat.slow_upstreams, now_ms)
        self.merge_restarts(heartbeat.restarts, now_ms)
        self.merge_rates(name, heartbeat.send_rates, heartbeat.rate_limits, now_ms)
        self.merge_revisions(heartbeat.store_era, heartbeat.revisions, now_ms)
        self.quota_exchange.on_heartbeat(heartbeat, now_ms)
        self.update_node_count()

    def on_summary(self, summary: DomainSummary) -> None:
        """Merge another failure domain's load and what its nodes learned."""
        now_ms = self.state.clock.now_ms()
        loads = self.state.peer_loads
        if self.peers.is_own_region_domain(summary.failure_domain):
            loads.update(summary.failure_domain, summary.in_flight, now_ms)
        else:
            loads.update_mean(summary.failure_domain, summary.in_flight, now_ms)
        self.merge_reports(summary.suspects, summary.slow_upstreams, now_ms)
        self.merge_restarts(summary.restarts, now_ms)
        self.merge_rates(
            summary.failure_domain, summary.send_rates, summary.rate_limits, now_ms
        )
        self.merge_revisions(summary.store_era, summary.revisions, now_ms)
        self.quota_exchange.on_summary(summary, now_ms)

    def merge_reports(
        self,
        suspects: list[SuspectReport],
        slow_upstreams: list[SlowReport],
        now_ms: int,
    ) -> None:
        """Apply which requests crash upstreams and which ones are slow."""
        self.suspects.merge(suspects)
        upstreams = self.state.upstreams.by_name
        newly_slow = merge_slow_reports(slow_upstreams, upstreams, now_ms)
        if newly_slow:
            _LOGGER.info("fleet: Peers found slow upstreams: %s.", newly_slow)

    def merge_restarts(self, restarts: list[RestartReport], now_ms: int) -> None:
        """Apply which upstreams have ended, and which answer again."""
        ended = self.state.restarts.merge(restarts, now_ms)
        if ended:
            _LOGGER.info("fleet: Peers found that upstreams have ended: %s.", ended)

    def merge_rates(
        self,
        source: str,
        send_rates: dict[str, float],
        rate_limits: list[RateLimitReport],
        now_ms: int,
    ) -> None:
        """Apply what a peer or domain sends, and the limits it was told."""
        self.state.rate_limiter.peer_rates.update(source, send_rates, now_ms)
        upstreams = self.state.upstreams.by_name
        for upstream in merge_rate_limit_reports(rate_limits, upstreams, now_ms):
            log_rate_limit(upstream, "a peer")

    def merge_revisions(self, era: int, revisions: list[int], now_ms: int) -> None:
        """Tell the feeds which changes peers know."""
        self.store_era.raise_to(era)
        self.reading.on_peers_revisions(era, revisions, now_ms)

    def update_node_count(self) -> None:
        """Divide the shared limits by the number of known nodes."""
        self.state.set_known_nodes(len(self.peers.peers) + 1)

    def on_snapshot(self, snapshot: Snapshot) -> bool:
        """Replace the registered nodes."""
        self.has_listed = True
        known = self.records
        self.records = {n: info for n, info in known.items() if snapshot.may_lack(n)}
        for record in snapshot.records:
            self._put(record)
        self._update_peers()
        if not snapshot.gaps:
            self.state.record_node_list()
        if not snapshot.may_lack(self.node_info.name):
            self.register_again()
        return self.records != known

    def on_changes(self, changes: Changes) -> bool:
        """Apply changes of the registered nodes."""
        for change in changes.changes:
            if change.deleted:
                self.records.pop(change.record.name, None)
            else:
                self._put(change.record)
        self._update_peers()
        if any(change.record.name == self.node_info.name for change in changes.changes):
            self.register_again()
        return True

    def on_outage(self) -> None:
        """Keep the known nodes during an outage of the store."""

    def on_store_restored(self) -> None:
        """Keep the known nodes; those that live are known by heartbeats."""

    def _put(self, record: Record) -> None:
        decoded = self.platform.decode_node(record)
        if isinstance(decoded, Failure):
            _LOGGER.warning(
                "fleet: Ignored invalid entry %s: %s.", record.name, decoded.failure()
            )
            return
        self.records[record.name] = decoded.unwrap()

    def _update_peers(self) -> None:
        now_ms = self.state.clock.now_ms()
        self.peers.on_stored_nodes(list(self.records.values()), now_ms)
        self.update_node_count()
