"""Bodies of requests in progress count towards a node's memory."""

import gevent
import pytest

from bilberry_core.clock import ManualClock
from bilberry_resources.routing import CallerLimits
from bilberry_router.entry.connections import ConnectionPool
from bilberry_router.entry.const import (
    BODY_PART_BYTES,
    BODY_TIMEOUT_MS,
    DEFAULT_MEMORY_BYTES,
    MAX_HELD_BYTES,
    MAX_PROCESS_BYTES,
    SMALL_BODIES_BYTES,
    SMALL_BODY_BYTES,
)
from bilberry_router.entry.forwarder import Forwarder
from bilberry_router.entry.request_body import BodyParts, read_body
from bilberry_router.entry.request_memory import HeldBody, RequestMemory
from bilberry_router.http.body import BodyReader
from bilberry_router.http.connection import Connection
from bilberry_router.http.head import RequestHead

from .common import Rig, eventually

LONG = b"x" * 200_000
SMALL = b"x" * 2_000
CHUNKED = ("Transfer-Encoding: chunked",)
CLOSE = ("Connection: close",)
MAX_BODY_BYTES = 67_108_864


def limit_to(rig, long_bodies):
    """Leave room for so many long bodies, beside small ones."""
    memory = rig.listener.request_memory
    memory.limit_bytes = long_bodies * len(LONG) + SMALL_BODIES_BYTES
    return memory


def post(rig, body=LONG, request_id="r1", headers=()):
    client = rig.client()
    client.send("/book/x", "POST", request_id, body, headers)
    return client


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def post_chunks(rig, count):
    client = post(rig, b"", "chunked", CHUNKED)
    for _ in range(count):
        client.sock.sendall(chunk(LONG))
    return client


def announce(rig, byte_count, request_id="r0"):
    headers = (f"Content-Length: {byte_count}",)
    return post(rig, b"", request_id, headers)


def assert_refused(answer):
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert answer.headers["connection"] == "close"


def ids(rig):
    return [served.request_id for served in rig.ran]


def test_bodies_that_are_not_held_are_refused_and_have_not_run():
    """Guard against long bodies that take a node over its memory."""
    with Rig(count=1, slots=8) as rig:
        memory = limit_to(rig, 2)
        release = rig.hold()
        held = [post(rig, request_id=f"r{index}") for index in range(2)]
        eventually(lambda: len(rig.ran) == 2)
        assert memory.held_bytes == 2 * len(LONG)
        refused = post(rig, request_id="refused")
        assert_refused(refused.answer())
        assert refused.answer() is None
        small = post(rig, SMALL, "small")
        eventually(lambda: "small" in ids(rig))
        release.set()
        answers = [client.answer() for client in (*held, small)]
        assert {answer.status for answer in answers} == {200}
        eventually(lambda: memory.held_bytes == 0)
        assert post(rig, request_id="later").answer().status == 200
        assert "refused" not in ids(rig)
        assert memory.refused_count == 1


def test_a_body_counts_from_its_head():
    """Guard against bodies that are accepted together and fit one by one."""
    with Rig(count=1) as rig:
        memory = limit_to(rig, 1)
        slow = announce(rig, len(LONG))
        eventually(lambda: memory.held_bytes == len(LONG))
        assert_refused(post(rig).answer())
        slow.sock.sendall(LONG)
        assert slow.answer().status == 200
        assert ids(rig) == ["r0"]
        assert rig.ran[0].body == LONG


def test_an_expected_continue_is_refused_before_the_body_is_sent():
    with Rig(count=1) as rig:
        limit_to(rig, 0)
        headers = (f"Content-Length: {len(LONG)}", "Expect: 100-continue")
        assert_refused(post(rig, b"", headers=headers).answer())
        assert rig.ran == []


def test_a_caller_that_sends_the_whole_body_first_gets_the_refusal():
    """Guard against a reset that cuts the refusal of a long body."""
    with Rig(count=1) as rig:
        limit_to(rig, 0)
        client = post(rig, b"x" * 12_000_000)
        assert_refused(client.answer())
        assert rig.ran == []


def test_a_body_in_chunks_is_refused_once_it_does_not_fit():
    with Rig(count=1) as rig:
        memory = limit_to(rig, 2)
        assert_refused(post_chunks(rig, 3).answer())
        eventually(lambda: memory.held_bytes == 0)
        assert rig.ran == []
        client = post_chunks(rig, 2)
        client.sock.sendall(b"0\r\n\r\n")
        assert client.answer().status == 200
        assert rig.ran[0].body == LONG + LONG
        eventually(lambda: memory.held_bytes == 0)


def test_a_refusal_follows_the_answers_of_earlier_requests():
    with Rig(count=1, slots=8) as rig:
        limit_to(rig, 0)
        release = rig.hold()
        client = rig.client()
        client.send("/read/x", request_id="first")
        client.send("/read/x", "POST", "second", LONG)
        eventually(lambda: rig.ran)
        gevent.sleep(0.02)
        release.set()
        assert client.answer().status == 200
        assert_refused(client.answer())
        assert ids(rig) == ["first"]


def test_nothing_is_refused_behind_a_closing_answer():
    with Rig(count=1) as rig:
        limit_to(rig, 0)
        client = rig.client()
        client.send("/read/x", request_id="first", headers=CLOSE)
        client.send("/book/x", "POST", "second", LONG)
        assert client.answer().status == 200
        assert client.answer() is None


def test_callers_that_leave_give_their_memory_back():
    with Rig(count=1) as rig:
        memory = limit_to(rig, 2)
        rig.hold()
        unsent, unanswered = announce(rig, len(LONG)), post(rig)
        eventually(lambda: rig.ran)
        assert memory.held_bytes == 2 * len(LONG)
        unsent.reset()
        unanswered.reset()
        eventually(lambda: memory.held_bytes == 0)


def test_a_closed_listener_holds_nothing():
    with Rig(count=1) as rig:
        memory = limit_to(rig, 1)
        unsent = announce(rig, len(LONG))
        eventually(lambda: memory.held_bytes == len(LONG))
        rig.listener.close()
        eventually(lambda: memory.held_bytes == 0)
        unsent.sock.close()


class SlowSocket:
    """Deliver a small part of a body each second of a manual clock."""

    def __init__(self, clock):
        self.clock = clock

    def settimeout(self, timeout_s):
        pass

    def recv(self, size):
        self.clock.advance(1_000)
        return SMALL


@pytest.mark.parametrize(
    ("refused_count", "body_bytes"),
    [
        (0, len(LONG)),
        (1, len(LONG)),
        (1, SMALL_BODY_BYTES),
    ],
)
def test_a_slow_long_body_ends_once_others_were_refused(refused_count, body_bytes):
    """Guard against callers that announce much and send little at a time."""
    clock = ManualClock()
    head = RequestHead("POST", "/", 1, [], content_length=body_bytes)
    connection = Connection(SlowSocket(clock), clock)
    reader = BodyReader(
        connection, head, limit_bytes=MAX_BODY_BYTES, timeout_ms=BODY_TIMEOUT_MS
    )
    memory = RequestMemory()
    held = HeldBody(memory)
    memory.refused_count += refused_count
    started_ms = clock.now_ms()
    body = read_body(reader, held)
    took_ms = clock.now_ms() - started_ms
    if refused_count and body_bytes > SMALL_BODY_BYTES:
        assert body is None
        assert took_ms == BODY_TIMEOUT_MS + 1_000
    else:
        assert body == b"x" * body_bytes


def test_draining_answers_a_body_that_arrives_and_one_that_does_not_fit():
    with Rig(count=1) as rig:
        limit_to(rig, 1)
        held = announce(rig, len(LONG))
        eventually(lambda: rig.listener.request_memory.held_bytes)
        rig.listener.start_draining()
        assert_refused(post(rig).answer())
        held.sock.sendall(LONG)
        answer = held.answer()
        assert (answer.status, answer.headers["connection"]) == (200, "close")
        assert rig.listener.wait_until_idle(1_000)


def test_a_body_is_sent_without_a_copy(monkeypatch):
    """Guard against a second copy of each body until its answer."""
    requests, attempts = [], []
    handle, exchange = Forwarder.handle, ConnectionPool.exchange

    def record_request(forwarder, request):
        requests.append(request.body)
        return handle(forwarder, request)

    def record_attempt(pool, address, attempt):
        attempts.append(attempt)
        return exchange(pool, address, attempt)

    monkeypatch.setattr(Forwarder, "handle", record_request)
    monkeypatch.setattr(ConnectionPool, "exchange", record_attempt)
    with Rig(count=1) as rig:
        assert post(rig).answer().status == 200
        assert rig.ran[0].body == LONG
    (body,), (attempt,) = requests, attempts
    assert attempt.body is body
    assert attempt.byte_count == len(attempt.head) + len(LONG)
    assert len(attempt.head) < len(SMALL)


def test_a_long_body_is_repeated_whole():
    with Rig(count=2) as rig:
        first, second = rig.upstreams

        def answer_normally(served):
            for upstream in rig.upstreams:
                upstream.faults.script = []

        first.on_run = second.on_run = answer_normally
        for upstream in rig.upstreams:
            upstream.faults.script = [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"]
        client = rig.client()
        client.send("/any/x", "POST", "r1", LONG)
        client.answer()
        assert {served.body for served in rig.ran} == {LONG}


@pytest.mark.parametrize("memory_bytes", [200_000_000, 300_000_000, 552_000_000])
def test_the_bound_leaves_memory_for_the_process_and_for_answers(memory_bytes):
    memory = RequestMemory()
    memory.set_limit(memory_bytes)
    others = MAX_PROCESS_BYTES + MAX_HELD_BYTES
    assert memory.limit_bytes + others == memory_bytes
    assert HeldBody(memory).try_add(MAX_BODY_BYTES)


def test_the_bound_without_a_known_limit_is_that_of_the_default():
    memory = RequestMemory()
    expected = DEFAULT_MEMORY_BYTES - MAX_PROCESS_BYTES - MAX_HELD_BYTES
    assert memory.limit_bytes == expected
    memory.set_limit(1)
    assert HeldBody(memory).try_add(SMALL_BODY_BYTES)


def test_the_largest_body_of_the_default_limits_always_fits_at_first():
    memory = RequestMemory()
    assert HeldBody(memory).try_add(CallerLimits().max_body_bytes)


@pytest.mark.parametrize(
    ("held", "body", "fits"),
    [
        (0, 1_000_000, True),
        (0, 1_000_001, False),
        (1_000_000, SMALL_BODY_BYTES + 1, False),
        (1_000_000, SMALL_BODY_BYTES, True),
        (1_000_000 + SMALL_BODIES_BYTES - 1, 1, True),
        (1_000_000 + SMALL_BODIES_BYTES, 1, False),
    ],
)
def test_room_depends_on_the_body_and_on_all(held, body, fits):
    memory = RequestMemory()
    memory.limit_bytes = 1_000_000 + SMALL_BODIES_BYTES
    memory.held_bytes = held
    body_held = HeldBody(memory)
    assert body_held.try_add(body) is fits
    assert memory.held_bytes == held + fits * body
    body_held.release()
    body_held.release()
    assert memory.held_bytes == held


@pytest.mark.parametrize(
    ("memory_bytes", "soft_limit_bytes"),
    [(200_000_000, 36_000_000), (300_000_000, 86_000_000), (1, SMALL_BODIES_BYTES)],
)
def test_several_long_bodies_take_half_of_the_memory_with_the_process(
    memory_bytes, soft_limit_bytes
):
    """Guard against long bodies that leave little of the machine's memory."""
    memory = RequestMemory()
    memory.set_limit(memory_bytes)
    assert memory.soft_limit_bytes == soft_limit_bytes


def test_one_long_body_may_pass_the_aim_and_a_second_one_not():
    memory = RequestMemory()
    first, second, small = (HeldBody(memory) for _ in range(3))
    assert first.try_add(MAX_BODY_BYTES)
    assert not second.try_add(SMALL_BODY_BYTES + 1)
    assert small.try_add(SMALL_BODY_BYTES)
    first.release()
    assert second.try_add(MAX_BODY_BYTES)


def test_bodies_that_grow_beside_each_other_end_at_the_aim():
    """Guard against chunked bodies that are each the only long one first."""
    memory = RequestMemory()
    bodies = [HeldBody(memory) for _ in range(4)]
    while [body for body in bodies if body.try_add(SMALL_BODY_BYTES)]:
        pass
    assert memory.held_bytes <= memory.soft_limit_bytes


def test_parts_of_a_body_are_released_while_they_are_joined():
    """Guard against a body that takes its memory twice when it is whole."""
    parts = BodyParts()
    data = [bytes([index]) * (BODY_PART_BYTES // 3 + 1) for index in range(20)]
    assert [parts.add(part) for part in data] == [len(part) for part in data]
    assert all(len(part) < 2 * BODY_PART_BYTES for part in parts.parts)
    assert len(parts.parts) <= 7
    assert parts.join() == b"".join(data)
    assert parts.parts == []
    assert BodyParts().join() == b""
