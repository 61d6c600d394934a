"""Suspects that need several crashes, as nodes tell each other of them."""

import msgspec

from bilberry_balance.const import MAX_SUSPECT_REPORTS, SHARED_REPORT_MAX_AGE_MS
from bilberry_balance.quarantine import (
    Allowed,
    Quarantined,
    QuarantineTable,
    TrialRequired,
)
from bilberry_balance.suspects import CrashLimits, request_fingerprint

BAD = request_fingerprint("GET shop.example", "/a/1", b"")
GOOD = request_fingerprint("GET shop.example", "/a/2", b"")
LIMITS = CrashLimits(to_suspect=2, to_quarantine=3)


def table(name="n1"):
    return QuarantineTable(name, limits=LIMITS)


def tables(count=3):
    return [table(f"n{index}") for index in range(count)]


def share(sender, receivers, now_ms, limit=MAX_SUSPECT_REPORTS):
    for receiver in receivers:
        if receiver is not sender:
            for report in sender.recent_reports(now_ms, limit):
                receiver.merge(report, now_ms)


def aged(report, later_ms):
    crashes = tuple(
        msgspec.structs.replace(crash, ago_ms=crash.ago_ms + later_ms)
        for crash in report.crashes
    )
    return msgspec.structs.replace(report, crashes=crashes)


def test_the_third_crash_quarantines_in_a_trial():
    one = table()
    assert isinstance(one.check(BAD, 0), Allowed)
    one.on_crash(BAD, "u0", 0)
    assert isinstance(one.check(BAD, 3_000), Allowed)
    one.on_crash(BAD, "u1", 3_000)
    assert isinstance(one.check(BAD, 6_000), TrialRequired)
    one.on_crash(BAD, "u2", 6_000, in_trial=True)
    assert isinstance(one.check(BAD, 6_000), Quarantined)
    assert isinstance(one.check(GOOD, 6_000), Allowed)


def test_lost_answers_outside_of_trials_never_quarantine():
    one = table()
    for index in range(20):
        one.on_crash(GOOD, f"u{index}", index * 100)
    assert isinstance(one.check(GOOD, 2_000), TrialRequired)


def test_an_answer_clears_an_unrelated_request():
    one = table()
    one.on_crash(GOOD, "u0", 0)
    one.on_crash(GOOD, "u1", 3_000)
    one.on_success(GOOD, 4_000)
    one.on_crash(GOOD, "u2", 6_000)
    assert isinstance(one.check(GOOD, 7_000), Allowed)


def test_crashes_seen_by_different_nodes_add_up():
    nodes = tables()
    for index, node in enumerate(nodes):
        at_ms = index * 3_000
        node.on_crash(BAD, f"u{index}", at_ms, in_trial=index == 2)
        share(node, nodes, at_ms + 200)
    assert all(isinstance(node.check(BAD, 10_000), Quarantined) for node in nodes)


def test_only_recent_crashes_are_sent_to_peers_and_few_at_once():
    one = table()
    for index in range(3 * MAX_SUSPECT_REPORTS):
        one.on_crash(f"f{index}", "u0", 0)
    assert len(one.recent_reports(200, MAX_SUSPECT_REPORTS)) == MAX_SUSPECT_REPORTS
    late_ms = SHARED_REPORT_MAX_AGE_MS + 1
    assert one.recent_reports(late_ms, MAX_SUSPECT_REPORTS) == []


def test_quarantined_requests_are_told_first_and_for_as_long_as_they_last():
    one, started = tables(2)
    for index in range(3):
        one.on_crash(BAD, f"u{index}", index, in_trial=index == 2)
    for index in range(3 * MAX_SUSPECT_REPORTS):
        one.on_crash(f"f{index}", "u0", 200_000)
    share(one, [started], 200_100, limit=1)
    assert isinstance(started.check(BAD, 200_100), Quarantined)
    assert isinstance(started.check(BAD, 300_200), Allowed)


def test_quarantined_requests_hide_no_recent_crash():
    one, other = tables(2)
    for index in range(3):
        one.on_crash(BAD, f"u{index}", index, in_trial=index == 2)
    share(one, [other], 100)
    other.on_crash(GOOD, "u7", 50_000)
    share(one, [other], 50_100)
    told = [r.fingerprint for r in other.recent_reports(50_200, MAX_SUSPECT_REPORTS)]
    assert told == [BAD, GOOD]


def test_a_request_that_other_nodes_answer_in_between_is_not_suspect():
    """Identical requests meet three crashes by chance."""
    nodes = tables()
    for index, node in enumerate(nodes):
        at_ms = index * 3_000
        node.on_crash(GOOD, f"u{index}", at_ms)
        share(node, nodes, at_ms + 500)
        for other in nodes:
            other.on_success(GOOD, at_ms + 600)
        for sender in nodes:
            share(sender, nodes, at_ms + 900)
    assert all(isinstance(node.check(GOOD, 10_000), Allowed) for node in nodes)


def test_a_clearance_reaches_nodes_that_saw_no_answer():
    one, other = tables(2)
    one.on_crash(GOOD, "u0", 0)
    one.on_crash(GOOD, "u1", 3_000)
    share(one, [other], 3_200)
    other.on_success(GOOD, 3_300)
    share(other, [one], 3_400)
    one.on_crash(GOOD, "u2", 5_000)
    assert isinstance(one.check(GOOD, 6_000), Allowed)


def test_a_clearance_leaves_later_crashes():
    one, other = tables(2)
    one.on_crash(BAD, "u0", 0)
    one.on_crash(BAD, "u1", 1_000)
    share(one, [other], 1_000)
    other.on_success(BAD, 1_500)
    one.on_crash(BAD, "u2", 2_000)
    one.on_crash(BAD, "u3", 2_400)
    share(other, [one], 2_500)
    assert one.suspects[BAD].upstreams() == {"u2", "u3"}


def test_old_crash_reports_bring_no_suspicion_back():
    one, other = tables(2)
    one.on_crash(GOOD, "u0", 0)
    old = one.recent_reports(200, MAX_SUSPECT_REPORTS)
    share(one, [other], 200)
    other.on_success(GOOD, 300)
    for report in old:
        other.merge(aged(report, 300), 500)
    assert not other.suspects
    one.on_crash(GOOD, "u1", 4_000)
    share(one, [other], 4_200)
    assert len(other.suspects) == 1


def test_a_report_that_arrives_late_counts_no_crash_twice():
    one, other = tables(2)
    one.on_crash(BAD, "u0", 0)
    share(one, [other], 100)
    for report in one.recent_reports(100, MAX_SUSPECT_REPORTS):
        other.merge(report, 8_000)
    assert isinstance(other.check(BAD, 8_000), Allowed)


def test_a_crash_that_did_not_happen_is_taken_back_everywhere():
    one, other = tables(2)
    one.on_crash(GOOD, "u0", 0)
    one.on_crash(GOOD, "u1", 5_000)
    share(one, [other], 5_100)
    report = one.withdraw_crash(GOOD, "u1", 5_000, 6_000)
    other.merge(report, 6_050)
    for node in (one, other):
        assert isinstance(node.check(GOOD, 6_100), Allowed)
        assert node.suspects[GOOD].upstreams() == {"u0"}


def test_a_request_that_is_never_answered_stays_suspect_everywhere():
    nodes = tables()
    for index, node in enumerate(nodes):
        node.on_crash(BAD, f"u{index}", index * 3_000)
        share(node, nodes, index * 3_000 + 200)
    assert all(isinstance(node.check(BAD, 8_000), TrialRequired) for node in nodes)


def test_very_many_crashes_take_bounded_memory_and_are_still_proved():
    one = table()
    for index in range(100):
        one.on_crash(BAD, f"u{index}", index * 10)
    one.on_crash(BAD, "last", 2_000, in_trial=True)
    assert len(one.suspects[BAD].crashes) < 20
    assert isinstance(one.check(BAD, 2_000), Quarantined)


def shared_crash():
    """Return a table where both were lost as a trial of `GOOD` crashed."""
    one = table()
    for index in range(2):
        one.on_crash(BAD, f"u{index}", index * 2_000)
        one.on_crash(GOOD, f"u{index}", index * 2_000)
    one.on_crash(BAD, "u9", 3_000)
    one.on_crash(BAD, "u2", 5_000)
    one.on_crash(GOOD, "u2", 5_100, in_trial=True)
    return one


def test_a_crash_of_two_suspects_quarantines_neither():
    one = shared_crash()
    assert isinstance(one.check(GOOD, 5_200), TrialRequired)
    assert isinstance(one.check(BAD, 5_200), TrialRequired)


def test_the_less_suspected_of_a_crash_is_tried_first():
    one = shared_crash()
    assert one.begin_trial(GOOD, 5_200, 1_000, "u5", "n1:1")
    one.on_crash(BAD, "u6", 6_000, in_trial=True)
    one.on_crash(GOOD, "u6", 6_000)
    assert not one.begin_trial(BAD, 6_100, 1_000, "u7", "n2:1")
    one.on_success(GOOD, 6_300)
    assert isinstance(one.check(BAD, 6_400), Quarantined)


def test_a_suspect_whose_companion_never_returns_is_tried_later():
    one = shared_crash()
    one.on_crash(BAD, "u6", 6_000, in_trial=True)
    one.on_crash(GOOD, "u6", 6_000)
    assert not one.begin_trial(BAD, 6_100, 1_000, "u7", "n2:1")
    assert one.begin_trial(BAD, 12_000, 1_000, "u7", "n2:1")


def test_a_node_learns_what_else_was_lost_in_the_crash_of_a_trial():
    owner, other = tables(2)
    for index in range(3):
        owner.on_crash(BAD, f"u{index}", index * 2_000)
        other.on_crash(GOOD, f"u{index}", index * 2_000, in_trial=index == 2)
    assert isinstance(other.check(GOOD, 4_100), Quarantined)
    for report in other.reports(4_100, 10):
        owner.merge(report, 4_100)
        for known in owner.reports_beside(report, 4_100):
            other.merge(known, 4_100)
    assert isinstance(other.check(GOOD, 4_200), TrialRequired)
