"""Test the HTTP handler over raw sockets."""

import gevent
import pytest

from tests.bilberry_router.forward.common import Caller

from .common import LIMITS, calling, listening

HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def test_requests_follow_each_other():
    with calling() as caller:
        for body in (b"one", b"", b"three"):
            length = b"Content-Length: %d\r\n\r\n" % len(body)
            caller.sock.sendall(HEAD + length + body)
            assert caller.answer().body == body


def test_pipelined_requests_are_answered_in_order():
    request = HEAD + b"Content-Length: 1\r\n\r\n"
    with calling() as caller:
        caller.sock.sendall(request + b"a" + request + b"b" + CHUNKED + b"1\r\nc\r\n")
        caller.sock.sendall(b"0\r\n\r\n" + request + b"d")
        assert [caller.answer().body for _ in range(4)] == [b"a", b"b", b"c", b"d"]


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400),
        (HEAD + b"Content-Length: 1001\r\n\r\n" + b"x" * 1_001, 413),
        (CHUNKED + b"401\r\n" + b"x" * 1_025 + b"\r\n0\r\n\r\n", 413),
        (CHUNKED + b"-1\r\n", 400),
        (CHUNKED + b"0x1\r\na\r\n", 400),
        (CHUNKED + b"1\na\n", 408),
        (CHUNKED + b"1\r\nab\r\n0\r\n\r\n", 400),
        (CHUNKED + b"1" * 20 + b"\r\n", 400),
        (CHUNKED + b"1;" + b"x" * 2_000, 400),
        (CHUNKED + b"0\r\nbad trailer\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nA: " + b"x" * 500 + b"\r\n\r\n", 431),
        (b"GET /" + b"x" * 2_000, 431),
        (b"GET / HTTP/1.1\r\nHost: a\r\n", 408),
        (HEAD + b"Content-Length: 5\r\n\r\nab", 408),
        (CHUNKED + b"5\r\nab", 408),
        (b"GET /\r\n\r\n", 400),
    ],
)
def test_refused_request_gets_a_reason_and_a_close(sent, status):
    with calling() as caller:
        caller.sock.sendall(sent)
        answer = caller.answer()
        assert answer.status == status
        assert answer.outcome == "not-run"
        assert answer.headers["connection"] == "close"
        assert caller.closed()


def test_request_smuggled_in_a_body_is_not_served():
    served = []

    def application(environ, start_response):
        served.append(environ["PATH_INFO"])
        start_response("200 OK", [("Content-Length", "0")])
        return []

    with calling(application) as caller:
        hidden = b"GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"
        length = b"Content-Length: %d\r\n\r\n" % len(hidden)
        caller.sock.sendall(HEAD + length + hidden)
        assert caller.answer().status == 200
        assert caller.closed()
    assert served == ["/x"]


def test_trickled_head_is_cut_off_in_time():
    with calling() as caller, gevent.Timeout(2):
        caller.sock.sendall(b"GET / HTTP/1.1\r\n")
        for _ in range(20):
            gevent.sleep(0.02)
            caller.sock.sendall(b"A: b\r\n")
        assert caller.answer().status == 408


def test_trickled_body_is_cut_off_in_time():
    with calling() as caller, gevent.Timeout(2):
        caller.sock.sendall(HEAD + b"Content-Length: 900\r\n\r\n")
        for _ in range(12):
            gevent.sleep(0.02)
            caller.sock.sendall(b"x")
        assert caller.answer().status == 408


def test_idle_connection_is_closed():
    with calling() as caller, gevent.Timeout(2):
        assert caller.closed()


def test_expected_continue_is_sent_before_the_body():
    with calling() as caller:
        expect = b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"
        caller.sock.sendall(HEAD + expect)
        assert caller.read_until_mark(b"\r\n\r\n") == b"HTTP/1.1 100 Continue"
        caller.sock.sendall(b"ok")
        assert caller.answer().body == b"ok"


def test_number_of_connections_is_limited():
    with (
        listening(max_connections=1) as server,
        Caller(server.server_port) as first,
        Caller(server.server_port) as second,
    ):
        first.sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert first.answer().status == 200
        second.sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        gevent.sleep(0.05)
        assert len(server.connections) == 1
        first.sock.close()
        assert second.answer().status == 200


@pytest.mark.parametrize("headers", [[("Content-Length", "5")], []])
def test_failed_application_never_ends_an_answer(headers):
    def application(environ, start_response):
        start_response("200 OK", headers)
        yield b"ab"
        raise RuntimeError

    with calling(application) as caller:
        caller.sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        answer = caller.answer()
        assert answer.status == 200
        assert not answer.complete


def test_short_answer_never_ends_normally():
    def application(environ, start_response):
        start_response("200 OK", [("Content-Length", "5")])
        return [b"ab"]

    with calling(application) as caller:
        caller.sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert not caller.answer().complete


def test_truncated_http_1_0_answer_without_length_is_reset():
    def application(environ, start_response):
        start_response("200 OK", [])
        yield b"ab"
        raise RuntimeError

    with calling(application) as caller:
        caller.sock.sendall(b"GET / HTTP/1.0\r\n\r\n")
        assert caller.read_until_mark(b"ab")
        with pytest.raises(ConnectionResetError):
            caller.sock.recv(1)


def test_internal_error_is_answered():
    def application(environ, start_response):
        raise RuntimeError

    with calling(application) as caller:
        caller.sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert caller.answer().status == 500


def test_long_head_within_the_limit_passes():
    with calling() as caller:
        pad = b"x" * (LIMITS.max_header_bytes - 60)
        caller.sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\nA: " + pad + b"\r\n\r\n")
        assert caller.answer().status == 200
