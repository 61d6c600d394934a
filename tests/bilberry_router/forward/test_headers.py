"""Test which headers are forwarded."""

from .common import ForwarderFixture, always, once


def forwarded(method, path, headers=(), body=b"", sent=None):
    answer = sent or b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    with ForwarderFixture(always(answer)) as rig:
        received = rig.ask(method, path, headers, body)
        head, seen = rig.upstreams[0].requests[0]
    return head.decode("latin-1").split("\r\n"), seen, received


def test_path_and_query_are_forwarded_byte_for_byte():
    target = "/a%2Fb//../c;x=%C3%A9?q=%20&&z=/?"
    lines, _, _ = forwarded("PATCH", target)
    assert lines[0] == f"PATCH {target} HTTP/1.1"


def test_end_to_end_headers_pass_and_hop_by_hop_do_not():
    lines, body, _ = forwarded(
        "POST",
        "/x",
        [
            "Connection: X-Private, keep-alive, host",
            "X-Private: 1",
            "Keep-Alive: 5",
            "TE: trailers",
            "Cookie: a=b",
            "Cookie: c=d",
            "X-Forwarded-For: 10.0.0.1",
            "X-Request-Id: r1",
        ],
        b"abc",
    )
    assert body == b"abc"
    assert lines[1:7] == [
        "Host: x",
        "Cookie: a=b",
        "Cookie: c=d",
        "X-Forwarded-For: 10.0.0.1, 127.0.0.1",
        "X-Request-Id: r1",
        lines[6],
    ]
    assert lines[7:] == ["Content-Length: 3"]


def test_time_left_is_forwarded_reduced():
    lines, _, _ = forwarded("GET", "/x", ["X-Request-Timeout-Ms: 500"])
    left = [line for line in lines if line.startswith("X-Request-Timeout-Ms")]
    assert 300 < int(left[0].split(": ")[1]) < 500


def test_bad_time_left_is_refused():
    with ForwarderFixture() as rig:
        answer = rig.ask(headers=["X-Request-Timeout-Ms: soon"])
        assert (answer.status, answer.outcome) == (400, "not-run")
        assert b"X-Request-Timeout-Ms" in answer.body


def test_answer_headers_are_the_upstreams_but_for_ours():
    sent = (
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nSet-Cookie: a\r\nSet-Cookie: b\r\n"
        b"Connection: X-Hop\r\nX-Hop: 1\r\nX-Bilberry-Outcome: not-run\r\n"
        b"X-Bilberry-Upstream: fake\r\nIdempotency-Replayed: true\r\n\r\n"
    )
    _, _, answer = forwarded("GET", "/x", ["X-Request-Id: r1"], sent=sent)
    assert answer.headers == {
        "set-cookie": "b",
        "content-length": "0",
        "x-bilberry-outcome": "run",
        "x-bilberry-upstream": "u0",
        "x-bilberry-region": "mtl",
        "x-request-id": "r1",
    }


def test_own_answers_name_the_request():
    with ForwarderFixture(once(b"")) as rig:
        answer = rig.ask("POST", headers=["X-Request-Id: r1"], body=b"x")
        assert answer.headers["x-request-id"] == "r1"
        assert b'"outcome":"unknown"' in answer.body
        assert b'"request_id":"r1"' in answer.body
