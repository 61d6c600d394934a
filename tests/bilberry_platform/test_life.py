"""Test readiness, and that a stopping node finishes running requests."""

import gevent
from gevent.event import Event

from bilberry_router.entry.const import DRAIN_SERVE_FRACTION

from ..bilberry_router.entry.common import eventually
from .common import Machines, ask, connect

GRACE_MS = 2_000


def test_a_node_is_ready_once_it_knows_configuration_and_upstreams():
    with Machines() as machines:
        node = machines.node()
        ready = node.listeners[1]
        assert ask(ready, "/readyz").status == 200
        assert ask(node.entry_listener, "/read/x").status == 200


def test_a_node_that_can_not_read_the_store_is_not_ready():
    with Machines() as machines:
        machines.store.faults.down_status = 503
        node = machines.node(ready=False)
        assert ask(node.listeners[1], "/readyz").status == 503
        assert ask(node.entry_listener, "/read/x").status == 503
        machines.store.faults.down_status = 0
        eventually(node.is_ready)
        assert ask(node.entry_listener, "/read/x").status == 200


def test_a_leaving_node_finishes_early_requests_and_refuses_late_ones():
    with Machines(upstreams=1, grace_ms=GRACE_MS) as machines:
        node = machines.node()
        release = Event()
        machines.upstreams[0].faults.hold = release
        early, late = connect(node.entry_listener), connect(node.entry_listener)
        early.send("/read/x", request_id="r1")
        eventually(lambda: machines.upstreams[0].ran)
        stopping = gevent.spawn(node.stop)
        eventually(lambda: node.forwarder.is_refusing)
        late.send("/read/x", request_id="r2")
        answer = late.answer()
        assert (answer.status, answer.headers["connection"]) == (503, "close")
        release.set()
        assert early.answer().status == 200
        assert stopping.get()
        assert [served.request_id for served in machines.upstreams[0].ran] == ["r1"]
        machines.nodes.clear()


def test_a_leaving_node_is_not_ready_and_still_serves_at_first():
    with Machines(grace_ms=GRACE_MS) as machines:
        node = machines.node()
        stopping = gevent.spawn(node.stop)
        eventually(lambda: node.draining)
        assert ask(node.listeners[1], "/readyz").status == 503
        if not node.forwarder.is_refusing:
            assert ask(node.entry_listener, "/read/x").status in (200, 503)
        assert stopping.get()
        assert 0 < DRAIN_SERVE_FRACTION < 0.5
        assert machines.store.table.get("nodes", "n1") is None
        machines.nodes.clear()


def test_a_closed_node_writes_its_entry_no_more():
    with Machines() as machines:
        machines.store.faults.down_status = 503
        node = machines.node(ready=False)
        eventually(lambda: any(c.startswith("POST") for c in machines.store.calls))
        node.close()
        machines.nodes.clear()
        machines.store.faults.down_status = 0
        machines.store.calls.clear()
        gevent.sleep(1.0)
        assert machines.store.calls == []
        assert machines.store.table.get("nodes", "n1") is None
