"""Test the decoding of entries into a snapshot and a block table."""

import msgspec

from bilberry_fleet.messages import ConfigEntry
from bilberry_resources.model import Metadata, StoredObject
from bilberry_router.configuration import ConfigReader

REGION = {"failure_domains": ["mtl-a"]}
BLOCKS = {"groups": [{"regions": ["mtl"], "prefixes": ["10.0.0.0/8"]}]}


def entry(kind, name, version, spec):
    stored = StoredObject(
        kind=kind, metadata=Metadata(name=name, version=version), spec=spec
    )
    body = msgspec.Raw(msgspec.json.encode(stored))
    return ConfigEntry(kind=kind, name=name, version=version, body=body)


def test_an_object_whose_version_stays_is_not_decoded_again():
    reader = ConfigReader()
    region = entry("region", "mtl", 1, REGION)
    first = reader.read(1, [region])
    second = reader.read(2, [region, entry("region", "qc", 2, REGION)])
    assert second.regions["mtl"] is first.regions["mtl"]
    assert sorted(second.regions) == ["mtl", "qc"]


def test_the_table_is_joined_anew_only_when_blocks_change():
    reader = ConfigReader()
    blocks = entry("client_block_set", "all", 1, BLOCKS)
    reader.read(1, [blocks])
    table = reader.table
    reader.read(2, [blocks, entry("region", "mtl", 2, REGION)])
    assert reader.table is table
    changed = {"groups": [{"regions": ["qc"], "prefixes": ["10.0.0.0/8"]}]}
    reader.read(3, [entry("client_block_set", "all", 3, changed)])
    assert reader.table.group_of("10.1.2.3").regions == ("qc",)
    reader.read(4, [])
    assert reader.table.group_of("10.1.2.3") is None


def test_prefixes_are_not_kept_but_reads_get_them():
    reader = ConfigReader()
    snapshot = reader.read(1, [entry("client_block_set", "all", 1, BLOCKS)])
    assert snapshot.client_block_sets["all"].groups[0].prefixes == []
    assert reader.find("client_block_set", "all").spec == BLOCKS
    assert [o.metadata.name for o in reader.objects("client_block_set")] == ["all"]
    assert reader.find("client_block_set", "none") is None


def test_an_invalid_object_is_left_out_and_the_rest_kept(caplog):
    reader = ConfigReader()
    bad = entry("region", "qc", 1, {"failure_domains": 7})
    snapshot = reader.read(1, [bad, entry("region", "mtl", 1, REGION)])
    assert list(snapshot.regions) == ["mtl"]
    assert "region/qc" in caplog.text
