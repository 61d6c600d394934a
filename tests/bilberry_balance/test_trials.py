"""Trials that could be taken for each other never run together."""

from bilberry_balance.trials import Trial, TrialTable


def trial(fingerprint, upstream="", holder="n1/1", crashed=(), expires_ms=1_000):
    return Trial(fingerprint, holder, expires_ms, upstream, frozenset(crashed))


def test_two_suspects_are_not_tried_at_one_upstream():
    trials = TrialTable()
    assert trials.begin(trial("a", "u1"), 0)
    assert not trials.begin(trial("b", "u1", "n2/1"), 0)
    assert trials.begin(trial("b", "u2", "n2/2"), 0)


def test_a_suspect_is_tried_at_one_upstream_only():
    trials = TrialTable()
    assert trials.begin(trial("a", "u1"), 0)
    assert not trials.begin(trial("a", "u2", "n2/1"), 0)


def test_a_call_that_is_sent_again_gets_the_same_leave():
    trials = TrialTable()
    assert trials.begin(trial("a", "u1", "n1/7"), 0)
    assert trials.begin(trial("a", "u1", "n1/7"), 50)


def test_suspects_of_one_crash_wait_where_their_upstream_is_not_known():
    trials = TrialTable()
    assert trials.begin(trial("a", crashed={"u0", "u1"}), 0)
    assert not trials.begin(trial("b", holder="n2/1", crashed={"u1"}), 0)
    assert trials.begin(trial("c", holder="n2/2", crashed={"u3"}), 0)


def test_a_trial_that_is_never_ended_expires():
    trials = TrialTable()
    assert trials.begin(trial("a", "u1"), 0)
    assert trials.begin(trial("b", "u1", "n2/1"), 1_000)
