"""Test readiness, and that a stopping node finishes running requests."""

import gevent
from gevent.event import Event

from bilberry_router.entry.const import DRAIN_SERVE_FRACTION

from ..bilberry_router.entry.common import eventually
from .common import Deployment, connect, fetch

GRACE_MS = 2_000


def test_a_node_is_ready_once_it_knows_configuration_and_upstreams():
    with Deployment() as deployment:
        node = deployment.node()
        ready = node.listeners[1]
        assert fetch(ready, "/readyz").status == 200
        assert fetch(node.entry_listener, "/read/x").status == 200


def test_a_node_that_can_not_read_the_store_is_not_ready():
    with Deployment() as deployment:
        deployment.store.faults.down_status = 503
        node = deployment.node(ready=False)
        assert fetch(node.listeners[1], "/readyz").status == 503
        assert fetch(node.entry_listener, "/read/x").status == 503
        deployment.store.faults.down_status = 0
        eventually(node.is_ready)
        assert fetch(node.entry_listener, "/read/x").status == 200


def test_a_leaving_node_finishes_early_requests_and_refuses_late_ones():
    with Deployment(upstreams=1, grace_ms=GRACE_MS) as deployment:
        node = deployment.node()
        release = Event()
        deployment.upstreams[0].faults.hold = release
        early, late = connect(node.entry_listener), connect(node.entry_listener)
        early.send("/read/x", request_id="r1")
        eventually(lambda: deployment.upstreams[0].served_requests)
        stopping = gevent.spawn(node.stop)
        eventually(lambda: node.forwarder.is_refusing)
        late.send("/read/x", request_id="r2")
        answer = late.answer()
        assert (answer.status, answer.headers["connection"]) == (503, "close")
        release.set()
        assert early.answer().status == 200
        assert stopping.get()
        assert [
            served.request_id for served in deployment.upstreams[0].served_requests
        ] == ["r1"]
        deployment.nodes.clear()


def test_a_leaving_node_is_not_ready_and_still_serves_at_first():
    with Deployment(grace_ms=GRACE_MS) as deployment:
        node = deployment.node()
        stopping = gevent.spawn(node.stop)
        eventually(lambda: node.draining)
        assert fetch(node.listeners[1], "/readyz").status == 503
        if not node.forwarder.is_refusing:
            assert fetch(node.entry_listener, "/read/x").status in (200, 503)
        assert stopping.get()
        assert 0 < DRAIN_SERVE_FRACTION < 0.5
        assert deployment.store.table.get("nodes", "n1") is None
        deployment.nodes.clear()


def test_a_closed_node_writes_its_entry_no_more():
    with Deployment() as deployment:
        deployment.store.faults.down_status = 503
        node = deployment.node(ready=False)
        eventually(lambda: any(c.startswith("POST") for c in deployment.store.calls))
        node.close()
        deployment.nodes.clear()
        deployment.store.faults.down_status = 0
        deployment.store.calls.clear()
        gevent.sleep(1.0)
        assert deployment.store.calls == []
        assert deployment.store.table.get("nodes", "n1") is None
