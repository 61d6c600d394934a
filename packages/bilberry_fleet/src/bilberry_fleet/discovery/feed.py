"""List and watch all objects of one kind in the platform's store."""

import logging
from collections import Counter
from typing import Protocol

import gevent
from gevent import Greenlet

from bilberry_core.clock import Clock
from bilberry_core.const import MS_PER_SECOND
from bilberry_core.outcome import Failure
from bilberry_store.backoff import Backoff
from bilberry_store.errors import StoreError, StoreErrorKind

from .const import BATCH_PAUSE_MS, RETRY_BASE_MS, RETRY_MAX_MS, WATCH_WAIT_MS
from .source import Changes, ObjectSource, Snapshot

_LOGGER = logging.getLogger(__name__)


CALL_ANSWERED = "answered"


class FeedListener(Protocol):
    """Receive the snapshots and changes of a feed."""

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Replace all known objects."""
        ...

    def on_changes(self, changes: Changes) -> None:
        """Apply a batch of changes."""
        ...

    def on_outage(self) -> None:
        """Record that the store cannot be read at present."""
        ...


class Feed:
    """List a kind, then watch it; list again when its history is gone."""

    __slots__ = (
        "backoff",
        "calls",
        "clock",
        "greenlet",
        "kind",
        "last_answer_ms",
        "listener",
        "source",
    )

    def __init__(
        self,
        kind: str,
        source: ObjectSource,
        listener: FeedListener,
        clock: Clock,
        seed: int,
    ) -> None:
        self.clock = clock
        self.last_answer_ms: int | None = None
        self.calls: Counter[str] = Counter()
        self.kind = kind
        self.source = source
        self.listener = listener
        self.backoff = Backoff(seed, RETRY_BASE_MS, RETRY_MAX_MS)
        self.greenlet: Greenlet | None = None

    def start(self) -> None:
        """Start the greenlet that lists and watches."""
        self.greenlet = gevent.spawn(self.run)

    def close(self) -> None:
        """Stop the greenlet."""
        if self.greenlet is not None:
            self.greenlet.kill()
            self.greenlet = None

    def run(self) -> None:
        """List and watch the kind until closed."""
        while True:
            listed = self.source.list(self.kind)
            if isinstance(listed, Failure):
                self.back_off(listed.failure())
                continue
            snapshot = listed.unwrap()
            self.record_answer()
            self.listener.on_snapshot(snapshot)
            self.follow(snapshot.revision)

    def follow(self, revision: int) -> None:
        """Watch from `revision` until the store drops that history."""
        while True:
            watched = self.source.watch(self.kind, revision, WATCH_WAIT_MS)
            if isinstance(watched, Failure):
                error = watched.failure()
                if error.kind is StoreErrorKind.GONE:
                    self.calls[error.kind] += 1
                    _LOGGER.info(
                        "discovery: The store dropped the history of %s.", self.kind
                    )
                    return
                self.back_off(error)
                continue
            changes = watched.unwrap()
            self.record_answer()
            revision = max(revision, changes.revision)
            if changes.changes:
                self.listener.on_changes(changes)
                gevent.sleep(BATCH_PAUSE_MS / MS_PER_SECOND)

    def back_off(self, error: StoreError) -> None:
        """Record a failed call and wait before the next one."""
        if self.backoff.failures == 0:
            _LOGGER.warning(
                "discovery: Could not read %s: %s, %s.",
                self.kind,
                error.kind,
                error.reason,
            )
        self.calls[error.kind] += 1
        self.listener.on_outage()
        gevent.sleep(self.backoff.next_delay_ms() / MS_PER_SECOND)

    def record_answer(self) -> None:
        """Record a successful call and reset the backoff."""
        self.last_answer_ms = self.clock.now_ms()
        self.calls[CALL_ANSWERED] += 1
        if self.backoff.failures:
            _LOGGER.info(
                "discovery: Reading %s again after %s failures.",
                self.kind,
                self.backoff.failures,
            )
        self.backoff.reset()
