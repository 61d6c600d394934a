"""Read again after a standstill what decides where requests may go."""

from collections.abc import Sequence

import gevent
from gevent import Greenlet

from bilberry_core.const import MS_PER_SECOND
from bilberry_fleet.discovery.feed import Feed

from .standstills import StandstillMonitor

# After standing still for so long, what the node knows may be outdated.
MIN_BEHIND_MS = 1_000
# Then requests go on by what is known.
MAX_REREAD_MS = 500
# Of the time that a request has left.
MAX_WAIT_FRACTION = 1 / 3


class Rereads:
    """Let requests wait after a standstill until some kinds are read again.

    Changes may have come meanwhile, and requests that arrived then would be
    handled before the node has read them.
    """

    __slots__ = ("feeds", "monitor", "task")

    def __init__(self, monitor: StandstillMonitor, feeds: Sequence[Feed]) -> None:
        self.monitor = monitor
        self.feeds = feeds
        self.task: Greenlet | None = None

    def close(self) -> None:
        """Stop reading."""
        if self.task is not None:
            self.task.kill()
            self.task = None

    def record_wake(self) -> None:
        """Record that the node runs; read again if it stood still for long."""
        self.monitor.record_wake()
        if self.is_due() and not self.is_reading():
            self.monitor.forget_recent()
            self.task = gevent.spawn(self.read)

    def is_needed(self) -> bool:
        """Return whether a request has to wait."""
        return self.is_reading() or self.is_due()

    def is_due(self) -> bool:
        """Return whether the node stood still for long since the last read."""
        return self.monitor.recent_standstill_ms() >= MIN_BEHIND_MS

    def is_reading(self) -> bool:
        """Return whether the kinds are being read."""
        return self.task is not None and not self.task.ready()

    def wait(self, remaining_ms: int) -> None:
        """Wait until nothing has to be read, for a part of the time left."""
        if not self.is_needed():
            return
        if not self.is_reading():
            self.record_wake()
        limit_ms = min(MAX_REREAD_MS, remaining_ms * MAX_WAIT_FRACTION)
        if self.task is not None:
            self.task.join(timeout=limit_ms / MS_PER_SECOND)

    def read(self) -> None:
        """Read what changed, exactly, unless the store fails."""
        with gevent.Timeout(MAX_REREAD_MS / MS_PER_SECOND, False):
            gevent.joinall([gevent.spawn(self._read_kind, feed) for feed in self.feeds])

    def _read_kind(self, feed: Feed) -> None:
        """Read after a read that runs, as its answer may be older.

        It doesn't wait for the breaker: a call whose time ran out during the
        standstill tells nothing of the store.
        """
        if feed.catch_up_greenlet is not None:
            feed.catch_up_greenlet.join()
        if feed.revision:
            feed.run_catch_up(feed.breaker.begin_call())
