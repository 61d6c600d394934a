"""Test decoding of stored entries, configuration, settings and queries."""

import pytest

from bilberry_core.outcome import Failure
from bilberry_fleet.discovery.source import Record
from bilberry_platform.config import decode_config
from bilberry_platform.directory import decode_query, encode_addresses
from bilberry_platform.entries import decode_node, make_upstream_decoder
from bilberry_platform.settings import load_settings
from bilberry_router.entry.const import DEFAULT_MEMORY_BYTES
from bilberry_testing.machines.objects import (
    config_spec,
    route_spec,
    upstream_status,
)

from .common import ZONES

DECODE = make_upstream_decoder(ZONES)
SPEC = {
    "address": "10.0.0.1:80",
    "born": 1_700_000_000_000,
    "info": {"service": "s", "version": "v1", "zone": "qc-a", "slots": 9},
}
SETTINGS = """
node_name = "n1"
ip = "10.1.0.18"
zone = "mtl-a"
region = "mtl"
port_range = [7200,7215]
new_field = "ignored"
[zones]
mtl-a = "mtl"
[listen]
front = "10.1.0.18:8381"
readiness = "10.1.0.18:8388"
directory = "10.1.0.18:8383"
[bounds]
grace_s = 6
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 60
max_region_shift = 0.15
[platform]
address = "10.200.1.7:8384"
"""


def record(spec, status=None, name="i-1"):
    content = {"metadata": {"name": name}, "spec": spec, "status": status}
    return Record(name, 1, content)


def without_field(spec, *path):
    copy = {**spec, "info": dict(spec["info"])}
    holder = copy
    for part in path[:-1]:
        holder = holder[part]
    del holder[path[-1]]
    return copy


def test_an_entry_is_decoded():
    entry = DECODE(record(SPEC, upstream_status(cold_s=1.5))).unwrap()
    assert (entry.spec.name, entry.spec.service, entry.spec.slots) == ("i-1", "s", 9)
    assert (entry.spec.failure_domain, entry.spec.region) == ("qc-a", "qc")
    assert (entry.draining, entry.cold_left_ms) == (False, 1_500)
    assert DECODE(record(SPEC, upstream_status("draining"))).unwrap().draining


@pytest.mark.parametrize(
    ("spec", "status"),
    [
        (without_field(SPEC, "address"), upstream_status()),
        (without_field(SPEC, "info", "service"), upstream_status()),
        ({**SPEC, "address": "nowhere"}, upstream_status()),
        ({**SPEC, "info": {**SPEC["info"], "slots": "many"}}, upstream_status()),
        ({**SPEC, "info": {**SPEC["info"], "slots": 0}}, upstream_status()),
        ({**SPEC, "info": {**SPEC["info"], "zone": "unlisted"}}, upstream_status()),
        ({**SPEC, "info": None}, upstream_status()),
        (SPEC, upstream_status("invalid")),
        (SPEC, {"state": "ready", "cold_remaining_s": "long"}),
        (SPEC, None),
        ("not an object", None),
        (None, None),
        ([], {}),
    ],
)
def test_an_invalid_upstream_entry_is_rejected(spec, status):
    assert isinstance(DECODE(record(spec, status)), Failure)


def test_a_configuration_is_decoded_whole():
    split = [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]
    fields = config_spec(7, [("read", "/read/")])
    fields["resources"].append(
        route_spec(
            "book",
            "/book/",
            kind="non_idempotent",
            traffic_split=split,
            service=None,
            home_regions=["qc"],
        )
    )
    config = decode_config(record(fields)).unwrap()
    assert config.version == 7
    read, book = config.routes
    assert (read.idempotent, book.idempotent) == (True, False)
    assert (read.timeout_ms, read.target_latency_ms, read.max_attempts) == (
        2_000,
        500,
        2,
    )
    assert [(part.service, part.weight) for part in book.services] == [
        ("s", 90),
        ("t", 10),
    ]
    assert book.home_regions == {"qc"}
    assert (config.pools["s"].cold_start_ms, config.pools["s"].cold_requests_per_s) == (
        3_000,
        6.4,
    )
    assert config.limits.idle_timeout_ms == 15_000


@pytest.mark.parametrize(
    "change",
    [
        {"kind": "sometimes"},
        {"service": None},
        {"timeout_s": "soon"},
        {"traffic_split": [{"service": "s", "weight": 0}], "service": None},
    ],
)
def test_an_unreadable_configuration_is_refused_as_a_whole(change):
    fields = config_spec(7)
    fields["resources"].append(route_spec("odd", "/odd/", **change))
    assert isinstance(decode_config(record(fields)), Failure)


def test_an_invalid_node_entry_is_rejected():
    assert isinstance(decode_node(record({"name": 3})), Failure)
    assert isinstance(decode_node(record(None)), Failure)


def test_settings_ignore_new_fields_and_name_wrong_ones(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS)
    settings = load_settings(path).unwrap()
    assert settings.listener_addresses().peer == "10.1.0.18:7200"
    assert settings.shared_limits().stop_grace_ms == 6_000
    path.write_text(SETTINGS.replace("grace_s = 6", 'grace_s = "six"'))
    assert "$.bounds.grace_s" in str(load_settings(path).failure())
    path.write_text("node_name = ")
    assert "(file)" in str(load_settings(path).failure())


def test_settings_tell_the_memory_of_the_process(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS)
    assert load_settings(path).unwrap().memory_bytes == DEFAULT_MEMORY_BYTES
    path.write_text(SETTINGS + "[limits]\nmemory_mb = 300\ncores = 1\n")
    assert load_settings(path).unwrap().memory_bytes == 300_000_000


def test_directory_queries_and_answers():
    query = decode_query("name=shop.example&region=mtl&zone=mtl-a")
    assert (query.failure_domain, query.region) == ("mtl-a", "mtl")
    assert query.host == "shop.example"
    assert decode_query("region=mtl").host == ""
    assert decode_query("name=shop.example") is None
    body = encode_addresses(["10.0.0.1:80"], 2_000)
    assert body == b'{"addresses":["10.0.0.1:80"],"ttl_s":2.0}'
