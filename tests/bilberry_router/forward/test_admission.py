"""Test queueing, early shedding and cancellation on disconnect."""

import gevent

from bilberry_resources.kinds.services import Priority

from .common import OK, ForwarderFixture, eventually


def answer_slowly(upstream, sock):
    while upstream.read_request(sock) is not None:
        gevent.sleep(0.05)
        sock.sendall(OK)


class SingleSlotFixture(ForwarderFixture):
    def __enter__(self):
        super().__enter__()
        admission = self.forwarder.endpoints.admission_controller("suivi", "mtl")
        admission.queue.set_max_running(1, self.clock.now_ms())
        return self

    @property
    def queue(self):
        return self.forwarder.endpoints.admission_controller("suivi", "mtl").queue


def test_waiting_requests_are_all_answered():
    with SingleSlotFixture(answer_slowly) as rig, eventually(5):
        jobs = [gevent.spawn(rig.ask) for _ in range(5)]
        assert [job.get().status for job in jobs] == [200] * 5
        assert rig.queue.running == 0
        assert not rig.queue.waiting_by_ticket


def test_request_that_would_be_late_is_shed_as_not_run():
    with SingleSlotFixture(answer_slowly) as rig, eventually(5):
        first = gevent.spawn(rig.ask)
        gevent.sleep(0.01)
        answer = rig.ask("POST", headers=["X-Request-Timeout-Ms: 30"], body=b"x")
        assert (answer.status, answer.outcome) == (503, "not-run")
        assert "retry-after" in answer.headers
        assert first.get().status == 200
        assert len(rig.upstreams[0].requests) == 1


def test_caller_that_hangs_up_while_waiting_leaves_the_queue():
    with SingleSlotFixture(answer_slowly) as rig, eventually(5):
        first = gevent.spawn(rig.ask)
        gevent.sleep(0.01)
        with rig.connect() as caller:
            caller.send("POST", body=b"x")
            gevent.sleep(0.01)
            assert len(rig.queue.waiting_by_ticket) == 1
        gevent.sleep(0.01)
        assert not rig.queue.waiting_by_ticket
        assert first.get().status == 200
        assert len(rig.upstreams[0].requests) == 1


def test_request_with_a_key_goes_before_others():
    with SingleSlotFixture(answer_slowly, priority=Priority.LOW) as rig, eventually(5):
        coordinator = rig.forwarder.keys.coordinator
        coordinator.on_epoch(1, (coordinator.member,), ())
        coordinator.ownership.on_confirmed(1, rig.clock.now_ms())
        jobs = [gevent.spawn(rig.ask, "POST", f"/{i}") for i in range(3)]
        gevent.sleep(0.01)
        key = ["Idempotency-Key: k"]
        jobs.append(gevent.spawn(rig.ask, "POST", "/keyed", key, b"x"))
        gevent.joinall(jobs)
        paths = [head.split(b" ")[1] for head, _ in rig.upstreams[0].requests]
        assert paths.index(b"/keyed") == 1


def test_overload_never_lowers_the_limit_below_own_slots():
    with ForwarderFixture(answer_slowly) as rig:
        admission = rig.forwarder.endpoints.admission_controller("suivi", "mtl")
        for now_ms in range(100_000):
            admission.queue.limit.on_request_end(None, True, now_ms)
        assert admission.queue.limit.concurrency == admission.own_slots()
