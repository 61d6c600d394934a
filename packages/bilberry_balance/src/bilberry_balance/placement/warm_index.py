"""Find the upstreams that recently got a request for a key."""

from collections import OrderedDict

MAX_INDEXED_KEYS = 4_096
MAX_UPSTREAMS_PER_KEY = 8


class WarmIndex:
    """Store the names of the latest upstreams of each key.

    An upstream itself knows whether it is still warm.
    """

    __slots__ = ("names",)

    def __init__(self) -> None:
        self.names: OrderedDict[tuple[str, str], list[str]] = OrderedDict()

    def record(self, service: str, key: str, upstream: str) -> None:
        """Record that an upstream got a request for a key."""
        latest = self.names.setdefault((service, key), [])
        if upstream in latest:
            latest.remove(upstream)
        latest.append(upstream)
        del latest[:-MAX_UPSTREAMS_PER_KEY]
        self.names.move_to_end((service, key))
        if len(self.names) > MAX_INDEXED_KEYS:
            self.names.popitem(last=False)

    def upstreams(self, service: str, key: str) -> list[str]:
        """Return the latest upstreams of a key."""
        return self.names.get((service, key), [])
