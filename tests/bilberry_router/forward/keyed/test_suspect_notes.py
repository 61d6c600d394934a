"""Test that peers learn of a crash before the request is answered."""

import gevent

from tests.bilberry_router.forward.common import OK, crash_on, eventually

from .common import Nodes


def test_a_crashing_request_is_refused_by_the_next_node_at_once():
    with Nodes(crash_on(b"/bad")) as nodes, eventually(5):
        first = nodes.rigs[0].ask("POST", "/bad", body=b"a")
        deaths = len(nodes.executions)
        assert (first.status, deaths) == (502, 1)
        second = nodes.rigs[1].ask("POST", "/bad", body=b"a")
        third = nodes.rigs[2].ask("POST", "/bad", body=b"a")
        assert len(nodes.executions) == 2
        assert (second.status, third.status) == (502, 503)
        assert b'"title":"request quarantined"' in third.body


def test_a_peer_that_can_not_be_reached_holds_no_answer_back():
    with Nodes(crash_on(b"/bad")) as nodes, eventually(5):
        nodes.peers[2].stop(timeout=0)
        nodes.rigs[0].ask("POST", "/bad", body=b"a")
        nodes.rigs[1].ask("POST", "/bad", body=b"a")
        assert nodes.rigs[0].ask("POST", "/bad", body=b"a").status == 503
        assert len(nodes.executions) == 2


def test_an_answer_clears_the_request_at_the_other_nodes():
    def dies_once(upstream, sock):
        while upstream.read_request(sock) is not None:
            if len(upstream.requests) == 1:
                return
            sock.sendall(OK)

    with Nodes(dies_once) as nodes, eventually(5):
        assert nodes.rigs[0].ask("POST", "/x", body=b"a").status == 502
        tables = [rig.forwarder.suspects.table for rig in nodes.rigs]
        assert all(table.suspects for table in tables)
        assert nodes.rigs[1].ask("POST", "/x", body=b"a").status == 200
        while any(table.suspects for table in tables):
            gevent.sleep(0.005)
