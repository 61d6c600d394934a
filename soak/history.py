"""What callers, upstreams and the operator saw during a run; times in ms."""

from dataclasses import dataclass, field
from http import HTTPStatus

# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


@dataclass(slots=True)
class Call:
    """Represent one caller's request; `status` is None without an answer.

    `closed` is whether the node closed the connection in place of an answer.
    """

    request_id: str
    method: str
    target: str
    node: str
    sent_ms: int
    ended_ms: int = 0
    status: int | None = None
    answer_id: str = ""
    body: bytes = b""
    closed: bool = False
    timeout_ms: int = 2_000


@dataclass(slots=True, frozen=True)
class Run:
    """Represent a request that an upstream began to work on."""

    request_id: str
    method: str
    target: str
    upstream: str
    began_ms: int


@dataclass(slots=True)
class UpstreamTime:
    """Represent the time in which an upstream takes requests in a region."""

    region: str
    from_ms: int
    until_ms: int | None = None


@dataclass(slots=True, frozen=True)
class Departure:
    """Represent an upstream that the store lists as leaving from a time on.

    An evacuated one is back at `until_ms`.
    """

    upstream: str
    from_ms: int
    limit_ms: int
    until_ms: int | None = None


@dataclass(slots=True, frozen=True)
class ColdTime:
    """Represent the time in which an upstream bears only a small rate."""

    upstream: str
    from_ms: int
    until_ms: int
    max_per_s: float


@dataclass(slots=True, frozen=True)
class RateLimitTime:
    """Represent the time from which an upstream names a rate limit."""

    upstream: str
    from_ms: int
    per_s: float


@dataclass(slots=True)
class ConfigVersion:
    """Represent a configuration that the store accepted, with its own path.

    The next version replaces it at `until_ms`, and drops the path. `homes` has
    the region to which it binds other paths.
    """

    version: int
    prefix: str
    accepted_ms: int
    until_ms: int | None = None
    homes: dict[str, str] = field(default_factory=dict)

    def is_in_force(self, from_ms: int, until_ms: int) -> bool:
        """Return whether it was in force at any time of a span."""
        is_replaced = self.until_ms is not None and self.until_ms < from_ms
        return self.accepted_ms <= until_ms and not is_replaced


@dataclass(slots=True, frozen=True)
class Disturbance:
    """Represent a fault or a planned act, and which node it met, if one."""

    kind: str
    from_ms: int
    until_ms: int
    is_planned: bool
    node: str = ""

    def overlaps(self, from_ms: int, until_ms: int) -> bool:
        """Return whether it lasted at any time of a span."""
        return self.from_ms <= until_ms and from_ms <= self.until_ms


@dataclass(slots=True)
class History:
    """Store all that was seen; `calm_from_ms` is the end of the last fault."""

    calls: list[Call] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    departures: list[Departure] = field(default_factory=list)
    cold_times: list[ColdTime] = field(default_factory=list)
    rate_limits: list[RateLimitTime] = field(default_factory=list)
    upstream_times: dict[str, UpstreamTime] = field(default_factory=dict)
    versions: list[ConfigVersion] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    calm_from_ms: int = 0
    ended_ms: int = 0

    def runs_by_id(self) -> dict[str, list[Run]]:
        """Return the runs of each request."""
        found: dict[str, list[Run]] = {}
        for run in self.runs:
            found.setdefault(run.request_id, []).append(run)
        return found

    def homes(self, target: str, from_ms: int, until_ms: int) -> set[str]:
        """Return where a target is bound by the versions of a span."""
        return {
            region
            for version in self.versions
            if version.is_in_force(from_ms, until_ms)
            for path, region in version.homes.items()
            if target.startswith(path)
        }

    def is_disturbed(self, from_ms: int, until_ms: int, planned: bool = False) -> bool:
        """Return whether anything unplanned went on in a span.

        With `planned` also planned acts count.
        """
        return any(
            disturbance.overlaps(from_ms, until_ms)
            for disturbance in self.disturbances
            if planned or not disturbance.is_planned
        )
