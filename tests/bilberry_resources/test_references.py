"""Test that references to missing objects are reported."""

from bilberry_resources.references import check_references
from bilberry_resources.snapshot import build_snapshot
from tests.common import stored


def test_missing_region_and_service_are_both_named():
    snapshot = build_snapshot(1, [stored("region", "mtl", failure_domains=["mtl-a"])])
    upstream = stored(
        "upstream",
        "u1",
        service="suivi",
        region="qc",
        failure_domain="qc-a",
        address="127.0.0.1:9000",
    )
    spec = build_snapshot(1, [upstream]).upstreams["u1"]
    fields = [e.field for e in check_references("upstream", spec, snapshot)]
    assert fields == ["spec.service", "spec.region"]


def test_an_intent_needs_weights_or_moves():
    snapshot = build_snapshot(1, [stored("service", "suivi")])
    intent = build_snapshot(1, [stored("intent", "i", service="suivi")]).intents["i"]
    fields = [e.field for e in check_references("intent", intent, snapshot)]
    assert fields == ["spec.weights"]
