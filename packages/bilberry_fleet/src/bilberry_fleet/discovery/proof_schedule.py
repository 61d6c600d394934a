"""Decide when a node renews the proof of how recent its configuration is."""

from dataclasses import dataclass
from enum import Enum, auto

# Fractions of the time after which removed keys must not work. A proof is so
# at most about 0.25 of it old when a node is cut off, which then serves for
# more than the 0.6 that operators ask for.
READ_INTERVAL_FRACTION = 0.16
ASK_AFTER_FRACTION = 0.1
ASK_INTERVAL_FRACTION = 0.05
# A node whose leader has no recent proof asks others, and reads itself.
ASK_WIDELY_AFTER_FRACTION = 0.24


class ProofAction(Enum):
    """Enumerate how to renew the proof."""

    READ = auto()
    ASK_LEADER = auto()
    ASK_OTHERS = auto()


@dataclass(slots=True)
class ProofSchedule:
    """Store when the next read and the next question are due; times in ms.

    One node of each failure domain reads the store exactly, the others ask it,
    so that the reads grow with the domains and not with the nodes.
    """

    next_read_ms: int = 0
    next_ask_ms: int = 0

    def take(
        self, age_ms: int | None, leads_domain: bool, revoke_ms: int, now_ms: int
    ) -> set[ProofAction]:
        """Return what is due for a proof of this age; schedule the next."""
        is_old = age_ms is None or age_ms >= revoke_ms * ASK_WIDELY_AFTER_FRACTION
        actions = set()
        if (leads_domain or is_old) and now_ms >= self.next_read_ms:
            self.next_read_ms = now_ms + int(revoke_ms * READ_INTERVAL_FRACTION)
            actions.add(ProofAction.READ)
        is_due = age_ms is None or age_ms >= revoke_ms * ASK_AFTER_FRACTION
        if not is_due or now_ms < self.next_ask_ms:
            return actions
        if is_old:
            actions.add(ProofAction.ASK_OTHERS)
        if not leads_domain:
            actions.add(ProofAction.ASK_LEADER)
        if actions & {ProofAction.ASK_LEADER, ProofAction.ASK_OTHERS}:
            self.next_ask_ms = now_ms + int(revoke_ms * ASK_INTERVAL_FRACTION)
        return actions
