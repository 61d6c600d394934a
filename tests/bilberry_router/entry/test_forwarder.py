"""Callers get complete answers; requests run at most as often as allowed."""

import gevent
import pytest

from bilberry_balance.placement.processing_times import Warmth
from bilberry_router.http.upstream_socket import IdleState

from .common import NAMES, ROUTES, Rig, config, eventually, route

HEAD = (
    f"HTTP/1.1 200 OK\r\n{NAMES.request_id}: r1\r\n{NAMES.digest}: d\r\n"
    f"Content-Length: 4\r\n"
).encode()
BAD = {
    "reset": None,
    "cut short": HEAD + b"\r\nab",
    "no digest": f"HTTP/1.1 200 OK\r\n{NAMES.request_id}: r1\r\n"
    "Content-Length: 2\r\n\r\nok".encode(),
    "no id": f"HTTP/1.1 200 OK\r\n{NAMES.digest}: d\r\n"
    "Content-Length: 2\r\n\r\nok".encode(),
    "encoded": HEAD + b"Content-Encoding: gzip\r\n\r\nabcd",
    "no answer": b"hello, this is no answer\r\n\r\n",
    "closed at once": b"",
}


def test_a_request_goes_through_unchanged():
    with Rig() as rig:
        headers = (f"{NAMES.timeout}: 900", f"{NAMES.affinity}: 17", "X-Other: a")
        answer = rig.ask("/read/x?q=1", headers=headers)
        assert answer.status == 200
        assert answer.headers[NAMES.digest.lower()] == "digest-of-r1"
        assert answer.headers[NAMES.request_id.lower()] == "r1"
        (served,) = rig.ran
        assert (served.method, served.target, served.key) == (
            "GET",
            "/read/x?q=1",
            "17",
        )
        assert 0 < served.timeout_ms <= 900


def test_the_forwarded_timeout_is_limited_by_the_route():
    with Rig() as rig:
        rig.ask("/short/x", headers=(f"{NAMES.timeout}: 900",))
        assert rig.ran[0].timeout_ms <= 200


@pytest.mark.parametrize("name", sorted(BAD))
def test_an_idempotent_request_is_sent_again_after_a_bad_answer(name):
    with Rig() as rig:
        for upstream in rig.upstreams:
            upstream.faults.script = [BAD[name]]
        rig.upstreams[1].faults.script = []
        bad, good = rig.upstreams
        rig.state.upstreams.by_name["u1"].in_flight = 2
        answer = rig.ask("/read/x")
        assert answer.status == 200
        assert (len(bad.served_requests), len(good.served_requests)) == (1, 1)
        assert answer.body == b"u1 ran r1"


@pytest.mark.parametrize("name", sorted(BAD))
def test_a_non_idempotent_request_never_runs_twice(name):
    with Rig() as rig:
        for upstream in rig.upstreams:
            upstream.faults.script = [BAD[name]]
        answer = rig.ask("/book/x", method="POST", body=b"order")
        assert answer.status == 502
        assert "retry-after" not in answer.headers
        assert NAMES.digest.lower() not in answer.headers
        assert len(rig.ran) == 1


def test_a_shed_request_is_placed_elsewhere_and_runs_once():
    with Rig() as rig:
        rig.upstreams[0].faults.shed_next = 1
        rig.state.upstreams.by_name["u1"].in_flight = 2
        answer = rig.ask("/book/x", method="POST", body=b"order")
        assert answer.status == 200
        assert [served.body for served in rig.ran] == [b"order"]


def test_a_request_shed_by_all_upstreams_is_refused_as_not_run():
    with Rig() as rig:
        for upstream in rig.upstreams:
            upstream.faults.shed_next = 10
        answer = rig.ask("/book/x", method="POST", body=b"order")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert rig.ran == []


def test_an_upstream_replaced_at_its_address_gets_no_more_requests():
    with Rig(count=1) as rig:
        rig.upstreams[0].name = "other"
        answer = rig.ask("/book/x", method="POST", body=b"order")
        assert answer.status == 503
        assert rig.ran == []
        assert not rig.state.upstreams.accepts_requests(
            rig.state.upstreams.by_name["u0"]
        )


def test_a_request_is_answered_despite_an_unreachable_upstream():
    with Rig() as rig:
        rig.upstreams[0].close()
        rig.state.upstreams.by_name["u1"].in_flight = 2
        answer = rig.ask("/book/x", method="POST", body=b"order")
        assert answer.status == 200
        assert rig.state.upstreams.by_name["u0"].unreachable


def test_an_answer_to_another_request_is_skipped():
    late = (
        f"HTTP/1.1 200 OK\r\n{NAMES.request_id}: r0\r\n{NAMES.digest}: d0\r\n"
        "Content-Length: 5\r\n\r\nother"
    ).encode()
    with Rig(count=1) as rig:
        upstream = rig.upstreams[0]
        right = HEAD + b"\r\nmine"
        upstream.faults.script = [late + right]
        answer = rig.ask("/read/x")
        assert answer.body == b"mine"


def test_bytes_after_an_answer_never_reach_the_next_request():
    with Rig(count=1) as rig:
        upstream = rig.upstreams[0]
        upstream.faults.build_trailing_bytes = upstream.build_answer
        client = rig.client()
        for index in range(5):
            client.send("/read/x", request_id=f"r{index}")
            assert client.answer().body == f"u0 ran r{index}".encode()


def test_an_answer_without_length_ends_with_its_connection():
    with Rig(count=1) as rig:
        unframed = HEAD.replace(b"Content-Length: 4\r\n", b"") + b"\r\nabcd"
        rig.upstreams[0].faults.script = [unframed]
        assert rig.ask("/read/x").body == b"abcd"


def test_at_the_routes_timeout_the_caller_gets_its_final_answer():
    with Rig(count=1) as rig:
        rig.hold()
        assert rig.ask("/short/x").status == 504


@pytest.mark.parametrize("target", ["/read/x", "/long/x"])
def test_a_disconnect_cancels_a_request_long_before_its_timeout(target):
    with Rig(count=1) as rig:
        long = route("long", "/long/", timeout_ms=60_000)
        rig.state.install(config(2, (*ROUTES, long)))
        rig.hold()
        client = rig.client()
        client.send(target)
        eventually(lambda: rig.ran)
        client.reset()
        eventually(lambda: not rig.state.upstreams.by_name["u0"].in_flight)


def test_a_lost_answer_without_another_upstream_is_not_a_refusal():
    with Rig(count=1) as rig:
        rig.upstreams[0].faults.script = [None]
        answer = rig.ask("/read/x")
        assert answer.status == 502
        assert "retry-after" not in answer.headers
        assert len(rig.ran) == 1


def test_a_connection_that_the_upstream_has_closed_is_not_used_again():
    with Rig(count=1) as rig:
        rig.upstreams[0].faults.script = [HEAD + b"\r\nfine"]
        assert rig.ask("/read/x").body == b"fine"
        connections = rig.connections.idle[rig.upstreams[0].address]
        eventually(lambda: connections[0].idle_state() is not IdleState.OPEN)
        assert rig.ask("/book/x", method="POST", request_id="r2").status == 200
        assert len(rig.ran) == 2


def test_a_queued_request_is_not_sent_after_a_disconnect():
    with Rig(count=1, slots=1) as rig:
        release = rig.hold()
        first, second = rig.client(), rig.client()
        first.send("/read/x")
        eventually(lambda: rig.ran)
        second.send("/read/y", request_id="r2")
        eventually(lambda: rig.queued == 1)
        second.reset()
        eventually(lambda: rig.queued == 0)
        release.set()
        assert first.answer().status == 200
        gevent.sleep(0.05)
        assert [served.request_id for served in rig.ran] == ["r1"]


def test_a_request_waits_for_a_slot_and_then_runs():
    with Rig(count=1, slots=1) as rig:
        release = rig.hold()
        clients = [rig.client() for _ in range(3)]
        for index, client in enumerate(clients):
            client.send("/read/x", request_id=f"r{index}")
        eventually(lambda: rig.queued == 2)
        release.set()
        assert [client.answer().status for client in clients] == [200] * 3


@pytest.mark.parametrize(
    ("target", "status"), [("/none/x", 404), ("/empty/x", 503), ("/read/x", 200)]
)
def test_the_route_decides_the_status(target, status):
    with Rig() as rig:
        assert rig.ask(target).status == status


def test_without_configuration_requests_are_refused_not_unknown():
    with Rig() as rig:
        rig.state.routes.config = None
        rig.state.routes.hosts = {}
        assert rig.ask("/read/x").status == 503


def test_a_new_version_applies_to_the_next_request():
    with Rig() as rig:
        client = rig.client()
        client.send("/new/x")
        assert client.answer().status == 404
        rig.state.install(config(2, (route("new", "/new/"),)))
        client.send("/new/x")
        assert client.answer().status == 200
        client.send("/read/x")
        assert client.answer().status == 404


def messages(caplog, request_id):
    return [
        record.getMessage()
        for record in caplog.records
        if getattr(record, "request_id", "") == request_id
    ]


def test_a_failed_request_logs_one_line_with_its_cause(caplog):
    caplog.set_level("INFO")
    with Rig() as rig:
        for upstream in rig.upstreams:
            upstream.faults.script = [None]
        secret = b"card number 1234"
        rig.ask("/book/x", method="POST", body=secret, request_id="lost")
        rig.ask("/empty/x", request_id="refused")
        failed, lost = messages(caplog, "lost")
        assert "failed: awaiting_answer" in failed
        assert failed.endswith("gives up.")
        assert "Ended with 502, awaiting_answer" in lost
        assert "route book in version 1, service s" in lost
        (refused,) = messages(caplog, "refused")
        assert "Ended with 503, no room" in refused
        assert "first sent after -1 ms" in refused
        assert "1234" not in caplog.text


def test_a_late_answer_is_logged_and_a_prompt_one_is_not(caplog):
    caplog.set_level("INFO")
    with Rig(count=1) as rig:
        rig.ask("/read/x", request_id="prompt")
        rig.state.install(config(2, (route("read", "/read/", target_latency_ms=0),)))
        rig.upstreams[0].work_ms = 20
        rig.ask("/read/x", request_id="late")
        assert messages(caplog, "prompt") == []
        (late,) = messages(caplog, "late")
        assert "Ended with 200, upstream's answer" in late


def test_a_request_that_crashes_upstreams_is_refused():
    with Rig(count=5, work_ms=0) as rig:

        def crasher(upstream):
            return lambda served: served.body == b"poison" and upstream.crash()

        for upstream in rig.upstreams:
            upstream.on_run = crasher(upstream)
        for _ in range(3):
            answer = rig.ask("/book/x", method="POST", body=b"poison")
            assert answer.status == 502
        before = len(rig.ran)
        answer = rig.ask("/book/x", method="POST", body=b"poison")
        assert (before, len(rig.ran)) == (3, 3)
        assert answer.status == 503
        assert rig.ask("/book/x", method="POST", body=b"sound").status == 200


def test_a_request_is_refused_at_once_only_if_no_upstream_has_a_free_slot():
    with Rig(count=2, slots=1) as rig:
        release = rig.hold()
        headers = [f"{NAMES.affinity}: k"]

        def ask(request_id):
            return gevent.spawn(
                rig.ask, "/read/x", request_id=request_id, headers=headers
            )

        running = ask("runs")
        eventually(lambda: len(rig.ran) == 1)
        waiting = ask("waits")
        eventually(lambda: rig.queued == 1)
        queue = rig.placer.queues["s"]
        rule = rig.state.routes.config.routes[0]
        rig.state.processing_times(rule, "s").local[Warmth.KNOWN].count = 1
        rig.state.known_nodes = 100
        second = ask("waits-too")
        eventually(lambda: queue.push_count == 2)
        free = next(u for u in rig.state.upstreams.by_name.values() if not u.in_flight)
        free.draining = True
        refused = ask("refused")
        refused.join(timeout=10)
        assert refused.value.status == 503
        assert queue.push_count == 2
        release.set()
        gevent.joinall([running, waiting, second])
        assert running.value.status == 200


def test_a_request_waits_at_an_upstream_that_queues():
    with Rig(count=1, slots=1, queue_limit=1) as rig:
        release = rig.hold()
        clients = [rig.client() for _ in range(2)]
        for index, client in enumerate(clients):
            client.send("/read/x", request_id=f"r{index}")
        eventually(lambda: rig.upstreams[0].waiting == 1)
        assert rig.queued == 0
        release.set()
        assert [client.answer().status for client in clients] == [200] * 2


def test_a_request_that_an_upstream_refused_may_come_back_at_once_if_there_is_room():
    with Rig(count=2) as rig:
        for upstream in rig.upstreams:
            upstream.faults.shed_next = 9
        answers = [rig.ask("/read/x", request_id=f"r{index}") for index in range(2)]
        assert {answer.status for answer in answers} == {503}
        times = [float(answer.headers["retry-after"]) for answer in answers]
        assert max(times) < 0.5
        assert len(set(times)) > 1


@pytest.mark.parametrize(("target", "upstream_count"), [("/read/x", 1), ("/any/x", 4)])
def test_requests_for_an_object_stay_together_only_on_sticky_routes(
    target, upstream_count
):
    with Rig(count=4, slots=8) as rig:
        release = rig.hold()
        headers = [f"{NAMES.affinity}: k"]
        asked = [
            gevent.spawn(rig.ask, target, request_id=f"r{index}", headers=headers)
            for index in range(8)
        ]
        eventually(lambda: len(rig.ran) == 8)
        used = [upstream for upstream in rig.upstreams if upstream.running]
        assert len(used) == upstream_count
        release.set()
        gevent.joinall(asked)
