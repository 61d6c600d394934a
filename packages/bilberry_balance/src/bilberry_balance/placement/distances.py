"""Learn the round-trip times from this node to upstreams."""

from dataclasses import dataclass
from enum import StrEnum, auto

from .const import (
    INITIAL_OTHER_REGION_MS,
    INITIAL_SAME_DOMAIN_MS,
    INITIAL_SAME_REGION_MS,
    ROUND_TRIP_WEIGHT,
)
from .upstream import UpstreamSpec


@dataclass(slots=True, frozen=True)
class Location:
    """Represent the location of a node."""

    failure_domain: str
    region: str


class Distance(StrEnum):
    """Enumerate how far an upstream is from the node."""

    SAME_DOMAIN = auto()
    SAME_REGION = auto()
    OTHER_REGION = auto()


INITIAL_ROUND_TRIPS_MS = {
    Distance.SAME_DOMAIN: INITIAL_SAME_DOMAIN_MS,
    Distance.SAME_REGION: INITIAL_SAME_REGION_MS,
    Distance.OTHER_REGION: INITIAL_OTHER_REGION_MS,
}


class Distances:
    """Store a mean round-trip time for each failure domain, in ms."""

    __slots__ = ("location", "round_trips")

    def __init__(self, location: Location) -> None:
        self.location = location
        self.round_trips: dict[str, float] = {}

    def between(self, spec: UpstreamSpec) -> Distance:
        """Return how far an upstream is from this node."""
        if spec.failure_domain == self.location.failure_domain:
            return Distance.SAME_DOMAIN
        if spec.region == self.location.region:
            return Distance.SAME_REGION
        return Distance.OTHER_REGION

    def round_trip_ms(self, spec: UpstreamSpec) -> float:
        """Return the expected round-trip time to an upstream."""
        found = self.round_trips.get(spec.failure_domain)
        return INITIAL_ROUND_TRIPS_MS[self.between(spec)] if found is None else found

    def observe(self, spec: UpstreamSpec, connect_ms: float) -> None:
        """Update the mean with the time that a connect took."""
        mean = self.round_trip_ms(spec)
        change = ROUND_TRIP_WEIGHT * (connect_ms - mean)
        self.round_trips[spec.failure_domain] = mean + change
