"""Results of routing requests and of installing plans."""

from dataclasses import dataclass, field
from enum import StrEnum


class ShedReason(StrEnum):
    """Represent why a request was shed before it ran."""

    UNKNOWN_SERVICE = "unknown service"
    NO_CAPACITY = "regions within reach are at capacity"
    NO_REGION = "no region serves it now"


class PlanRefusal(StrEnum):
    """Represent why a plan was not installed."""

    OLDER_EPOCH = "older epoch"
    OLDER_VERSION = "older version"


@dataclass(slots=True, frozen=True)
class Route:
    """Represent the region to send to and the others, nearest first."""

    region: str
    alternatives: list[str]
    group: str


@dataclass(slots=True, frozen=True)
class Shed:
    """Represent the refusal of a request that did not run."""

    reason: ShedReason
    retry_after_ms: int


@dataclass(slots=True, frozen=True)
class RequestResult:
    """Represent the result of a routed request."""

    service: str
    group: str
    region: str
    ok: bool
    latency_ms: float
    request_bytes: int = 0
    response_bytes: int = 0


@dataclass(slots=True)
class IntervalResult:
    """Count where the requests of one interval went.

    `spill_fraction` is the fraction that spills, the plan's if None.
    """

    now_ms: int
    interval_ms: int
    spill_fraction: float | None = None
    served: dict[str, float] = field(default_factory=dict)
    shed: float = 0.0
    moved: float = 0.0
    held_back: float = 0.0
