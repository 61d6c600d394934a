"""Install new routing configurations and track object names."""

import logging
from collections.abc import Callable

from bilberry_core.outcome import Failure, Result
from bilberry_resources.routing import RoutingConfig

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

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Install the configuration in the snapshot."""
        for record in snapshot.records:
            self._install_record(record)

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

    def _install_record(self, record: Record) -> None:
        if record.name != self.name:
            return
        decoded = self.decode(record)
        if isinstance(decoded, Failure):
            _LOGGER.error(
                "discovery: Could not decode the configuration: %s.", decoded.failure()
            )
            return
        config = decoded.unwrap()
        if self.install(config):
            _LOGGER.info(
                "discovery: Installed configuration version %s with %s routes.",
                config.version,
                len(config.routes),
            )


class NamesListener:
    """Track the names of all objects of a kind."""

    __slots__ = ("names", "on_names")

    def __init__(self, on_names: Callable[[frozenset[str]], None]) -> None:
        self.names: frozenset[str] = frozenset()
        self.on_names = on_names

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the names with those in the snapshot."""
        self._set(frozenset(record.name for record in snapshot.records))

    def on_changes(self, changes: Changes) -> bool:
        """Add and remove the names in a batch of changes."""
        names = set(self.names)
        for change in changes.changes:
            if change.deleted:
                names.discard(change.record.name)
            else:
                names.add(change.record.name)
        self._set(frozenset(names))
        return True

    def on_outage(self) -> None:
        """Keep the known names."""

    def on_store_restored(self) -> None:
        """Take the names of the store that came back."""

    def _set(self, names: frozenset[str]) -> None:
        if names != self.names:
            self.names = names
            self.on_names(names)
