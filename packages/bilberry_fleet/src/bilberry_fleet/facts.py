"""Replicate small values; the highest stamp per key wins."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum
from functools import lru_cache

import msgspec

from bilberry_core.ids import stable_hash

from .const import (
    DIGEST_BUCKETS,
    FACT_PREFIX_RELAY_HEARTBEAT,
    FACT_PREFIX_STATUS,
    MAX_CACHED_HASHES,
)
from .messages import Fact


class FactScope(StrEnum):
    """Specify which nodes receive a fact.

    Only ALL and RELAYS end a waiting pull; RELAYS_DEFERRED facts reach relays
    with the next answer.
    """

    ALL = "all"
    RELAYS = "relays"
    RELAYS_DEFERRED = "quiet"


def scope_of(key: str) -> FactScope:
    """Return the scope of the facts under a key."""
    if key.startswith(FACT_PREFIX_RELAY_HEARTBEAT):
        return FactScope.RELAYS_DEFERRED
    return FactScope.RELAYS if key.startswith(FACT_PREFIX_STATUS) else FactScope.ALL


@lru_cache(maxsize=MAX_CACHED_HASHES)
def digest_bucket(key: str) -> str:
    """Return the digest bucket of a key."""
    return str(stable_hash(key) % DIGEST_BUCKETS)


@lru_cache(maxsize=MAX_CACHED_HASHES)
def digest_value(key: str, stamp: tuple[int, int]) -> int:
    """Return the value that a fact adds to its bucket's digest."""
    return stable_hash(key, str(stamp[0]), str(stamp[1]))


@dataclass(slots=True)
class StoredFact:
    """Store a fact with its local sequence number and expiry."""

    fact: Fact
    sequence: int
    scope: FactScope
    expires_at_ms: int | None
    source: str

    def with_remaining_ttl(self, now_ms: int) -> Fact:
        """Return the fact with its remaining time to live."""
        if self.expires_at_ms is None:
            return self.fact
        remaining_ms = max(1, self.expires_at_ms - now_ms)
        return msgspec.structs.replace(self.fact, ttl_ms=remaining_ms)


class FactTable:
    """Store facts in the order in which this node received them."""

    __slots__ = (
        "expires_at_ms",
        "last_all_sequence",
        "last_relays_sequence",
        "sequence",
        "stored",
    )

    def __init__(self) -> None:
        self.stored: OrderedDict[str, StoredFact] = OrderedDict()
        self.expires_at_ms: dict[str, int] = {}
        self.sequence = 0
        self.last_all_sequence = 0
        self.last_relays_sequence = 0

    def put(self, fact: Fact, now_ms: int, source: str = "") -> bool:
        """Store a fact from `source`; return whether it was newer."""
        stored = self.stored.get(fact.key)
        if stored is not None and stored.fact.stamp >= fact.stamp:
            return False
        self.sequence += 1
        scope = scope_of(fact.key)
        if scope is FactScope.ALL:
            self.last_all_sequence = self.sequence
        if scope is not FactScope.RELAYS_DEFERRED:
            self.last_relays_sequence = self.sequence
        expires_at_ms = now_ms + fact.ttl_ms if fact.ttl_ms else None
        if expires_at_ms is not None:
            self.expires_at_ms[fact.key] = expires_at_ms
        self.stored[fact.key] = StoredFact(
            fact, self.sequence, scope, expires_at_ms, source
        )
        self.stored.move_to_end(fact.key)
        return True

    def get(self, key: str) -> Fact | None:
        """Return the fact under `key`."""
        stored = self.stored.get(key)
        return stored.fact if stored else None

    def with_prefix(self, prefix: str) -> list[Fact]:
        """Return the facts whose key begins with `prefix`."""
        items = self.stored.items()
        return [stored.fact for key, stored in items if key.startswith(prefix)]

    def since(
        self, cursor: int, for_relay: bool, now_ms: int, reader: str = ""
    ) -> list[Fact]:
        """Return the facts after `cursor` that did not come from `reader`."""
        facts: list[Fact] = []
        for stored in reversed(self.stored.values()):
            if stored.sequence <= cursor:
                break
            is_in_scope = for_relay or stored.scope is FactScope.ALL
            if is_in_scope and (not reader or stored.source != reader):
                facts.append(stored.with_remaining_ttl(now_ms))
        facts.reverse()
        return facts

    def digests(self) -> dict[str, str]:
        """Return a digest per bucket of the facts with scope ALL."""
        sums: dict[str, int] = {}
        for key, stored in self.stored.items():
            if stored.scope is FactScope.ALL:
                bucket = digest_bucket(key)
                value = digest_value(key, stored.fact.stamp)
                sums[bucket] = sums.get(bucket, 0) ^ value
        return {bucket: f"{value:x}" for bucket, value in sums.items()}

    def differing(self, digests: dict[str, str], facts: list[Fact]) -> list[Fact]:
        """Return the facts whose bucket differs from a reader's digest."""
        own_digests = self.digests()
        matching_buckets = {
            b for b, digest in digests.items() if own_digests.get(b) == digest
        }
        return [
            fact
            for fact in facts
            if scope_of(fact.key) is not FactScope.ALL
            or digest_bucket(fact.key) not in matching_buckets
        ]

    def has_updates(self, cursor: int, for_relay: bool) -> bool:
        """Return whether a fact after `cursor` ends a waiting pull."""
        last = self.last_relays_sequence if for_relay else self.last_all_sequence
        return last > cursor

    def remove(self, key: str) -> None:
        """Remove one fact."""
        self.stored.pop(key, None)
        self.expires_at_ms.pop(key, None)

    def expire(self, now_ms: int) -> None:
        """Remove the facts whose time to live has passed."""
        expired = [key for key, at_ms in self.expires_at_ms.items() if at_ms <= now_ms]
        for key in expired:
            del self.expires_at_ms[key]
            del self.stored[key]
