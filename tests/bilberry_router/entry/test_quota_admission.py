"""Requests over the quota of their workspace get 429 and don't run."""

import logging
from dataclasses import replace

import pytest

from bilberry_balance.quota.reports import QuotaBounds
from bilberry_router.entry.counts import AnswerKind

from .common import SHARED_LIMITS, Rig, eventually
from .test_access import bearer, keyed_config, workspace

BOUNDS = QuotaBounds(5_000, 0.1, 4)
# Of 1 request a second and a burst of 2.
MOST = 12


@pytest.fixture
def rig():
    with Rig() as running:
        running.state.set_shared_limits(replace(SHARED_LIMITS, quota=BOUNDS))
        running.state.record_node_list()
        limited = workspace(rate_per_s=1.0, burst=2.0)
        running.state.install(keyed_config(2, limited))
        yield running


def ask(rig, index, target="/read/x"):
    return rig.ask(target, request_id=f"r{index}", headers=(bearer(),))


def used(rig):
    reports = rig.state.quotas.make_reports(rig.clock.now_ms())
    return sum(report.used for report in reports)


def test_requests_over_the_quota_get_429_with_the_time_of_new_credit(rig, caplog):
    """A caller that isn't told when to come back asks again at once."""
    caplog.set_level(logging.INFO)
    answers = [ask(rig, index) for index in range(30)]
    refused = [answer for answer in answers if answer.status == 429]
    assert len(rig.ran) == 30 - len(refused) <= MOST
    for answer in refused:
        assert 0 < float(answer.headers["retry-after"]) <= 5
    counts = rig.state.counts
    assert counts.quotas["admitted"] == len(rig.ran)
    assert counts.quotas["limit"] == len(refused)
    kinds = {labels.kind for labels in counts.answers}
    assert kinds == {AnswerKind.ANSWERED, AnswerKind.NOT_RUN}
    lines = [r for r in caplog.records if "over their quotas" in r.getMessage()]
    assert len(lines) == 1


def test_a_request_that_is_sent_to_no_upstream_gives_its_credit_back(rig):
    """Requests that find no upstream would use up the quota."""
    assert ask(rig, 1, "/empty/x").status == 503
    assert used(rig) == 0
    assert ask(rig, 2).status == 200
    assert used(rig) == 1


def test_a_request_that_all_upstreams_reject_gives_its_credit_back(rig):
    """Upstreams under load would use up the quota without running anything."""
    for upstream in rig.upstreams:
        upstream.faults.shed_next = 5
    assert ask(rig, 1).status == 503
    assert used(rig) == 0


def test_a_request_whose_caller_leaves_while_it_runs_keeps_its_credit(rig):
    """It has run; else a node would send more than the quota."""
    release = rig.hold()
    client = rig.client()
    client.send("/read/x", headers=(bearer(),))
    eventually(lambda: len(rig.ran) == 1)
    client.reset()
    eventually(lambda: sum(rig.state.counts.answers.values()) == 1)
    assert used(rig) == 1
    release.set()


def test_a_retry_in_the_node_takes_no_further_credit(rig):
    """Callers don't pay for the failures of upstreams."""
    for upstream in rig.upstreams:
        upstream.faults.script = [None]
    ask(rig, 1)
    assert rig.state.counts.attempts.total() == 2
    assert used(rig) == 1


def test_a_request_that_waits_is_counted_once(rig):
    """A request that is counted anew when it is sent would count twice."""
    rig.state.install(keyed_config(3, workspace(rate_per_s=10.0, burst=10.0)))
    release = rig.hold()
    clients = []
    for index in range(9):
        clients.append(rig.client())
        clients[-1].send("/any/x", request_id=f"r{index}", headers=(bearer(),))
    eventually(lambda: rig.queued == 1)
    assert used(rig) == 9
    release.set()
    assert [client.answer().status for client in clients] == [200] * 9
    assert used(rig) == 9


def test_a_node_that_knows_no_other_uses_a_small_part():
    """A node that can't read the list of nodes is not the only one."""
    with Rig() as rig:
        rig.state.set_shared_limits(replace(SHARED_LIMITS, quota=BOUNDS))
        rig.state.install(keyed_config(2, workspace(rate_per_s=100.0)))
        statuses = [ask(rig, index).status for index in range(30)]
        assert statuses.count(200) <= 2
        assert rig.state.counts.quotas["unreachable_nodes"] >= 28


def test_without_the_settings_no_quotas_are_kept():
    """Earlier deployments are served as before."""
    with Rig() as rig:
        rig.state.install(keyed_config(2, workspace(rate_per_s=0.1)))
        assert [ask(rig, index).status for index in range(30)] == [200] * 30
        assert rig.state.quotas is None
        assert not rig.state.counts.quotas
