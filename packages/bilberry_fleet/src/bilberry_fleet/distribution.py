"""Track the installed configuration and plan; versions never decrease.

An installed configuration version is a consistent snapshot: it has every
change of every kind up to that store version. Changes read from the store
are staged until each kind is known up to the newest of them.
"""

from collections.abc import Callable

import msgspec

from bilberry_resources.codec import encode
from bilberry_resources.model import StoredObject
from bilberry_store.wire import ObjectList, WatchBatch

from .const import CONFIG_KINDS, MAX_DELTA_BYTES
from .messages import EMPTY_RAW, ConfigDelta, ConfigEntry, PlanRecord

Key = tuple[str, str]

TrimPlan = Callable[[msgspec.Raw, str], msgspec.Raw]


def return_whole_plan(body: msgspec.Raw, node: str) -> msgspec.Raw:
    """Return the whole plan for any node."""
    return body


class ConfigState:
    """Merge changes from store and peers into consistent snapshots."""

    __slots__ = (
        "entries",
        "fetched_entries",
        "fetched_version",
        "kind_versions",
        "staged",
        "version",
    )

    def __init__(self) -> None:
        self.version = 0
        self.entries: dict[Key, ConfigEntry] = {}
        self.staged: dict[Key, ConfigEntry] = {}
        self.kind_versions = dict.fromkeys(CONFIG_KINDS, 0)
        self.fetched_entries: dict[Key, ConfigEntry] = {}
        self.fetched_version = 0

    def apply_list(self, kind: str, listed: ObjectList) -> bool:
        """Apply a full list; return whether the version increased."""
        if listed.version < self.kind_versions[kind]:
            return False
        names = set()
        for item in listed.items:
            names.add(item.metadata.name)
            self.stage(_entry(item))
        for key in self.present_keys(kind):
            if key[1] not in names:
                self.stage(ConfigEntry(kind=kind, name=key[1], version=listed.version))
        return self.advance(kind, listed.version)

    def apply_batch(self, kind: str, batch: WatchBatch) -> bool:
        """Apply watched changes; return whether the version increased."""
        if batch.version < self.kind_versions[kind]:
            return False
        for event in batch.events:
            entry = _entry(event.object)
            if event.is_delete:
                entry = msgspec.structs.replace(entry, body=EMPTY_RAW)
            self.stage(entry)
        return self.advance(kind, batch.version)

    def apply_delta(self, delta: ConfigDelta) -> bool:
        """Apply a peer's changes; return whether they were installed."""
        known_version = max(self.version, self.fetched_version)
        if delta.version <= self.version or delta.since > known_version:
            return False
        for entry in delta.entries:
            _keep_newer(self.fetched_entries, entry)
        self.fetched_version = max(known_version, delta.version)
        if delta.more:
            return False
        self.install_fetched()
        self.install_staged()
        return True

    def install_fetched(self) -> None:
        """Install the changes fetched from peers."""
        for entry in self.fetched_entries.values():
            _keep_newer(self.entries, entry)
        self.fetched_entries.clear()
        self.version = max(self.version, self.fetched_version)
        for kind, version in self.kind_versions.items():
            self.kind_versions[kind] = max(version, self.version)

    def delta_since(self, since: int) -> ConfigDelta:
        """Return the changes after `since`, up to a size limit."""
        changed = [e for e in self.entries.values() if e.version > since]
        changed.sort(key=lambda entry: entry.version)
        size = 0
        for index, entry in enumerate(changed):
            size += len(bytes(entry.body))
            end = changed[index - 1].version if index else since
            if size > MAX_DELTA_BYTES and end > since and entry.version > end:
                page = changed[:index]
                return ConfigDelta(since=since, version=end, entries=page, more=True)
        return ConfigDelta(since=since, version=self.version, entries=changed)

    def lagging_kinds(self) -> list[str]:
        """Return the kinds that are behind the newest staged change."""
        target_version = self.staged_version()
        return [
            kind
            for kind, version in self.kind_versions.items()
            if version < target_version
        ]

    def staged_version(self) -> int:
        """Return the newest staged version, or the installed one."""
        versions = [entry.version for entry in self.staged.values()]
        return max(versions, default=self.version)

    def present_keys(self, kind: str) -> list[Key]:
        """Return the keys of `kind` that exist and are not deleted."""
        merged = {**self.entries, **self.staged}
        return [
            key
            for key, entry in merged.items()
            if key[0] == kind and not entry.is_deleted
        ]

    def installed_entries(self) -> list[ConfigEntry]:
        """Return the installed objects, still encoded."""
        return [entry for entry in self.entries.values() if not entry.is_deleted]

    def stage(self, entry: ConfigEntry) -> None:
        """Stage a change that is newer than the installed one."""
        current_entry = self.entries.get((entry.kind, entry.name))
        if current_entry is not None and current_entry.version >= entry.version:
            return
        _keep_newer(self.staged, entry)

    def advance(self, kind: str, version: int) -> bool:
        """Record that `kind` is known up to `version`."""
        self.kind_versions[kind] = max(self.kind_versions[kind], version)
        return self.install_staged()

    def install_staged(self) -> bool:
        """Install the staged changes once every kind has caught up."""
        if self.lagging_kinds():
            return False
        for entry in self.staged.values():
            _keep_newer(self.entries, entry)
        version = max(self.version, self.staged_version())
        is_newer = version > self.version
        self.version = version
        self.staged.clear()
        return is_newer


class PlanState:
    """Store the newest plan and refuse older epochs."""

    __slots__ = ("current", "refused_count")

    def __init__(self) -> None:
        self.current: PlanRecord | None = None
        self.refused_count = 0

    @property
    def order(self) -> tuple[int, int]:
        """Return the epoch and version of the current plan."""
        if self.current is None:
            return (0, 0)
        return (self.current.epoch, self.current.version)

    @property
    def is_partial(self) -> bool:
        """Return whether only this node's part of the plan is known."""
        return self.current is not None and self.current.partial

    @property
    def served_order(self) -> tuple[int, int]:
        """Return the epoch and version of the plan that peers may get."""
        return (0, 0) if self.is_partial else self.order

    def apply(self, plan: PlanRecord) -> bool:
        """Apply a plan if it is newer or completes a partial one.

        Return whether it was applied.
        """
        order = (plan.epoch, plan.version)
        completes = order == self.order and self.is_partial and not plan.partial
        if order <= self.order and not completes:
            self.refused_count += order < self.order
            return False
        self.current = plan
        return True


def plan_from_stored(stored: StoredObject) -> PlanRecord:
    """Return the plan in a stored object."""
    return PlanRecord(
        epoch=stored.spec.get("epoch", 0),
        version=stored.metadata.version,
        body=msgspec.Raw(encode(stored.spec.get("body"))),
    )


def _entry(stored: StoredObject) -> ConfigEntry:
    return ConfigEntry(
        kind=stored.kind,
        name=stored.metadata.name,
        version=stored.metadata.version,
        body=msgspec.Raw(encode(stored)),
    )


def _keep_newer(entries: dict[Key, ConfigEntry], entry: ConfigEntry) -> None:
    key = (entry.kind, entry.name)
    current_entry = entries.get(key)
    if current_entry is None or current_entry.version < entry.version:
        entries[key] = entry
