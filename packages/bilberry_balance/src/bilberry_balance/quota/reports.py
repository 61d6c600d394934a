"""What nodes tell each other of quotas, and what callers are told."""

from dataclasses import dataclass
from enum import StrEnum, auto

import msgspec

from bilberry_core.ids import stable_hash

KEY_BITS = 32


class RefusalReason(StrEnum):
    """Enumerate why a request is over the quota.

    `UNREACHABLE_NODES` means that too few other nodes are reachable to use
    the whole.
    """

    LIMIT = auto()
    UNREACHABLE_NODES = auto()


@dataclass(slots=True, frozen=True)
class QuotaRefusal:
    """Tell when the workspace will have credit again."""

    retry_after_ms: int
    reason: RefusalReason = RefusalReason.LIMIT


@dataclass(slots=True, frozen=True)
class QuotaBounds:
    """Store how far requests may exceed the limits of all workspaces.

    In any `window_ms`, all nodes may run the requests that the limit allows,
    the fraction `overage` of these more, and `slack` requests.
    """

    window_ms: int
    overage: float
    slack: float


class QuotaReport(msgspec.Struct, frozen=True, array_like=True):
    """Report the requests of a workspace at a node or a failure domain.

    `used` counts those that ran in the window, and `recent` those that came
    in the last `RECENT_MS`, whether they ran or not.
    """

    key: int
    used: int
    recent: int


def workspace_key(name: str) -> int:
    """Return a short key of a workspace, the same at all nodes."""
    return stable_hash(name) % (1 << KEY_BITS)
