"""Log what became of requests, with the state behind each decision."""

import logging
from typing import Any

import msgspec

from bilberry_core.registry import Registry

_LOGGER = logging.getLogger(__name__)

UPSTREAM_ANSWER_CAUSE = "upstream's answer"

EVENTS: Registry[str, type["Event"]] = Registry()


class Event(msgspec.Struct, frozen=True, tag_field="event", tag=True):
    """Represent one logged event and its fields."""

    def text(self) -> str:
        """Return the event as a sentence."""
        raise NotImplementedError


class AvailabilityView(msgspec.Struct, frozen=True):
    """Count a service's upstreams by why they couldn't take a request.

    `closed` upstreams are draining, evacuated or not eligible; `held_back`
    ones are failing or cold; `full` ones have no free slot and enough requests
    waiting. `queued` is the number of requests that wait on this node.
    """

    known: int
    closed: int
    held_back: int
    full: int
    queued: int


@EVENTS.register("RequestEnded")
class RequestEnded(Event, frozen=True, tag="RequestEnded"):
    """Represent the end of a request that failed, was late or is sampled.

    `limit_ms` is the time it was allowed, `first_sent_ms` and `last_sent_ms`
    the times until its first and last attempt, -1 if there was none; `load`
    and `slots` are totals of the service. It arrived under the configuration
    `arrived_version`. `homes` are the regions it was bound to at the end, and
    `regions` those of its attempts.
    """

    status: int
    cause: str
    took_ms: int
    limit_ms: int
    first_sent_ms: int
    route: str
    config_version: int
    service: str
    key: str
    attempts: int
    upstreams: list[str]
    load: int
    slots: int
    room: AvailabilityView | None = None
    last_sent_ms: int = -1
    arrived_version: int = 0
    homes: list[str] = []
    regions: list[str] = []
    workspace: str = ""

    def text(self) -> str:
        """Return the event as a sentence."""
        return (
            f"entry: Ended with {self.status}, {self.cause}, after {self.took_ms} ms "
            f"of {self.limit_ms}, first sent after {self.first_sent_ms} ms; "
            f"route {self.route} in version {self.config_version}, "
            f"service {self.service}, key {self.key}, attempts {self.attempts} "
            f"at [{','.join(self.upstreams)}], load {self.load} of {self.slots}; "
            f"arrived in version {self.arrived_version}, last sent after "
            f"{self.last_sent_ms} ms to [{','.join(self.regions)}], "
            f"homes [{','.join(self.homes)}], workspace [{self.workspace}]."
        )


@EVENTS.register("AttemptFailed")
class AttemptFailed(Event, frozen=True, tag="AttemptFailed"):
    """Represent an attempt without an answer that can be forwarded.

    `load` is the upstream's load as known to this node when the attempt was
    sent, `report_age_ms` the age of its load report at that time, and
    `retries` is whether another attempt follows. `fingerprint` is that of a
    request whose answer was lost, as its repeats may crash other upstreams.
    """

    upstream: str
    point: str
    reason: str
    took_ms: int
    expected_ms: int
    warmth: str
    load: int
    report_age_ms: int
    retries: bool
    fingerprint: str = ""

    def text(self) -> str:
        """Return the event as a sentence."""
        follows = "tries again" if self.retries else "gives up"
        reason = f" ({self.reason})" if self.reason else ""
        return (
            f"entry: Attempt at {self.upstream} failed: {self.point}{reason} after "
            f"{self.took_ms} ms, {self.expected_ms} expected, load {self.load} from a "
            f"report {self.report_age_ms} ms old; {follows}."
        )


@EVENTS.register("RouteChanged")
class RouteChanged(Event, frozen=True, tag="RouteChanged"):
    """Represent a new configuration that sends a waiting request elsewhere.

    It arrived `waited_ms` before, and was sent `attempts` times until now.
    """

    route: str
    arrived_version: int
    config_version: int
    waited_ms: int
    attempts: int
    old_homes: list[str]
    homes: list[str]
    old_service: str
    service: str

    def text(self) -> str:
        """Return the event as a sentence."""
        return (
            f"entry: Route {self.route} changed after {self.waited_ms} ms and "
            f"{self.attempts} attempts, version {self.arrived_version} to "
            f"{self.config_version}: service {self.old_service} to {self.service}, "
            f"homes [{','.join(self.old_homes)}] to [{','.join(self.homes)}]."
        )


def log_event(request_id: str, event: Event) -> None:
    """Log an event of one request."""
    extra: dict[str, Any] = {"request_id": request_id, "data": event}
    _LOGGER.info("%s", LazyEventText(event), extra=extra)


class LazyEventText:
    """Format an event only when its log line is written."""

    __slots__ = ("event",)

    def __init__(self, event: Event) -> None:
        self.event = event

    def __str__(self) -> str:
        """Return the event as a sentence."""
        return self.event.text()
