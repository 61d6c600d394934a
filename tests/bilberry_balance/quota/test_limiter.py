"""Workspaces stay within their quotas over all nodes."""

import random

import pytest

from bilberry_balance.quota.limiter import QuotaLimiter
from bilberry_balance.quota.reports import QuotaBounds, QuotaReport, workspace_key
from bilberry_resources.routing import Workspace

BOUNDS = QuotaBounds(5_000, 0.1, 20)
STEP_MS = 50
REPORT_MS = 250


def workspace(rate_per_s=10.0, burst=10.0, name="w"):
    return Workspace(name, frozenset(), rate_per_s=rate_per_s, burst=burst)


def make_limiter(nodes=1, *workspaces, node="n0"):
    limiter = QuotaLimiter(node, BOUNDS)
    limiter.node_count = nodes
    limiter.set_workspaces(workspaces or [workspace()], 0)
    return limiter


def admit_all(limiter, count, now_ms, name="w"):
    return sum(limiter.admit(name, now_ms) is None for _ in range(count))


class Fleet:
    """Run nodes of one failure domain that hear each other."""

    def __init__(self, nodes=10):
        self.limiters = [make_limiter(nodes, node=f"n{i}") for i in range(nodes)]
        self.random = random.Random(1)
        self.now_ms = 0
        self.admitted = []
        self.refused = 0
        self.groups = [self.limiters]

    def report(self):
        for group in self.groups:
            for limiter in group:
                reports = limiter.make_reports(self.now_ms)
                limiter.record_reported(self.now_ms)
                for other in group:
                    if other is not limiter:
                        other.merge(limiter.node, reports, self.now_ms)

    def run(self, per_s, seconds):
        end_ms = self.now_ms + seconds * 1_000
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            if self.now_ms % REPORT_MS == 0:
                self.report()
            for group in self.groups:
                for limiter in group:
                    self.ask(limiter, per_s * STEP_MS / 1_000 / len(self.limiters))

    def ask(self, limiter, chance):
        if self.random.random() >= chance:
            return
        if limiter.admit("w", self.now_ms) is None:
            self.admitted.append(self.now_ms)
        else:
            self.refused += 1

    def worst_window(self):
        times = self.admitted
        return max(sum(t - 5_000 < u <= t for u in times) for t in times)


BOUND = (10 * 5 + 10) * 1.1 + 20


def test_a_workspace_far_below_its_limit_is_never_refused():
    """Equal shares of a small limit would refuse good callers."""
    fleet = Fleet()
    fleet.run(8, 60)
    assert fleet.refused <= len(fleet.admitted) / 500
    assert len(fleet.admitted) > 300


@pytest.mark.parametrize("usual", [2, 5, 9])
def test_a_jump_at_all_nodes_stays_within_the_bound(usual):
    """Others' counts show a jump late."""
    fleet = Fleet()
    fleet.run(usual, 20)
    fleet.run(usual * 7.5, 15)
    assert fleet.worst_window() <= BOUND


def test_a_workspace_over_its_limit_still_gets_most_of_it():
    """Too much caution would cost callers the quota they pay for."""
    fleet = Fleet()
    fleet.run(40, 20)
    late = [at for at in fleet.admitted if at > 10_000]
    assert len(late) >= 0.9 * 10 * 10


def test_two_halves_that_lose_each_other_stay_within_the_bound():
    """Each half would otherwise use the whole quota."""
    fleet = Fleet()
    fleet.run(40, 10)
    fleet.groups = [fleet.limiters[:5], fleet.limiters[5:]]
    fleet.run(40, 20)
    assert fleet.worst_window() <= BOUND


def test_what_nodes_that_died_used_counts_until_the_window_has_passed():
    """The rest would otherwise use again what has run already."""
    fleet = Fleet()
    fleet.run(40, 10)
    fleet.groups = [fleet.limiters[:5]]
    for limiter in fleet.limiters[:5]:
        limiter.node_count = 5
    fleet.run(80, 20)
    assert fleet.worst_window() <= BOUND


def test_a_node_that_hears_no_other_uses_a_small_share():
    """Many nodes that just started would together pass the bound."""
    limiters = [make_limiter(20, node=f"n{i}") for i in range(20)]
    assert 0 < sum(admit_all(limiter, 50, 100) for limiter in limiters) <= BOUND


def test_a_run_that_was_replaced_still_counts():
    """A node that restarts reports nothing of what it ran before."""
    limiter = make_limiter(2)
    limiter.merge("n1 1", [QuotaReport(workspace_key("w"), 60, 5)], 1_000)
    limiter.merge("n1 2", [], 1_500)
    assert admit_all(limiter, 100, 1_600) < 20
    limiter.merge("n1 2", [], 6_500)
    assert admit_all(limiter, 100, 6_600) > 20


def test_sums_of_other_domains_count():
    """Most nodes are known by the sums of their domain only."""
    limiter = make_limiter(14)
    reports = [QuotaReport(workspace_key("w"), 70, 0)]
    limiter.merge_domain("d", reports, 13, 1_000)
    assert 70 + admit_all(limiter, 1_000, 1_000) <= BOUND


def test_the_sums_of_the_own_domain_name_only_busy_workspaces():
    """Reports of idle workspaces would fill the datagrams."""
    limiter = make_limiter(2, workspace(), workspace(name="idle"))
    limiter.merge("n1", [QuotaReport(workspace_key("w"), 4, 2)], 1_000)
    limiter.admit("w", 1_000)
    assert limiter.make_reports(1_000) == [QuotaReport(workspace_key("w"), 1, 1)]
    expected = [QuotaReport(workspace_key("w"), 5, 3)]
    assert limiter.make_domain_reports(1_000) == expected


def test_a_lowered_limit_counts_what_ran_before():
    """A caller would otherwise get a new quota with each change."""
    limiter = make_limiter()
    assert admit_all(limiter, 20, 1_000) == 20
    limiter.set_workspaces([workspace(1.0, 0.0)], 1_100)
    assert admit_all(limiter, 50, 1_200) <= 1 * 5 * 1.1 + 20


def test_a_request_that_never_ran_gives_its_credit_back():
    """Refused placements would otherwise use up the quota."""
    limiter = make_limiter()
    before = admit_all(limiter, 200, 1_000)
    for _ in range(before):
        limiter.release("w", 1_000)
    limiter.admit("w", 1_000)
    assert limiter.make_reports(1_000)[0].used <= 1


def test_a_late_release_takes_nothing_from_later_requests():
    """Credit that has left the window can't be given back."""
    limiter = make_limiter()
    limiter.admit("w", 1_000)
    limiter.admit("w", 9_000)
    limiter.release("w", 9_100, 1_000)
    assert limiter.make_reports(9_100)[0].used == 1


def test_a_request_counts_from_when_it_is_sent():
    """Requests that waited would run beside a whole new window of others."""
    limiter = make_limiter()
    limiter.admit("w", 1_000)
    limiter.move("w", 1_000, 4_000)
    assert limiter.make_reports(8_500)[0].used == 1
    limiter.move("w", 4_000, 9_500)
    assert limiter.make_reports(14_000)[0].used == 1


def test_a_refused_caller_has_credit_at_the_time_it_is_told():
    """A caller that comes back in vain costs twice."""
    limiter = make_limiter()
    admit_all(limiter, 500, 1_000)
    refusal = limiter.admit("w", 1_050)
    assert 0 < refusal.retry_after_ms <= BOUNDS.window_ms + 100
    assert limiter.admit("w", 1_050 + refusal.retry_after_ms) is None


def test_a_rise_is_reported_early_once():
    """Others would otherwise admit by counts of before the rise."""
    limiter = make_limiter(2)
    limiter.merge("n1", [QuotaReport(workspace_key("w"), 30, 1)], 1_000)
    limiter.record_reported(1_000)
    assert not limiter.needs_early_report(1_200)
    admit_all(limiter, 8, 1_200)
    assert limiter.needs_early_report(1_200)
    limiter.make_reports(1_200)
    assert limiter.needs_early_report(1_200), "a summary was made, nothing was sent"
    limiter.record_reported(1_200)
    assert not limiter.needs_early_report(1_400)


def test_workspaces_without_a_limit_are_always_admitted():
    """A rate of 0 is no limit."""
    limiter = make_limiter(78, workspace(0.0, 0.0))
    assert admit_all(limiter, 1_000, 0) == 1_000
    assert limiter.make_reports(0) == []
