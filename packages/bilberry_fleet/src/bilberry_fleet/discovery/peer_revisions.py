"""Track the latest change of a kind that peers know."""

from gevent.event import Event


class PeerRevisions:
    """Store the revision of the latest change that any peer knows.

    `behind_since_ms` is since when this node has known less, None if it
    doesn't. `know_more` is set from then until this node knows as much.
    """

    __slots__ = ("behind_since_ms", "know_more", "latest")

    def __init__(self) -> None:
        self.latest = 0
        self.know_more = Event()
        self.behind_since_ms: int | None = None

    def forget(self) -> None:
        """Forget what peers told, as revisions are given out again."""
        self.latest = 0
        self.behind_since_ms = None

    def record(self, latest: int, known: int, now_ms: int) -> None:
        """Record what a peer knows, while this node knows `known`."""
        self.latest = max(self.latest, latest)
        if self.latest <= known:
            self.behind_since_ms = None
        elif self.behind_since_ms is None:
            self.behind_since_ms = now_ms
            self.know_more.set()

    def record_known(self, known: int) -> None:
        """Record what this node knows by now."""
        if self.latest <= known:
            self.know_more.clear()

    def is_catch_up_due(self, known: int, now_ms: int, after_ms: int) -> bool:
        """Return whether this node has stayed behind for `after_ms`."""
        if self.behind_since_ms is None:
            return False
        if self.latest <= known:
            self.behind_since_ms = None
            return False
        return now_ms - self.behind_since_ms >= after_ms

    def record_catch_up(self, now_ms: int) -> None:
        """Record that this node begins to catch up."""
        self.behind_since_ms = now_ms
