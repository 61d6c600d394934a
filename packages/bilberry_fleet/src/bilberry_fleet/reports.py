"""Buffer members' reports at a relay until they are sent in a batch."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from .messages import Report, ReportBatch

MergeReports = Callable[[list[Report]], list[Report]]


def keep_apart(reports: list[Report]) -> list[Report]:
    """Return the reports unmerged."""
    return reports


@dataclass(slots=True, frozen=True)
class Held:
    """Store a member's newest report and when it was received."""

    body: msgspec.Raw
    taken_ms: int


class ReportBox:
    """Buffer each member's newest report until the next batch."""

    __slots__ = ("failure_domain", "held", "merge", "relay")

    def __init__(
        self, relay: str, failure_domain: str, merge: MergeReports = keep_apart
    ) -> None:
        self.relay = relay
        self.failure_domain = failure_domain
        self.merge = merge
        self.held: dict[str, Held] = {}

    def take(self, sender: str, body: msgspec.Raw, now_ms: int) -> None:
        """Store a report in place of the sender's previous one."""
        self.held[sender] = Held(body, now_ms)

    def batch(self, now_ms: int) -> ReportBatch | None:
        """Return the reports since the last batch, None if there are none."""
        if not self.held:
            return None
        reports = [
            Report(sender=name, body=held.body, age_ms=now_ms - held.taken_ms)
            for name, held in sorted(self.held.items())
        ]
        self.held.clear()
        return ReportBatch(
            relay=self.relay,
            failure_domain=self.failure_domain,
            reports=self.merge(reports),
        )
