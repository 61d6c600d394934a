"""Guard against callers beyond the limits that end or block a node.

Nothing here depends on the machine's speed but that an ordinary request is
answered within 8 s.
"""

import gevent

from .common import BODY_BYTES, HEADER_BYTES, Target, head

CHUNKED = "Transfer-Encoding: chunked"
PIECE_BYTES = 65_536
SHORT_BYTES = 16
DESCRIPTOR_LIMIT = 256


def chunk(data):
    return b"%x\r\n" % len(data) + data + b"\r\n"


def test_whole_bodies_that_stop_short(tmp_path):
    request = head(f"Content-Length: {BODY_BYTES}") + bytes(BODY_BYTES - SHORT_BYTES)
    with Target(tmp_path) as target:
        target.attack(60, lambda sock: sock.sendall(request))
        target.assert_serves()


def test_bodies_in_pieces_that_stop_short(tmp_path):
    def send(sock):
        sock.sendall(head(f"Content-Length: {BODY_BYTES}"))
        for _ in range(BODY_BYTES // PIECE_BYTES - 1):
            sock.sendall(bytes(PIECE_BYTES))
            gevent.sleep(0.01)
        sock.sendall(bytes(PIECE_BYTES - SHORT_BYTES))

    with Target(tmp_path) as target:
        target.attack(60, send)
        target.assert_serves()


def test_bodies_announced_far_over_the_limit(tmp_path):
    request = head(f"Content-Length: {64 * BODY_BYTES}") + bytes(BODY_BYTES)
    with Target(tmp_path) as target:
        target.attack(60, lambda sock: sock.sendall(request))
        target.assert_serves()


def test_bodies_far_over_the_limit_that_are_not_announced(tmp_path):
    part = chunk(bytes(PIECE_BYTES))

    def send(sock):
        sock.sendall(head(CHUNKED))
        for _ in range(8 * BODY_BYTES // PIECE_BYTES):
            sock.sendall(part)

    with Target(tmp_path) as target:
        target.attack(60, send)
        target.assert_serves()


def test_large_chunks_that_stop_short(tmp_path):
    part = chunk(bytes(BODY_BYTES // 4))
    request = head(CHUNKED) + 3 * part + part[: -SHORT_BYTES - 2]
    with Target(tmp_path) as target:
        target.attack(60, lambda sock: sock.sendall(request))
        target.assert_serves()


def test_chunks_of_one_byte(tmp_path):
    request = head(CHUNKED) + 1_000_000 * chunk(b"x")
    with Target(tmp_path) as target:
        target.attack(60, lambda sock: sock.sendall(request))
        target.assert_serves()


def test_long_and_slow_heads(tmp_path):
    line = b"X-Long: " + b"x" * 1_000 + b"\r\n"
    most = head(method="GET")[:-2] + line * (HEADER_BYTES // len(line) - 1)

    def send_slowly(sock):
        sock.sendall(most)
        while True:
            sock.sendall(b"a:b\r\n")
            gevent.sleep(0.1)

    with Target(tmp_path) as target:
        target.senders += [
            gevent.spawn(target.send_hostile, lambda sock: sock.sendall(most * 100))
            for _ in range(60)
        ]
        target.attack(140, send_slowly)
        target.assert_serves()


def test_pipelined_requests(tmp_path):
    requests = 20_000 * head(target="/nowhere", method="GET")
    with Target(tmp_path) as target:
        target.attack(60, lambda sock: sock.sendall(requests))
        target.assert_serves()


def test_many_connections_of_one_address_without_a_request(tmp_path):
    with Target(tmp_path) as target:
        target.limit_descriptors(DESCRIPTOR_LIMIT)
        target.attack(400, lambda sock: None)
        target.assert_serves(max_descriptors=DESCRIPTOR_LIMIT)
