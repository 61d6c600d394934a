"""Chunked bodies are decoded in batches, whatever the pieces they come in."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bilberry_router.http.chunks import ChunkDecoder, ChunkError
from bilberry_router.http.const import (
    MAX_CHUNK_LINE_BYTES,
    MAX_CHUNKS_PER_CALL,
    MAX_EXTENSION_BYTES,
    MAX_TRAILER_BYTES,
    MAX_TRAILER_LINES,
)

LIMIT = 65_536
REST = b"GET / HTTP/1.1\r\n"


def encode(parts, extension=b"", trailers=b""):
    lines = [b"%X%s\r\n%s\r\n" % (len(part), extension, part) for part in parts]
    return b"".join(lines) + b"0\r\n" + trailers + b"\r\n"


def decode_pieces(pieces, limit=LIMIT):
    """Return the body and what is left of the buffer."""
    decoder, buffer, body = ChunkDecoder(), bytearray(), b""
    for piece in pieces:
        buffer += piece
        while not decoder.is_complete:
            data = decoder.decode(buffer, limit)
            assert len(data) <= limit
            if not data:
                break
            body += data
    assert decoder.is_complete
    return body, bytes(buffer)


@given(
    st.lists(st.binary(min_size=1, max_size=40), max_size=20),
    st.sampled_from([b"", b" ", b";a=b", b'\t;q="x"']),
    st.sampled_from([b"", b"A: b\r\n", b"A:\r\nB: c\r\n"]),
    st.lists(st.integers(1, 200), max_size=10),
    st.sampled_from([1, 7, LIMIT]),
)
def test_any_pieces_give_the_same_body(parts, extension, trailers, cuts, limit):
    stream = encode(parts, extension, trailers) + REST
    pieces, start = [], 0
    for cut in cuts:
        pieces.append(stream[start : start + cut])
        start += cut
    pieces.append(stream[start:])
    assert decode_pieces(pieces, limit) == (b"".join(parts), REST)


def test_byte_by_byte():
    stream = encode([b"abc", b"d" * 20], b";x=1", b"A: b\r\n")
    pieces = [stream[index : index + 1] for index in range(len(stream))]
    assert decode_pieces(pieces) == (b"abc" + b"d" * 20, b"")


def test_one_call_decodes_a_bounded_number_of_chunks():
    """Guard against a parse of endless small chunks without a pause."""
    decoder, buffer = ChunkDecoder(), bytearray(b"1\r\nx\r\n" * 20_000)
    assert decoder.decode(buffer, LIMIT)
    assert decoder.chunk_count == MAX_CHUNKS_PER_CALL


MALFORMED = {
    "no size": b"\r\n",
    "size of other digits": b"g\r\n",
    "negative size": b"-1\r\n",
    "size with prefix": b"0x1\r\n",
    "space before the size": b" 1\r\nx\r\n",
    "size of too many digits": b"0" * 16 + b"1\r\nx\r\n",
    "control character in an extension": b"1;a=\x01\r\nx\r\n",
    "line end of one character": b"1\nx\r\n0\r\n\r\n\r\n",
    "carriage return in a line": b"1;\rx\r\nx\r\n",
    "chunk that passes its size": b"1\r\nxy\r\n",
    "long line": b"1;" + b"a" * MAX_CHUNK_LINE_BYTES + b"\r\nx\r\n",
    "endless line": b"1;" + b"a" * MAX_CHUNK_LINE_BYTES,
    "trailer without a colon": b"0\r\nA\r\n\r\n",
    "trailer with a space": b"0\r\nA : b\r\n\r\n",
    "endless trailer": b"0\r\nA: " + b"a" * MAX_CHUNK_LINE_BYTES,
    "large trailers": b"0\r\n" + (b"A:" + b"a" * 1_000 + b"\r\n") * 9,
    "many trailers": b"0\r\n" + b"A:\r\n" * (MAX_TRAILER_LINES + 1),
}


@pytest.mark.parametrize("stream", MALFORMED.values(), ids=MALFORMED)
def test_malformed_framing_is_refused(stream):
    decoder, buffer = ChunkDecoder(), bytearray(stream)
    with pytest.raises(ChunkError):
        while decoder.decode(buffer, LIMIT):
            pass


def test_extensions_of_one_body_are_bounded():
    """Guard against framing that takes more work than the body."""
    decoder = ChunkDecoder()
    extension = b";" + b"a" * 999
    fitting = MAX_EXTENSION_BYTES // len(extension)
    buffer = bytearray(b"1%s\r\nx\r\n" % extension * fitting)
    while buffer:
        assert decoder.decode(buffer, LIMIT)
    buffer += b"1;\r\nx\r\n"
    with pytest.raises(ChunkError):
        decoder.decode(buffer, LIMIT)


def test_trailers_up_to_the_limits_are_read():
    line = b"A:" + b"a" * (MAX_TRAILER_BYTES // MAX_TRAILER_LINES - 2) + b"\r\n"
    stream = encode([b"x"], trailers=line * (MAX_TRAILER_LINES - 1))
    assert decode_pieces([stream]) == (b"x", b"")
