"""Callers are sent to the nearest nodes, to two or more where possible."""

from bilberry_steering.nearest import NodeLocation, nearest_nodes

NODES = [
    NodeLocation("a1", "mtl-a", "mtl"),
    NodeLocation("a2", "mtl-a", "mtl"),
    NodeLocation("b1", "mtl-b", "mtl"),
    NodeLocation("q1", "qc-a", "qc"),
]


def nearest_addresses(domain, region, nodes=NODES):
    return [node.address for node in nearest_nodes(nodes, domain, region)]


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
