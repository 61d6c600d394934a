"""Identifiers and stable hashes."""

import hashlib
import os
import uuid
from collections.abc import Iterable

from .clock import Clock

HASH_BITS = 64
HASH_SPACE = 1 << HASH_BITS
UUID_VERSION_TIME_ORDERED = 7


def stable_hash(*parts: str) -> int:
    """Return a 64-bit hash that is the same on every VM."""
    data = "\x00".join(parts).encode()
    digest = hashlib.blake2b(data, digest_size=HASH_BITS // 8).digest()
    return int.from_bytes(digest, "big")


def stable_hashes(part: str, encoded_parts: Iterable[bytes]) -> list[int]:
    """Return `stable_hash(part, other)` of each other part, given encoded."""
    start = hashlib.blake2b(part.encode() + b"\x00", digest_size=HASH_BITS // 8)
    hashes = []
    for encoded in encoded_parts:
        state = start.copy()
        state.update(encoded)
        hashes.append(int.from_bytes(state.digest(), "big"))
    return hashes


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return `names` in order of preference for `key`, by rendezvous hashing.

    Removing a name doesn't change the order of the others.
    """
    return sorted(names, key=lambda name: (stable_hash(key, name), name))


def new_uuid7(clock: Clock) -> str:
    """Return a new UUIDv7 for the current wall time."""
    random_bits = int.from_bytes(os.urandom(10), "big")
    value = (clock.wall_ms() & ((1 << 48) - 1)) << 80
    value |= UUID_VERSION_TIME_ORDERED << 76
    value |= ((random_bits >> 68) & 0xFFF) << 64
    value |= 0b10 << 62
    value |= random_bits & ((1 << 62) - 1)
    return str(uuid.UUID(int=value))


def uuid7_ms(text: str) -> int | None:
    """Return the wall time in ms of a UUIDv7, None for any other text."""
    try:
        value = uuid.UUID(text)
    except ValueError:
        return None
    if value.version != UUID_VERSION_TIME_ORDERED:
        return None
    return value.int >> 80
