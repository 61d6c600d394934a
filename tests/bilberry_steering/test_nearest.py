"""Callers are sent to the nearest nodes, to two or more where possible."""

import pytest

from bilberry_steering.nearest import NodeLocation, nearest_nodes

NODES = [
    NodeLocation("a1", "mtl-a", "mtl"),
    NodeLocation("a2", "mtl-a", "mtl"),
    NodeLocation("b1", "mtl-b", "mtl"),
    NodeLocation("q1", "qc-a", "qc"),
]


def nearest_addresses(domain, region, nodes=NODES, homes=()):
    home_sets = [frozenset(regions) for regions in homes]
    return [node.address for node in nearest_nodes(nodes, domain, region, home_sets)]


def test_nodes_of_the_callers_domain_go_first():
    assert nearest_addresses("mtl-a", "mtl") == ["a1", "a2"]


def test_a_domain_with_one_node_gets_its_region():
    assert nearest_addresses("mtl-b", "mtl") == ["a1", "a2", "b1"]


def test_a_region_with_one_node_keeps_to_it():
    assert nearest_addresses("qc-b", "qc") == ["q1"]


def test_a_region_without_nodes_gets_all():
    assert nearest_addresses("sag-a", "sag") == ["a1", "a2", "b1", "q1"]


def test_without_nodes_none_is_named():
    assert nearest_addresses("mtl-a", "mtl", []) == []


@pytest.mark.parametrize(
    ("homes", "named"),
    [
        ([["qc"], ["qc"]], ["q1"]),
        ([["qc", "mtl"], ["qc"]], ["q1"]),
        ([["qc"], ["mtl"], ["mtl"]], ["a1", "a2", "b1"]),
        ([["qc"], ["mtl"]], ["a1", "a2", "b1", "q1"]),
        ([["qc", "north"]], ["q1"]),
        ([["north"]], ["a1", "a2", "b1", "q1"]),
    ],
)
def test_a_region_without_nodes_gets_the_homes_of_most_routes(homes, named):
    assert nearest_addresses("sag-a", "sag", homes=homes) == named


def test_homes_do_not_replace_the_callers_own_region():
    homes = [["qc"]]
    assert nearest_addresses("mtl-a", "mtl", homes=homes) == ["a1", "a2"]
    assert nearest_addresses("mtl-b", "mtl", homes=homes) == ["a1", "a2", "b1"]
