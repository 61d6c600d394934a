"""An answer that ends in its head never reaches a caller as whole."""

import pytest

from bilberry_router.http.response_parser import ResponseParser

from .common import NAMES, Rig

HEAD = (
    f"HTTP/1.1 200 OK\r\n{NAMES.request_id}: r1\r\n{NAMES.digest}: d\r\n"
    f"Content-Length: 4\r\n"
).encode()
CUT_HEADS = [
    HEAD[:-20],
    HEAD,
    HEAD + b"\r",
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
    HEAD + b"Transfer-Encoding: chunked\r\n",
    HEAD.replace(b"Content-Length: 4", b"X-Other: 4") + b"X-Half",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD,
]


@pytest.mark.parametrize("cut", CUT_HEADS)
def test_an_answer_that_ends_in_its_head_is_no_answer(cut):
    with Rig() as rig:
        for upstream in rig.upstreams:
            upstream.faults.script = [cut]
        answer = rig.ask("/book/x", method="POST", body=b"order")
        assert answer.status == 502
        assert NAMES.digest.lower() not in answer.headers
        assert len(rig.ran) == 1


def test_no_part_of_a_head_makes_an_answer():
    whole = HEAD + b"\r\n"
    for length in range(1, len(whole)):
        parser = ResponseParser(
            "GET", NAMES.request_id, "r1", ends_with_connection=True
        )
        parser.feed(whole[:length])
        parser.feed_eof()
        assert not parser.is_complete, whole[:length]
