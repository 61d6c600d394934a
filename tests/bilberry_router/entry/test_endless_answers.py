"""Bytes without end cost an upstream its connection, and the node little."""

import gevent
import pytest

from bilberry_router.entry.const import MAX_ANSWER_BYTES, SMALL_ANSWER_BYTES

from .common import NAMES, Rig, config, eventually, route

OK = f"HTTP/1.1 200 OK\r\n{NAMES.request_id}: r1\r\n{NAMES.digest}: d\r\n".encode()
ENDLESS = {
    "head without line end": (b"HTTP/1.1 200 OK\r\nA: ", b"x" * 4_096),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 600),
    "reason phrase": (b"HTTP/1.1 200 ", b"x" * 4_096),
    "chunk extensions": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n5;a=",
        b"x" * 4_096,
    ),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 200),
    "body without length": (OK + b"\r\n", b"x" * 65_536),
    "chunked body": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + b"x" * 65_536 + b"\r\n",
    ),
    "no HTTP": (b"", b"x" * 4_096),
}
LONG = config(2, (route("book", "/book/", idempotent=False, timeout_ms=60_000),))


class EndlessUpstream:
    """Answer each request with bytes that never end."""

    def __init__(self, rig, begin, more, pause_s=0.0):
        self.begin = begin
        self.more = more
        self.pause_s = pause_s
        self.sent = 0
        self.open = 0
        rig.upstreams[0].server.set_handle(self.serve)

    def serve(self, sock, address):
        self.open += 1
        try:
            sock.recv(65_536)
            sock.sendall(self.begin)
            while True:
                sock.sendall(self.more)
                self.sent += len(self.more)
                gevent.sleep(self.pause_s)
        except OSError:
            return
        finally:
            self.open -= 1
            sock.close()


@pytest.mark.parametrize("name", sorted(ENDLESS))
def test_the_caller_is_answered_and_the_connection_closed(name):
    with Rig(count=1) as rig:
        rig.state.install(LONG)
        endless = EndlessUpstream(rig, *ENDLESS[name])
        with gevent.Timeout(20, AssertionError("not answered")):
            answer = rig.ask("/book/x", method="POST", body=b"x")
        assert answer.status == 502
        assert "retry-after" not in answer.headers
        eventually(lambda: endless.open == 0)
        assert rig.connections.answer_memory.held_bytes == 0


def test_drips_end_at_the_routes_timeout():
    with Rig(count=1) as rig:
        endless = EndlessUpstream(rig, OK, b"A: b\r\n", pause_s=0.02)
        assert rig.ask("/short/x").status == 504
        eventually(lambda: endless.open == 0)


def test_bytes_after_the_body_are_not_read():
    with Rig(count=1) as rig:
        endless = EndlessUpstream(
            rig, OK + b"Content-Length: 2\r\n\r\nok", b"x" * 65_536
        )
        assert rig.ask("/read/x").body == b"ok"
        eventually(lambda: endless.open == 0)


def test_all_answers_together_take_bounded_memory(monkeypatch):
    limit = 4 * SMALL_ANSWER_BYTES
    monkeypatch.setattr("bilberry_router.entry.answer_memory.MAX_BUFFERED_BYTES", limit)
    count = 8
    most = []
    with Rig(count=1, slots=count) as rig:
        rig.state.install(LONG)
        EndlessUpstream(rig, OK + b"\r\n", b"x" * 65_536, pause_s=0.002)
        clients = [rig.client() for _ in range(count)]
        for client in clients:
            client.send("/book/x", method="POST", body=b"x")
        waiting = gevent.spawn(lambda: [client.answer() for client in clients])
        while not waiting.ready():
            most.append(rig.connections.answer_memory.held_bytes)
            gevent.sleep(0.001)
        assert {answer.status for answer in waiting.value} == {502}
    assert max(most) < limit + count * (SMALL_ANSWER_BYTES + 65_536)
    assert limit + count * SMALL_ANSWER_BYTES < MAX_ANSWER_BYTES


def test_small_answers_are_received_beside_endless_ones(monkeypatch):
    monkeypatch.setattr("bilberry_router.entry.answer_memory.MAX_BUFFERED_BYTES", 0)
    with Rig(count=1) as rig:
        assert rig.ask("/read/x").status == 200
