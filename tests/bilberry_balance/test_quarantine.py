from bilberry_balance.quarantine import (
    Allowed,
    Quarantined,
    QuarantineTable,
    TrialRequired,
)
from bilberry_balance.suspects import request_fingerprint

FINGERPRINT = request_fingerprint("POST", "/orders", b"{}")
MEMBERS = ("n1", "n2", "n3")


def tables():
    tables_by_node = {name: QuarantineTable(name) for name in MEMBERS}
    for table in tables_by_node.values():
        table.set_members(MEMBERS)
    return tables_by_node


def send_report(report, tables_by_node, now_ms):
    for table in tables_by_node.values():
        table.merge(report, now_ms)


def test_a_poison_request_costs_the_fleet_two_upstreams():
    tables_by_node = tables()
    lost = 0
    for now_ms in range(0, 30_000, 100):
        node = tables_by_node[MEMBERS[now_ms % 3]]
        check = node.check(FINGERPRINT, now_ms)
        if isinstance(check, Quarantined):
            continue
        in_trial = isinstance(check, TrialRequired)
        if in_trial:
            assert tables_by_node[check.owner].begin_trial(FINGERPRINT, now_ms, 1_000)
        lost += 1
        report = node.on_crash(FINGERPRINT, f"u{lost}", now_ms, in_trial)
        send_report(report, tables_by_node, now_ms)
    assert lost == 2


def test_a_restarted_upstream_that_dies_again_counts_again():
    table = QuarantineTable("n1")
    table.on_crash(FINGERPRINT, "u1", 0)
    table.on_crash(FINGERPRINT, "u1", 500)
    assert isinstance(table.check(FINGERPRINT, 500), TrialRequired)
    table.on_crash(FINGERPRINT, "u1", 9_000, in_trial=True)
    assert isinstance(table.check(FINGERPRINT, 9_000), Quarantined)


def test_a_trial_that_dies_at_the_same_upstream_counts_again():
    table = QuarantineTable("n1")
    table.on_crash(FINGERPRINT, "u1", 0)
    assert table.begin_trial(FINGERPRINT, 10, 1_000)
    report = table.on_crash(FINGERPRINT, "u1", 20, in_trial=True)
    assert isinstance(table.check(FINGERPRINT, 20), Quarantined)
    peer = QuarantineTable("n2")
    peer.merge(report, 30)
    assert isinstance(peer.check(FINGERPRINT, 30), Quarantined)


def test_trials_run_one_at_a_time():
    table = QuarantineTable("n1")
    table.on_crash(FINGERPRINT, "u1", 0)
    assert table.begin_trial(FINGERPRINT, 10, 1_000)
    assert not table.begin_trial(FINGERPRINT, 20, 1_000)
    table.end_trial(FINGERPRINT)
    assert table.begin_trial(FINGERPRINT, 30, 1_000)


def test_all_that_died_in_one_crash_are_tried_one_after_the_other():
    table = QuarantineTable("n1")
    table.on_crash(FINGERPRINT, "u1", 0)
    table.on_crash("innocent", "u1", 0)
    assert table.begin_trial(FINGERPRINT, 10, 1_000)
    assert not table.begin_trial("innocent", 10, 1_000)
    table.on_crash(FINGERPRINT, "u2", 20, in_trial=True)
    assert table.begin_trial("innocent", 30, 1_000)


def test_a_trial_that_was_shed_elsewhere_is_ended_by_its_report():
    table = QuarantineTable("n1")
    table.on_crash(FINGERPRINT, "u1", 0)
    assert table.begin_trial(FINGERPRINT, 10, 1_000)
    table.merge(QuarantineTable("n2").end_trial(FINGERPRINT), 20)
    assert isinstance(table.check(FINGERPRINT, 20), TrialRequired)
    assert table.begin_trial(FINGERPRINT, 20, 1_000)


def test_an_innocent_in_flight_is_cleared_by_its_trial():
    tables_by_node = tables()
    send_report(tables_by_node["n1"].on_crash(FINGERPRINT, "u1", 0), tables_by_node, 0)
    assert isinstance(tables_by_node["n2"].check(FINGERPRINT, 1), TrialRequired)
    send_report(tables_by_node["n2"].on_success(FINGERPRINT, 5), tables_by_node, 5)
    send_report(
        tables_by_node["n3"].on_crash(FINGERPRINT, "u2", 50), tables_by_node, 50
    )
    assert isinstance(tables_by_node["n1"].check(FINGERPRINT, 60), TrialRequired)


def test_a_late_clearing_does_not_lift_a_quarantine():
    table = QuarantineTable("n1")
    report = table.on_success(FINGERPRINT, 0)
    assert report is None
    table.on_crash(FINGERPRINT, "u1", 0)
    cleared = QuarantineTable("n2")
    cleared.on_crash(FINGERPRINT, "u1", 0)
    report = cleared.on_success(FINGERPRINT, 10)
    table.on_crash(FINGERPRINT, "u2", 10, in_trial=True)
    table.merge(report, 20)
    assert isinstance(table.check(FINGERPRINT, 20), Quarantined)


def test_quarantine_ends_and_memory_stays_bounded():
    table = QuarantineTable("n1", max_suspects=10)
    table.on_crash(FINGERPRINT, "u1", 0)
    table.on_crash(FINGERPRINT, "u2", 0, in_trial=True)
    for index in range(50):
        table.on_crash(f"other-{index}", "u1", 0)
    assert len(table.suspects) == 10
    assert isinstance(table.check(FINGERPRINT, 299_999), Quarantined)
    assert isinstance(table.check(FINGERPRINT, 300_000), Allowed)
