"""Log what was decided on a request, with the facts that decided it."""

import logging
from typing import Any

import msgspec

from bilberry_core.registry import Registry

_LOGGER = logging.getLogger(__name__)

UPSTREAMS_ANSWER = "upstream's answer"

EVENTS: Registry[str, type["Event"]] = Registry()


class Event(msgspec.Struct, frozen=True, tag_field="event", tag=True):
    """Hold the fields of one logged event."""

    def text(self) -> str:
        """Return the event as a sentence."""
        raise NotImplementedError


class RoomView(msgspec.Struct, frozen=True):
    """Count a service's upstreams by why they got or didn't get a request.

    `closed` are draining or evacuated or outside the request's regions,
    `held_back` failing or starting; `queued` is the number of requests
    that wait here.
    """

    known: int
    closed: int
    held_back: int
    full: int
    queued: int


@EVENTS.register("RequestEnded")
class RequestEnded(Event, frozen=True, tag="RequestEnded"):
    """Tell how a request ended that failed, was late, or is a sample.

    `limit_ms` is the time it had, `first_sent_ms` the time until it was
    first sent, -1 if never; `load` and `slots` are the service's.
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
    room: RoomView | None = None

    def text(self) -> str:
        """Return the event as a sentence."""
        return (
            f"entry: Ended with {self.status}, {self.cause}, after {self.took_ms} ms "
            f"of {self.limit_ms}, first sent after {self.first_sent_ms} ms; "
            f"route {self.route} in version {self.config_version}, "
            f"service {self.service}, key {self.key}, attempts {self.attempts} "
            f"at [{','.join(self.upstreams)}], load {self.load} of {self.slots}."
        )


@EVENTS.register("AttemptFailed")
class AttemptFailed(Event, frozen=True, tag="AttemptFailed"):
    """Tell that an attempt brought no answer to pass on, and what follows.

    `load` is what this node took the upstream's load for when it was chosen,
    `report_age_ms` how old the upstream's own report then was.
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

    def text(self) -> str:
        """Return the event as a sentence."""
        follows = "tries again" if self.retries else "gives up"
        reason = f" ({self.reason})" if self.reason else ""
        return (
            f"entry: Attempt at {self.upstream} failed: {self.point}{reason} after "
            f"{self.took_ms} ms, {self.expected_ms} expected, load {self.load} as told "
            f"{self.report_age_ms} ms before; {follows}."
        )


def log_event(request_id: str, event: Event) -> None:
    """Log an event of one request."""
    extra: dict[str, Any] = {"request_id": request_id, "data": event}
    _LOGGER.info("%s", LazyText(event), extra=extra)


class LazyText:
    """Put an event into words only if its line is written."""

    __slots__ = ("event",)

    def __init__(self, event: Event) -> None:
        self.event = event

    def __str__(self) -> str:
        """Return the event as a sentence."""
        return self.event.text()
