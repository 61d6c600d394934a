"""Requests that crash upstreams, whatever takes their addresses."""

import socket

import gevent
import pytest
from gevent.server import StreamServer

from bilberry_balance.quarantine import Allowed, Quarantined, TrialRequired
from bilberry_balance.suspects import (
    CrashReport,
    SuspectReport,
    request_fingerprint,
)
from bilberry_fleet.discovery.messages import SuspectCall
from bilberry_testing.machines.upstream import UpstreamServer

from .common import HOST, NAMES, Client, Rig, eventually

POISON = "/any/poison"
CRASHES_ALLOWED = 3


def fingerprint(target, method="GET", body=b""):
    return request_fingerprint(f"{method} {HOST}", target, body)


def leave_nothing(upstream, port):
    return None


def leave_silence(upstream, port):
    """Take connections at the address, and answer nothing."""
    server = StreamServer(("127.0.0.1", port), lambda sock, _: gevent.sleep(60))
    server.reuse_addr = 1
    server.start()
    return server


def leave_another(upstream, port):
    """Give the address to another upstream at once."""
    other = UpstreamServer(
        f"{upstream.name}-other", NAMES, upstream.clock, address=("127.0.0.1", port)
    )
    other.start()
    return other


def leave_itself(upstream, port):
    """Restart the upstream at once, with its name."""
    reborn = UpstreamServer(
        upstream.name, NAMES, upstream.clock, address=("127.0.0.1", port)
    )
    reborn.start()
    return reborn


class FullListener:
    """Drop new connections, as the kernel does once the queue is full."""

    def __init__(self, port):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(("127.0.0.1", port))
        self.sock.listen(0)
        self.fillers = []
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", port))
            self.fillers.append(filler)

    def close(self):
        for sock in (self.sock, *self.fillers):
            sock.close()


def leave_drops(upstream, port):
    return FullListener(port)


LEFT = [leave_nothing, leave_silence, leave_another, leave_itself, leave_drops]


class CrashRig(Rig):
    """Run upstreams that `POISON` ends, and put `leave` in their places."""

    def __init__(self, leave=leave_nothing, count=8, **fields):
        super().__init__(count, **fields)
        self.leave = leave
        self.crashed = []
        self.left = []
        for upstream in self.upstreams:
            upstream.on_run = self.crasher(upstream)

    def __exit__(self, *exc):
        super().__exit__(*exc)
        for server in self.left:
            server.close()

    def crasher(self, upstream):
        def on_run(served):
            if served.target == POISON:
                self.crashed.append(upstream.name)
                port = upstream.server.server_port
                upstream.crash()
                left = self.leave(upstream, port)
                if left is not None:
                    self.left.append(left)
                if isinstance(left, UpstreamServer):
                    left.on_run = self.crasher(left)

        return on_run


@pytest.mark.parametrize("leave", LEFT)
def test_a_crashing_request_costs_three_upstreams(leave):
    with CrashRig(leave) as rig:
        answers = [rig.ask(POISON) for _ in range(4)]
        assert len(rig.crashed) == CRASHES_ALLOWED
        assert answers[-1].status == 503
        assert b"request quarantined" in answers[-1].body
        eventually(lambda: rig.ask("/any/sound").status == 200)


def test_upstreams_that_fall_silent_under_a_request_are_three():
    """As after a loss of power: nothing closes, and nothing answers."""
    with CrashRig(count=8) as rig:
        for upstream in rig.upstreams:
            upstream.on_run = silencer(rig, upstream)

        def is_refused():
            answer = rig.ask("/short/poison")
            for name in rig.crashed:
                rig.state.upstreams.by_name[name].leaving = True
            return b"request quarantined" in answer.body

        eventually(is_refused)
        assert len(rig.crashed) == CRASHES_ALLOWED


def silencer(rig, upstream):
    def on_run(served):
        rig.crashed.append(upstream.name)
        upstream.fall_silent()

    return on_run


def test_a_second_attempt_is_refused_once_the_request_is_quarantined():
    with CrashRig() as rig:
        for name in ("gone-1", "gone-2"):
            rig.forwarder.suspects.on_lost_answer(fingerprint(POISON), name)
        assert rig.ask(POISON).status == 502
        assert len(rig.crashed) == 1


def test_answers_lost_at_living_upstreams_quarantine_nothing():
    with Rig(count=4, work_ms=0) as rig:
        rig.state.retry_budget("s").slack = 1_000
        for upstream in rig.upstreams:
            upstream.faults.script = [None] * 4
        for _ in range(4):
            assert rig.ask("/any/x").status == 502
        decision = rig.forwarder.suspects.check(fingerprint("/any/x"))
        assert isinstance(decision, TrialRequired)
        for upstream in rig.upstreams:
            upstream.faults.script = []
        assert rig.ask("/any/x").status == 200
        decision = rig.forwarder.suspects.check(fingerprint("/any/x"))
        assert isinstance(decision, Allowed)


def test_overdue_answers_of_living_upstreams_make_no_suspect():
    with Rig(count=4) as rig:
        release = rig.hold()
        for _ in range(3):
            assert rig.ask("/short/x").status == 504
        suspects = rig.forwarder.suspects
        eventually(lambda: not suspects.table.suspects)
        assert isinstance(suspects.check(fingerprint("/short/x")), Allowed)
        release.set()


def test_a_suspect_is_not_tried_at_an_upstream_that_was_silent_before():
    with CrashRig(leave_silence, count=3) as rig:
        assert rig.ask(POISON).status == 502
        assert len(rig.crashed) == 2
        for name in ("gone-1", "gone-2"):
            rig.forwarder.suspects.on_lost_answer(fingerprint("/any/sound"), name)
        answer = rig.ask("/any/sound")
        decision = rig.forwarder.suspects.check(fingerprint("/any/sound"))
        assert not isinstance(decision, Quarantined)
        assert answer.status == 200


def test_repeats_from_other_addresses_share_a_fingerprint():
    with CrashRig() as rig:
        for index in range(CRASHES_ALLOWED + 1):
            client = Client(rig.listener.address, source=f"127.0.0.{2 + index}")
            client.send(POISON)
            answer = client.answer()
        assert len(rig.crashed) == CRASHES_ALLOWED
        assert answer.status == 503


def test_a_suspect_waits_for_its_trial_and_is_refused_as_not_run():
    with Rig() as rig:
        suspects = rig.forwarder.suspects
        for name in ("gone-1", "gone-2"):
            suspects.on_lost_answer(fingerprint("/short/x"), name)
        for upstream in rig.upstreams:
            suspects.table.begin_trial("other", 0, 10**12, upstream.name, "n2/1")
            break
        assert rig.ask("/short/x").status == 200
        assert suspects.table.begin_trial(
            fingerprint("/short/x"), rig.clock.now_ms(), 60_000, "u9", "n2/2"
        )
        for name in ("gone-1", "gone-2"):
            suspects.on_lost_answer(fingerprint("/short/x"), name)
        refused = rig.ask("/short/x")
        assert refused.status == 503
        assert b"request suspected" in refused.body
        assert "retry-after" in refused.headers


class DeafPeers:
    """Peers that never reply, as those of a node that is cut off."""

    def __init__(self):
        self.told = []

    def members(self, own_is_known, now_ms):
        return ("n2",)

    def call(self, name, reports, trial=None):
        return None

    def tell(self, name, report):
        return None

    def tell_all(self, reports):
        self.told.append(reports)


def test_a_node_that_reaches_no_owner_refuses_suspects_as_not_run():
    with Rig() as rig:
        suspects = rig.forwarder.suspects
        suspects.peers = DeafPeers()
        suspects.update_members(own_is_known=True)
        for name in ("gone-1", "gone-2"):
            suspects.on_lost_answer(fingerprint("/short/x"), name)
        refused = rig.ask("/short/x")
        assert (refused.status, rig.ran) == (503, [])
        assert rig.ask("/short/y").status == 200


@pytest.mark.parametrize(("call_id", "tells"), [(0, 0), (7, 1)])
def test_only_the_node_that_is_asked_tells_all_of_a_suspect(call_id, tells):
    with Rig() as rig:
        suspects = rig.forwarder.suspects
        suspects.peers = DeafPeers()
        suspects.update_members(own_is_known=True)
        crashes = tuple(CrashReport(name, 0, origin=name) for name in ("u8", "u9"))
        report = SuspectReport("f", crashes, 60_000)
        suspects.answer_call(SuspectCall("n2", call_id, [report]))
        assert isinstance(suspects.check("f"), TrialRequired)
        assert len(suspects.peers.told) == tells
