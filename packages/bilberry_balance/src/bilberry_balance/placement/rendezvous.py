"""Order upstreams for keys by weighted rendezvous hashing."""

import heapq
import math
from collections.abc import Sequence

from bilberry_core.ids import HASH_BITS, stable_hashes

from .upstream import Upstream

# Bits of a hash that a float holds exactly, so that its fraction is below 1.
FRACTION_BITS = 53


def weighted_score(hashed: int, slots: int) -> float:
    """Return the score of an upstream for a key; the lowest is the first.

    It is an exponential variate with rate `slots`, so that the first one is
    drawn in proportion to slots. For equal slots it has the order of the hash.
    """
    fraction = (hashed >> (HASH_BITS - FRACTION_BITS)) / (1 << FRACTION_BITS)
    return -math.log1p(-fraction) / slots


class RankedUpstreams:
    """Order the upstreams of one region for any key.

    `slots` is None if all have the same number.
    """

    __slots__ = ("encoded_names", "names", "slots")

    def __init__(self, upstreams: Sequence[Upstream]) -> None:
        self.names = [upstream.name for upstream in upstreams]
        self.encoded_names = [name.encode() for name in self.names]
        slots = [upstream.spec.slots for upstream in upstreams]
        self.slots = slots if len(set(slots)) > 1 else None

    def first(self, key: str, count: int) -> list[str]:
        """Return the names of the first upstreams for a key."""
        hashes = stable_hashes(key, self.encoded_names)
        if self.slots is None:
            by_hash = heapq.nsmallest(count, zip(hashes, self.names, strict=True))
            return [name for _, name in by_hash]
        scores = map(weighted_score, hashes, self.slots)
        by_score = heapq.nsmallest(count, zip(scores, hashes, self.names, strict=True))
        return [name for _, _, name in by_score]
