import random

import pytest

from bilberry_balance.quarantine import Allowed, Quarantined, QuarantineTable

MEMBERS = tuple(f"n{i}" for i in range(5))
UPSTREAMS = [f"u{i}" for i in range(6)]
BACK_AFTER_MS = 3_000
TRIAL_MS = 1_000


class Fleet:
    """Send poison requests, which crash upstreams, among popular ones."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.tables = {name: QuarantineTable(name) for name in MEMBERS}
        for table in self.tables.values():
            table.set_members(MEMBERS)
        self.back_ms = dict.fromkeys(UPSTREAMS, 0)
        self.running = []
        self.lost = {}
        self.refused = set()
        self.resends = []

    def send_report(self, report, now_ms):
        for table in self.tables.values():
            table.merge(report, now_ms)

    def may_run(self, name, now_ms):
        node = self.rng.choice(MEMBERS)
        check = self.tables[node].check(name, now_ms)
        if isinstance(check, Allowed):
            return node, False
        if isinstance(check, Quarantined):
            self.refused.add(name)
            return None
        owner = self.tables[check.owner]
        granted = owner.begin_trial(name, now_ms, TRIAL_MS)
        return (node, True) if granted else None

    def send(self, name, now_ms):
        up = [u for u in UPSTREAMS if self.back_ms[u] <= now_ms]
        permit = self.may_run(name, now_ms) if up else None
        if permit is not None:
            ends_ms = now_ms + self.rng.randint(20, 200)
            self.running.append((ends_ms, name, *permit, self.rng.choice(up)))

    def send_again(self, now_ms):
        names, self.resends = self.resends, []
        for name in names:
            self.send(name, now_ms)
            if name not in [r[1] for r in self.running]:
                self.resends.append(name)

    def step(self, now_ms):
        due = sorted(r for r in self.running if r[0] <= now_ms)
        for request in due:
            if request not in self.running:
                continue
            _, name, node, _, upstream = request
            if name.startswith("poison"):
                self.crash(name, upstream, now_ms)
                continue
            self.running.remove(request)
            report = self.tables[node].on_success(name, now_ms)
            if report is not None:
                self.send_report(report, now_ms)

    def crash(self, poison, upstream, now_ms):
        self.lost[poison] = self.lost.get(poison, 0) + 1
        self.back_ms[upstream] = now_ms + BACK_AFTER_MS
        for request in [r for r in self.running if r[-1] == upstream]:
            self.running.remove(request)
            _, name, node, in_trial, _ = request
            self.resends.append(name)
            report = self.tables[node].on_crash(name, upstream, now_ms, in_trial)
            self.send_report(report, now_ms)


def run_fleet(seed):
    fleet = Fleet(seed)
    for now_ms in range(0, 60_000, 10):
        fleet.step(now_ms)
        fleet.send(f"popular-{fleet.rng.randrange(4)}", now_ms)
        fleet.send(f"single-{now_ms}", now_ms)
        for poison, from_ms in (("poison-a", 1_000), ("poison-b", 9_000)):
            if now_ms == from_ms:
                fleet.resends.append(poison)
        if now_ms % 50 == 0:
            fleet.send_again(now_ms)
    return fleet


@pytest.mark.parametrize("seed", range(10))
def test_each_poison_costs_two_upstreams_and_popular_requests_go_on(seed):
    fleet = run_fleet(seed)
    assert fleet.lost == {"poison-a": 2, "poison-b": 2}
    assert fleet.refused == {"poison-a", "poison-b"}
