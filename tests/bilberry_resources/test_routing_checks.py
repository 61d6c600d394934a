"""Test that each fault of a configuration is found, and nothing else."""

from dataclasses import replace

import pytest

from bilberry_resources.routing import (
    CallerLimits,
    PoolConfig,
    RouteRule,
    RoutingConfig,
    Severity,
    WeightedService,
    Workspace,
)
from bilberry_resources.routing_checks import check_config

SLOTS = {"s": {"mtl": 6, "qc": 6}, "t": {"mtl": 2, "qc": 1}}
S, T = WeightedService("s", 90), WeightedService("t", 10)
READ = RouteRule("read", "a.example", "/read/", True, (S,), 2_000, 500, 3)
BOOK = replace(READ, name="book", path_prefix="/book/", idempotent=False)
SPLIT = replace(READ, name="split", path_prefix="/", services=(S, T))
LOCAL = replace(
    READ, name="local", path_prefix="/local/", home_regions=frozenset({"mtl"})
)
OPEN = replace(READ, name="open", path_prefix="/open/", public=True)
SHOP = Workspace("shop", frozenset({b"1", b"2"}), 0, 5.0, 10.0)
DEPOT = Workspace("depot", frozenset({b"3"}), home_regions=frozenset({"mtl", "qc"}))
SOUND = RoutingConfig(
    3,
    (READ, BOOK, SPLIT, LOCAL, OPEN),
    {"s": PoolConfig("s", "/health", 360, 3_000, 6.4), "t": PoolConfig("t")},
    CallerLimits(),
    (SHOP, DEPOT),
    requires_keys=True,
)
QC = frozenset({"qc"})
WARNING, ERROR = Severity.WARNING, Severity.ERROR


def with_route(**fields):
    """Return the sound configuration with one more route."""
    rule = replace(READ, **{"name": "odd", "path_prefix": "/odd/", **fields})
    return replace(SOUND, routes=(*SOUND.routes, rule))


def with_workspace(**fields):
    workspace = replace(SHOP, **{"name": "odd", "key_digests": {b"9"}, **fields})
    return replace(SOUND, workspaces=(*SOUND.workspaces, workspace))


def with_limits(**fields):
    return replace(SOUND, limits=replace(SOUND.limits, **fields))


def with_pool(name, **fields):
    return replace(SOUND, pools={**SOUND.pools, name: PoolConfig(name, **fields)})


FAULTS = {
    "replaced by a later route": (
        with_route(host="A.example", path_prefix="/read/"),
        ERROR,
        "routes read: never matches, as route odd has",
    ),
    "empty host": (with_route(host=""), ERROR, "its host is empty"),
    "pattern as host": (with_route(host="*.example"), ERROR, "is no host name"),
    "port in the host": (with_route(host="a.example:80"), ERROR, "has a port"),
    "prefix without first slash": (with_route(path_prefix="odd/"), ERROR, "'odd/'"),
    "prefix without last slash": (with_route(path_prefix="/odd"), ERROR, "'/odd'"),
    "prefix with a query": (with_route(path_prefix="/odd/?x/"), ERROR, "no query"),
    "no timeout": (with_route(timeout_ms=0), ERROR, "timeout of 0 ms"),
    "no objective": (with_route(target_latency_ms=-5), ERROR, "objective of -5 ms"),
    "timeout below objective": (with_route(timeout_ms=499), WARNING, "after 499 ms"),
    "no attempt": (with_route(max_attempts=0), ERROR, "allows 0 attempts"),
    "attempts above budget": (with_route(max_attempts=12), WARNING, "12 attempts"),
    "undefined service": (
        with_route(services=(WeightedService("u", 1),)),
        ERROR,
        "uses service u, which isn't defined",
    ),
    "weight of zero": (
        with_route(unweighted=(WeightedService("t", 0),)),
        WARNING,
        "gives service t a weight of 0",
    ),
    "weight below zero": (
        with_route(unweighted=(WeightedService("t", -2),)),
        ERROR,
        "a weight of -2",
    ),
    "unused service": (with_pool("u"), WARNING, "services u: is used by no route"),
    "negative rate": (with_pool("t", cold_requests_per_s=-1), ERROR, "services t: has"),
    "some homes unknown": (
        with_route(home_regions=frozenset({"mtl", "mlt"})),
        WARNING,
        "without an upstream: mlt",
    ),
    "all homes unknown": (
        with_workspace(home_regions=frozenset({"mlt"})),
        ERROR,
        "no upstream is in its home regions: mlt",
    ),
    "homes that exclude each other": (
        with_workspace(home_regions=QC),
        WARNING,
        "exclude those of the routes local",
    ),
    "key of two workspaces": (
        with_workspace(key_digests={b"9", b"1"}),
        ERROR,
        "workspaces odd: has a key of workspace shop",
    ),
    "no keys": (with_workspace(key_digests=frozenset()), WARNING, "has no keys"),
    "burst without rate": (with_workspace(rate_per_s=0.0), WARNING, "without a rate"),
    "quota above capacity": (
        with_workspace(rate_per_s=1_000.0),
        WARNING,
        "can handle 300 at most",
    ),
    "no header bytes": (with_limits(max_header_bytes=0), ERROR, "header limit in"),
    "negative body": (with_limits(max_body_bytes=-1), ERROR, "body limit in bytes"),
    "no idle time": (with_limits(idle_timeout_ms=0), ERROR, "idle timeout in ms is 0"),
    "header above body": (
        with_limits(max_header_bytes=16_777_216, max_body_bytes=16_384),
        WARNING,
        "above the body limit of 16384",
    ),
    "idle below header time": (
        with_limits(idle_timeout_ms=4_999),
        WARNING,
        "below the header timeout of 5000",
    ),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_each_fault_is_the_only_one_found(fault):
    """Guards against missed faults and against alarms on sound resources."""
    config, severity, text = FAULTS[fault]
    found = check_config(config, SLOTS)
    if fault == "all homes unknown":
        assert "exclude" in found.pop().message
    assert [problem.severity for problem in found] == [severity], found
    assert text in str(found[0])


@pytest.mark.parametrize("slots", [None, {}, SLOTS])
def test_a_sound_configuration_raises_no_alarm(slots):
    """Guards against warnings that teach operators to ignore them."""
    assert check_config(SOUND, slots) == []
    assert check_config(RoutingConfig(1, (READ,))) == []
    assert check_config(with_limits(max_body_bytes=1_024), slots) == []
    many = replace(BOOK, max_attempts=50)
    assert check_config(replace(SOUND, routes=(many, SPLIT, LOCAL)), slots) == []


def test_upstreams_are_judged_only_where_they_are_known():
    """Guards against alarms that rest on no or part of the upstreams."""
    config = with_workspace(rate_per_s=1e9, home_regions=frozenset({"mlt"}))
    texts = [str(problem) for problem in check_config(config)]
    assert not any("upstream" in text or "handle" in text for text in texts)
    config = with_workspace(rate_per_s=1e9)
    assert check_config(config, {"s": SLOTS["s"]}) == []


def test_a_route_or_workspace_that_is_shut_out_is_an_error():
    """Guards against configurations in which a route serves nobody."""
    shops = (replace(SHOP, home_regions=QC),)
    config = replace(SOUND, workspaces=shops)
    found = {(p.severity, p.resource, p.name) for p in check_config(config)}
    assert found == {(ERROR, "routes", "local"), (WARNING, "workspaces", "shop")}
    config = replace(config, routes=(replace(LOCAL, services=(S, T)), OPEN))
    found = {(p.severity, p.resource, p.name) for p in check_config(config)}
    assert found == {(ERROR, "routes", "local"), (ERROR, "workspaces", "shop")}


def test_public_routes_are_not_held_against_workspaces():
    """Guards against alarms on routes that ask for no key."""
    routes = (replace(LOCAL, public=True, services=(S, T)), READ)
    config = replace(SOUND, routes=routes)
    assert (
        check_config(replace(config, workspaces=(replace(SHOP, home_regions=QC),)))
        == []
    )


def test_an_unreadable_route_leaves_its_services_out_of_the_check():
    """Guards against a second alarm that only follows from the first."""
    odd = replace(SPLIT, valid=False, services=(WeightedService("", 1),), timeout_ms=0)
    assert check_config(replace(SOUND, routes=(READ, LOCAL, odd))) == []


def test_the_retry_share_is_a_parameter():
    """Guards against judging attempts by another deployment's budget."""
    assert check_config(SOUND, retry_share=0.05) == []
    named = [p.name for p in check_config(SOUND, retry_share=0.0)]
    assert named == ["read", "split", "local", "open"]
