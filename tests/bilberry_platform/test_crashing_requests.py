"""Requests that crash upstreams are refused by all nodes, others by none."""

import gevent

from bilberry_platform.const import HEADER_NAMES

from ..bilberry_router.entry.common import eventually
from .common import Deployment, fetch

NODES = ("n1", "n2", "n3", "n4")
POISON = "/read/poison"
CRASHES_ALLOWED = 3
QUARANTINED = b"request quarantined"
SAME_OBJECT = (f"{HEADER_NAMES.affinity}: k",)


class CrashingFleet(Deployment):
    """Run four nodes and upstreams that `POISON` ends."""

    def __init__(self, upstreams=24):
        super().__init__(upstreams)
        self.crashed = []
        for upstream in self.upstreams:
            upstream.on_run = self.crash_on_poison(upstream)

    def __enter__(self):
        super().__enter__()
        for name in NODES:
            self.node(name)
        return self

    def crash_on_poison(self, upstream):
        def crash_if_poison(served):
            if served.target == POISON:
                self.crashed.append(upstream.name)
                upstream.crash()

        return crash_if_poison

    def ask(self, node, target=POISON):
        return fetch(node.entry_listener, target, headers=SAME_OBJECT)

    def is_refused(self, answer):
        return answer.status == 503 and QUARANTINED in answer.body


def refuse_everywhere(fleet):
    """Send `POISON` to the nodes in turn until all of them refuse it."""
    refused = 0
    for index in range(40):
        answer = fleet.ask(fleet.nodes[index % len(NODES)])
        refused = refused + 1 if fleet.is_refused(answer) else 0
        if refused == len(NODES):
            return
        gevent.sleep(0.05)
    raise AssertionError("not refused")


def test_a_crashing_request_costs_three_upstreams_at_four_nodes():
    with CrashingFleet() as fleet:
        refuse_everywhere(fleet)
        assert len(fleet.crashed) == CRASHES_ALLOWED


def test_a_node_that_starts_afterwards_refuses_it_at_once():
    with CrashingFleet() as fleet:
        refuse_everywhere(fleet)
        started = fleet.node("n5", ready=False)
        eventually(started.is_ready)
        assert fleet.is_refused(fleet.ask(started))
        assert len(fleet.crashed) == CRASHES_ALLOWED


def test_a_harmless_request_sent_again_beside_it_is_never_quarantined():
    with CrashingFleet() as fleet:
        for upstream in fleet.upstreams:
            upstream.work_ms = 40
        harmless = []
        for _ in range(12):
            jobs = []
            for node in fleet.nodes:
                jobs.append(gevent.spawn(fleet.ask, node, "/read/harmless"))
                jobs.append(gevent.spawn(fleet.ask, node))
            gevent.joinall(jobs)
            harmless += [job.value for job in jobs[::2]]
            if all(fleet.is_refused(job.value) for job in jobs[1::2]):
                break
        assert not any(fleet.is_refused(answer) for answer in harmless)
        assert all(
            fleet.ask(node, "/read/harmless").status == 200 for node in fleet.nodes
        )
