"""Install new routing configurations."""

import logging
from collections.abc import Callable

from bilberry_core.outcome import Failure, Result
from bilberry_resources.routing import RoutingConfig

from .config_warnings import ConfigWarnings
from .source import Changes, Record, Snapshot

_LOGGER = logging.getLogger(__name__)

ConfigDecoder = Callable[[Record], Result[RoutingConfig, str]]


class ConfigListener:
    """Install decoded configurations; skip those that fail to decode.

    `is_current` is whether the store has the installed one, as far as it was
    read. One that has come back from a copy may have an older one, and a
    version number may be used again.
    """

    __slots__ = ("decode", "install", "installed", "is_current", "name", "warnings")

    def __init__(
        self,
        name: str,
        decode: ConfigDecoder,
        install: Callable[[RoutingConfig], bool],
    ) -> None:
        self.name = name
        self.decode = decode
        self.install = install
        self.installed: RoutingConfig | None = None
        self.is_current = False
        self.warnings = ConfigWarnings()

    def on_snapshot(self, snapshot: Snapshot) -> bool:
        """Install the configuration in the snapshot, if it is newer."""
        if not any(record.name == self.name for record in snapshot.records):
            self.is_current = False
        installed = [self._install_record(record) for record in snapshot.records]
        return any(installed)

    def on_changes(self, changes: Changes) -> bool:
        """Install the latest configuration in a batch that can be decoded."""
        named = [c for c in changes.changes if c.record.name == self.name]
        if changes.unreadable_count or (named and named[-1].deleted):
            self.is_current = False
        records = [change.record for change in named if not change.deleted]
        is_current = self.is_current
        for age, record in enumerate(reversed(records)):
            is_newer = self._install_record(record)
            if age == 0 and not named[-1].deleted:
                is_current = self.is_current and not changes.unreadable_count
            if is_newer:
                break
        self.is_current = is_current
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
            self.is_current = False
            return False
        config = decoded.unwrap()
        is_newer = self.install(config)
        if is_newer:
            self.installed = config
            _log_installed(config)
            self.warnings.start(config)
        self.is_current = config == self.installed
        if not self.is_current:
            _log_other(config, self.installed)
        return is_newer


def _log_other(stored: RoutingConfig, installed: RoutingConfig | None) -> None:
    _LOGGER.error(
        "discovery: The store has a configuration of version %s that isn't the "
        "installed one of version %s; store a newer version.",
        stored.version,
        installed.version if installed else None,
    )


def _log_installed(config: RoutingConfig) -> None:
    _LOGGER.info(
        "discovery: Installed configuration version %s with %s routes.",
        config.version,
        len(config.routes),
    )
