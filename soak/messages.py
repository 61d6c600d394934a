"""What the soak and its upstream processes tell each other."""

from enum import StrEnum, auto

import msgspec


class UpstreamFault(StrEnum):
    """Enumerate what an upstream does wrong with its answers."""

    NONE = auto()
    LATE_COPY = auto()
    SECOND_COPY = auto()
    OLD_REFUSAL = auto()
    LOST = auto()
    LATE_BREAK = auto()


class UpstreamOptions(msgspec.Struct, frozen=True):
    """Describe one upstream process."""

    name: str
    slots: int
    work_ms: int


class LimitOrder(msgspec.Struct, frozen=True, tag=True):
    """Order to name a rate limit in all answers."""

    per_s: float


class FaultOrder(msgspec.Struct, frozen=True, tag=True):
    """Order a fault on a fraction of the answers."""

    fault: UpstreamFault
    fraction: float = 0.0


class RunLine(msgspec.Struct, frozen=True):
    """Tell that a request begins to run; the time is monotonic."""

    request_id: str
    method: str
    target: str
    began_ms: int
