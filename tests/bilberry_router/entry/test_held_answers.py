"""Answers that wait for their callers count towards a node's memory."""

import socket

import pytest
from gevent.event import Event

from bilberry_router.entry import answer_memory
from bilberry_router.entry.answer_memory import AnswerMemory
from bilberry_router.entry.const import (
    MAX_ANSWER_BYTES,
    MAX_BUFFERED_BYTES,
    MAX_HELD_BYTES,
    SMALL_ANSWER_BYTES,
)

from .common import NAMES, Rig, eventually

LONG = b"x" * 8_000_000
SMALL = b"x" * 2_000
# Room for a long answer and its head, but not for a small one beside it.
LIMIT_BYTES = len(LONG) + len(SMALL) // 2
SMALL_BUFFER_BYTES = 8_192


def answer_with(body, status="200 OK"):
    lines = [
        f"HTTP/1.1 {status}",
        f"{NAMES.request_id}: r1",
        f"{NAMES.digest}: d",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def ask_and_leave_unread(rig):
    """Return a caller whose long answer waits for it at the node."""
    client = rig.client()
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    rig.upstreams[0].faults.script.append(answer_with(LONG))
    client.send("/read/x")
    eventually(lambda: not rig.upstreams[0].faults.script)
    eventually(lambda: rig.connections.answer_memory.held_bytes == len(LONG))
    return client


def ask_for(rig, body):
    rig.upstreams[0].faults.script.append(answer_with(body))
    return rig.ask("/book/x", method="POST", body=b"x").status


def test_unread_answers_leave_no_memory_for_other_long_ones(monkeypatch):
    """Guard against slow callers whose finished answers fill the memory."""
    monkeypatch.setattr(answer_memory, "MAX_BUFFERED_BYTES", LIMIT_BYTES)
    with Rig(count=1) as rig:
        slow = ask_and_leave_unread(rig)
        assert ask_for(rig, LONG) == 502
        assert ask_for(rig, SMALL) == 200
        slow.reset()
        eventually(lambda: rig.connections.answer_memory.held_bytes == 0)
        assert ask_for(rig, LONG) == 200


def test_no_answer_is_received_beyond_the_limit_of_all(monkeypatch):
    """Guard against small answers that are many."""
    monkeypatch.setattr(answer_memory, "MAX_HELD_BYTES", LIMIT_BYTES)
    with Rig(count=1) as rig:
        slow = ask_and_leave_unread(rig)
        assert ask_for(rig, SMALL) == 502
        slow.reset()
        eventually(lambda: rig.connections.answer_memory.held_bytes == 0)
        assert ask_for(rig, SMALL) == 200


def test_an_answer_that_waits_behind_another_is_counted():
    with Rig(count=1) as rig:
        client = rig.client()
        first = rig.hold()
        client.send("/read/x", request_id="r0")
        eventually(lambda: rig.ran)
        rig.upstreams[0].faults.hold = None
        rig.upstreams[0].faults.script.append(answer_with(SMALL))
        client.send("/read/y", request_id="r1")
        eventually(lambda: rig.connections.answer_memory.held_bytes == len(SMALL))
        first.set()
        assert client.answer().status == 200
        assert client.answer().body == SMALL
        assert rig.connections.answer_memory.held_bytes == 0


def test_an_upstreams_error_is_counted_while_another_is_tried():
    with Rig(count=2) as rig:
        trying = Event()
        first, second = rig.upstreams

        def hold(upstream):
            upstream.faults.script = []
            upstream.faults.hold = trying

        first.on_run = lambda served: hold(second)
        second.on_run = lambda served: hold(first)
        for upstream in rig.upstreams:
            upstream.faults.script = [answer_with(SMALL, "500 Server Error")]
        client = rig.client()
        client.send("/read/x")
        eventually(lambda: len(rig.ran) == 2)
        assert rig.connections.answer_memory.held_bytes == len(SMALL)
        trying.set()
        assert client.answer().status == 200
        eventually(lambda: rig.connections.answer_memory.held_bytes == 0)


@pytest.mark.parametrize(
    ("held", "answer", "has_room"),
    [
        (0, MAX_ANSWER_BYTES, True),
        (0, MAX_ANSWER_BYTES + 1, False),
        (MAX_BUFFERED_BYTES, MAX_ANSWER_BYTES, True),
        (MAX_BUFFERED_BYTES + 1, SMALL_ANSWER_BYTES + 1, False),
        (MAX_BUFFERED_BYTES + 1, SMALL_ANSWER_BYTES, True),
        (MAX_HELD_BYTES + 1, 1, False),
    ],
)
def test_room_depends_on_the_answer_and_on_all(held, answer, has_room):
    memory = AnswerMemory()
    memory.held_bytes = held
    assert memory.has_room(answer) is has_room
