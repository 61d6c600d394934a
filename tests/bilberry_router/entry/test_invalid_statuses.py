"""An answer whose status HTTP doesn't know never reaches a caller."""

import pytest

from bilberry_router.http.response_parser import ResponseParser

from .common import NAMES, Rig

INVALID_STATUSES = ["000", "001", "099", "600", "999"]


def answer_with(status):
    return (
        f"HTTP/1.1 {status} Odd\r\n{NAMES.request_id}: r1\r\n{NAMES.digest}: d\r\n"
        f"Content-Length: 2\r\n\r\nok"
    ).encode()


@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_an_answer_with_an_invalid_status_is_no_answer(status):
    with Rig() as rig:
        for upstream in rig.upstreams:
            upstream.faults.script = [answer_with(status)]
        answer = rig.ask("/book/x", method="POST", body=b"order")
        assert answer.status == 502
        assert NAMES.digest.lower() not in answer.headers
        assert len(rig.ran) == 1


@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_an_invalid_status_ends_the_answer_at_its_head(status):
    parser = ResponseParser("GET", NAMES.request_id, "r1")
    parser.feed(answer_with(status) + answer_with("200"))
    assert parser.error
    assert not parser.is_complete
