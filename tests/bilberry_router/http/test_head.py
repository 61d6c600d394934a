"""Test the strict parser of request heads."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bilberry_core.outcome import Failure, Success
from bilberry_router.http.head import parse_head

LINE = b"POST /x?y HTTP/1.1\r\nHost: a"

REFUSED = {
    "both framings": LINE + b"\r\nContent-Length: 1\r\nTransfer-Encoding: chunked",
    "two lengths": LINE + b"\r\nContent-Length: 1\r\nContent-Length: 1",
    "length list": LINE + b"\r\nContent-Length: 1, 1",
    "signed length": LINE + b"\r\nContent-Length: +1",
    "negative length": LINE + b"\r\nContent-Length: -1",
    "empty length": LINE + b"\r\nContent-Length:",
    "hex length": LINE + b"\r\nContent-Length: 0x1",
    "long length": LINE + b"\r\nContent-Length: " + b"1" * 30,
    "superscript length": LINE + b"\r\nContent-Length: \xb2",
    "other coding": LINE + b"\r\nTransfer-Encoding: gzip, chunked",
    "two codings": LINE + b"\r\nTransfer-Encoding: chunked" * 2,
    "coding identity": LINE + b"\r\nTransfer-Encoding: identity",
    "coding with tab": LINE + b"\r\nTransfer-Encoding: \x0bchunked",
    "coding in 1.0": b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked",
    "folded": LINE + b"\r\nA: b\r\n c",
    "bare line feed": LINE + b"\nA: b",
    "bare carriage return": LINE + b"\r\nA: b\rc: d",
    "space before colon": LINE + b"\r\nA : b",
    "space before name": LINE + b"\r\n A: b",
    "no colon": LINE + b"\r\nA",
    "no name": LINE + b"\r\n: b",
    "zero byte": LINE + b"\r\nA: b\x00c",
    "delete byte": LINE + b"\r\nA: \x7f",
    "no host": b"GET / HTTP/1.1",
    "two hosts": LINE + b"\r\nHost: b",
    "old version": b"GET /",
    "new version": b"GET / HTTP/2.0\r\nHost: a",
    "odd version": b"GET / HTTP/1.10\r\nHost: a",
    "two spaces": b"GET  / HTTP/1.1\r\nHost: a",
    "tab": b"GET\t/ HTTP/1.1\r\nHost: a",
    "space in target": b"GET /a b HTTP/1.1\r\nHost: a",
    "fragment": b"GET /a#b HTTP/1.1\r\nHost: a",
    "relative target": b"GET a HTTP/1.1\r\nHost: a",
    "authority target": b"CONNECT a:1 HTTP/1.1\r\nHost: a",
    "high byte in target": b"GET /\xe9 HTTP/1.1\r\nHost: a",
    "bad method": b"G(T / HTTP/1.1\r\nHost: a",
    "other expectation": LINE + b"\r\nExpect: magic",
}


@pytest.mark.parametrize("name", sorted(REFUSED))
def test_ambiguous_head_is_refused(name):
    parsed = parse_head(REFUSED[name])
    assert isinstance(parsed, Failure)
    assert parsed.failure().status == 400
    assert parsed.failure().reason


def test_head_keeps_bytes_and_order():
    parsed = parse_head(LINE + b"\r\nA:\tb c \r\na: \xe9\r\nE:\r\nContent-Length: 07")
    head = parsed.unwrap()
    assert (head.method, head.path, head.query) == ("POST", "/x", "y")
    assert head.headers[1:4] == [("A", "b c"), ("a", "\xe9"), ("E", "")]
    assert head.content_length == 7
    assert not head.chunked


@pytest.mark.parametrize(
    ("line", "options", "kept"),
    [
        (b"GET / HTTP/1.1", b"", True),
        (b"GET / HTTP/1.1", b"\r\nConnection: x, Close", False),
        (b"GET / HTTP/1.0", b"", False),
        (b"GET / HTTP/1.0", b"\r\nConnection: Keep-Alive", True),
    ],
)
def test_keep_alive(line, options, kept):
    assert parse_head(line + b"\r\nHost: a" + options).unwrap().keep_alive is kept


def test_absolute_target_gives_its_path():
    parsed = parse_head(b"GET http://a:1/s/x?y HTTP/1.1\r\nHost: a")
    assert parsed.unwrap().target == "/s/x?y"
    parsed = parse_head(b"GET http://a HTTP/1.1\r\nHost: a")
    assert parsed.unwrap().target == "/"


@given(st.binary(max_size=60))
def test_any_bytes_give_a_value(data):
    parsed = parse_head(LINE + b"\r\n" + data)
    assert isinstance(parsed, Success | Failure)
    if isinstance(parsed, Success):
        values = "".join(value for _, value in parsed.unwrap().headers)
        assert not set("\r\n\x00") & set(values)
