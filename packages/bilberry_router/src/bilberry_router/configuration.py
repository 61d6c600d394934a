"""Decode configuration entries into a snapshot and a client block table.

An object whose version is unchanged is not decoded again. The prefixes of
client blocks are packed and then dropped, as they would take most of the
memory.
"""

import logging
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from bilberry_core.outcome import Failure
from bilberry_fleet.messages import ConfigEntry
from bilberry_resources.const import KIND_CLIENT_BLOCK_SET
from bilberry_resources.kinds.clients import ClientBlockSetSpec
from bilberry_resources.model import StoredObject
from bilberry_resources.snapshot import ConfigSnapshot, decode_spec
from bilberry_steering.block_table import BlockTable
from bilberry_steering.client_blocks import PackedBlocks, pack_blocks

_LOGGER = logging.getLogger(__name__)

ObjectKey = tuple[str, str]


@dataclass(slots=True)
class DecodedObject:
    """Represent a decoded object; `spec` is None if it is invalid."""

    version: int
    spec: msgspec.Struct | None
    blocks: PackedBlocks | None = None


class ConfigReader:
    """Decode configuration versions, reusing unchanged objects."""

    __slots__ = ("decoded", "entries", "table")

    def __init__(self) -> None:
        self.decoded: dict[ObjectKey, DecodedObject] = {}
        self.entries: dict[ObjectKey, ConfigEntry] = {}
        self.table = BlockTable()

    def read(self, version: int, entries: Iterable[ConfigEntry]) -> ConfigSnapshot:
        """Return the snapshot of `entries`, without invalid objects."""
        self.entries = {(entry.kind, entry.name): entry for entry in entries}
        before = self.blocks()
        self.decoded = {
            key: self.decode(key, entry) for key, entry in self.entries.items()
        }
        snapshot = ConfigSnapshot(version=version)
        for (kind, name), decoded in self.decoded.items():
            if decoded.spec is not None:
                snapshot.add_spec(kind, name, decoded.spec)
        blocks = self.blocks()
        if [id(b) for b in blocks] != [id(b) for b in before]:
            self.table = BlockTable.from_packed(blocks)
        return snapshot

    def blocks(self) -> list[PackedBlocks]:
        """Return the packed blocks of all sets, ordered by set name."""
        return [
            decoded.blocks
            for _, decoded in sorted(self.decoded.items(), key=lambda item: item[0])
            if decoded.blocks is not None
        ]

    def decode(self, key: ObjectKey, entry: ConfigEntry) -> DecodedObject:
        """Return the decoded entry, from the cache if it is unchanged."""
        cached = self.decoded.get(key)
        if cached is not None and cached.version == entry.version:
            return cached
        stored = decode_stored_object(entry)
        result = decode_spec(stored.kind, stored.spec)
        if isinstance(result, Failure):
            _LOGGER.warning(
                "config: Ignored invalid object %s/%s: %s",
                *key,
                "; ".join(map(str, result.failure())),
            )
            return DecodedObject(entry.version, None)
        spec = result.unwrap()
        if key[0] != KIND_CLIENT_BLOCK_SET:
            return DecodedObject(entry.version, spec)
        assert isinstance(spec, ClientBlockSetSpec), "unexpected spec type"
        return DecodedObject(entry.version, without_prefixes(spec), pack_blocks(spec))

    def objects(self, kind: str) -> list[StoredObject]:
        """Return the installed objects of a kind, prefixes included."""
        return [
            decode_stored_object(e) for key, e in self.entries.items() if key[0] == kind
        ]

    def find(self, kind: str, name: str) -> StoredObject | None:
        """Return one installed object, prefixes included."""
        entry = self.entries.get((kind, name))
        return decode_stored_object(entry) if entry else None


def decode_stored_object(entry: ConfigEntry) -> StoredObject:
    """Return the object encoded in an entry."""
    return msgspec.json.decode(entry.body, type=StoredObject)


def without_prefixes(spec: ClientBlockSetSpec) -> ClientBlockSetSpec:
    """Return a copy of the set with no prefixes in its groups."""
    groups = [msgspec.structs.replace(g, prefixes=[]) for g in spec.groups]
    return msgspec.structs.replace(spec, groups=groups)
