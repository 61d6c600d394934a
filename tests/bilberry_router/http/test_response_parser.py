"""The parser never completes an answer that the upstream didn't send."""

import tracemalloc

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberry_router.http.const import (
    MAX_RESPONSE_HEAD_BYTES,
    MAX_SKIPPED_BODY_BYTES,
    MAX_SKIPPED_RESPONSES,
)
from bilberry_router.http.response_parser import ResponseParser

ID = "x-id"
PIECE = 4_096
STORED_BYTES = MAX_RESPONSE_HEAD_BYTES + 65_536

ENDLESS = {
    "head without line end": (b"HTTP/1.1 200 OK\r\nA: ", b"x" * PIECE),
    "header name": (b"HTTP/1.1 200 OK\r\n", b"x" * PIECE),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 600),
    "reason phrase": (b"HTTP/1.1 200 ", b"x" * PIECE),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 200),
    "answers to another request": (
        b"",
        b"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n" * 80,
    ),
    "body of another request": (
        b"HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n",
        b"x" * 65_536,
    ),
    "chunk extensions": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=",
        b"x" * PIECE,
    ),
    "trailers": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ",
        b"x" * PIECE,
    ),
    "no HTTP": (b"", b"x" * PIECE),
}


def parser_for(method="GET"):
    return ResponseParser(method, ID, "r1", ends_with_connection=True)


def stored_bytes(parser):
    return len(parser.body) + sum(
        len(name) + len(value) for name, value in parser.headers
    )


@pytest.mark.parametrize("size", [1, PIECE, 65_536])
@pytest.mark.parametrize("name", sorted(ENDLESS))
def test_bytes_without_end_are_soon_an_error(name, size):
    begin, more = ENDLESS[name]
    parser = parser_for()
    parser.feed(begin)
    fed = 0
    limit = MAX_RESPONSE_HEAD_BYTES + MAX_SKIPPED_BODY_BYTES + 2 * 65_536
    if size == 1 and name == "body of another request":
        size = 65_536
    while not parser.error and fed < limit:
        for start in range(0, len(more), size):
            parser.feed(more[start : start + size])
            fed += len(more[start : start + size])
            if parser.error:
                break
    assert parser.error
    assert not parser.is_complete
    assert stored_bytes(parser) <= STORED_BYTES
    if name != "body of another request":
        assert fed <= STORED_BYTES


def test_small_chunks_are_no_error():
    parser = parser_for()
    parser.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    parser.feed(b"1\r\nx\r\n" * 40_000)
    parser.feed(b"0\r\n\r\n")
    assert parser.is_complete
    assert not parser.error
    assert parser.pop_body() == b"x" * 40_000


@pytest.mark.parametrize(
    "stale",
    [
        b"HTTP/1.1 204 No Content\r\nX-Id: r0\r\n\r\n",
        b"HTTP/1.1 304 Not Modified\r\nX-Id: r0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 3\r\n\r\nold",
        b"HTTP/1.1 200 OK\r\nX-Id: r0\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nold\r\n0\r\n\r\n",
    ],
)
def test_a_late_second_copy_is_skipped(stale):
    parser = parser_for()
    parser.feed(stale + b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 3\r\n\r\nnew")
    assert parser.is_complete
    assert parser.status == 200
    assert parser.pop_body() == b"new"


def test_a_late_copy_that_ends_with_its_connection_is_no_answer():
    parser = parser_for()
    parser.feed(b"HTTP/1.1 200 OK\r\nX-Id: r0\r\n\r\nold")
    parser.feed_eof()
    assert not parser.is_complete


def test_bytes_after_an_answer_change_nothing_of_it():
    parser = parser_for()
    answer = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok"
    parser.feed(answer + b"HTTP/1.1 503 Busy\r\nA: b\r\nContent-Length: 1\r\n\r\n!")
    assert (parser.status, parser.reason) == (200, "OK")
    assert parser.first("a") is None
    assert parser.pop_body() == b"ok"
    assert not parser.is_reusable


def test_a_late_copy_of_a_head_answer_is_no_answer():
    parser = parser_for("HEAD")
    parser.feed(b"HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 3\r\n\r\n")
    assert parser.error
    assert not parser.is_complete


def test_many_answers_to_other_requests_are_an_error():
    parser = parser_for()
    stale = b"HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 0\r\n\r\n"
    parser.feed(stale * MAX_SKIPPED_RESPONSES)
    assert not parser.error
    parser.feed(stale)
    assert parser.error


FRAGMENTS = st.sampled_from(
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 204 N\r\n",
        b"HTTP/1.1 100 C\r\n\r\n",
        b"HTTP/1.0 503 S\r\n",
        b"X-Id: r1\r\n",
        b"X-Id: r0\r\n",
        b"Content-Length: 3\r\n",
        b"Content-Length: 99999999999999999999\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Connection: close\r\n",
        b"\r\n",
        b"abc",
        b"3\r\nabc\r\n",
        b"0\r\n\r\n",
        b"\n",
        b"\x00\xff",
    ]
)
STREAMS = st.one_of(
    st.binary(max_size=400), st.lists(FRAGMENTS, max_size=24).map(b"".join)
)


@settings(max_examples=400, derandomize=True, deadline=None)
@given(
    STREAMS, st.lists(st.integers(1, 40), max_size=60), st.sampled_from(["GET", "HEAD"])
)
def test_any_bytes_in_any_pieces_give_nothing_that_was_not_sent(stream, cuts, method):
    parser = parser_for(method)
    start = 0
    for size in [*cuts, len(stream) + 1]:
        piece = stream[start : start + size]
        if piece:
            parser.feed(piece)
        start += size
    parser.feed_eof()
    body = parser.pop_body()
    if parser.is_complete:
        assert stream.startswith(b"HTTP/1.") or b"HTTP/1." in stream
        assert parser.first(ID) in (None, "r1")
        assert parser.chunk_count or body in stream
    assert len(body) <= len(stream)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.binary(max_size=600), st.lists(st.integers(1, 30), max_size=60))
def test_a_valid_answer_is_whole_in_any_pieces(body, cuts):
    head = f"HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: {len(body)}\r\n\r\n"
    stream = head.encode() + body
    parser = parser_for()
    start = 0
    received = b""
    for size in [*cuts, len(stream) + 1]:
        assert not parser.is_complete or start >= len(stream)
        piece = stream[start : start + size]
        if piece:
            parser.feed(piece)
        received += parser.pop_body()
        start += size
    assert parser.is_complete
    assert received == body


def test_a_body_in_tiny_chunks_takes_no_more_memory_than_its_bytes():
    """Guard against a kept object for each chunk of an endless answer."""
    parser = ResponseParser("GET")
    parser.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    data = b"2\r\nab\r\n" * 9_000
    tracemalloc.start()
    for _ in range(16):
        parser.feed(data)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert not parser.error
    assert held_bytes < 16 * len(data)
    assert len(parser.pop_body()) == 16 * 9_000 * 2
