"""Test that requests that crash upstreams are quarantined."""

import gevent

from bilberry_router.forward.const import DEFAULT_MIN_IDLE_MS

from .common import OK, ForwarderFixture, crash_on, eventually


def test_crashing_request_costs_two_upstreams_at_most():
    script = crash_on(b"/bad")
    with ForwarderFixture(script, script, script, script) as rig:
        answers = [rig.ask("GET", "/bad") for _ in range(4)]
        asked = sum(len(upstream.requests) for upstream in rig.upstreams)
        assert asked == 2
        assert (answers[0].status, answers[0].outcome) == (502, "unknown")
        assert (answers[1].status, answers[1].outcome) == (503, "not-run")
        assert b'"title":"request quarantined"' in answers[1].body
        assert "retry-after" in answers[1].headers
        assert rig.ask("GET", "/good").status == 200


def test_other_body_is_another_request():
    script = crash_on(b"/bad")
    with ForwarderFixture(script, script) as rig:
        for _ in range(2):
            assert rig.ask("POST", "/bad", body=b"a").status == 502
        assert rig.ask("POST", "/bad", body=b"a").status == 503
        assert rig.ask("POST", "/bad", body=b"b").status == 502


def test_innocent_request_is_cleared_by_its_answer():
    def dies_once(upstream, sock):
        while upstream.read_request(sock) is not None:
            if len(upstream.requests) == 1:
                return
            sock.sendall(OK)

    with ForwarderFixture(dies_once) as rig:
        assert rig.ask("POST", body=b"a").status == 502
        assert rig.forwarder.suspects.table.suspects
        assert rig.ask("POST", body=b"a").status == 200
        assert not rig.forwarder.suspects.table.suspects


def test_suspect_runs_one_at_a_time():
    def slow_death(upstream, sock):
        upstream.read_request(sock)
        gevent.sleep(0.05)

    with ForwarderFixture(slow_death, slow_death) as rig, eventually(5):
        assert rig.ask("POST", body=b"a").status == 502
        jobs = [gevent.spawn(rig.ask, "POST", body=b"a") for _ in range(5)]
        statuses = sorted(job.get().status for job in jobs)
        assert statuses == [502, 503, 503, 503, 503]


def test_disconnect_and_deadline_make_no_suspect():
    def hangs(upstream, sock):
        upstream.read_request(sock)
        upstream.read_request(sock)

    with ForwarderFixture(hangs) as rig:
        assert rig.ask(headers=["X-Request-Timeout-Ms: 50"]).status == 504
        with rig.connect() as caller:
            caller.send()
            gevent.sleep(0.02)
        gevent.sleep(0.02)
        assert not rig.forwarder.suspects.table.suspects


def answers_once(upstream, sock):
    upstream.read_request(sock)
    sock.sendall(OK)
    upstream.read_request(sock)


def test_popular_request_outlives_closed_connections():
    with ForwarderFixture(answers_once, answers_once) as rig, eventually(5):
        for _ in range(3):
            warm = [gevent.spawn(rig.ask, "GET", "/warm") for _ in range(2)]
            gevent.joinall(warm)
            gevent.sleep(2 * DEFAULT_MIN_IDLE_MS / 1_000)
            assert rig.ask("GET", "/popular").status == 200


def test_others_wait_while_the_trial_runs():
    def dies_once(upstream, sock):
        while upstream.read_request(sock) is not None:
            if len(upstream.requests) == 1:
                return
            gevent.sleep(0.05)
            sock.sendall(OK)

    with ForwarderFixture(dies_once) as rig, eventually(5):
        assert rig.ask("POST", body=b"a").status == 502
        jobs = [gevent.spawn(rig.ask, "POST", body=b"a") for _ in range(4)]
        assert [job.get().status for job in jobs] == [200] * 4


def test_trial_goes_to_another_upstream_on_a_new_connection():
    def dies_twice(upstream, sock):
        upstream.read_request(sock)

    def good(upstream, sock):
        while upstream.read_request(sock) is not None:
            sock.sendall(OK)

    with ForwarderFixture(dies_twice, good) as rig, eventually(5):
        failed = []
        for path in (f"/{i}" for i in range(20)):
            if len(failed) < 2 and rig.ask("POST", path, body=b"a").status == 502:
                failed.append(path)
                assert rig.ask("POST", path, body=b"a").status == 200
        assert len(failed) == 2
