"""A peer that sends without a pause doesn't keep other greenlets waiting."""

import gevent
import pytest

from bilberry_core.clock import ManualClock
from bilberry_router.http.body import BodyReader
from bilberry_router.http.connection import Connection
from bilberry_router.http.const import (
    HEAD_RECV_BYTES,
    ITEM_WORK_BYTES,
    RECV_BYTES,
    WORK_BUDGET_BYTES,
)
from bilberry_router.http.head import RequestHead
from bilberry_router.http.head_reader import read_head
from bilberry_router.http.upstream_socket import UpstreamSocket
from bilberry_router.http.work_budget import WorkBudget

BODY_BYTES = 4_000_000


class EndlessSocket:
    """Deliver copies of a pattern, without ever blocking."""

    def __init__(self, pattern):
        self.pattern = pattern
        self.received_bytes = 0

    def settimeout(self, timeout_s):
        pass

    def shutdown(self, how):
        pass

    def fileno(self):
        return -1

    def recv(self, size):
        start = self.received_bytes % len(self.pattern)
        self.received_bytes += size
        copies = self.pattern * (size // len(self.pattern) + 2)
        return copies[start : start + size]


class Neighbour:
    """Record the work done between the turns of another greenlet."""

    def __init__(self, count_work):
        self.count_work = count_work
        self.longest = 0
        self.turns = 0
        self.task = gevent.spawn(self.run)

    def run(self):
        before = self.count_work()
        while True:
            gevent.sleep(0)
            work = self.count_work()
            self.longest = max(self.longest, work - before)
            self.turns += 1
            before = work


@pytest.fixture
def neighbour():
    started = []

    def start(count_work):
        started.append(Neighbour(count_work))
        gevent.sleep(0)
        return started[0]

    yield start
    gevent.killall([neighbour.task for neighbour in started])


def connect(pattern):
    return Connection(EndlessSocket(pattern), ManualClock())


def reader_of(connection, **framing):
    head = RequestHead("POST", "/", 1, [], **framing)
    return BodyReader(connection, head, limit_bytes=4 * BODY_BYTES, timeout_ms=1_000)


def test_turns_end_after_a_bounded_amount_of_work(monkeypatch):
    pauses = []
    monkeypatch.setattr(gevent, "sleep", pauses.append)
    budget = WorkBudget()
    budget.consume(WORK_BUDGET_BYTES - 1)
    budget.yield_if_exhausted()
    assert pauses == []
    budget.consume(1)
    budget.yield_if_exhausted()
    budget.yield_if_exhausted()
    assert pauses == [0]
    budget.consume(0, WORK_BUDGET_BYTES // ITEM_WORK_BYTES - 1)
    budget.yield_if_exhausted()
    assert pauses == [0]
    budget.consume(0, 1)
    budget.yield_if_exhausted()
    assert pauses == [0, 0]


@pytest.mark.parametrize(
    "pattern", [b"1\r\nx\r\n", b"4000\r\n" + b"x" * 16_384 + b"\r\n"]
)
def test_chunks_yield(pattern, neighbour):
    """Guard against chunks that block all other callers."""
    connection = connect(pattern)
    reader = reader_of(connection, chunked=True)
    other = neighbour(lambda: reader.received_bytes)
    for _ in range(200):
        assert reader.read_some()
    assert other.turns > 1
    chunks_of_turn = WORK_BUDGET_BYTES // ITEM_WORK_BYTES
    small = pattern.startswith(b"1")
    bound = 2 * chunks_of_turn if small else WORK_BUDGET_BYTES + 2 * RECV_BYTES
    assert other.longest <= bound


def test_chunk_framing_without_data_yields(neighbour):
    """Guard against trailers and extensions that block all other callers."""
    connection = connect(b"1;" + b"a" * 1_000 + b"\r\nx\r\n")
    reader = reader_of(connection, chunked=True)
    other = neighbour(lambda: connection.sock.received_bytes)
    for _ in range(10):
        assert reader.read_some()
    assert other.longest <= WORK_BUDGET_BYTES + RECV_BYTES


def test_a_body_of_known_length_yields(neighbour):
    connection = connect(b"x" * RECV_BYTES)
    reader = reader_of(connection, content_length=BODY_BYTES)
    other = neighbour(lambda: reader.received_bytes)
    assert reader.read() == b"x" * BODY_BYTES
    assert other.turns > 1
    assert other.longest <= WORK_BUDGET_BYTES + RECV_BYTES


def test_pipelined_heads_yield(neighbour):
    """Guard against many header lines that block all other callers."""
    lines = b"GET / HTTP/1.1\r\nHost: h\r\n" + b"a:\r\n" * 500 + b"\r\n"
    connection = connect(lines)
    heads = 0
    other = neighbour(lambda: heads)
    for _ in range(50):
        read_head(connection, HEAD_RECV_BYTES, 1_000)
        heads += 1
    assert other.longest <= 2 * WORK_BUDGET_BYTES // (ITEM_WORK_BYTES * 500)


def test_discarded_input_yields(neighbour):
    connection = connect(b"x")
    other = neighbour(lambda: connection.sock.received_bytes)
    connection.linger(1_000, 100 * RECV_BYTES)
    assert other.turns > 1
    assert other.longest <= WORK_BUDGET_BYTES + RECV_BYTES


def test_an_upstream_that_sends_without_a_pause_yields(neighbour):
    upstream = UpstreamSocket("127.0.0.1:1")
    upstream.sock.close()
    upstream.sock = EndlessSocket(b"x")
    other = neighbour(lambda: upstream.sock.received_bytes)
    for _ in range(100):
        upstream.receive(1_000)
    assert other.turns > 1
    assert other.longest <= WORK_BUDGET_BYTES + RECV_BYTES


class DrippingSocket(EndlessSocket):
    """Deliver one byte each second of a manual clock."""

    def __init__(self, pattern, clock):
        super().__init__(pattern)
        self.clock = clock

    def recv(self, size):
        self.clock.advance(1_000)
        return super().recv(1)


def test_a_slow_head_ends_at_the_timeout_of_the_whole():
    """Guard against a head that each further byte gives more time."""
    clock = ManualClock()
    connection = Connection(DrippingSocket(b"G", clock), clock)
    started_ms = clock.now_ms()
    refused = read_head(connection, HEAD_RECV_BYTES, 3_000)
    assert refused.failure().status == 408
    assert clock.now_ms() - started_ms == 3_000


def test_a_waiting_connection_holds_few_bytes_of_later_requests():
    """Guard against read buffers that take memory beside the bodies."""
    connection = connect(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    for _ in range(1_000):
        read_head(connection, HEAD_RECV_BYTES, 1_000).unwrap()
        assert len(connection.buffer) <= HEAD_RECV_BYTES


def test_a_connection_that_waits_for_its_turn_holds_no_bytes(monkeypatch):
    """Guard against bytes that are read and not counted by many at once."""
    connection = connect(b"x" * RECV_BYTES)
    reader = reader_of(connection, content_length=BODY_BYTES)
    buffered = []
    monkeypatch.setattr(
        gevent, "sleep", lambda s: buffered.append(len(connection.buffer))
    )
    reader.read()
    assert buffered
    assert not any(buffered)
