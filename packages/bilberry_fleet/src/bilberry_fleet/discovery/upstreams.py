"""Maintain the upstream directory from the entries in the store."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, replace

from bilberry_balance.placement.directory import UpstreamDirectory
from bilberry_balance.placement.upstream import Upstream, UpstreamSpec
from bilberry_core.clock import Clock
from bilberry_core.outcome import Failure, Result
from bilberry_resources.routing import PoolConfig

from .const import REREGISTRATION_GRACE_MS, SILENT_ENTRY_MS
from .departures import DepartedUpstreams
from .source import Changes, Record, Snapshot

_LOGGER = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class UpstreamEntry:
    """Represent the decoded store entry of an upstream.

    `cold_left_ms` is the warm-up time left when the entry was written.
    """

    spec: UpstreamSpec
    draining: bool
    cold_left_ms: int


@dataclass(slots=True, frozen=True)
class WithheldRecord:
    """Store an entry that may be outdated, and until when it isn't used."""

    record: Record
    until_ms: int


UpstreamDecoder = Callable[[Record], Result[UpstreamEntry, str]]


class UpstreamListener:
    """Synchronize the directory with the entries in the store.

    Upstreams renew their entries all the time; `has_news` is set by a change
    of anything else.
    An entry that is missing right after a store outage may just have
    expired, so its upstream is kept for a while and can register again.
    An entry of a restored store may be older than what is known: it doesn't
    bring back an upstream that was draining or removed, unless it is still
    listed after the time in which the store drops those that are silent.
    """

    __slots__ = (
        "changed_services",
        "clock",
        "decode",
        "departed",
        "directory",
        "has_news",
        "has_snapshot",
        "kept_until_ms",
        "on_change",
        "outage_seen",
        "pools",
        "restored_at_ms",
        "store_recovered_at_ms",
        "withheld",
    )

    def __init__(
        self,
        directory: UpstreamDirectory,
        decode: UpstreamDecoder,
        clock: Clock,
        on_change: Callable[[str], None],
    ) -> None:
        self.directory = directory
        self.decode = decode
        self.clock = clock
        self.on_change = on_change
        self.changed_services: set[str] = set()
        self.pools: dict[str, PoolConfig] = {}
        self.has_snapshot = False
        self.has_news = False
        self.outage_seen = False
        self.store_recovered_at_ms: int | None = None
        self.kept_until_ms: dict[str, int] = {}
        self.restored_at_ms: int | None = None
        self.departed = DepartedUpstreams()
        self.withheld: dict[str, WithheldRecord] = {}

    def on_snapshot(self, snapshot: Snapshot) -> bool:
        """Replace the directory's content with the snapshot."""
        self.record_recovery()
        self.has_news = False
        self.withheld.clear()
        put = self._put_restored if self._may_be_outdated() else self._put
        present = {record.name for record in snapshot.records if put(record)}
        for name in [n for n in self.directory.by_name if n not in present]:
            if not snapshot.may_lack(name):
                self._handle_missing(name)
        if not self.has_snapshot:
            self.has_snapshot = True
            _LOGGER.info(
                "discovery: Found %s upstreams, %s of them draining, at revision %s.",
                len(present),
                sum(self.directory.by_name[name].draining for name in present),
                snapshot.revision,
            )
        self._report_change()
        return self.has_news

    def on_changes(self, changes: Changes) -> bool:
        """Apply a batch; return False if it only renewed entries."""
        self.record_recovery()
        self.has_news = False
        for change in changes.changes:
            self.withheld.pop(change.record.name, None)
            if change.deleted or not self._put(change.record):
                self._handle_missing(change.record.name)
        self._report_change()
        return self.has_news

    def on_outage(self) -> None:
        """Record that the store cannot be read at present."""
        self.outage_seen = True

    def record_recovery(self) -> None:
        """Record that the store answers again, if it was away."""
        if self.outage_seen:
            self.outage_seen = False
            self.store_recovered_at_ms = self.clock.now_ms()

    def on_store_restored(self) -> None:
        """Record that for a while lists may be older than what is known."""
        self.outage_seen = True
        self.restored_at_ms = self.clock.now_ms()

    def expire(self, now_ms: int) -> None:
        """Remove the upstreams that did not register again in time."""
        expired = [n for n, at_ms in self.kept_until_ms.items() if now_ms >= at_ms]
        for name in expired:
            del self.kept_until_ms[name]
            self._remove(name, "did not register again")
        for name, withheld in list(self.withheld.items()):
            if now_ms >= withheld.until_ms:
                del self.withheld[name]
                self._put(withheld.record)
        self.departed.expire(now_ms)
        self._report_change()

    def _report_change(self) -> None:
        """Call `on_change` for each service whose upstreams have changed.

        Some were added, replaced or removed, or began or ended to drain.
        """
        for service in sorted(self.changed_services):
            self.on_change(service)
        self.changed_services.clear()

    def _may_be_outdated(self) -> bool:
        """Return whether a list may hold entries of a restored store."""
        at_ms = self.restored_at_ms
        return at_ms is not None and self.clock.now_ms() - at_ms < SILENT_ENTRY_MS

    def _put(self, record: Record) -> bool:
        """Apply an entry; return False if it can't be used."""
        entry = self._decode(record)
        if entry is None:
            return False
        self._apply(entry)
        return True

    def _put_restored(self, record: Record) -> bool:
        """Apply an entry of a restored store where it isn't outdated.

        Return False if it can't be used, or not yet.
        """
        entry = self._decode(record)
        if entry is None:
            return False
        if self.departed.has(entry.spec):
            until_ms = self.clock.now_ms() + SILENT_ENTRY_MS
            self.withheld[record.name] = WithheldRecord(record, until_ms)
            return False
        known = self.directory.by_name.get(record.name)
        if known is None or known.spec.started_at_ms <= entry.spec.started_at_ms:
            was_draining = known is not None and known.draining
            is_same = known is not None and known.spec == entry.spec
            draining = entry.draining or (is_same and was_draining)
            self._apply(replace(entry, draining=draining))
        return True

    def _decode(self, record: Record) -> UpstreamEntry | None:
        decoded = self.decode(record)
        if isinstance(decoded, Failure):
            _LOGGER.warning(
                "discovery: Ignored entry %s: %s.", record.name, decoded.failure()
            )
            return None
        return decoded.unwrap()

    def _apply(self, entry: UpstreamEntry) -> None:
        name = entry.spec.name
        if self.kept_until_ms.pop(name, None) is not None:
            self.has_news = True
        previous = self.directory.by_name.get(name)
        is_new = previous is None or previous.spec != entry.spec
        was_draining = previous is not None and previous.draining
        is_changed = is_new or was_draining is not entry.draining
        self.has_news |= is_changed
        # The first snapshot is logged as a whole.
        if is_changed and self.has_snapshot:
            _log_entry(entry)
        former = self.directory.holders.get(entry.spec.address)
        if is_changed:
            self._record_change(previous, former)
            self.changed_services.add(entry.spec.service)
        upstream = self.directory.put(entry.spec, entry.draining)
        if former is not None and self.directory.is_replaced(former):
            _LOGGER.info(
                "discovery: Upstream %s was replaced at its address by %s.",
                former.name,
                upstream.name,
            )
        self._mark_cold(upstream, entry.cold_left_ms)

    def _mark_cold(self, upstream: Upstream, cold_left_ms: int) -> None:
        pool = self.pools.get(upstream.spec.service)
        cold_per_s = pool.cold_requests_per_s if pool else 0.0
        now_ms = self.clock.now_ms()
        if cold_left_ms > 0 and not upstream.is_cold(now_ms):
            self.has_news = True
        self.directory.mark_cold(upstream, cold_left_ms, cold_per_s, now_ms)

    def _handle_missing(self, name: str) -> None:
        if name not in self.directory.by_name or name in self.kept_until_ms:
            return
        store_recovered_at_ms = self.store_recovered_at_ms
        if store_recovered_at_ms is not None:
            keep_until_ms = store_recovered_at_ms + REREGISTRATION_GRACE_MS
            if self.clock.now_ms() < keep_until_ms:
                self.kept_until_ms[name] = keep_until_ms
                self.has_news = True
                _LOGGER.info(
                    "discovery: Entry of upstream %s is missing after the outage.", name
                )
                return
        self._remove(name, "entry is gone")

    def _record_change(self, *upstreams: Upstream | None) -> None:
        """Record that the services of upstreams have changed."""
        self.changed_services.update(u.spec.service for u in upstreams if u)

    def _remove(self, name: str, reason: str) -> None:
        removed = self.directory.remove(name)
        if removed is not None:
            self.departed.add(removed.spec, self.clock.now_ms())
            holder = self.directory.holders.get(removed.spec.address)
            self._record_change(removed, holder)
            self.has_news = True
            _LOGGER.info("discovery: Removed upstream %s: %s.", name, reason)


def _log_entry(entry: UpstreamEntry) -> None:
    _LOGGER.info(
        "discovery: Upstream %s of %s in %s: draining %s, cold for %s ms.",
        entry.spec.name,
        entry.spec.service,
        entry.spec.failure_domain,
        entry.draining,
        entry.cold_left_ms,
    )
