"""Decide when a joining node is ready, and from which source."""

from .const import BOOTSTRAP_PEERS, CONFIG_KINDS
from .messages import ConfigFreshness, ConfigSource


class Readiness:
    """Track the answers of the store and of peers to a joining node."""

    __slots__ = ("confirmed_at_ms", "highest_version", "peers", "store_failed")

    def __init__(self) -> None:
        self.confirmed_at_ms: dict[str, int] = {}
        self.peers: set[str] = set()
        self.store_failed = False
        self.highest_version = 0

    def reset(self) -> None:
        """Reset, such as after the node was declared dead."""
        self.confirmed_at_ms.clear()
        self.peers.clear()
        self.store_failed = False

    def record_store(self, kind: str, now_ms: int) -> None:
        """Record that the store confirmed a kind as up to date."""
        self.confirmed_at_ms[kind] = now_ms
        self.store_failed = False

    def record_peer(self, peer: str, version: int) -> None:
        """Record that a peer answered, and its version."""
        self.peers.add(peer)
        self.highest_version = max(self.highest_version, version)

    def store_age_ms(self, now_ms: int) -> int:
        """Return the age of the oldest confirmation, -1 if any is missing."""
        if not self.store_confirmed():
            return -1
        return now_ms - min(self.confirmed_at_ms.values())

    def store_confirmed(self) -> bool:
        """Return whether the store confirmed every kind."""
        return len(self.confirmed_at_ms) == len(CONFIG_KINDS)

    def is_ready(self, version: int, known_peers: int) -> bool:
        """Return whether the highest version that was found is installed.

        If the store confirmed every kind, the answer of one peer is still
        required, as the store may answer from a stale replica. If the store
        failed, several peers have to answer, or all if there are fewer.
        """
        if version < self.highest_version:
            return False
        if self.store_confirmed():
            return bool(self.peers) or known_peers == 0
        required_peers = min(BOOTSTRAP_PEERS, known_peers)
        return self.store_failed and 0 < required_peers <= len(self.peers)


def choose_freshness(
    version: int, own_age_ms: int, peer_age_ms: int, limit_ms: int
) -> ConfigFreshness:
    """Return a configuration's source and how old it may be."""
    if 0 <= own_age_ms <= limit_ms:
        source, age_ms = ConfigSource.STORE, own_age_ms
    elif version > 0 or peer_age_ms >= 0:
        ages = [age for age in (own_age_ms, peer_age_ms) if age >= 0]
        source, age_ms = ConfigSource.PEERS, min(ages, default=-1)
    else:
        source, age_ms = ConfigSource.NONE, -1
    return ConfigFreshness(source=source, config_version=version, store_age_ms=age_ms)
