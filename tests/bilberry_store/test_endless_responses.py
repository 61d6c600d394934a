"""A response without end costs one call, and bounded memory."""

import gevent
import pytest
from gevent.server import StreamServer

from bilberry_core.outcome import Failure
from bilberry_store.byte_counter import ByteCounter
from bilberry_store.const import MAX_RESPONSE_BYTES
from bilberry_store.http import CallFailure, HttpSession

ENDLESS = {
    "head without line end": (b"HTTP/1.1 200 OK\r\nA: ", b"x" * 65_536),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 10_000),
    "body": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65_536),
}


def call_endless_server(begin, more):
    """Return a failed call's error and the bytes that it received."""
    ended = []

    def serve(sock, address):
        try:
            sock.recv(65_536)
            sock.sendall(begin)
            while True:
                sock.sendall(more)
                gevent.sleep(0)
        except OSError:
            ended.append(True)

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    counter = ByteCounter()
    session = HttpSession(f"127.0.0.1:{server.server_port}", byte_counter=counter)
    called = session.write("PUT", "/objects/a", timeout_ms=20_000)
    assert isinstance(called, Failure)
    with gevent.Timeout(5, AssertionError("still connected")):
        while not ended:
            gevent.sleep(0.005)
    session.close()
    server.stop(timeout=0)
    return called.failure(), counter.received_bytes


@pytest.mark.parametrize("name", sorted(ENDLESS))
def test_a_response_without_end_is_a_lost_one(name, monkeypatch):
    limit = 1_000_000
    monkeypatch.setattr("bilberry_store.byte_counter.MAX_RESPONSE_BYTES", limit)
    error, received_bytes = call_endless_server(*ENDLESS[name])
    assert error.failure is CallFailure.MAYBE_SENT
    assert received_bytes < limit + 100_000
    assert limit < MAX_RESPONSE_BYTES


def test_short_header_lines_without_end_are_given_up_early():
    """Guard against lines that take ten times their bytes in memory."""
    error, received_bytes = call_endless_server(*ENDLESS["header lines"])
    assert error.failure is CallFailure.MAYBE_SENT
    assert "headers" in error.reason
    assert received_bytes < 100_000
