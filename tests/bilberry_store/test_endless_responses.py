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


@pytest.mark.parametrize("name", sorted(ENDLESS))
def test_a_response_without_end_is_a_lost_one(name, monkeypatch):
    limit = 1_000_000
    monkeypatch.setattr("bilberry_store.byte_counter.MAX_RESPONSE_BYTES", limit)
    begin, more = ENDLESS[name]
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
    assert called.failure().failure is CallFailure.MAYBE_SENT
    with gevent.Timeout(5, AssertionError("still connected")):
        while not ended:
            gevent.sleep(0.005)
    assert counter.received_bytes < limit + 100_000
    assert limit < MAX_RESPONSE_BYTES
    session.close()
    server.stop(timeout=0)
