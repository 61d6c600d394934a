"""Buffer members' reports at a relay until they are sent in a batch."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from .messages import Report, ReportBatch

MergeReports = Callable[[list[Report]], list[Report]]


def return_unmerged(reports: list[Report]) -> list[Report]:
    """Return the reports unmerged."""
    return reports


@dataclass(slots=True, frozen=True)
class BufferedReport:
    """Store a member's newest report and when it was received."""

    body: msgspec.Raw
    received_ms: int


class ReportBuffer:
    """Buffer each member's newest report until the next batch."""

    __slots__ = ("buffered", "failure_domain", "merge", "relay")

    def __init__(
        self, relay: str, failure_domain: str, merge: MergeReports = return_unmerged
    ) -> None:
        self.relay = relay
        self.failure_domain = failure_domain
        self.merge = merge
        self.buffered: dict[str, BufferedReport] = {}

    def add(self, sender: str, body: msgspec.Raw, now_ms: int) -> None:
        """Store a report in place of the sender's previous one."""
        self.buffered[sender] = BufferedReport(body, now_ms)

    def pop_batch(self, now_ms: int) -> ReportBatch | None:
        """Return the reports since the last batch, None if there are none."""
        if not self.buffered:
            return None
        reports = [
            Report(
                sender=name, body=buffered.body, age_ms=now_ms - buffered.received_ms
            )
            for name, buffered in sorted(self.buffered.items())
        ]
        self.buffered.clear()
        return ReportBatch(
            relay=self.relay,
            failure_domain=self.failure_domain,
            reports=self.merge(reports),
        )
