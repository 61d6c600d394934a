"""A node that ran nothing for a while reads what changed before it goes on."""

import time

import gevent

from bilberry_platform.const import HEADER_NAMES
from bilberry_router.entry.rereads import MIN_BEHIND_MS
from bilberry_testing.machines.objects import upstream_entry, upstream_status

from ..bilberry_router.entry.common import eventually
from .common import Deployment, connect
from .test_homes import HOSTS, config, served_region

SHORT_STANDSTILL_S = 0.9
STANDSTILL_S = (MIN_BEHIND_MS + 500) / 1_000


def start_node(deployment, homes):
    """Start a node that has installed version 2, with these homes."""
    deployment.write("config", "main", config(2, homes))
    node = deployment.node()
    eventually(lambda: node.state.config_version == 2)
    return node


def test_requests_that_came_during_a_standstill_go_by_the_homes_of_its_end():
    with Deployment() as deployment:
        deployment.register(deployment.upstreams[1], zone="qc-a")
        node = start_node(deployment, ("mtl", "qc"))
        client = connect(node.entry_listener)
        client.send("/zu/x", request_id="before", host=HOSTS[0])
        assert served_region(client.answer()) == "mtl"
        # Without notify(), the node's waiting watch doesn't tell.
        deployment.store.table.put("config", "main", config(3, ("qc", "mtl")))
        client.send("/zu/x", request_id="during", host=HOSTS[0])
        time.sleep(STANDSTILL_S)
        assert served_region(client.answer()) == "qc"


def test_an_upstream_that_began_to_drain_during_a_standstill_gets_nothing():
    with Deployment() as deployment:
        node = deployment.node()
        draining = deployment.upstreams[0]
        deployment.store.table.put(
            "servers",
            draining.name,
            upstream_entry(draining.address, draining.slots),
            upstream_status(state="draining"),
        )
        client = connect(node.entry_listener)
        for index in range(4):
            client.send("/read/x", request_id=f"r{index}")
        time.sleep(STANDSTILL_S)
        assert [client.answer().status for _ in range(4)] == [200] * 4
        assert draining.served_requests == []


def test_short_standstills_in_a_row_count_together():
    with Deployment() as deployment:
        deployment.register(deployment.upstreams[1], zone="qc-a")
        node = start_node(deployment, ("mtl", "qc"))
        deployment.store.table.put("config", "main", config(3, ("qc", "mtl")))
        for _ in range(3):
            time.sleep(SHORT_STANDSTILL_S)
            gevent.sleep(0.01)
        client = connect(node.entry_listener)
        client.send("/zu/x", host=HOSTS[0])
        assert served_region(client.answer()) == "qc"


def test_a_request_with_little_time_left_is_not_held_until_it_ends():
    with Deployment() as deployment:
        node = start_node(deployment, ("mtl", "mtl"))
        deployment.store.faults.silent = True
        client = connect(node.entry_listener)
        time.sleep(STANDSTILL_S)
        client.send("/zu/x", host=HOSTS[0], headers=(f"{HEADER_NAMES.timeout}: 450",))
        assert served_region(client.answer()) == "mtl"


def test_a_standstill_during_an_outage_of_the_store_refuses_nobody():
    with Deployment() as deployment:
        node = start_node(deployment, ("mtl", "mtl"))
        deployment.store.go_down()
        client = connect(node.entry_listener)
        client.send("/zu/x", host=HOSTS[0])
        time.sleep(STANDSTILL_S)
        assert served_region(client.answer()) == "mtl"


def test_a_read_that_failed_in_a_standstill_does_not_hold_back_the_next():
    with Deployment() as deployment:
        node = deployment.node()
        deployment.store.table.put("config", "main", config(3, ("qc", "mtl")))
        config_feed = node.feeds[0]
        config_feed.breaker.on_failure(False, deployment.clock.now_ms())
        node.rereads.read()
        assert node.state.config_version == 3
