"""Test look-up of routes by host and longest prefix, and new versions."""

import pytest

from bilberry_resources.routing import RouteRule, RoutingConfig, WeightedService
from bilberry_steering.route_table import RouteTable


def rule(name, prefix, host="shop.example", parts=None, homes=()):
    return RouteRule(
        name=name,
        host=host,
        path_prefix=prefix,
        idempotent=True,
        services=parts or (WeightedService("s", 1),),
        timeout_ms=1_000,
        target_latency_ms=500,
        max_attempts=2,
        home_regions=frozenset(homes),
    )


def table_of(*rules, version=1):
    table = RouteTable(seed=1)
    assert table.install(RoutingConfig(version, rules))
    return table


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("shop.example", "/a/x", "a"),
        ("shop.example", "/a/", "a"),
        ("shop.example", "/a/b/x", "ab"),
        ("shop.example", "/a/bx", "a"),
        ("SHOP.example:8381", "/a/x", "a"),
        ("shop.example", "/a", None),
        ("shop.example", "/c/x", None),
        ("other.example", "/a/x", None),
        ("", "/a/x", None),
    ],
)
def test_the_longest_prefix_of_the_host_decides(host, path, name):
    table = table_of(rule("a", "/a/"), rule("ab", "/a/b/"))
    found = table.find(host, path)
    assert (found.rule.name if found else None) == name


def test_an_older_version_is_never_installed():
    table = table_of(rule("new", "/a/"), version=7)
    assert not table.install(RoutingConfig(5, (rule("old", "/a/"),)))
    assert not table.install(RoutingConfig(7, (rule("same", "/a/"),)))
    assert table.find("shop.example", "/a/x").rule.name == "new"


def test_a_dropped_route_is_gone_and_a_moved_one_goes_elsewhere():
    table = table_of(rule("a", "/a/"), rule("b", "/b/"))
    moved = rule("a", "/a/", parts=(WeightedService("t", 1),))
    assert table.install(RoutingConfig(2, (moved,)))
    assert table.find("shop.example", "/b/x") is None
    assert table.find("shop.example", "/a/x").next_service() == "t"


def test_turns_of_an_unchanged_split_go_on_over_a_new_version():
    parts = (WeightedService("big", 3), WeightedService("small", 1))
    table = table_of(rule("a", "/a/", parts=parts))
    got = []
    for version in range(2, 42):
        got.append(table.find("shop.example", "/a/x").next_service())
        table.install(RoutingConfig(version, (rule("a", "/a/", parts=parts),)))
    assert got.count("small") == 10


def test_home_sets_are_those_of_the_hosts_routes_with_homes():
    table = table_of(
        rule("a", "/a/", homes=["mtl"]),
        rule("b", "/b/", homes=["mtl", "qc"]),
        rule("c", "/c/"),
        rule("d", "/d/", host="other.example", homes=["sag"]),
    )
    expected = [{"mtl"}, {"mtl", "qc"}]
    assert list(table.home_sets("SHOP.example:8381")) == expected
    assert list(table.home_sets("none.example")) == []
    assert list(table.home_sets("")) == []
