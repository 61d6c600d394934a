"""Count answers, attempts and placements; all label sets are bounded."""

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum, auto
from http import HTTPStatus

from bilberry_balance.placement.distances import Distance
from bilberry_balance.placement.processing_times import Warmth
from bilberry_balance.placement.upstream import Upstream
from bilberry_core.histogram import Histogram

from .messages import EntryAnswer

NO_SERVICE = ""
# Of this node's own answers that are worth a retry, as nothing has run.
REFUSED_STATUSES = frozenset(
    {HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE}
)
END_ANSWERED = "answered"
END_UPSTREAM_FAILED = "upstream_failed"


class AnswerKind(StrEnum):
    """Enumerate the kinds of final answers."""

    ANSWERED = auto()
    UPSTREAM_FAILED = auto()
    NOT_RUN = auto()
    UNKNOWN = auto()
    REJECTED = auto()


class Direction(StrEnum):
    """Enumerate the directions of the traffic with upstreams."""

    SENT = auto()
    RECEIVED = auto()


@dataclass(slots=True, frozen=True)
class TrafficLabels:
    """Represent the labels of bytes exchanged with upstreams."""

    direction: Direction
    distance: Distance


@dataclass(slots=True, frozen=True)
class AnswerLabels:
    """Represent the labels of an answer to a caller."""

    service: str
    kind: AnswerKind


@dataclass(slots=True, frozen=True)
class AttemptLabels:
    """Represent the labels of an attempt; `end` is where it ended."""

    service: str
    end: str


@dataclass(slots=True, frozen=True)
class PlacementLabels:
    """Represent the labels of a placement."""

    service: str
    warmth: Warmth
    distance: Distance


@dataclass(slots=True)
class ServiceHistograms:
    """Store a service's histograms in ms: requests, attempts and queueing."""

    requests: Histogram = field(default_factory=Histogram)
    attempts: Histogram = field(default_factory=Histogram)
    queueing: Histogram = field(default_factory=Histogram)


@dataclass(slots=True)
class EntryCounts:
    """Store the counts of one node since its start."""

    answers: Counter[AnswerLabels] = field(default_factory=Counter)
    attempts: Counter[AttemptLabels] = field(default_factory=Counter)
    placements: Counter[PlacementLabels] = field(default_factory=Counter)
    bytes: Counter[TrafficLabels] = field(default_factory=Counter)
    denials: Counter[str] = field(default_factory=Counter)
    unreadable_headers: Counter[str] = field(default_factory=Counter)
    quotas: Counter[str] = field(default_factory=Counter)
    histograms: dict[str, ServiceHistograms] = field(default_factory=dict)

    def for_service(self, service: str) -> ServiceHistograms:
        """Return the histograms of a service, created if missing."""
        found = self.histograms.get(service)
        if found is None:
            found = ServiceHistograms()
            self.histograms[service] = found
        return found

    def record_answer(self, service: str, answer: EntryAnswer, took_ms: int) -> None:
        """Count the final answer to a request."""
        self.answers[AnswerLabels(service, answer_kind(answer))] += 1
        self.for_service(service).requests.observe(took_ms)

    def record_attempt(self, service: str, end: str, took_ms: int) -> None:
        """Count an attempt that has ended."""
        self.attempts[AttemptLabels(service, end)] += 1
        self.for_service(service).attempts.observe(took_ms)

    def record_traffic(self, sent: int, received: int, distance: Distance) -> None:
        """Count the bytes of one attempt at an upstream."""
        self.bytes[TrafficLabels(Direction.SENT, distance)] += sent
        self.bytes[TrafficLabels(Direction.RECEIVED, distance)] += received

    def record_placement(
        self, upstream: Upstream, warmth: Warmth, distance: Distance
    ) -> None:
        """Count a request that was placed at an upstream."""
        labels = PlacementLabels(upstream.spec.service, warmth, distance)
        self.placements[labels] += 1


def answer_kind(answer: EntryAnswer) -> AnswerKind:
    """Return the kind of a final answer."""
    if not answer.detail:
        failed = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        return AnswerKind.UPSTREAM_FAILED if failed else AnswerKind.ANSWERED
    if answer.status in REFUSED_STATUSES:
        return AnswerKind.NOT_RUN
    if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return AnswerKind.UNKNOWN
    return AnswerKind.REJECTED
