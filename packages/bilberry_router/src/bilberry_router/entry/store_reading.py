"""Read the store exactly at the nodes that do so for others."""

import logging
from collections.abc import Sequence

from bilberry_core.clock import Clock
from bilberry_fleet.discovery.const import (
    CATCH_UP_AFTER_MS,
    LISTEN_MS,
    STEADY_AFTER_MS,
    UNABLE_AFTER_MS,
)
from bilberry_fleet.discovery.feed import Feed
from bilberry_fleet.discovery.heartbeats import HeartbeatTask
from bilberry_fleet.discovery.read_duty import ReadDuty

_LOGGER = logging.getLogger(__name__)


class StoreReading:
    """Let this node's feeds read exactly while it reads for its domain.

    Peers are told at once when it can't read any more, and what it reads soon
    after it took over. A node that leaves gives the duty up. Peers may rely on
    what this one reads while `can_read` is set, which was so at `able_at_ms`
    last, and since `able_since_ms`.
    """

    __slots__ = (
        "able_at_ms",
        "able_since_ms",
        "can_read",
        "clock",
        "duty",
        "feeds",
        "heartbeats",
        "is_leaving",
    )

    def __init__(self, heartbeats: HeartbeatTask, clock: Clock) -> None:
        self.heartbeats = heartbeats
        self.clock = clock
        self.duty = ReadDuty(heartbeats.peers)
        self.feeds: Sequence[Feed] = ()
        self.can_read = False
        self.able_since_ms = 0
        self.able_at_ms = 0
        self.is_leaving = False

    def set_feeds(self, feeds: Sequence[Feed]) -> None:
        """Set the feeds of this node."""
        self.feeds = feeds
        for feed in feeds:
            feed.on_change = self.announce

    def may_be_stale(self) -> bool:
        """Return whether another node of the domain reads exactly."""
        return not self.duty.is_reader

    def leave(self) -> None:
        """Give the duty up."""
        self.is_leaving = True
        self.can_read = False

    def update(self, now_ms: int) -> None:
        """Begin to read exactly if that is up to this node now.

        A node that has just started listens for the others first.
        """
        if now_ms - self.heartbeats.started_at_ms < LISTEN_MS:
            return
        self.update_ability(now_ms)
        is_steady = now_ms - self.able_since_ms >= STEADY_AFTER_MS
        if self.duty.update(self.can_read, is_steady, now_ms):
            _LOGGER.info("fleet: This node reads the store for its domain.")
            for feed in self.feeds:
                feed.read_exactly()

    def update_ability(self, now_ms: int) -> None:
        """Record whether this node can read; tell peers of a change."""
        could_read = self.can_read
        if not self.is_leaving and all(feed.is_followed() for feed in self.feeds):
            self.able_at_ms = now_ms
            self.can_read = True
        elif now_ms - self.able_at_ms >= UNABLE_AFTER_MS:
            self.can_read = False
        if self.can_read and not could_read:
            self.able_since_ms = now_ms
        if self.can_read is not could_read:
            self.heartbeats.schedule.send_all_now()

    def revisions(self, era: int) -> list[int]:
        """Return the revision of the latest change known of each kind."""
        return [feed.revision_in(era) for feed in self.feeds]

    def on_peers_revisions(self, era: int, revisions: list[int], now_ms: int) -> None:
        """Tell the feeds which changes peers know."""
        for feed, revision in zip(self.feeds, revisions, strict=False):
            feed.on_peers_revision(era, revision, now_ms)

    def catch_up(self, now_ms: int) -> None:
        """Read again what peers know and this node doesn't."""
        after_ms = 0 if self.duty.is_settling(now_ms) else CATCH_UP_AFTER_MS
        for feed in self.feeds:
            feed.catch_up_if_behind(now_ms, after_ms)

    def announce(self) -> None:
        """Tell peers of a change without delay if it may be late."""
        if self.duty.is_reader and self.duty.is_settling(self.clock.now_ms()):
            self.heartbeats.schedule.send_all_now()
