"""A caller's connection keeps order and limits, and drains gracefully."""

import gevent
import pytest

from bilberry_resources.routing import CallerLimits
from bilberry_router.entry.const import MAX_PIPELINED

from .common import Rig, config, eventually


def test_pipelined_requests_run_concurrently_and_are_answered_in_order():
    with Rig(count=1, slots=8) as rig:
        release = rig.hold()
        client = rig.client()
        for index in range(5):
            client.send("/read/x", request_id=f"r{index}")
        eventually(lambda: len(rig.ran) == 5)
        release.set()
        bodies = [client.answer().body for _ in range(5)]
        assert bodies == [f"u0 ran r{index}".encode() for index in range(5)]


def test_a_non_idempotent_request_waits_for_those_before_it():
    with Rig(count=1, slots=8) as rig:
        release = rig.hold()
        client = rig.client()
        client.send("/read/x", request_id="r1")
        client.send("/book/x", request_id="r2", method="POST", body=b"order")
        eventually(lambda: rig.ran)
        gevent.sleep(0.03)
        assert [served.request_id for served in rig.ran] == ["r1"]
        release.set()
        assert [client.answer().status for _ in range(2)] == [200, 200]


def test_nothing_behind_a_closing_answer_runs_twice_or_is_answered():
    with Rig(count=1, work_ms=30, slots=8) as rig:
        client = rig.client()
        client.send("/read/x", request_id="r1", headers=("Connection: close",))
        client.send("/book/x", request_id="r2", method="POST", body=b"order")
        answer = client.answer()
        assert answer.headers["connection"] == "close"
        assert client.answer() is None
        assert [served.request_id for served in rig.ran] == ["r1"]


def test_a_chunked_body_arrives_whole():
    with Rig() as rig:
        client = rig.client()
        client.send("/book/x", method="POST", headers=("Transfer-Encoding: chunked",))
        client.sock.sendall(b"3\r\nabc\r\n")
        gevent.sleep(0.02)
        client.sock.sendall(b"2\r\nde\r\n0\r\n\r\n")
        assert client.answer().status == 200
        assert rig.ran[0].body == b"abcde"


def test_a_body_over_the_limit_is_refused():
    with Rig() as rig:
        rig.state.install(config(2, limits=CallerLimits(max_body_bytes=10)))
        answer = rig.ask("/book/x", method="POST", body=b"x" * 11)
        assert answer.status == 413
        assert rig.ran == []


def test_a_head_over_the_limit_is_refused():
    with Rig() as rig:
        rig.state.install(config(2, limits=CallerLimits(max_header_bytes=500)))
        assert rig.ask("/read/x", headers=("X-Long: " + "x" * 600,)).status == 431


def test_a_slow_head_is_refused_as_not_run():
    with Rig() as rig:
        limits = CallerLimits(header_timeout_ms=50, idle_timeout_ms=1_000)
        rig.state.install(config(2, limits=limits))
        client = rig.client()
        client.sock.sendall(b"GET /read/x HTTP/1.1\r\n")
        assert client.answer().status == 408


def test_an_idle_connection_is_closed_but_not_while_it_waits():
    with Rig(count=1) as rig:
        limits = CallerLimits(idle_timeout_ms=60)
        rig.state.install(config(2, limits=limits))
        release = rig.hold()
        client = rig.client()
        client.send("/read/x")
        gevent.sleep(0.15)
        release.set()
        assert client.answer().status == 200
        assert client.answer() is None


def test_draining_closes_idle_connections_and_finishes_the_others():
    with Rig(count=1) as rig:
        idle, busy, fresh = rig.client(), rig.client(), rig.client()
        idle.send("/read/x")
        assert idle.answer().status == 200
        release = rig.hold()
        busy.send("/read/x", request_id="r2")
        eventually(lambda: len(rig.ran) == 2)
        rig.listener.start_draining()
        assert idle.answer() is None
        release.set()
        answer = busy.answer()
        assert (answer.status, answer.headers["connection"]) == (200, "close")
        fresh.send("/read/x", request_id="r3")
        answer = fresh.answer()
        assert (answer.status, answer.headers["connection"]) == (200, "close")
        assert rig.listener.wait_until_idle(1_000)


CLOSE = ("Connection: close",)


def send_closing(client):
    client.send("/read/x", headers=CLOSE)


def send_in_turn(client):
    client.send("/read/x", request_id="r1")
    client.send("/book/x", request_id="r2", method="POST", body=b"order")


def send_malformed(client):
    client.send("/read/x")
    client.sock.sendall(b"malformed\r\n\r\n")


def send_too_many(client):
    for index in range(MAX_PIPELINED + 1):
        client.send("/read/x", request_id=f"r{index}")


@pytest.mark.parametrize(
    "send", [send_closing, send_in_turn, send_malformed, send_too_many]
)
def test_a_caller_that_resets_before_its_last_answer_gives_its_place_back(send):
    """Guard against connections that wait for an answer never written."""
    with Rig(count=1, slots=MAX_PIPELINED + 1) as rig:
        release = rig.hold()
        client = rig.client()
        send(client)
        eventually(lambda: rig.ran)
        gevent.sleep(0.02)
        client.reset()
        release.set()
        eventually(lambda: not rig.listener.connections)
