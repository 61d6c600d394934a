"""Test decoding of stored entries, configuration, settings and queries."""

import pytest

from bilberry_balance.authentication import key_digest
from bilberry_balance.quota.reports import QuotaBounds
from bilberry_core.outcome import Failure
from bilberry_fleet.discovery.source import Record
from bilberry_platform.config import decode_config
from bilberry_platform.directory import decode_query, encode_addresses
from bilberry_platform.entries import decode_node, make_upstream_decoder
from bilberry_platform.settings import load_settings
from bilberry_router.entry.const import DEFAULT_MEMORY_BYTES
from bilberry_testing.machines.objects import (
    config_of,
    config_spec,
    route_spec,
    upstream_status,
    workspace_spec,
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
    "spec", [None, {}, {"version": 7}, {"version": "7", "resources": []}]
)
def test_a_configuration_without_version_or_resources_is_refused_whole(spec):
    assert isinstance(decode_config(record(spec)), Failure)


@pytest.mark.parametrize(
    "change",
    [
        {"service": None},
        {"timeout_s": "soon"},
        {"timeout_s": float("inf")},
        {"traffic_split": [{"service": "s", "weight": 0}], "service": None},
    ],
)
def test_an_unreadable_route_costs_only_that_route(change):
    """One such route took all others out of service."""
    fields = config_spec(7)
    fields["resources"].append(route_spec("odd", "/odd/", **change))
    config = decode_config(record(fields)).unwrap()
    assert [(rule.name, rule.valid) for rule in config.routes] == [
        ("read", True),
        ("odd", False),
    ]
    assert config.routes[1].path_prefix == "/odd/"
    assert [problem.name for problem in config.problems] == ["odd"]
    assert not config.has_unknown_routes


def test_a_route_without_a_readable_path_may_be_any_unmatched_one():
    fields = config_spec(7)
    fields["resources"].append(route_spec("odd", None))
    config = decode_config(record(fields)).unwrap()
    assert [rule.name for rule in config.routes] == ["read"]
    assert config.has_unknown_routes
    fields["resources"].append(route_spec("late", "/late/", timeout_s="soon"))
    assert decode_config(record(fields)).unwrap().has_unknown_routes


def test_a_route_of_an_unknown_kind_is_not_idempotent():
    fields = config_spec(7)
    fields["resources"].append(route_spec("odd", "/odd/", kind="sometimes"))
    config = decode_config(record(fields)).unwrap()
    assert (config.routes[1].valid, config.routes[1].idempotent) == (True, False)
    assert len(config.problems) == 1


def test_downloads_are_idempotent():
    fields = config_spec(7)
    fields["resources"].append(route_spec("get", "/get/", kind="download"))
    config = decode_config(record(fields)).unwrap()
    assert config.routes[1].idempotent
    assert config.problems == ()


@pytest.mark.parametrize(
    "resource",
    [
        7,
        None,
        {"resource_kind": "dreams", "metadata": {"name": "x"}, "spec": {}},
        {"resource_kind": 3},
        {"resource_kind": "services", "metadata": [], "spec": "none"},
        {"resource_kind": "limits", "metadata": {}, "spec": {"max_body_bytes": "1"}},
        {"resource_kind": "routes", "metadata": {"name": "x"}, "spec": None},
    ],
)
def test_other_unreadable_resources_are_left_out(resource):
    fields = config_spec(7)
    fields["resources"].insert(0, resource)
    config = decode_config(record(fields)).unwrap()
    assert [rule.name for rule in config.routes] == ["read"]
    assert len(config.problems) == 1
    assert not config.requires_keys


def test_workspaces_are_decoded_without_their_keys():
    fields = config_spec(7)
    fields["resources"].append(
        workspace_spec("w", ["k1", "k2"], priority=1, rate_per_s=170, burst=80)
    )
    config = decode_config(record(fields)).unwrap()
    (workspace,) = config.workspaces
    assert workspace.key_digests == {key_digest("k1"), key_digest("k2")}
    assert (workspace.priority, workspace.rate_per_s, workspace.burst) == (1, 170, 80)
    assert config.requires_keys
    assert "k1" not in repr(config)


@pytest.mark.parametrize(
    ("name", "change"),
    [
        ("w", {"api_keys": "k1"}),
        ("w", {"api_keys": ["k1", 2]}),
        ("w", {"rate_per_s": -1}),
        ("w", {"home_regions": "mtl"}),
        ("a\r\nX-Admin: 1", {}),
        ("", {}),
    ],
)
def test_an_unreadable_workspace_serves_no_key_and_keys_stay_required(name, change):
    """Without it, everybody could send requests where keys can't be read."""
    fields = config_spec(7)
    fields["resources"].append(workspace_spec(name, ["k1"], **change))
    config = decode_config(record(fields)).unwrap()
    assert config.workspaces == ()
    assert config.requires_keys
    assert len(config.problems) == 1
    assert "k1" not in str(config.problems)


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


def test_settings_tell_how_soon_removed_keys_must_not_work(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS)
    assert load_settings(path).unwrap().shared_limits().revoke_ms == 0
    bounds = "[bounds]\nrevoke_s = 5\nstrict_revocation = "
    path.write_text(SETTINGS.replace("[bounds]", bounds + "false"))
    assert load_settings(path).unwrap().shared_limits().revoke_ms == 0
    path.write_text(SETTINGS.replace("[bounds]", bounds + "true"))
    assert load_settings(path).unwrap().shared_limits().revoke_ms == 5_000


def test_settings_tell_how_far_quotas_may_be_exceeded(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS)
    assert load_settings(path).unwrap().shared_limits().quota is None
    bounds = "[bounds]\nquota_window_s = 5\nquota_overage = 0.1\nquota_slack = 20"
    path.write_text(SETTINGS.replace("[bounds]", bounds))
    expected = QuotaBounds(5_000, 0.1, 20)
    assert load_settings(path).unwrap().shared_limits().quota == expected


@pytest.mark.parametrize(
    "bounds",
    [
        "strict_revocation = true",
        "strict_revocation = true\nrevoke_s = 0",
        "revoke_s = -1",
        "quota_window_s = 5\nquota_overage = -0.1",
        "quota_window_s = -5",
        "quota_window_s = 5\nquota_slack = -1",
    ],
)
def test_settings_that_would_leave_keys_or_quotas_open_are_refused(tmp_path, bounds):
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS.replace("[bounds]", f"[bounds]\n{bounds}"))
    assert "$.bounds." in str(load_settings(path).failure())


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


def test_what_can_not_be_read_is_named_by_index_and_field():
    """Guards against an operator who searches a list of 1,400 routes."""
    split = [{"service": "s", "weight": 1}, {"service": "t", "weight": "2"}]
    fields = config_spec(7)
    fields["resources"] += [
        route_spec("odd", "/odd/", traffic_split=split),
        route_spec("none", "/none/", service=None, traffic_split=[]),
        route_spec("kind", "/kind/", kind="sometimes"),
        workspace_spec("w", ["k1", 2]),
    ]
    problems = decode_config(record(fields)).unwrap().problems
    assert [(p.index, p.name, p.field, p.severity.value) for p in problems] == [
        (3, "odd", "spec.traffic_split[1].weight", "error"),
        (4, "none", "", "error"),
        (5, "kind", "", "warning"),
        (6, "w", "spec.api_keys[1]", "error"),
    ]


def test_services_without_weight_are_kept_apart():
    """Guards against a service that is taken for one that no route uses."""
    split = [{"service": s, "weight": w} for s, w in (("s", 1), ("t", 0), ("u", -1))]
    fields = config_of(7, [route_spec("a", "/a/", service=None, traffic_split=split)])
    [rule] = decode_config(record(fields)).unwrap().routes
    assert [part.service for part in rule.services] == ["s"]
    assert [(part.service, part.weight) for part in rule.unweighted] == [
        ("t", 0),
        ("u", -1),
    ]
