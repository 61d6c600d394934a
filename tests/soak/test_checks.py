"""Each check of the soak finds the fault that it is made for."""

from dataclasses import replace

import pytest

from soak.checks import CHECKS, broken_promises
from soak.history import (
    Call,
    ColdTime,
    ConfigVersion,
    Departure,
    Disturbance,
    History,
    RateLimitTime,
    Run,
    UpstreamTime,
)

CALM_MS = 20_000


def answered(request_id, sent_ms, method="GET", target="/read/x", upstream="i-0"):
    """Return a call that an upstream answered well, and its run."""
    body = f"{upstream} ran {request_id}".encode()
    call = Call(
        request_id,
        method,
        target,
        "n0",
        sent_ms,
        ended_ms=sent_ms + 50,
        status=200,
        answer_id=request_id,
        body=body,
    )
    return call, Run(request_id, method, target, upstream, sent_ms + 10)


def sound_history():
    history = History(calm_from_ms=CALM_MS, ended_ms=60_000)
    for index in range(40):
        method, target = ("POST", "/book/x") if index % 2 else ("GET", "/read/x")
        call, run = answered(f"r{index}", index * 1_000, method, target)
        history.calls.append(call)
        history.runs.append(run)
    return history


def names_of(history):
    return {promise.partition(":")[0] for promise in broken_promises(history)}


def test_a_sound_history_breaks_nothing():
    assert broken_promises(sound_history()) == []


def test_the_answer_to_another_call_is_found():
    history = sound_history()
    history.calls[3].answer_id = "r2"
    assert names_of(history) == {"whole"}


def test_a_body_cut_short_is_found():
    history = sound_history()
    history.calls[3].body = history.calls[3].body[:-1]
    assert names_of(history) == {"whole"}


def test_a_success_that_no_upstream_gave_is_found():
    history = sound_history()
    del history.runs[4]
    assert names_of(history) == {"whole"}


def test_a_second_run_is_found_unless_it_may_be_repeated():
    history = sound_history()
    history.runs.append(replace(history.runs[2], upstream="i-1"))
    assert names_of(history) == set()
    history.runs.append(replace(history.runs[3], upstream="i-1"))
    assert names_of(history) == {"once"}


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_false_promise_that_nothing_ran_is_found(status):
    history = sound_history()
    history.calls[3].status = status
    assert names_of(history) == {"not-run"}


def test_a_gateway_error_promises_nothing():
    history = sound_history()
    history.calls[3].status = 502
    assert names_of(history) == set()


def test_a_run_that_nobody_asked_for_is_found():
    history = sound_history()
    history.runs.append(Run("smuggled", "GET", "/read/x", "i-0", 5_000))
    history.runs[6] = replace(history.runs[6], target="/read/y")
    assert names_of(history) == {"asked"}


def test_a_run_at_an_upstream_that_left_is_found_in_calm():
    history = sound_history()
    history.departures = [Departure("i-0", 34_000, limit_ms=4_000)]
    assert names_of(history) == {"leaving"}
    history.disturbances = [Disturbance("store-down", 32_000, 33_000, False)]
    assert names_of(history) == set()


def test_an_evacuated_upstream_may_run_again_once_it_is_back():
    history = sound_history()
    history.departures = [Departure("i-0", 10_000, 5_000, until_ms=15_005)]
    assert names_of(history) == set()


def test_a_cold_upstream_that_gets_too_much_is_found():
    history = sound_history()
    history.cold_times = [ColdTime("i-0", 9_000, 12_000, max_per_s=2)]
    assert names_of(history) == set()
    history.cold_times = [ColdTime("i-0", 9_000, 12_000, max_per_s=0.5)]
    assert names_of(history) == {"cold"}


def test_more_repeated_runs_than_all_nodes_may_make_are_found():
    history = sound_history()
    again = [replace(history.runs[2], upstream=f"i-{n}") for n in range(60)]
    history.runs += again
    assert names_of(history) == set()
    history.runs += again[:10]
    assert names_of(history) == {"retries"}


def add_config_calls(history, *statuses):
    history.versions = [ConfigVersion(7, "/v7/", accepted_ms=30_000)]
    for index, status in enumerate(statuses):
        call, run = answered(f"c{index}", 35_000 + index * 1_000, target="/v7/x")
        call.status = status
        history.calls.append(call)
        if status == 200:
            history.runs.append(run)


def test_a_node_without_a_configuration_in_force_is_found():
    history = sound_history()
    add_config_calls(history, 404)
    assert names_of(history) == {"config"}


def test_a_configuration_written_in_a_disturbance_counts_once_that_is_over():
    history = sound_history()
    add_config_calls(history, 404)
    history.disturbances = [Disturbance("store-restored", 29_000, 29_900, False)]
    assert names_of(history) == {"config"}
    history.disturbances = [Disturbance("store-restored", 29_000, 30_100, False)]
    assert names_of(history) == set()


def test_a_node_that_forgets_a_configuration_is_found():
    history = sound_history()
    add_config_calls(history, 200, 404)
    history.disturbances = [Disturbance("store-down", 29_000, 40_000, False)]
    assert names_of(history) == {"never-back"}
    history.disturbances.append(Disturbance("node-kill", 35_500, 36_500, False, "n0"))
    assert names_of(history) == set()


def test_a_request_that_a_planned_stop_cut_off_is_found():
    history = sound_history()
    history.calls[39].status = None
    history.calls[39].closed = True
    history.disturbances = [Disturbance("node-stop", 38_900, 45_000, True, "n0")]
    assert names_of(history) == {"cut"}
    history.disturbances.append(Disturbance("upstream-kill", 38_000, 39_000, False))
    assert names_of(history) == set()


def add_bound_runs(history, upstream, *began):
    """Add served calls to a path bound to mtl, from 30 s on to qc.

    They are sent 5 s before they run.
    """
    history.versions = [
        ConfigVersion(6, "/v6/", 0, until_ms=30_000, homes={"/home-a/": "mtl"}),
        ConfigVersion(7, "/v7/", 30_000, homes={"/home-a/": "qc"}),
    ]
    history.upstream_times = {
        "i-0": UpstreamTime("mtl", 0),
        "i-1": UpstreamTime("qc", 0),
    }
    for index, began_ms in enumerate(began):
        call, run = answered(f"h{index}", 0, target="/home-a/x", upstream=upstream)
        call.sent_ms, call.ended_ms = began_ms - 5_000, began_ms + 50
        history.calls.append(call)
        history.runs.append(replace(run, began_ms=began_ms))


def test_a_run_in_an_old_home_is_found_by_when_it_began():
    history = sound_history()
    add_bound_runs(history, "i-0", 10_000, 34_000)
    assert names_of(history) == set()
    add_bound_runs(history, "i-0", 34_001)
    assert names_of(history) == {"homes"}


def test_a_run_outside_a_home_that_never_moved_is_found():
    history = sound_history()
    add_bound_runs(history, "i-1", 30_001, 40_000)
    assert names_of(history) == set()
    add_bound_runs(history, "i-1", 10_000)
    assert names_of(history) == {"homes"}


def test_a_run_in_an_old_home_is_found_only_in_calm():
    history = sound_history()
    add_bound_runs(history, "i-0", 40_000)
    history.disturbances = [Disturbance("store-down", 33_000, 34_999, False)]
    assert names_of(history) == {"homes"}
    history.disturbances = [Disturbance("late-breaks", 33_000, 41_000, True)]
    assert names_of(history) == {"homes"}
    history.disturbances = [Disturbance("store-down", 33_000, 35_000, False)]
    assert names_of(history) == set()


def add_refused_calls(history, target, status=503):
    add_bound_runs(history, "i-1")
    for index in range(10):
        call, _ = answered(f"refused{index}", 35_000 + index, target=target)
        call.status = status
        history.calls.append(call)


def test_refusals_of_calls_whose_home_has_room_count_in_recovery():
    history = sound_history()
    add_refused_calls(history, "/home-a/x")
    assert names_of(history) == {"recovery"}


@pytest.mark.parametrize("reason", ["gone", "limited"])
def test_refusals_of_calls_whose_home_lost_its_room_do_not_count(reason):
    history = sound_history()
    add_refused_calls(history, "/home-a/x")
    if reason == "gone":
        history.upstream_times["i-1"].until_ms = 20_000
    else:
        history.rate_limits = [RateLimitTime("i-1", 20_000, 1.0)]
    assert names_of(history) == set()


@pytest.mark.parametrize(("target", "status"), [("/read/x", 503), ("/home-a/x", 502)])
def test_other_calls_not_served_count_where_a_region_lost_its_room(target, status):
    history = sound_history()
    add_refused_calls(history, target, status)
    history.upstream_times["i-1"].until_ms = 20_000
    assert names_of(history) == {"recovery"}


def test_callers_that_are_not_served_after_the_faults_are_found():
    history = sound_history()
    for call in history.calls[30:]:
        call.status = 502
    assert names_of(history) == {"recovery"}


def test_every_check_has_a_test_here():
    assert set(CHECKS) == {
        "whole",
        "once",
        "not-run",
        "asked",
        "leaving",
        "cold",
        "limit",
        "retries",
        "config",
        "homes",
        "never-back",
        "cut",
        "recovery",
    }


def test_more_requests_than_an_upstream_takes_are_found():
    history = sound_history()
    history.rate_limits = [RateLimitTime("i-0", 9_000, 1.0)]
    assert names_of(history) == set()
    for index in range(10):
        call, run = answered(f"more{index}", 30_000 + index)
        history.calls.append(call)
        history.runs.append(run)
    assert names_of(history) == {"limit"}
    history.rate_limits.append(RateLimitTime("i-0", 12_000, 8.0))
    assert names_of(history) == set()
