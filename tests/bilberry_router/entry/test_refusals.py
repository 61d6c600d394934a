"""A caller is told "not run" only if the upstream said it of that request."""

import gevent
import pytest

from .common import NAMES, Rig

SHED = f"HTTP/1.1 503 Busy\r\n{NAMES.not_run}: 1\r\n"
MISDIRECTED = "HTTP/1.1 421 Misdirected\r\n"
END = "Content-Length: 0\r\n\r\n"


def refusal(head, request_id=""):
    named = f"{NAMES.request_id}: {request_id}\r\n" if request_id else ""
    return f"{head}{named}{END}".encode()


def warm_up(rig):
    """Leave one used connection to the upstream."""
    assert rig.ask("/read/x", request_id="r0").status == 200


def replay(rig, raw):
    """Let the upstream send `raw` before the next answer."""
    rig.upstreams[0].faults.build_leading_bytes = lambda served: raw


@pytest.mark.parametrize("head", [SHED, MISDIRECTED])
def test_an_unnamed_refusal_on_a_used_connection_proves_nothing(head):
    with Rig(count=1) as rig:
        warm_up(rig)
        replay(rig, refusal(head))
        answer = rig.ask("/book/x", method="POST", body=b"order", request_id="r1")
        assert answer.status == 502
        assert "retry-after" not in answer.headers
        assert [served.request_id for served in rig.ran] == ["r0", "r1"]


@pytest.mark.parametrize("head", [SHED, MISDIRECTED])
def test_an_earlier_refusal_never_sends_a_request_to_a_second_upstream(head):
    with Rig(count=2) as rig:
        rig.state.upstreams.by_name["u1"].in_flight = 2
        warm_up(rig)
        replay(rig, refusal(head))
        rig.ask("/book/x", method="POST", body=b"order", request_id="r1")
        assert [served.request_id for served in rig.ran] == ["r0", "r1"]


@pytest.mark.parametrize("head", [SHED, MISDIRECTED])
def test_an_earlier_refusal_with_its_own_id_is_skipped(head):
    with Rig(count=1) as rig:
        warm_up(rig)
        replay(rig, refusal(head, "r0"))
        answer = rig.ask("/book/x", method="POST", body=b"order", request_id="r1")
        assert answer.body == b"u0 ran r1"


def test_an_unnamed_refusal_on_a_new_connection_is_one():
    with Rig(count=1) as rig:
        rig.upstreams[0].faults.shed_next = 1
        answer = rig.ask("/book/x", method="POST", body=b"order")
        assert answer.status == 503
        assert rig.ran == []


def test_a_refusal_with_bytes_after_it_proves_nothing():
    with Rig(count=1) as rig:
        replay(rig, refusal(SHED))
        answer = rig.ask("/book/x", method="POST", body=b"order", request_id="r1")
        assert answer.status == 502


def test_a_connection_that_carried_a_refusal_is_not_used_again():
    with Rig(count=1) as rig:
        rig.upstreams[0].faults.script = [refusal(SHED, "r1")]
        assert rig.ask("/book/x", method="POST", request_id="r1").status == 503
        gevent.sleep(0)
        assert not rig.connections.idle.get(rig.upstreams[0].address)


@pytest.mark.parametrize("status", [408, 429, 503])
def test_an_upstreams_own_status_never_promises_that_nothing_ran(status):
    head = (
        f"HTTP/1.1 {status} Own\r\n{NAMES.request_id}: r1\r\n{NAMES.digest}: d\r\n"
        "Content-Length: 0\r\n\r\n"
    )
    with Rig(count=1) as rig:
        rig.upstreams[0].faults.script = [head.encode()]
        answer = rig.ask("/book/x", method="POST", body=b"order", request_id="r1")
        assert answer.status == 502
        assert NAMES.digest.lower() not in answer.headers
        assert "retry-after" not in answer.headers


def test_a_refusal_after_a_server_error_does_not_hide_that_the_request_ran():
    error = (
        f"HTTP/1.1 500 Error\r\n{NAMES.request_id}: r1\r\n{NAMES.digest}: d\r\n"
        "Content-Length: 0\r\n\r\n"
    )
    with Rig(count=2) as rig:
        rig.state.upstreams.by_name["u1"].in_flight = 2
        rig.upstreams[0].faults.script = [error.encode()]
        rig.upstreams[1].faults.shed_next = 5
        assert rig.ask("/read/x", request_id="r1").status == 500
