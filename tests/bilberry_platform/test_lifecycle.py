"""Test readiness, and that a stopping node finishes running requests."""

import gevent
from gevent.event import Event

from bilberry_router.entry.const import DRAIN_SERVE_FRACTION
from bilberry_testing.machines.objects import config_of, route_spec

from ..bilberry_balance.placement.common import forbid_waiting
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


SLOW = {"timeout_s": 15, "target_latency_s": 8}


class BusyNode:
    """A node with a full upstream, and a booking that waits for a slot."""

    def __init__(self, deployment):
        routes = [
            route_spec("read", "/read/", **SLOW),
            route_spec("book", "/book/", kind="non_idempotent", **SLOW),
        ]
        deployment.write("config", "main", config_of(2, routes))
        self.node = deployment.node()
        self.upstream = deployment.upstreams[0]
        self.release = self.upstream.faults.hold = Event()
        forbid_waiting(self.node.state.upstreams.by_name[self.upstream.name])
        slots = self.upstream.slots
        self.running = [connect(self.node.entry_listener) for _ in range(slots)]
        for index, client in enumerate(self.running):
            client.send("/read/x", request_id=f"r{index}")
        eventually(lambda: len(self.upstream.served_requests) == slots)
        self.waiting = connect(self.node.entry_listener)
        self.waiting.send("/book/x", method="POST", request_id="w", body=b"order")
        eventually(lambda: self.node.placer.queue_length("s"))

    def ran_bookings(self):
        return [s for s in self.upstream.served_requests if s.method == "POST"]


def test_a_request_that_still_waits_at_the_end_of_the_grace_is_refused():
    with Deployment(upstreams=1, grace_ms=GRACE_MS) as deployment:
        busy = BusyNode(deployment)
        stopping = gevent.spawn(busy.node.stop)
        answer = busy.waiting.answer()
        assert (answer.status, answer.headers["connection"]) == (503, "close")
        stopping.join()
        busy.release.set()
        assert busy.ran_bookings() == []
        deployment.nodes.clear()


def test_a_request_that_can_not_end_within_the_grace_is_not_passed_on():
    with Deployment(upstreams=1, grace_ms=GRACE_MS) as deployment:
        busy = BusyNode(deployment)
        stopping = gevent.spawn(busy.node.stop)
        eventually(lambda: busy.node.draining)
        busy.release.set()
        assert busy.waiting.answer().status == 503
        assert all(client.answer().status == 200 for client in busy.running)
        assert busy.ran_bookings() == []
        stopping.join()
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
