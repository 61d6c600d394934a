"""No end of a connection cuts a response that its caller still reads."""

import time

import gevent
import pytest

from bilberry_router.http.limits import Limits

from ..slow_reader import SlowReader
from .common import listening

BODY = b"f" * 540_000
GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
GET_LAST = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 50000\r\n\r\n" + b"x" * 50_000
LIMITS = Limits(body_timeout_ms=2_000, idle_timeout_ms=400)


class Large:
    """Answer with a large body; `ran` counts the requests."""

    def __init__(self):
        self.ran = 0

    def __call__(self, environ, start_response):
        self.ran += 1
        environ["wsgi.input"].read()
        start_response("200 OK", [("Content-Length", str(len(BODY)))])
        return [BODY]


class LargeThenCut(Large):
    """Answer once; break off the second response."""

    def __call__(self, environ, start_response):
        if not self.ran:
            return super().__call__(environ, start_response)
        self.ran += 1
        start_response("200 OK", [("Content-Length", "100")])
        return [b"half"]


class Reader(SlowReader):
    """Ask for a response, and wait until it was written."""

    def __init__(self, server, request):
        super().__init__(server.server_port)
        self.sock.sendall(request)
        with gevent.Timeout(5):
            while not any(
                connection.is_idle or connection.is_write_closed
                for connection in server.connections
            ):
                gevent.sleep(0.005)

    def send_on(self, requests):
        for request in requests:
            self.sock.sendall(request)


def is_one_response(received):
    return len(BODY) < received < len(BODY) + 300


@pytest.mark.parametrize("send_on_s", [0.01, 0.2, 0.7])
@pytest.mark.parametrize("requests", [[GET], [POST] * 5])
def test_a_drain_does_not_cut_a_response_that_is_read(send_on_s, requests):
    """Guard against a reset of a connection that counts as idle."""
    application = Large()
    with listening(application, LIMITS) as server:
        reader = Reader(server, GET)
        drain = gevent.spawn(server.drain, 5_000)
        gevent.spawn_later(send_on_s, reader.send_on, requests)
        assert is_one_response(reader.read())
        reader.sock.close()
        assert drain.get() == 0
        assert application.ran == 1


def test_a_drain_waits_no_longer_than_allowed_for_a_reader():
    with listening(Large(), LIMITS) as server, gevent.Timeout(2):
        reader = Reader(server, GET)
        server.drain(300)
        assert server.unread_closes.counts == {"closed": 1}
        reader.sock.close()


def test_a_connection_is_not_idle_while_its_response_is_read():
    """Guard against an idle timeout that counts while a caller reads."""
    with listening(Large(), LIMITS) as server:
        reader = Reader(server, GET)
        gevent.spawn_later(0.9, reader.send_on, [GET])
        assert reader.read(0.04) > len(BODY)


@pytest.mark.parametrize("send_on_s", [0, 0.3, 0.8])
def test_a_last_response_is_read_whole_whatever_follows_it(send_on_s):
    """Guard against a close at once, or after a linger that is too short."""
    application = Large()
    with listening(application, LIMITS) as server:
        reader = Reader(server, GET_LAST)
        gevent.spawn_later(send_on_s, reader.send_on, [POST] * 5)
        assert is_one_response(reader.read(0.04))
        assert application.ran == 1


def test_a_response_that_is_cut_does_not_take_another_with_it():
    """Guard against a reset that destroys earlier responses."""
    application = LargeThenCut()
    with listening(application, LIMITS) as server:
        reader = Reader(server, GET)
        reader.send_on([GET])
        assert reader.read(0.01) > len(BODY)
        assert application.ran == 2
        assert reader.last.endswith(b"\r\n\r\nhalf")


def test_the_end_of_the_server_does_not_cut_a_response_that_is_read():
    """Guard against a reset for requests that are left unread."""
    with listening(Large(), LIMITS) as server:
        reader = Reader(server, GET_LAST)
        reader.send_on([POST] * 5)
        time.sleep(0.05)
        server.stop(timeout=0)
        assert is_one_response(reader.read(0))
