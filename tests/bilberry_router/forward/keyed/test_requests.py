"""Test that a key runs at most once, whichever nodes its requests reach."""

import gevent
import pytest

from bilberry_core.clock import SystemClock
from bilberry_core.ids import new_uuid7
from tests.bilberry_router.forward.common import OK, ForwarderFixture, eventually

from .common import Nodes, answer_slowly, answer_with_count


@pytest.fixture
def key():
    return new_uuid7(SystemClock())


@pytest.mark.parametrize("first", ["owner", "other"])
def test_second_request_gets_the_first_ones_answer_at_every_node(key, first):
    with Nodes(answer_with_count) as nodes, eventually(5):
        entry = nodes.owner(key) if first == "owner" else nodes.other(key)
        answer = nodes.ask(entry, key)
        assert (answer.status, answer.body, answer.outcome) == (201, b"1", "run")
        assert "idempotency-replayed" not in answer.headers
        gevent.sleep(0.05)
        for index in range(3):
            again = nodes.ask(index, key, headers=["X-Request-Id: second"])
            assert (again.status, again.body, again.outcome) == (201, b"1", "run")
            assert again.headers["x-count"] == "1"
            assert again.headers["idempotency-replayed"] == "true"
            assert again.headers["x-request-id"] == "second"
        assert len(nodes.executions) == 1


def test_requests_at_once_run_once(key):
    with Nodes(answer_slowly) as nodes, eventually(5):
        jobs = [gevent.spawn(nodes.ask, i % 3, key) for i in range(9)]
        answers = [job.get() for job in jobs]
        assert [answer.body for answer in answers] == [b"ok"] * 9
        assert sum("idempotency-replayed" in a.headers for a in answers) == 8
        assert len(nodes.executions) == 1


def test_wait_for_the_first_ends_at_the_deadline(key):
    with Nodes(answer_slowly) as nodes, eventually(5):
        first = gevent.spawn(nodes.ask, nodes.owner(key), key)
        gevent.sleep(0.02)
        late = nodes.ask(nodes.other(key), key, headers=["X-Request-Timeout-Ms: 20"])
        assert (late.status, late.outcome) == (504, "unknown")
        assert first.get().status == 200


@pytest.mark.parametrize(
    "change", [{"body": b"y"}, {"path": "/y"}, {"method": "PATCH"}]
)
def test_key_with_another_request_is_refused(key, change):
    with Nodes(answer_with_count) as nodes, eventually(5):
        nodes.ask(0, key)
        gevent.sleep(0.05)
        for index in range(3):
            answer = nodes.ask(index, key, **change)
            assert (answer.status, answer.outcome) == (422, "not-run")
        assert len(nodes.executions) == 1


def test_first_with_an_unknown_end_makes_the_key_unknown(key):
    def dies(upstream, sock):
        upstream.read_request(sock)

    with Nodes(dies) as nodes, eventually(5):
        answer = nodes.ask(nodes.other(key), key)
        assert (answer.status, answer.outcome) == (502, "unknown")
        gevent.sleep(0.05)
        for index in range(3):
            again = nodes.ask(index, key)
            assert (again.status, again.outcome) == (409, "unknown")
        assert len(nodes.executions) == 1


def test_first_that_provably_did_not_run_frees_the_key(key):
    def sheds_first(upstream, sock):
        while upstream.read_request(sock) is not None:
            shed = b"HTTP/1.1 503 S\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
            sock.sendall(shed if len(upstream.requests) <= 3 else OK)

    with Nodes(sheds_first) as nodes, eventually(5):
        answer = nodes.ask(nodes.other(key), key)
        assert (answer.status, answer.outcome) == (503, "not-run")
        gevent.sleep(0.05)
        again = nodes.ask(nodes.other(key), key)
        assert (again.status, again.body) == (200, b"ok")


def test_unreachable_owner_makes_the_key_unknown(key):
    with Nodes(answer_with_count) as nodes, eventually(5):
        nodes.peers[nodes.owner(key)].stop(timeout=0)
        answer = nodes.ask(nodes.other(key), key)
        assert (answer.status, answer.outcome) == (409, "unknown")
        assert nodes.executions == []


def test_hang_up_while_running_makes_the_key_unknown(key):
    with Nodes(answer_slowly) as nodes, eventually(5):
        with nodes.rigs[nodes.other(key)].connect() as caller:
            caller.send("POST", headers=[f"Idempotency-Key: {key}"], body=b"x")
            gevent.sleep(0.05)
        gevent.sleep(0.05)
        assert nodes.ask(0, key).status == 409
        assert len(nodes.executions) == 1


def test_idempotent_methods_ignore_the_key(key):
    with Nodes(answer_with_count) as nodes, eventually(5):
        assert nodes.ask(0, key, method="PUT").body == b"1"
        assert nodes.ask(0, key, method="PUT").body == b"2"


@pytest.mark.parametrize("bad", ["x" * 300, "\xe9"])
def test_bad_key_is_refused(bad):
    with Nodes(answer_with_count, count=1) as nodes, nodes.rigs[0].connect() as caller:
        head = f"POST /s/suivi/x HTTP/1.1\r\nHost: x\r\nIdempotency-Key: {bad}\r\n\r\n"
        caller.sock.sendall(head.encode("latin-1"))
        answer = caller.answer()
        assert (answer.status, answer.outcome) == (400, "not-run")
        assert b"Idempotency-Key" in answer.body


def test_without_an_epoch_nothing_is_run(key):
    with ForwarderFixture(answer_with_count) as rig:
        answer = rig.ask("POST", headers=[f"Idempotency-Key: {key}"], body=b"x")
        assert (answer.status, answer.outcome) == (409, "unknown")
        assert rig.upstreams[0].requests == []
