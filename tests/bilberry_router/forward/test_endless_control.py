"""Control calls end at a response without end, and keep little of it."""

import gevent
import gevent.event
import pytest
from gevent.server import StreamServer

from bilberry_core.clock import SystemClock
from bilberry_core.outcome import Failure
from bilberry_router.forward.const import MAX_CONTROL_RESPONSE_BYTES
from bilberry_router.forward.control import ControlClient

CHUNK = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n"
ENDLESS = {
    "chunked body": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "long body": (HEAD + b"Content-Length: 9000000000\r\n\r\n", b"x" * 65_536),
    "header lines": (HEAD, b"A: b\r\n" * 10_000),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000),
}


@pytest.mark.parametrize("name", sorted(ENDLESS))
def test_a_control_call_gives_up_a_response_without_end(name):
    """Guard against a health or peer response that fills the memory."""
    begin, more = ENDLESS[name]
    sent_bytes = 0
    ended = gevent.event.Event()

    def serve(sock, address):
        nonlocal sent_bytes
        try:
            sock.recv(65_536)
            sock.sendall(begin)
            while sent_bytes < 100 * MAX_CONTROL_RESPONSE_BYTES:
                sock.sendall(more)
                sent_bytes += len(more)
                gevent.sleep(0)
        except OSError:
            ended.set()

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    client = ControlClient(f"127.0.0.1:{server.server_port}", 1, SystemClock())
    with gevent.Timeout(20, AssertionError("not given up")):
        called = client.call("GET", "/health", 60_000)
        ended.wait()
    assert isinstance(called, Failure)
    assert "too large" in called.failure().reason
    client.close()
    server.stop(timeout=0)
