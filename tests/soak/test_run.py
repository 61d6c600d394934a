"""Nodes as processes keep their promises through short runs."""

import gevent

from soak.checks import CONFIG_LIMIT_MS
from soak.run import QUICK_SIZE, Size, SoakRun

from .regressions import (
    BREAKS_BESIDE_SWAPPED_HOMES,
    LARGE_VERSIONS_IN_A_ROW,
    LAST_UPSTREAM_OF_A_REGION,
    RATE_LIMITS_BESIDE_RESTARTS,
    STORE_FROM_A_COPY,
)

SEED = 1
SLOW_STORE_SIZE = Size(
    nodes=3,
    upstreams=4,
    callers=6,
    faults_ms=8_000,
    store_delay_ms=30,
    extra_routes=2_800,
)
TWO_UPSTREAMS_PER_ZONE_SIZE = Size(nodes=3, upstreams=6, callers=24, faults_ms=3_000)


def broken_in(run):
    broken = gevent.spawn(run.play).get()
    return [*broken, run.summary(broken)] if broken else []


def test_a_seeded_run_breaks_no_promise(tmp_path):
    assert broken_in(SoakRun(SEED, QUICK_SIZE, tmp_path)) == []


def test_callers_whose_region_loses_its_last_upstream_are_served(tmp_path):
    run = SoakRun(8, QUICK_SIZE, tmp_path)
    run.schedule = list(LAST_UPSTREAM_OF_A_REGION)
    assert broken_in(run) == []


def test_upstreams_with_a_rate_limit_get_no_more_beside_restarts(tmp_path):
    run = SoakRun(3, QUICK_SIZE, tmp_path)
    run.schedule = list(RATE_LIMITS_BESIDE_RESTARTS)
    assert broken_in(run) == []
    assert run.history.rate_limits


def test_nodes_know_what_was_written_to_a_store_that_came_back_older(tmp_path):
    run = SoakRun(5, QUICK_SIZE, tmp_path)
    run.schedule = list(STORE_FROM_A_COPY)
    assert broken_in(run) == []


def test_nodes_know_large_configurations_that_arrive_slowly(tmp_path):
    run = SoakRun(6, SLOW_STORE_SIZE, tmp_path)
    run.schedule = list(LARGE_VERSIONS_IN_A_ROW)
    assert broken_in(run) == []


def test_requests_that_break_off_late_are_repeated_in_their_new_home(tmp_path):
    run = SoakRun(7, TWO_UPSTREAMS_PER_ZONE_SIZE, tmp_path)
    run.schedule = list(BREAKS_BESIDE_SWAPPED_HOMES)
    assert broken_in(run) == []
    limit_ms = run.history.versions[-1].accepted_ms + CONFIG_LIMIT_MS
    repeated = [runs[1:] for runs in run.history.runs_by_id().values()]
    assert any(again.began_ms > limit_ms for runs in repeated for again in runs)
