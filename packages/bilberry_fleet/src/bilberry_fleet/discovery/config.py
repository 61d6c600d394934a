"""Install new routing configurations and track object names."""

import logging
from collections.abc import Callable

from bilberry_core.clock import Clock
from bilberry_core.outcome import Failure, Result
from bilberry_resources.routing import RoutingConfig

from .const import REREGISTRATION_GRACE_MS
from .source import Changes, Record, Snapshot

_LOGGER = logging.getLogger(__name__)

ConfigDecoder = Callable[[Record], Result[RoutingConfig, str]]


class ConfigListener:
    """Install decoded configurations; skip those that fail to decode."""

    __slots__ = ("decode", "install", "name")

    def __init__(
        self,
        name: str,
        decode: ConfigDecoder,
        install: Callable[[RoutingConfig], bool],
    ) -> None:
        self.name = name
        self.decode = decode
        self.install = install

    def on_snapshot(self, snapshot: Snapshot) -> bool:
        """Install the configuration in the snapshot, if it is newer."""
        installed = [self._install_record(record) for record in snapshot.records]
        return any(installed)

    def on_changes(self, changes: Changes) -> bool:
        """Install the configurations in a batch of changes."""
        for change in changes.changes:
            if not change.deleted:
                self._install_record(change.record)
        return True

    def on_outage(self) -> None:
        """Keep the installed configuration."""

    def on_store_restored(self) -> None:
        """Keep the installed configuration, as the store's may be older."""

    def _install_record(self, record: Record) -> bool:
        if record.name != self.name:
            return False
        decoded = self.decode(record)
        if isinstance(decoded, Failure):
            _LOGGER.error(
                "discovery: Could not decode the configuration: %s.", decoded.failure()
            )
            return False
        config = decoded.unwrap()
        is_newer = self.install(config)
        if is_newer:
            _LOGGER.info(
                "discovery: Installed configuration version %s with %s routes.",
                config.version,
                len(config.routes),
            )
        return is_newer


class NamesListener:
    """Track the names of all objects of a kind.

    Names that a restored store lacks are kept for a while, as it may have
    lost them and they are written again.
    """

    __slots__ = ("clock", "kept", "kept_until_ms", "listed", "names", "on_names")

    def __init__(
        self, on_names: Callable[[frozenset[str]], None], clock: Clock
    ) -> None:
        self.names: frozenset[str] = frozenset()
        self.listed: frozenset[str] = frozenset()
        self.kept: frozenset[str] = frozenset()
        self.kept_until_ms: int | None = None
        self.on_names = on_names
        self.clock = clock

    def on_snapshot(self, snapshot: Snapshot) -> bool:
        """Replace the names with those in the snapshot."""
        self.listed = frozenset(record.name for record in snapshot.records)
        return self._update()

    def on_changes(self, changes: Changes) -> bool:
        """Add and remove the names in a batch of changes."""
        names = set(self.listed)
        for change in changes.changes:
            if change.deleted:
                names.discard(change.record.name)
                self.kept -= {change.record.name}
            else:
                names.add(change.record.name)
        self.listed = frozenset(names)
        self._update()
        return True

    def on_outage(self) -> None:
        """Keep the known names."""

    def on_store_restored(self) -> None:
        """Keep the known names for a while, whatever is listed."""
        self.kept = self.names
        self.kept_until_ms = self.clock.now_ms() + REREGISTRATION_GRACE_MS

    def expire(self, now_ms: int) -> None:
        """Drop the kept names that were not written again in time."""
        if self.kept_until_ms is not None and now_ms >= self.kept_until_ms:
            self.kept_until_ms = None
            self.kept = frozenset()
            self._update()

    def _update(self) -> bool:
        names = self.listed | self.kept
        if names == self.names:
            return False
        self.names = names
        self.on_names(names)
        return True
