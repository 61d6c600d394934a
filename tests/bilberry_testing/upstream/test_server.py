"""Test the simulated upstream on real sockets."""

import fcntl
import hashlib

import gevent
import pytest
from gevent import socket

from bilberry_testing import client
from bilberry_testing.upstream import (
    Control,
    Fault,
    FaultAction,
    Identity,
    UpstreamServer,
)
from bilberry_testing.upstream.server import peer_closed


@pytest.fixture
def upstream():
    server = UpstreamServer(Identity(name="u1", service="suivi"), Control(service_ms=0))
    server.start()
    yield server
    server.close()


def send(upstream, path="/x", method="GET", body=None, **headers):
    header_names = {name.replace("_", "-"): value for name, value in headers.items()}
    return client.call(method, upstream.url + path, body, header_names)


def control(upstream, **fields):
    assert send(upstream, "/_control", "PUT", fields).status == 200


def test_an_answer_repeats_its_request(upstream):
    reply = send(
        upstream,
        "/a%20b?c=1",
        "POST",
        b"copper",
        X_Request_Id="r1",
        Idempotency_Key="k",
    )
    echo = reply.json()
    assert (echo["method"], echo["path"], echo["query"]) == ("POST", "/a b", "c=1")
    assert (echo["request_id"], echo["idempotency_key"]) == ("r1", "k")
    assert echo["body_sha256"] == hashlib.sha256(b"copper").hexdigest()
    (execution,) = send(upstream, "/_executions").json()["items"]
    assert (execution["idempotency_key"], execution["state"]) == ("k", "finished")


def test_chunked_bodies_pass_both_ways(upstream):
    control(upstream, chunked=True, response_bytes=200_000)
    connection = client.connect(upstream.url)
    connection.request("POST", "/x", iter([b"a" * 70_000, b"b"]), encode_chunked=True)
    response = connection.getresponse()
    body = response.read()
    connection.close()
    assert len(body) == 200_000
    assert b'"body_bytes":70001' in body


def test_a_full_upstream_sheds_as_not_run(upstream):
    control(upstream, slots=1, queue=1, service_ms=100)
    calls = [gevent.spawn(send, upstream) for _ in range(3)]
    gevent.joinall(calls, timeout=5)
    assert sorted(call.value.status for call in calls) == [200, 200, 503]
    (shed,) = [call.value for call in calls if call.value.status == 503]
    assert shed.header("X-Not-Run") == "true"
    assert send(upstream, "/_counters").json()["started"] == 2


def test_a_caller_that_hangs_up_cancels_its_request(upstream):
    connection = client.connect(upstream.url)
    connection.request("GET", "/x?service_ms=5000")
    gevent.sleep(0.05)
    connection.close()
    gevent.sleep(0.05)
    counters = send(upstream, "/_counters").json()
    assert (counters["cancelled"], counters["in_flight"]) == (1, 0)


def test_a_passed_deadline_ends_the_work(upstream):
    reply = send(upstream, "/x?service_ms=5000", X_Request_Timeout_Ms="20")
    assert reply.status == 504
    assert send(upstream, "/_counters").json()["expired"] == 1


def test_a_crash_drops_all_and_refuses_for_a_time(upstream):
    control(upstream, crash_down_ms=80)
    upstream.model.control.faults = [Fault(action=FaultAction.CRASH, path="/bad")]
    bystander = gevent.spawn(send, upstream, "/x?service_ms=5000")
    bystander.link_exception(lambda _: None)
    gevent.sleep(0.02)
    with pytest.raises(client.CALL_ERRORS):
        send(upstream, "/bad")
    bystander.join(timeout=1)
    assert isinstance(bystander.exception, client.CALL_ERRORS)
    with pytest.raises(ConnectionRefusedError):
        send(upstream)
    gevent.sleep(0.12)
    assert send(upstream).status == 200
    assert upstream.model.counters.in_flight == 0


@pytest.mark.parametrize("chunked", [False, True])
def test_a_truncated_answer_is_seen_as_cut(upstream, chunked):
    control(upstream, response_bytes=5_000, chunked=chunked)
    upstream.model.control.faults = [
        Fault(action=FaultAction.TRUNCATE, after_bytes=1_000, count=1)
    ]
    with pytest.raises(client.CALL_ERRORS):
        send(upstream)
    assert len(send(upstream).body) == 5_000


def test_garbage_follows_a_whole_answer(upstream):
    upstream.model.control.faults = [Fault(action=FaultAction.GARBAGE, count=1)]
    sock = gevent.socket.create_connection(("127.0.0.1", upstream.port))
    sock.sendall(b"GET /x HTTP/1.1\r\nHost: u\r\n\r\n")
    gevent.sleep(0.05)
    assert sock.recv(65_536).endswith(b"stolen!")
    sock.close()


def test_a_hang_ends_when_the_caller_closes(upstream):
    upstream.model.control.faults = [Fault(action=FaultAction.HANG, path="/h")]
    with pytest.raises(OSError):
        client.call("GET", upstream.url + "/h", timeout_ms=50)
    gevent.sleep(0.1)
    assert upstream.model.counters.in_flight == 0


def test_a_socket_above_the_limit_of_select_is_served():
    ours, theirs = socket.socketpair()
    high = socket.socket(fileno=fcntl.fcntl(ours, fcntl.F_DUPFD, 1_500))
    assert not peer_closed(high)
    theirs.close()
    assert peer_closed(high)
    high.close()
    ours.close()


def test_draining_closes_the_connection_after_the_answer(upstream):
    control(upstream, draining=True)
    assert send(upstream).header("Connection") == "close"
    assert send(upstream, "/health").json() == {"state": "draining"}
    assert send(upstream, "/_control", "PUT", {"colour": 1}).status == 400
