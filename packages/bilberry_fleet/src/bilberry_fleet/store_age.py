"""Compute how old a node's copy of the store may be."""

from .messages import ConfigFreshness
from .readiness import Readiness, choose_freshness
from .settings import FleetSettings


class StoreAge:
    """Track the last time at which a peer's state equalled the store's."""

    __slots__ = ("peer_synced_at_ms", "readiness", "settings")

    def __init__(self, readiness: Readiness, settings: FleetSettings) -> None:
        self.readiness = readiness
        self.settings = settings
        self.peer_synced_at_ms: int | None = None

    def record_peer_age(self, age_ms: int, sent_ms: int) -> None:
        """Record the age that a peer reported for its own copy.

        The age counts from when the pull was sent. Counted from the answer,
        it would shrink by the network delay with every hop.
        """
        peer_synced_at_ms = sent_ms - age_ms
        if self.peer_synced_at_ms is None or peer_synced_at_ms > self.peer_synced_at_ms:
            self.peer_synced_at_ms = peer_synced_at_ms

    def age_ms(self, now_ms: int) -> int:
        """Return how old the configuration may be in ms, -1 if unknown."""
        ages = [self.readiness.store_age_ms(now_ms), self._peer_age_ms(now_ms)]
        return min((age for age in ages if age >= 0), default=-1)

    def config_freshness(self, version: int, now_ms: int) -> ConfigFreshness:
        """Return the source and age of the configuration `version`."""
        own_age_ms = self.readiness.store_age_ms(now_ms)
        limit_ms = 2 * self.settings.watch_ms
        return choose_freshness(
            version, own_age_ms, self._peer_age_ms(now_ms), limit_ms
        )

    def _peer_age_ms(self, now_ms: int) -> int:
        return -1 if self.peer_synced_at_ms is None else now_ms - self.peer_synced_at_ms
