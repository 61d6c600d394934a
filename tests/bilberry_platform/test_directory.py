"""Callers without a node in their region are sent to home regions."""

import json
from urllib.parse import urlencode

import pytest

from bilberry_steering.nearest import NodeLocation
from bilberry_testing.machines.objects import config_of, route_spec

from ..bilberry_router.entry.common import eventually
from .common import Deployment, fetch

NODES = [
    NodeLocation("m1", "mtl-a", "mtl"),
    NodeLocation("q1", "qc-a", "qc"),
    NodeLocation("q2", "qc-b", "qc"),
    NodeLocation("s1", "sag-a", "sag"),
]
ALL = ["m1", "q1", "q2", "s1"]


def config(version, *homes):
    """Return a configuration with a route of one host for each of `homes`."""
    routes = [
        route_spec(f"r{index}", f"/r{index}/", home_regions=list(regions))
        for index, regions in enumerate(homes)
    ]
    return config_of(version, routes)


def start_node(deployment, *homes, nodes=NODES):
    """Start a node that knows `nodes`, with a route for each of `homes`."""
    deployment.write("config", "main", config(2, *homes))
    node = deployment.node()
    node.listeners[2].handler.entry_points = lambda: nodes
    return node


def resolve(node, **query):
    answer = fetch(node.listeners[2], f"/resolve?{urlencode(query)}")
    assert answer.status == 200, answer.body
    return json.loads(answer.body)["addresses"]


def resolve_from(node, region, name="shop.example"):
    return resolve(node, name=name, region=region, zone=f"{region}-a")


def test_callers_without_a_node_in_their_region_get_the_home_region():
    with Deployment() as deployment:
        node = start_node(deployment, ["qc"], ["qc"])
        assert resolve_from(node, "out") == ["q1", "q2"]
        assert resolve_from(node, "out", name="SHOP.example:8381") == ["q1", "q2"]


@pytest.mark.parametrize(("region", "named"), [("mtl", ["m1"]), ("sag", ["s1"])])
def test_the_callers_own_region_stays_first(region, named):
    with Deployment() as deployment:
        assert resolve_from(start_node(deployment, ["qc"]), region) == named


def test_a_home_region_without_a_node_leaves_all():
    with Deployment() as deployment:
        nodes = [node for node in NODES if node.region != "qc"]
        node = start_node(deployment, ["qc"], nodes=nodes)
        assert resolve_from(node, "out") == ["m1", "s1"]


def test_hosts_without_homes_and_queries_without_a_host_get_all():
    with Deployment() as deployment:
        node = start_node(deployment, ["qc"])
        assert resolve_from(node, "out", name="other.example") == ALL
        assert resolve(node, region="out", zone="out-a") == ALL


def test_answers_follow_the_newest_configuration():
    with Deployment() as deployment:
        node = start_node(deployment, ["qc"])
        assert resolve_from(node, "out") == ["q1", "q2"]
        deployment.write("config", "main", config(5, ["sag"]))
        eventually(lambda: node.state.routes.config.version == 5)
        assert resolve_from(node, "out") == ["s1"]
