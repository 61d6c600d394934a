"""Install new routing configurations."""

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

    def on_snapshot(self, snapshot: Snapshot) -> bool:
        """Install the configuration in the snapshot, if it is newer."""
        installed = [self._install_record(record) for record in snapshot.records]
        return any(installed)

    def on_changes(self, changes: Changes) -> bool:
        """Install the latest configuration in a batch that can be decoded."""
        for change in reversed(changes.changes):
            if not change.deleted and self._install_record(change.record):
                break
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
