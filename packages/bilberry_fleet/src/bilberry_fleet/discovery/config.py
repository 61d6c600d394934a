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

    `is_current` is whether the installed one is the latest that was read. A
    store that has come back from a copy may have an older one.
    """

    __slots__ = ("decode", "install", "is_current", "name", "version", "warnings")

    def __init__(
        self,
        name: str,
        decode: ConfigDecoder,
        install: Callable[[RoutingConfig], bool],
    ) -> None:
        self.name = name
        self.decode = decode
        self.install = install
        self.version: int | None = None
        self.is_current = False
        self.warnings = ConfigWarnings()

    def on_snapshot(self, snapshot: Snapshot) -> bool:
        """Install the configuration in the snapshot, if it is newer."""
        installed = [self._install_record(record) for record in snapshot.records]
        return any(installed)

    def on_changes(self, changes: Changes) -> bool:
        """Install the latest configuration in a batch that can be decoded."""
        records = [
            change.record
            for change in changes.changes
            if not change.deleted and change.record.name == self.name
        ]
        is_current = self.is_current
        for age, record in enumerate(reversed(records)):
            is_newer = self._install_record(record)
            if age == 0:
                is_current = self.is_current
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
            self.version = config.version
            _log_installed(config)
            self.warnings.start(config)
        self.is_current = config.version == self.version
        return is_newer


def _log_installed(config: RoutingConfig) -> None:
    _LOGGER.info(
        "discovery: Installed configuration version %s with %s routes.",
        config.version,
        len(config.routes),
    )
