"""Install new versions of the routing configuration."""

import logging
from collections.abc import Callable

from bilberry_core.outcome import Failure, Result
from bilberry_resources.routing import RoutingConfig

from .source import Changes, Record, Snapshot

_LOGGER = logging.getLogger(__name__)

ConfigDecoder = Callable[[Record], Result[RoutingConfig, str]]


class ConfigFeed:
    """Hand decoded versions on; an unreadable one changes nothing."""

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
        """Install the stored version, if it is newer."""
        for record in snapshot.records:
            self._take(record)

    def on_changes(self, changes: Changes) -> None:
        """Install the versions written since."""
        for change in changes.changes:
            if not change.deleted:
                self._take(change.record)

    def on_outage(self) -> None:
        """Keep the installed version."""

    def _take(self, record: Record) -> None:
        if record.name != self.name:
            return
        decoded = self.decode(record)
        if isinstance(decoded, Failure):
            _LOGGER.error("discovery: Unreadable version: %s.", decoded.failure())
            return
        config = decoded.unwrap()
        if self.install(config):
            _LOGGER.info(
                "discovery: Installed version %s with %s routes.",
                config.version,
                len(config.routes),
            )


class NamesFeed:
    """Hand on the names of all objects of a kind."""

    __slots__ = ("names", "on_names")

    def __init__(self, on_names: Callable[[frozenset[str]], None]) -> None:
        self.names: frozenset[str] = frozenset()
        self.on_names = on_names

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the names."""
        self._set(frozenset(record.name for record in snapshot.records))

    def on_changes(self, changes: Changes) -> None:
        """Add and remove names."""
        names = set(self.names)
        for change in changes.changes:
            if change.deleted:
                names.discard(change.record.name)
            else:
                names.add(change.record.name)
        self._set(frozenset(names))

    def on_outage(self) -> None:
        """Keep the names."""

    def _set(self, names: frozenset[str]) -> None:
        if names != self.names:
            self.names = names
            self.on_names(names)
