"""Test that the examples are whole, valid and up to date."""

from collections import Counter

import pytest

from bilberry_ctl.files import load_objects
from bilberry_resources.references import check_references
from bilberry_resources.snapshot import SNAPSHOT_FIELD_BY_KIND, build_snapshot
from bilberry_router.settings import load_settings
from bilberry_steering.block_table import BlockTable
from script.generate_examples import ARCQ, CDRA, EXAMPLES, files

DEPLOYMENTS = pytest.mark.parametrize("deployment", [ARCQ, CDRA], ids=["arcq", "cdra"])
ENDPOINTS = {
    "arcq": {"suivi": (12, 9), "reserve": (12, 4), "annuaire": (14, 9)},
    "cdra": {"tracker": (12, 6), "handover": (12, 3), "gallery": (16, 6)},
}


def load(deployment):
    paths = ("config.jsonc", "intents.jsonc")
    objects = []
    for path in paths:
        objects += load_objects(str(EXAMPLES / deployment.name / path)).unwrap()
    return objects


@DEPLOYMENTS
def test_the_committed_files_are_what_the_generator_writes(deployment):
    root = EXAMPLES / deployment.name
    found = {
        str(path.relative_to(root)): path.read_text() for path in root.rglob("*.jsonc")
    }
    assert found == files(deployment)


@DEPLOYMENTS
def test_every_object_is_valid_and_refers_to_what_exists(deployment):
    objects = load(deployment)
    snapshot = build_snapshot(1, objects)
    count = 0
    for kind in SNAPSHOT_FIELD_BY_KIND:
        for spec in snapshot.specs_of_kind(kind).values():
            assert check_references(kind, spec, snapshot) == []
            count += 1
    assert count == len(objects)
    assert len(snapshot.intents) == 2
    BlockTable.build(snapshot.client_block_sets)


@DEPLOYMENTS
def test_sizes(deployment):
    snapshot = build_snapshot(1, load(deployment))
    counts = Counter(upstream.service for upstream in snapshot.upstreams.values())
    slots = {name: service.slots for name, service in snapshot.services.items()}
    assert {n: (counts[n], slots[n]) for n in slots} == ENDPOINTS[deployment.name]
    assert all(len(region.failure_domains) == 2 for region in snapshot.regions.values())
    assert (len(snapshot.regions), len(snapshot.links), len(snapshot.sites)) == (
        3,
        6,
        6,
    )
    addresses = {upstream.address for upstream in snapshot.upstreams.values()}
    assert len(addresses) == len(snapshot.upstreams)


@DEPLOYMENTS
def test_the_settings_of_each_vm_are_valid_and_share_no_address(deployment):
    root = EXAMPLES / deployment.name / "nodes"
    loaded = [load_settings(path).unwrap() for path in sorted(root.glob("*.jsonc"))]
    assert len(loaded) == sum(deployment.vms.values())
    addresses = [
        address
        for settings in loaded
        for address in (
            settings.listen.address,
            settings.listen.admin_address,
            settings.listen.peer_address,
        )
    ]
    assert len(set(addresses)) == 3 * len(loaded)
    regions = build_snapshot(1, load(deployment)).regions
    for settings in loaded:
        region = regions[settings.node.region]
        assert settings.node.failure_domain in region.failure_domains
