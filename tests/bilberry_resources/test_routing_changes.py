"""Test the description of what differs between two configurations."""

from dataclasses import replace

from bilberry_resources.routing import RoutingConfig, WeightedService
from bilberry_resources.routing_changes import compare_configs

from .test_routing_checks import BOOK, READ, SHOP, SOUND, SPLIT, S, T, with_limits


def texts(before, after):
    return [str(change) for change in compare_configs(before, after)]


def test_equal_configurations_have_no_differences():
    """Guards against differences by order or by version alone."""
    turned = replace(SOUND, version=9, routes=SOUND.routes[::-1])
    assert texts(SOUND, turned) == []


def test_each_difference_is_told_in_words():
    """Guards against changes that an operator sends without seeing them."""
    moved = replace(READ, services=(T,), timeout_ms=3_000, public=True)
    split = replace(SPLIT, services=(WeightedService("s", 50), T), home_regions={"qc"})
    new = replace(BOOK, name="new")
    after = replace(
        SOUND,
        routes=(moved, split, new, *SOUND.routes[3:]),
        pools={"s": replace(SOUND.pools["s"], cold_start_ms=5)},
        limits=with_limits(max_body_bytes=5).limits,
        workspaces=(
            replace(SHOP, priority=None, rate_per_s=7.5),
            *SOUND.workspaces[1:],
        ),
    )
    assert texts(SOUND, after) == [
        "routes read: changed: moves from service s to service t; "
        "timeout_ms from 2000 to 3000; public from no to yes",
        "routes split: changed: weights from s 90, t 10 to s 50, t 10; "
        "home_regions from every region to qc",
        "routes new: added",
        "routes book: removed",
        "services s: changed: cold_start_ms from 3000 to 5",
        "services t: removed",
        "workspaces shop: changed: priority from 0 to none; rate_per_s from 5 to 7.5",
        "limits: changed: max_body_bytes from 16777216 to 5",
    ]


def test_keys_are_shown_only_as_counts():
    """Guards against keys or their digests in the output of a tool."""
    after = replace(SHOP, key_digests=frozenset({b"2", b"key-8", b"key-9"}))
    [text] = texts(SOUND, replace(SOUND, workspaces=(after, *SOUND.workspaces[1:])))
    assert text == "workspaces shop: changed: keys: 2 added, 1 removed"


def test_routes_of_one_name_are_compared_in_their_order():
    """Guards against a route hidden by another of the same name."""
    first, second = replace(READ, name="x"), replace(BOOK, name="x")
    before = RoutingConfig(1, (first, second))
    assert texts(before, replace(before, routes=(first,))) == ["routes x: removed"]


def test_a_service_that_loses_all_weight_is_a_difference():
    """Guards against a silent end of a service's traffic."""
    none = WeightedService("t", 0)
    after = replace(SPLIT, services=(S,), unweighted=(none,))
    [text] = texts(RoutingConfig(1, (SPLIT,)), RoutingConfig(2, (after,)))
    assert text == "routes split: changed: weights from s 90, t 10 to s 90, t 0"
