"""Exchange counts of workspaces' requests with the other nodes."""

import msgspec

from bilberry_balance.quota.reports import QuotaReport
from bilberry_fleet.discovery.heartbeats import HeartbeatTask
from bilberry_fleet.discovery.messages import DomainSummary, Heartbeat

from .state import EntryState


class QuotaExchange:
    """Put the counts into messages, and merge those of others.

    Nothing is told or merged while the settings ask for no quotas.
    """

    __slots__ = ("state",)

    def __init__(self, state: EntryState, heartbeats: HeartbeatTask) -> None:
        self.state = state
        heartbeats.complete_summary = self.complete_summary
        heartbeats.needs_early_send = self.needs_early_send
        heartbeats.on_heartbeat_sent = self.record_reported

    def make_reports(self, now_ms: int) -> list[QuotaReport]:
        """Return this node's counts for its heartbeat."""
        quotas = self.state.quotas
        return [] if quotas is None else quotas.make_reports(now_ms)

    def record_reported(self, now_ms: int) -> None:
        """Record that the counts of this moment were sent to the domain."""
        if self.state.quotas is not None:
            self.state.quotas.record_reported(now_ms)

    def complete_summary(self, summary: DomainSummary, now_ms: int) -> DomainSummary:
        """Return a summary with the sums of this failure domain."""
        quotas = self.state.quotas
        if quotas is None:
            return summary
        reports = quotas.make_domain_reports(now_ms)
        return msgspec.structs.replace(summary, quotas=reports)

    def needs_early_send(self, now_ms: int) -> bool:
        """Return whether demand has risen so that others must know now."""
        quotas = self.state.quotas
        return quotas is not None and quotas.needs_early_report(now_ms)

    def on_heartbeat(self, heartbeat: Heartbeat, now_ms: int) -> None:
        """Merge the counts of a run of a node; those of earlier runs stay."""
        if self.state.quotas is not None:
            self.state.quotas.merge(heartbeat.node.run_id, heartbeat.quotas, now_ms)

    def on_summary(self, summary: DomainSummary, now_ms: int) -> None:
        """Merge the sums of another failure domain."""
        if self.state.quotas is not None:
            nodes = len(summary.ready) + len(summary.not_ready)
            self.state.quotas.merge_domain(
                summary.failure_domain, summary.quotas, nodes, now_ms
            )
