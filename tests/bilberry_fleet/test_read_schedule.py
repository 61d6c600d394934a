"""Test the schedule of store reads."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberry_fleet.const import CONFIG_KINDS
from bilberry_fleet.distribution import ConfigState
from bilberry_fleet.read_schedule import RESOURCE_VMS, ReadOperation, ReadSchedule
from bilberry_fleet.readiness import Readiness
from bilberry_fleet.settings import FleetSettings
from bilberry_store.wire import ObjectList

SLOTS = len(CONFIG_KINDS) + 2


@pytest.fixture
def reads():
    config, readiness = ConfigState(), Readiness()
    found = ReadSchedule(config, readiness, FleetSettings(), "vm-1")
    for read in found.due(0):
        if read.operation is ReadOperation.LIST and read.resource in CONFIG_KINDS:
            config.apply_list(read.resource, ObjectList(version=9))
            readiness.record_store(read.resource, 0)
        found.record_answer(read, True, 0)
    found.plan_version = 9
    return found


def test_each_kind_has_one_waiting_watch(reads):
    watches = reads.due(600)
    assert len(watches) == SLOTS - 1
    assert {w.timeout_ms for w in watches} == {FleetSettings().watch_ms}
    assert reads.due(700) == []


def test_a_single_short_read_probes_the_store_in_an_outage(reads):
    for read in reads.due(600):
        reads.record_failure(read, 1_000)
    assert reads.due(1_000) == []
    sent = [reads.due(now) for now in range(1_000, 30_000, 10)]
    probes = [read for batch in sent for read in batch]
    assert len(probes) == 1
    assert probes[0].timeout_ms == 0
    reads.record_answer(probes[0], True, 30_000)
    assert len(reads.due(30_000)) >= SLOTS - 2


def test_changes_that_are_gone_are_listed(reads):
    watch = reads.due(600)[-1]
    reads.record_gone(watch, 700)
    again = [r for r in reads.due(700) if r.resource == watch.resource]
    assert again[0].operation is ReadOperation.LIST


@settings(max_examples=60, derandomize=True)
@given(
    st.lists(st.integers(0, 20_000), min_size=1, max_size=6),
    st.integers(0, 10**9),
    st.integers(1, 300),
)
def test_some_reader_reads_the_vm_list_in_each_interval(starts, wall_ms, answer_ms):
    """Each reader's monotonic clock begins at its start."""
    interval_ms = FleetSettings().vms_ms
    times = []
    for turn, start_ms in enumerate(starts):
        schedule = ReadSchedule(
            ConfigState(), Readiness(), FleetSettings(), f"vm-{turn}"
        )
        schedule.vm_list_readers = len(starts)
        schedule.vm_list_turn = turn
        schedule.wall_offset_ms = wall_ms + start_ms
        now_ms = 0
        while now_ms + start_ms < 20_000 + 12 * interval_ms:
            for read in schedule.due(now_ms):
                if read.resource == RESOURCE_VMS:
                    times.append(now_ms + start_ms)
                    schedule.record_answer(read, True, now_ms + answer_ms)
            now_ms = max(now_ms + 1, schedule.states[RESOURCE_VMS].next_ms)
    times.sort()
    settled = 20_000 + len(starts) * interval_ms
    later = [time for time in times if time > settled]
    gaps = [after - before for before, after in itertools.pairwise(later)]
    assert max(gaps) <= interval_ms


@pytest.mark.parametrize("count", [4, 6])
def test_readers_take_over_the_turns_of_one_that_is_gone(count):
    interval_ms = FleetSettings().vms_ms
    names = [f"vm-{index}" for index in range(count)]
    schedules = {
        name: ReadSchedule(ConfigState(), Readiness(), FleetSettings(), name)
        for name in names
    }
    times = []
    for now_ms in range(0, 60 * interval_ms, 50):
        gone = names[(now_ms // (7 * interval_ms)) % count]
        known = [name for name in names if name != gone]
        for name in known:
            schedule = schedules[name]
            schedule.update_turns(lambda known=known: known, now_ms)
            for read in schedule.due(now_ms):
                if read.resource == RESOURCE_VMS:
                    times.append(now_ms)
                    schedule.record_answer(read, True, now_ms)
    settled = [time for time in times if time > 2 * count * interval_ms]
    gaps = [late - early for early, late in itertools.pairwise(settled)]
    assert max(gaps) <= interval_ms + interval_ms // 2
