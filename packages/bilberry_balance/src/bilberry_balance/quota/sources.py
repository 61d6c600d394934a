"""Store what other nodes and failure domains report."""

from dataclasses import dataclass, field

from .const import DOMAIN_TIMEOUT_MS, PEER_TIMEOUT_MS
from .reports import QuotaReport


@dataclass(slots=True)
class QuotaSource:
    """Store the latest reports of one run of a node, or of a domain.

    They were true at `reported_at_ms`. A failure domain has `node_count`
    nodes.
    """

    is_domain: bool
    reported_at_ms: int
    node_count: int = 1
    is_timed_out: bool = False
    reports: dict[int, QuotaReport] = field(default_factory=dict)

    def is_overdue(self, now_ms: int) -> bool:
        """Return whether nothing was heard of it for long."""
        limit_ms = DOMAIN_TIMEOUT_MS if self.is_domain else PEER_TIMEOUT_MS
        return now_ms - self.reported_at_ms > limit_ms
