"""Bound the callers' connections, of one address and of all."""

import resource
from collections import Counter

from .caller_refusals import CallerLimit
from .const import (
    ADDRESS_CONNECTIONS_FRACTION,
    AUXILIARY_DESCRIPTORS_FRACTION,
    CALLER_DESCRIPTORS_FRACTION,
    MAX_CONNECTIONS,
)


class ConnectionLimits:
    """Count the connections that a node's listeners have accepted.

    A part of the process's descriptors is kept for upstreams, other nodes and
    the store, and one for the auxiliary listeners, so that callers can't fill
    them. `max_of_address` is 0 for a fraction of all.
    """

    __slots__ = ("by_address", "max_of_address", "total")

    def __init__(self) -> None:
        self.by_address: Counter[str] = Counter()
        self.total = 0
        self.max_of_address = 0

    def try_add(self, address: str, is_auxiliary: bool = False) -> CallerLimit | None:
        """Count a connection, or return the limit that it passes."""
        max_callers = max_connections(CALLER_DESCRIPTORS_FRACTION)
        max_total = max_callers
        if is_auxiliary:
            max_total += max_connections(AUXILIARY_DESCRIPTORS_FRACTION)
        if self.total >= max_total:
            return CallerLimit.CONNECTIONS
        max_of_address = self.max_of_address or int(
            max_callers * ADDRESS_CONNECTIONS_FRACTION
        )
        if self.by_address[address] >= max_of_address:
            return CallerLimit.ADDRESS_CONNECTIONS
        self.total += 1
        self.by_address[address] += 1
        return None

    def remove(self, address: str) -> None:
        """Take a closed connection off the counts."""
        self.total -= 1
        self.by_address[address] -= 1
        if self.by_address[address] <= 0:
            del self.by_address[address]


def max_connections(fraction: float) -> int:
    """Return how many connections a fraction of the descriptors allows."""
    descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if descriptors == resource.RLIM_INFINITY:
        return MAX_CONNECTIONS
    return min(MAX_CONNECTIONS, int(descriptors * fraction))
