"""List and watch all objects of one kind in the platform's store."""

import logging
from collections.abc import Callable

import gevent
from gevent import Greenlet

from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND
from bilberry_core.outcome import Failure
from bilberry_store.errors import StoreError, StoreErrorKind

from .batch_effect import BatchEffect
from .call_record import CALL_ANSWERED, OUTAGE_KINDS, CallRecord
from .const import (
    BATCH_PAUSE_MS,
    CATCH_UP_WAIT_MS,
    CHANGES_LIMIT_FACTOR,
    FIRST_WATCH_WAIT_MS,
    MIN_CHANGES_LIMIT_BYTES,
    RENEWAL_PAUSE_MS,
    RETRY_MAX_MS,
    STALE_RENEWAL_PAUSE_MS,
    STALE_WATCH_WAIT_MS,
    WATCH_WAIT_MS,
)
from .feed_listener import FeedListener
from .list_retry import ListRetry
from .listing import read_snapshot
from .peer_revisions import PeerRevisions
from .read_progress import ReadProgress
from .source import Changes, ObjectSource, Snapshot
from .store_breaker import StoreBreaker
from .store_era import StoreEra

_LOGGER = logging.getLogger(__name__)

# After these the kind is listed, as its changes can't be followed.
LIST_AGAIN_KINDS = frozenset({StoreErrorKind.GONE, StoreErrorKind.TOO_LARGE})


class Feed:
    """List a kind, then watch it; list again when its history is gone.

    While `may_be_stale` returns True, watches are cheap ones that may miss
    the latest changes. Peers tell the revision of the latest change that
    they know; a feed that stays behind it makes one exact read. After changes
    that only renew entries it pauses until peers know more. A node that
    becomes the one to read exactly replaces the cheap watch that waits. Lists
    are always exact, so that nothing of the past returns with a start, and
    `revision` is 0 until one is complete. While the store fails, the node's
    feeds share one probe of it. The kind is listed again when its changes are
    gone or larger than a list, when its list had gaps, and when the store has
    come back from a copy, as its revisions are then given out again.
    `on_exact_read` gets the boot time at which an applied exact read began,
    `on_change` is called after changes that peers should know.
    """

    __slots__ = (
        "breaker",
        "catch_up_greenlet",
        "changes_limit_bytes",
        "clock",
        "era",
        "event_revision",
        "greenlet",
        "is_waiting_stale",
        "kind",
        "last_revision",
        "list_retry",
        "listener",
        "may_be_stale",
        "on_change",
        "on_exact_read",
        "peers",
        "progress",
        "record",
        "revision",
        "sought_era",
        "source",
        "store_era",
    )

    def __init__(
        self,
        kind: str,
        source: ObjectSource,
        listener: FeedListener,
        clock: Clock,
        seed: int,
        may_be_stale: Callable[[], bool],
        breaker: StoreBreaker,
        store_era: StoreEra,
    ) -> None:
        self.clock = clock
        self.store_era = store_era
        self.era = 0
        self.sought_era = 0
        self.last_revision = 0
        self.may_be_stale = may_be_stale
        self.breaker = breaker
        self.revision = 0
        self.event_revision = 0
        self.peers = PeerRevisions()
        self.catch_up_greenlet: Greenlet | None = None
        self.progress = ReadProgress(clock)
        self.changes_limit_bytes = MIN_CHANGES_LIMIT_BYTES
        self.on_exact_read: Callable[[int], None] | None = None
        self.on_change: Callable[[], None] = lambda: None
        self.is_waiting_stale = False
        self.kind = kind
        self.source = source
        self.listener = listener
        self.record = CallRecord(kind, breaker, clock, seed)
        self.list_retry = ListRetry(kind, clock, seed)
        self.greenlet: Greenlet | None = None

    def start(self) -> None:
        """Start the greenlet that lists and watches."""
        self.greenlet = gevent.spawn(self.run)

    def close(self) -> None:
        """Stop the greenlets."""
        for greenlet in (self.greenlet, self.catch_up_greenlet):
            if greenlet is not None:
                greenlet.kill()
        self.greenlet = None
        self.catch_up_greenlet = None

    def run(self) -> None:
        """List the kind if it isn't known, and watch it, until closed."""
        while True:
            try:
                if not self.revision:
                    self.list_kind()
                if self.revision:
                    self.follow()
            except Exception:
                self.handle_error()
                self.forget_revision()
                gevent.sleep(RETRY_MAX_MS / MS_PER_SECOND)

    def is_followed(self) -> bool:
        """Return whether the kind was listed, and can be read at present."""
        return bool(self.revision or self.last_revision) and not self.breaker.is_open

    def forget_revision(self) -> None:
        """List the kind again, as its changes can't be followed."""
        self.last_revision = max(self.revision, self.last_revision)
        self.revision = 0

    def list_kind(self) -> None:
        """List the kind; without success, `revision` stays 0."""
        self.sought_era = self.store_era.value
        is_probe = self.wait_for_store()
        self.progress.limit_bytes = None
        began_ms = self.clock.boot_ms()
        listed = read_snapshot(self.kind, self.source, self.progress)
        if isinstance(listed, Failure):
            self.handle_list_failure(listed.failure(), is_probe)
            return
        snapshot = listed.unwrap()
        self.record.answered()
        self.progress.log_if_slow(self.kind)
        if snapshot.era != self.era or snapshot.revision < self.last_revision:
            self.begin_era(snapshot)
        self.changes_limit_bytes = max(
            MIN_CHANGES_LIMIT_BYTES, int(snapshot.byte_count * CHANGES_LIMIT_FACTOR)
        )
        self.list_retry.record(snapshot)
        self.revision = snapshot.revision
        has_news = self.listener.on_snapshot(snapshot)
        self.record_exact_read(began_ms, snapshot.era, snapshot.revision)
        self.record_listed(snapshot, has_news)

    def record_listed(self, snapshot: Snapshot, has_news: bool) -> None:
        """Record up to which revision the list tells of changes.

        A first list is all news to this node, but peers may have missed only
        the latest change of what is there.
        """
        if not self.last_revision:
            revisions = [record.revision for record in snapshot.records]
            self.event_revision = max(revisions, default=0)
        elif has_news:
            self.event_revision = snapshot.revision
            self.on_change()

    def begin_era(self, snapshot: Snapshot) -> None:
        """Forget the revisions of the store's era before this snapshot."""
        if self.last_revision:
            _LOGGER.warning(
                "discovery: The store went from revision %s of era %s to %s of "
                "era %s; %s are read again.",
                self.last_revision,
                self.era,
                snapshot.revision,
                snapshot.era,
                self.kind,
            )
            self.listener.on_store_restored()
        self.era = snapshot.era
        self.store_era.raise_to(snapshot.era)
        self.last_revision = 0
        self.event_revision = 0
        self.peers.forget()

    def follow(self) -> None:
        """Watch until the kind must be listed again."""
        while not self.list_retry.is_due():
            is_probe = self.wait_for_store()
            revision = self.revision
            is_stale = self.may_be_stale()
            wait_ms = CATCH_UP_WAIT_MS if is_probe else self.watch_wait_ms(is_stale)
            self.progress.limit_bytes = self.changes_limit_bytes
            began_ms = self.clock.boot_ms()
            self.is_waiting_stale = is_stale and not is_probe
            watched = self.source.watch(
                self.kind, revision, wait_ms, is_stale, self.progress
            )
            self.is_waiting_stale = False
            if isinstance(watched, Failure):
                error = watched.failure()
                if error.kind in LIST_AGAIN_KINDS:
                    self.record.unusable(error, self.changes_limit_bytes)
                    break
                self.handle_failure(error, is_probe)
                continue
            changes = watched.unwrap()
            self.record.answered()
            self.progress.log_if_slow(self.kind)
            effect = self.apply(changes, revision)
            if effect is BatchEffect.OTHER_ERA:
                break
            if not is_stale:
                self.record_exact_read(began_ms, changes.era, changes.revision)
            self.is_waiting_stale = is_stale
            self.pause(effect, is_stale)
            self.is_waiting_stale = False
        self.forget_revision()

    def read_exactly(self) -> None:
        """Replace a cheap watch that waits by an exact one."""
        if self.is_waiting_stale and self.greenlet is not None:
            self.greenlet.kill()
            self.is_waiting_stale = False
            self.start()

    def record_exact_read(self, began_ms: int, era: int, revision: int) -> None:
        """Tell that all changes are known up to when an exact read began."""
        if era in (0, self.era) and self.revision >= revision and self.on_exact_read:
            self.on_exact_read(began_ms)

    def pause(self, effect: BatchEffect, is_stale: bool) -> None:
        """Wait after a batch of changes, longer if it changed nothing."""
        if effect is BatchEffect.NONE:
            return
        gevent.sleep(BATCH_PAUSE_MS / MS_PER_SECOND)
        if effect is BatchEffect.RENEWED:
            pause_ms = STALE_RENEWAL_PAUSE_MS if is_stale else RENEWAL_PAUSE_MS
            self.peers.know_more.wait(pause_ms / MS_PER_SECOND)

    def wait_for_store(self) -> bool:
        """Wait until a call may be made; return whether it is a probe."""
        while delay_ms := self.breaker.delay_ms(self.clock.now_ms()):
            if self.breaker.is_outage:
                self.listener.on_outage()
            gevent.sleep(delay_ms / MS_PER_SECOND)
        return self.breaker.begin_call()

    def watch_wait_ms(self, is_stale: bool) -> int:
        """Return how long the next watch may wait for changes, in ms."""
        if self.record.calls[CALL_ANSWERED] <= 1:
            return FIRST_WATCH_WAIT_MS
        return STALE_WATCH_WAIT_MS if is_stale else WATCH_WAIT_MS

    def apply(self, changes: Changes, since: int) -> BatchEffect:
        """Apply changes after `since`, unless more is known by now."""
        if since != self.revision:
            return BatchEffect.NONE
        if changes.era and changes.era != self.era:
            return self.handle_other_era(changes.era)
        self.revision = max(self.revision, changes.revision)
        self.peers.record_known(self.revision)
        if not changes.changes and not changes.unreadable_count:
            return BatchEffect.NONE
        if not self.listener.on_changes(changes):
            return BatchEffect.RENEWED
        revisions = [change.record.revision for change in changes.changes]
        self.event_revision = max([self.event_revision, *revisions])
        self.on_change()
        return BatchEffect.CHANGED

    def handle_other_era(self, era: int) -> BatchEffect:
        """Record the era of an answer; one of an earlier era is outdated."""
        self.store_era.raise_to(era)
        return BatchEffect.RENEWED if era < self.era else BatchEffect.OTHER_ERA

    def revision_in(self, era: int) -> int:
        """Return the revision of the latest change known in an era, or 0."""
        return self.event_revision if era == self.era else 0

    def on_peers_revision(self, era: int, revision: int, now_ms: int) -> None:
        """Record the revision of the latest change that a peer knows."""
        if era == self.era:
            self.peers.record(revision, self.revision, now_ms)

    def catch_up_if_behind(self, now_ms: int, after_ms: int) -> None:
        """Start an exact read if this feed stayed behind its peers.

        While a large answer arrives, another one would slow it down.
        """
        self.list_new_era()
        if self.revision == 0 or self.progress.is_arriving(now_ms):
            return
        if self.peers.is_catch_up_due(self.revision, now_ms, after_ms):
            self.start_catch_up(now_ms)

    def list_new_era(self) -> None:
        """List again if the store is said to have begun another era."""
        if self.breaker.is_open or self.store_era.value <= self.sought_era:
            return
        if self.era < self.store_era.value:
            self.restart()

    def start_catch_up(self, now_ms: int) -> None:
        """Start an exact read, unless one runs or the store fails."""
        is_reading = self.catch_up_greenlet and not self.catch_up_greenlet.ready()
        if is_reading or self.breaker.delay_ms(now_ms):
            return
        self.peers.record_catch_up(now_ms)
        is_probe = self.breaker.begin_call()
        self.catch_up_greenlet = gevent.spawn(self.run_catch_up, is_probe)

    def run_catch_up(self, is_probe: bool) -> None:
        """Catch up once."""
        try:
            self.catch_up(is_probe)
        except Exception:
            self.handle_error()

    def catch_up(self, is_probe: bool) -> None:
        """Read the changes since the known revision, exactly and at once."""
        revision = self.revision
        if self.peers.latest > revision:
            _LOGGER.info(
                "discovery: Behind on %s at revision %s, peers have %s.",
                self.kind,
                revision,
                self.peers.latest,
            )
        progress = ReadProgress(self.clock)
        progress.limit_bytes = self.changes_limit_bytes
        began_ms = self.clock.boot_ms()
        read = self.source.watch(self.kind, revision, CATCH_UP_WAIT_MS, False, progress)
        if not isinstance(read, Failure):
            self.record.answered()
            progress.log_if_slow(self.kind)
            changes = read.unwrap()
            if self.apply(changes, revision) is BatchEffect.OTHER_ERA:
                self.restart()
            else:
                self.record_exact_read(began_ms, changes.era, changes.revision)
        elif read.failure().kind in LIST_AGAIN_KINDS:
            self.record.unusable(read.failure(), self.changes_limit_bytes)
            self.restart()
        else:
            self.record.failed(read.failure(), is_probe)

    def restart(self) -> None:
        """List again, in place of a watch that may have gone silent."""
        if self.greenlet is not None:
            self.greenlet.kill()
            self.is_waiting_stale = False
            self.forget_revision()
            self.start()

    def handle_list_failure(self, error: StoreError, is_probe: bool) -> None:
        """Record that the kind could not be listed, and wait."""
        if error.kind is not StoreErrorKind.GONE:
            self.handle_failure(error, is_probe)
            return
        self.record.unusable(error, self.changes_limit_bytes)
        gevent.sleep(self.record.backoff.next_delay_ms() / MS_PER_SECOND)

    def handle_failure(self, error: StoreError, is_probe: bool) -> None:
        """Record a failed call; wait if only this kind can't be read."""
        self.record.failed(error, is_probe)
        self.listener.on_outage()
        if error.kind not in OUTAGE_KINDS:
            gevent.sleep(self.record.backoff.next_delay_ms() / MS_PER_SECOND)

    def handle_error(self) -> None:
        """Log an unexpected error; let other calls probe the store."""
        _LOGGER.exception("discovery: Error while reading %s.", self.kind)
        self.breaker.abandon_probe(self.clock.now_ms())
