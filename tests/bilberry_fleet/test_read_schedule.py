"""Test the schedule of store reads."""

import pytest

from bilberry_fleet.const import CONFIG_KINDS
from bilberry_fleet.distribution import ConfigState
from bilberry_fleet.read_schedule import ReadOperation, ReadSchedule
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
