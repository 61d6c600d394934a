"""Keys are read strictly and looked up by their digests."""

import pytest

from bilberry_balance.authentication import (
    AuthenticationFailure,
    KeyTable,
    common_homes,
    key_digest,
)
from bilberry_resources.routing import RouteRule, WeightedService, Workspace


def workspace(name, *keys, homes=()):
    digests = frozenset(key_digest(key) for key in keys)
    return Workspace(name, digests, home_regions=frozenset(homes))


def table(*workspaces):
    keys = KeyTable()
    keys.install(workspaces)
    return keys


def route(homes):
    services = (WeightedService("s", 1),)
    return RouteRule(
        "r", "h", "/", True, services, 1, 1, 1, home_regions=frozenset(homes)
    )


@pytest.mark.parametrize(
    "value", ["Bearer k1", "bearer k1", "BEARER k1", "Bearer   k1"]
)
def test_the_scheme_is_read_in_any_case(value):
    keys = table(workspace("a", "k1"), workspace("b", "k2"))
    assert keys.authenticate([value]).name == "a"


@pytest.mark.parametrize(
    ("values", "failure"),
    [
        ([], AuthenticationFailure.MISSING_KEY),
        (["Bearer k1", "Bearer k1"], AuthenticationFailure.REPEATED_KEY),
        (["Bearer k1", "Basic k1"], AuthenticationFailure.REPEATED_KEY),
        (["Bearer k1, Bearer k1"], AuthenticationFailure.MALFORMED_KEY),
        (["Bearer k1,k1"], AuthenticationFailure.UNKNOWN_KEY),
        (["Bearer k1 k1"], AuthenticationFailure.MALFORMED_KEY),
        (["Bearer"], AuthenticationFailure.MALFORMED_KEY),
        (["Bearer "], AuthenticationFailure.MALFORMED_KEY),
        (["Bearer\tk1"], AuthenticationFailure.MALFORMED_KEY),
        (["Bearerk1"], AuthenticationFailure.MALFORMED_KEY),
        (["Basic k1"], AuthenticationFailure.MALFORMED_KEY),
        (["k1"], AuthenticationFailure.MALFORMED_KEY),
        (["Bearer k\xe9"], AuthenticationFailure.MALFORMED_KEY),
        (["Bearer K1"], AuthenticationFailure.UNKNOWN_KEY),
        (["Bearer k"], AuthenticationFailure.UNKNOWN_KEY),
        (["Bearer k1="], AuthenticationFailure.UNKNOWN_KEY),
    ],
)
def test_other_values_open_nothing(values, failure):
    assert table(workspace("a", "k1")).authenticate(values) is failure


def test_a_key_of_two_workspaces_belongs_to_the_first():
    keys = table(workspace("a", "k1"), workspace("b", "k1", "k2"))
    assert keys.authenticate(["Bearer k1"]).name == "a"
    assert keys.authenticate(["Bearer k2"]).name == "b"


def test_removed_keys_open_nothing():
    keys = table(workspace("a", "k1", "k2"))
    keys.install([workspace("a", "k2")])
    assert keys.authenticate(["Bearer k1"]) is AuthenticationFailure.UNKNOWN_KEY
    assert keys.authenticate(["Bearer k2"]).name == "a"


@pytest.mark.parametrize(
    ("of_route", "of_workspace", "common"),
    [
        ((), (), frozenset()),
        (("mtl",), (), {"mtl"}),
        ((), ("mtl",), {"mtl"}),
        (("mtl", "qc"), ("qc", "sag"), {"qc"}),
        (("mtl",), ("qc",), None),
    ],
)
def test_homes_of_route_and_workspace_both_bind(of_route, of_workspace, common):
    """An empty set allows every region, so no common one must not be empty."""
    homes = common_homes(route(of_route), workspace("a", homes=of_workspace))
    assert homes == common
