"""Keep workspaces within their quotas by what nodes tell each other.

Each node counts the requests that it ran in the window, and tells the others.
While the known sum is far below the quota, all requests are admitted. Near it,
each node admits the fraction of its requests that fills the rest, so that it
takes a share by its part of the demand.
"""

from collections.abc import Collection, Iterable

from bilberry_core.ids import HASH_SPACE, stable_hash
from bilberry_resources.routing import Workspace

from .const import MIN_EARLY_REPORT_MS, MIN_RETRY_AFTER_MS, PART_MS, RECENT_MS
from .reports import (
    QuotaBounds,
    QuotaRefusal,
    QuotaReport,
    RefusalReason,
    workspace_key,
)
from .sources import QuotaSource
from .workspace_quota import DomainUse, FleetView, UsualDemand, WorkspaceQuota

Reports = Collection[QuotaReport]


class QuotaLimiter:
    """Admit requests of workspaces with a limit on their rate."""

    __slots__ = (
        "bounds",
        "by_key",
        "keys",
        "node",
        "node_count",
        "reported_at_ms",
        "sources",
        "updated_at_ms",
        "usual_at_ms",
        "view",
    )

    def __init__(self, node: str, bounds: QuotaBounds) -> None:
        self.node = node
        self.bounds = bounds
        self.node_count = 1
        self.keys: dict[str, int] = {}
        self.by_key: dict[int, WorkspaceQuota] = {}
        self.sources: dict[str, QuotaSource] = {}
        self.view = FleetView()
        self.reported_at_ms = 0
        self.updated_at_ms = -PART_MS
        self.usual_at_ms = 0

    def set_workspaces(self, workspaces: Iterable[Workspace], now_ms: int) -> None:
        """Replace the limits; what was used still counts."""
        previous = self.by_key
        self.by_key = {}
        self.keys = {}
        for workspace in workspaces:
            if workspace.rate_per_s <= 0:
                continue
            key = workspace_key(workspace.name)
            quota = previous.get(key) or self._new_quota(workspace.name, key, now_ms)
            quota.rate_per_s = workspace.rate_per_s
            quota.burst = workspace.burst
            self.keys[workspace.name] = key
            self.by_key[key] = quota
        # One that is left out may come back with the next version.
        for key, quota in previous.items():
            if quota.used.at(now_ms):
                self.by_key.setdefault(key, quota)

    def set_bounds(self, bounds: QuotaBounds) -> bool:
        """Apply changed bounds; return False if their window is another."""
        if bounds.window_ms != self.bounds.window_ms:
            return False
        self.bounds = bounds
        for quota in self.by_key.values():
            quota.bounds = bounds
        return True

    def admit(self, name: str, now_ms: int) -> QuotaRefusal | None:
        """Count a request; return None if it may run."""
        key = self.keys.get(name)
        if key is None:
            return None
        self.update(now_ms)
        quota = self.by_key[key]
        quota.demand.add(now_ms)
        fraction = quota.update_fraction(self.view, now_ms)
        if fraction < 1:
            quota.credit += fraction
            if quota.credit < 1:
                return self._refusal(quota, now_ms)
            quota.credit -= 1
        quota.used.add(now_ms)
        return None

    def release(self, name: str, now_ms: int, admitted_ms: int | None = None) -> None:
        """Give back the credit of a request that never ran."""
        quota = self.by_key.get(self.keys.get(name, -1))
        if quota is not None:
            quota.used.remove(now_ms if admitted_ms is None else admitted_ms)

    def move(self, name: str, admitted_ms: int, now_ms: int) -> None:
        """Count a request at the time at which it is sent, after a wait."""
        quota = self.by_key.get(self.keys.get(name, -1))
        if quota is not None:
            quota.used.at(now_ms)
            quota.used.remove(admitted_ms)
            quota.used.add(now_ms)

    def make_reports(self, now_ms: int) -> list[QuotaReport]:
        """Return what this node ran and was asked for, for its domain."""
        self.update(now_ms)
        reports = []
        for key, quota in self.by_key.items():
            used = quota.used.at(now_ms)
            recent = quota.demand.at(now_ms)
            if used or recent:
                reports.append(QuotaReport(key, used, recent))
        return reports

    def record_reported(self, now_ms: int) -> None:
        """Record that this node's reports of this moment were sent."""
        self.reported_at_ms = now_ms
        for quota in self.by_key.values():
            quota.reported_demand = quota.domain_recent(now_ms)

    def make_domain_reports(self, now_ms: int) -> list[QuotaReport]:
        """Return the sums of this node's failure domain, for the others."""
        self.update(now_ms)
        reports = []
        for key, quota in self.by_key.items():
            used = quota.used.at(now_ms) + quota.peers_used
            recent = quota.domain_recent(now_ms)
            if used or recent:
                reports.append(QuotaReport(key, used, recent))
        return reports

    def needs_early_report(self, now_ms: int) -> bool:
        """Return whether demand has risen so that others must know now."""
        if now_ms - self.reported_at_ms < MIN_EARLY_REPORT_MS:
            return False
        return any(
            quota.needs_early_report(self.view, now_ms)
            for quota in self.by_key.values()
        )

    def merge(self, source: str, reports: Reports, now_ms: int) -> None:
        """Apply the newest reports of a run of a node in the own domain."""
        known = self.sources.get(source)
        if known is None:
            known = self.sources[source] = QuotaSource(False, now_ms)
        known.reported_at_ms = now_ms
        if reports or known.reports or known.is_timed_out:
            self._replace(source, known, reports)

    def merge_domain(
        self,
        source: str,
        reports: Reports,
        node_count: int,
        reported_at_ms: int,
    ) -> None:
        """Apply the newest sums of another failure domain."""
        known = self.sources.get(source)
        if known is None:
            known = self.sources[source] = QuotaSource(True, reported_at_ms)
        known.reported_at_ms = reported_at_ms
        known.node_count = node_count
        self._replace(source, known, reports)

    def update(self, now_ms: int) -> None:
        """Follow who is heard of; drop what has left the window."""
        if now_ms - self.updated_at_ms < PART_MS:
            return
        self.updated_at_ms = now_ms
        heard = domain_nodes = 1
        for name, source in list(self.sources.items()):
            if now_ms - source.reported_at_ms > self.bounds.window_ms:
                self._remove(name, source)
                continue
            if source.is_overdue(now_ms):
                if not source.is_timed_out:
                    self._set_timed_out(name, source)
            else:
                heard += source.node_count
                domain_nodes += not source.is_domain
        self.view = FleetView(max(1, self.node_count), heard, domain_nodes)
        if now_ms - self.usual_at_ms >= RECENT_MS:
            self.usual_at_ms = now_ms
            for quota in self.by_key.values():
                quota.update_usual(now_ms)

    def _new_quota(self, name: str, key: int, now_ms: int) -> WorkspaceQuota:
        credit = stable_hash(self.node, name) / HASH_SPACE
        quota = WorkspaceQuota(self.bounds, credit, now_ms)
        for source_name, source in self.sources.items():
            report = source.reports.get(key)
            if report is not None:
                _apply(quota, source_name, source, report, 1)
        return quota

    def _replace(self, name: str, source: QuotaSource, reports: Reports) -> None:
        """Replace what a source reports; it counts once more if silent."""
        self._apply_all(name, source, -1)
        source.is_timed_out = False
        source.reports = {report.key: report for report in reports}
        self._apply_all(name, source, 1)

    def _remove(self, name: str, source: QuotaSource) -> None:
        self._apply_all(name, source, -1)
        del self.sources[name]
        if source.is_domain:
            for quota in self.by_key.values():
                quota.domains.pop(name, None)

    def _set_timed_out(self, source_name: str, source: QuotaSource) -> None:
        self._apply_all(source_name, source, -1)
        source.is_timed_out = True
        self._apply_all(source_name, source, 1)

    def _apply_all(self, name: str, source: QuotaSource, sign: int) -> None:
        for key, report in source.reports.items():
            quota = self.by_key.get(key)
            if quota is not None:
                _apply(quota, name, source, report, sign)

    def _refusal(self, quota: WorkspaceQuota, now_ms: int) -> QuotaRefusal:
        wait_ms = max(MIN_RETRY_AFTER_MS, quota.wait_ms(self.view, now_ms))
        is_alone = self.view.reachable_nodes < self.view.known_nodes
        reason = RefusalReason.UNREACHABLE_NODES if is_alone else RefusalReason.LIMIT
        return QuotaRefusal(wait_ms, reason)


def _apply(
    quota: WorkspaceQuota,
    name: str,
    source: QuotaSource,
    report: QuotaReport,
    sign: int,
) -> None:
    """Add a report to what is known of a workspace, or take it out."""
    if source.is_timed_out:
        quota.unreachable_used += sign * report.used
    if not source.is_domain:
        quota.peers_used += sign * report.used
        if not source.is_timed_out:
            quota.peers_recent += sign * report.recent
        return
    domain = quota.domains.get(name)
    if domain is None:
        usual = UsualDemand(source.reported_at_ms, at_ms=source.reported_at_ms)
        domain = quota.domains[name] = DomainUse(source, usual)
    domain.used += sign * report.used
    domain.recent += sign * report.recent
