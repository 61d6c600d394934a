"""Test each row of the outcome table over raw sockets."""

import struct
from socket import SO_LINGER, SOL_SOCKET

import gevent
import pytest

from bilberry_router.forward.transport import EndpointConnections

from .common import OK, ForwarderFixture, UnlimitedSteering, always, eventually, once

CLOSED = "127.0.0.1:1"
CUT = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"
MALFORMED = b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"
SHED = b"HTTP/1.1 503 S\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
BIG = b"x" * 3_000_000


def dies_after_request(upstream, sock):
    upstream.read_request(sock)


def dies_in_body(upstream, sock):
    sock.recv(1_000)
    sock.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))


def hangs(upstream, sock):
    upstream.read_request(sock)
    upstream.read_request(sock)


def choose_in_order(rig):
    """Make the pool choose the upstreams in order."""
    pool = rig.forwarder.endpoints.pools["suivi", "mtl"]
    pool.policy = FirstEndpointPolicy()


class FirstEndpointPolicy:
    def choose(self, endpoints, now_ms, may_wait):
        return endpoints[0]


def ask(script, method, body, path="/x", headers=(), **service):
    """Return the response and the second upstream's request count."""
    with ForwarderFixture(script, always(OK), **service) as rig:
        choose_in_order(rig)
        answer = rig.ask(method, path, headers, body)
        return answer, len(rig.upstreams[1].requests)


@pytest.mark.parametrize(
    ("script", "method", "body", "status", "outcome", "retried"),
    [
        (dies_after_request, "GET", b"", 200, "run", 1),
        (dies_after_request, "POST", b"x", 502, "unknown", 0),
        (dies_in_body, "PUT", BIG, 502, "unknown", 0),
        (dies_in_body, "POST", BIG, 502, "unknown", 0),
        (once(MALFORMED), "GET", b"", 200, "run", 1),
        (once(MALFORMED), "POST", b"x", 502, "unknown", 0),
        (once(CUT), "GET", b"", 200, "run", 1),
        (once(CUT), "PUT", b"x", 200, "run", 1),
        (once(CUT), "POST", b"x", 502, "unknown", 0),
        (always(SHED), "GET", b"", 200, "run", 1),
        (always(SHED), "POST", b"x", 200, "run", 1),
        (always(SHED), "POST", BIG, 503, "not-run", 0),
    ],
)
def test_row(script, method, body, status, outcome, retried):
    answer, asked = ask(script, method, body)
    assert (answer.status, answer.outcome, asked) == (status, outcome, retried)
    assert answer.complete


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_deadline_after_send_is_unknown(method):
    answer, asked = ask(hangs, method, b"", headers=["X-Request-Timeout-Ms: 100"])
    assert (answer.status, answer.outcome, asked) == (504, "unknown", 0)


def test_no_time_left_is_not_run():
    answer, asked = ask(hangs, "POST", b"", headers=["X-Request-Timeout-Ms: 0"])
    assert (answer.status, answer.outcome, asked) == (503, "not-run", 0)
    assert answer.headers["retry-after"] == "1"


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_refused_connection_is_retried(method):
    with ForwarderFixture(always(OK)) as rig:
        rig.install([CLOSED, rig.addresses[0]])
        rig.forwarder.endpoints.refresh()
        choose_in_order(rig)
        assert rig.ask(method, body=b"x").outcome == "run"


def test_refused_connections_cost_no_retry_budget():
    with ForwarderFixture(always(OK)) as rig:
        rig.install([CLOSED] * 6 + rig.addresses)
        rig.forwarder.endpoints.refresh()
        choose_in_order(rig)
        rig.forwarder.attempts.budget.tokens = 0
        assert rig.ask("POST", body=b"x").outcome == "run"


def test_only_refused_connections_is_not_run():
    with ForwarderFixture() as rig:
        rig.install([CLOSED])
        answer = rig.ask("POST", body=b"x")
        assert (answer.status, answer.outcome) == (503, "not-run")


def test_death_before_the_first_byte_is_retried(monkeypatch):
    acquire_new = EndpointConnections.acquire_new

    def acquire_shut(connections, wait_ms):
        acquired = acquire_new(connections, wait_ms)
        if connections.address == rig.addresses[0]:
            acquired.unwrap().shut_down()
        return acquired

    monkeypatch.setattr(EndpointConnections, "acquire_new", acquire_shut)
    with ForwarderFixture(always(OK), always(OK)) as rig:
        choose_in_order(rig)
        assert rig.ask("POST", body=b"x").outcome == "run"
        assert len(rig.upstreams[1].requests) == 1


def test_no_endpoint_is_not_run():
    with ForwarderFixture() as rig:
        answer = rig.ask()
        assert (answer.status, answer.outcome) == (503, "not-run")


def test_unknown_service_is_not_run():
    with ForwarderFixture() as rig, rig.connect() as caller:
        caller.sock.sendall(b"GET /s/nope/x HTTP/1.1\r\nHost: x\r\n\r\n")
        answer = caller.answer()
        assert (answer.status, answer.outcome) == (404, "not-run")


def test_no_retry_once_an_earlier_attempt_may_have_run():
    answer, _ = ask(once(CUT), "GET", b"", idempotent_methods=())
    assert (answer.status, answer.outcome) == (502, "unknown")


@pytest.mark.parametrize("answered", [False, True])
def test_hang_up_cancels_at_the_upstream(answered):
    closed = gevent.event.Event()

    def watches(upstream, sock):
        upstream.read_request(sock)
        if answered:
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\nx")
        if sock.recv(10) == b"":
            closed.set()

    with ForwarderFixture(watches) as rig:
        with rig.connect() as caller:
            caller.send("POST", body=b"x")
            gevent.sleep(0.05)
        with eventually():
            closed.wait()
            while rig.forwarder.in_flight:
                gevent.sleep(0.01)
        endpoint = rig.forwarder.endpoints.pools["suivi", "mtl"].endpoints["u0"]
        assert endpoint.in_flight == 0


def test_cut_upload_never_ends_normally_at_the_upstream():
    seen = gevent.event.AsyncResult()

    def collects(upstream, sock):
        data = b""
        while more := sock.recv(65_536):
            data += more
        seen.set(data)

    with ForwarderFixture(collects) as rig:
        with rig.connect() as caller:
            head = "POST /s/suivi/x HTTP/1.1\r\nHost: x\r\n"
            caller.sock.sendall(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
            caller.sock.sendall(b"20000\r\n" + b"x" * 0x20000 + b"\r\n")
            gevent.sleep(0.05)
        with eventually():
            assert not seen.get().endswith(b"0\r\n\r\n")


def test_results_reach_the_steering():
    steering = UnlimitedSteering()
    with ForwarderFixture(always(OK), steering=steering) as rig:
        rig.ask("POST", body=b"x")
        result = steering.results[0]
        assert (result.ok, result.region, result.group) == (True, "mtl", "g")
