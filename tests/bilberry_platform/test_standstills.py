"""A node that ran nothing for a while reads what changed before it goes on."""

import time

from bilberry_router.entry.standstills import MIN_REREAD_MS

from ..bilberry_router.entry.common import eventually
from .common import Deployment, connect
from .test_homes import HOSTS, config, served_region

STANDSTILL_S = (MIN_REREAD_MS + 500) / 1_000


def test_requests_that_came_during_a_standstill_go_by_the_homes_of_its_end():
    with Deployment() as deployment:
        deployment.register(deployment.upstreams[1], zone="qc-a")
        deployment.write("config", "main", config(2, ("mtl", "qc")))
        node = deployment.node()
        eventually(lambda: node.state.config_version == 2)
        client = connect(node.entry_listener)
        client.send("/zu/x", request_id="before", host=HOSTS[0])
        assert served_region(client.answer()) == "mtl"
        # Without notify(), the node's waiting watch doesn't tell.
        deployment.store.table.put("config", "main", config(3, ("qc", "mtl")))
        client.send("/zu/x", request_id="during", host=HOSTS[0])
        time.sleep(STANDSTILL_S)
        assert served_region(client.answer()) == "qc"


def test_a_standstill_during_an_outage_of_the_store_refuses_nobody():
    with Deployment() as deployment:
        deployment.write("config", "main", config(2, ("mtl", "mtl")))
        node = deployment.node()
        eventually(lambda: node.state.config_version == 2)
        deployment.store.go_down()
        client = connect(node.entry_listener)
        client.send("/zu/x", host=HOSTS[0])
        time.sleep(STANDSTILL_S)
        assert served_region(client.answer()) == "mtl"
