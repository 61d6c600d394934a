"""A response that is cut short is never taken for a whole one."""

import socket
import struct

import pytest
from gevent.server import StreamServer

from bilberry_core.outcome import Failure
from bilberry_store.http import CallFailure, HttpSession

HALF = b'HTTP/1.1 200 OK\r\n\r\n{"half":'
LONG_BODY = b"x" * 30_000_000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@pytest.mark.parametrize("method", ["PUT", "POST"])
def test_half_a_response_is_not_whole_when_the_request_could_not_be_sent(method):
    """Guard against a reset that only the send tells of."""

    def serve(sock, address):
        sock.recv(1_000)
        sock.sendall(HALF)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        sock.close()

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    session = HttpSession(f"127.0.0.1:{server.server_port}")
    called = session.write(method, "/objects/a", LONG_BODY, timeout_ms=20_000)
    assert isinstance(called, Failure)
    assert called.failure().failure is CallFailure.MAYBE_SENT
    session.close()
    server.stop(timeout=0)
