"""Test that a graceful shutdown aborts no request within its limit."""

import gevent

from tests.bilberry_router.forward.common import Caller

from .common import LIMITS, echo, listening

GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


def slow(environ, start_response):
    gevent.sleep(0.1)
    return echo(environ, start_response)


def stuck(environ, start_response):
    gevent.sleep(60)


def test_requests_in_flight_are_finished():
    with listening(slow) as server, Caller(server.server_port) as caller:
        caller.sock.sendall(GET)
        gevent.sleep(0.02)
        stop = gevent.spawn(server.drain, 2_000)
        answer = caller.answer()
        assert answer.status == 200
        assert answer.headers["connection"] == "close"
        assert stop.get() == 0


def test_connections_that_wait_to_be_accepted_are_served():
    with listening(slow) as server:
        callers = [Caller(server.server_port) for _ in range(5)]
        for caller in callers:
            caller.sock.sendall(GET)
        stop = gevent.spawn(server.drain, 2_000)
        assert [caller.answer().status for caller in callers] == [200] * 5
        assert stop.get() == 0


def test_half_sent_request_is_finished():
    with listening() as server, Caller(server.server_port) as caller:
        caller.sock.sendall(GET[:10])
        gevent.sleep(0.02)
        stop = gevent.spawn(server.drain, 2_000)
        gevent.sleep(0.02)
        caller.sock.sendall(GET[10:])
        assert caller.answer().status == 200
        assert stop.get() == 0


def test_idle_connections_end_at_once():
    with listening() as server, Caller(server.server_port) as caller, gevent.Timeout(1):
        caller.sock.sendall(GET)
        caller.answer()
        gevent.sleep(0.02)
        assert server.drain(LIMITS.idle_timeout_ms) == 0
        assert caller.closed()


def test_stuck_request_is_cut_at_the_limit():
    with (
        listening(stuck) as server,
        Caller(server.server_port) as caller,
        gevent.Timeout(2),
    ):
        caller.sock.sendall(GET)
        gevent.sleep(0.02)
        assert server.drain(100) == 1
        assert not caller.answer().complete


def test_second_signal_ends_the_wait():
    with (
        listening(stuck) as server,
        Caller(server.server_port) as caller,
        gevent.Timeout(2),
    ):
        caller.sock.sendall(GET)
        gevent.sleep(0.02)
        stop = gevent.spawn(server.drain, 60_000)
        gevent.sleep(0.02)
        server.force_shutdown()
        assert stop.get() == 1
