"""A feed never compares revisions of two eras of the store."""

from dataclasses import replace

import gevent

from bilberry_core.outcome import Failure, Success
from bilberry_fleet.discovery.const import CATCH_UP_AFTER_MS
from bilberry_fleet.discovery.listing import read_snapshot
from bilberry_fleet.discovery.messages import Heartbeat, NodeInfo
from bilberry_fleet.discovery.nodes import PeerTable
from bilberry_fleet.discovery.source import Record, Snapshot
from bilberry_store.errors import StoreError, StoreErrorKind

from .common import UNUSED_PROGRESS, FeedRig, changes


def settle():
    for _ in range(5):
        gevent.sleep(0)


def of_era(era, *revisions):
    return replace(changes(*revisions), era=era)


def listed(era, revision):
    return Snapshot([Record("u", revision, {})], revision, era=era)


class EraRig(FeedRig):
    """A feed that has listed revision 10 in era 1."""

    def __enter__(self):
        self.feed.start()
        gevent.sleep(0)
        self.source.answer(0, Snapshot([], 10, era=1))
        return self

    @property
    def lists(self):
        return self.source.calls.count(("list",))


def test_changes_of_a_later_era_are_not_applied_but_listed():
    with EraRig() as rig:
        rig.source.answer(1, of_era(2, 11))
        settle()
        assert rig.source.calls[-1] == ("list",)
        rig.source.answer(2, listed(2, 11))
        assert rig.listener.applied == [[], "restored", [11]]
        assert rig.feed.store_era.value == 2


def test_an_outdated_answer_of_an_earlier_era_changes_nothing(monkeypatch):
    monkeypatch.setattr("bilberry_fleet.discovery.feed.BATCH_PAUSE_MS", 0)
    with EraRig() as rig:
        rig.source.answer(1, of_era(2, 11))
        settle()
        rig.source.answer(2, listed(2, 5))
        rig.source.answer(3, of_era(1, 12))
        settle()
        assert rig.listener.applied[-1] == [5]
        assert rig.feed.revision == 5


def test_an_answer_that_names_no_era_is_applied():
    with EraRig() as rig:
        rig.source.answer(1, changes(11))
        assert rig.listener.applied[-1] == [11]


def test_a_list_that_went_back_begins_an_era_though_none_is_named():
    with FeedRig() as rig:
        gone = StoreError(kind=StoreErrorKind.GONE, reason="status 410")
        rig.source.answers[1].set(Failure(gone))
        settle()
        rig.source.answer(2, Snapshot([], 7))
        assert rig.listener.applied == [[], "restored", []]


def test_revisions_of_another_era_tell_nothing():
    with EraRig() as rig:
        rig.tell(99, era=1)
        rig.source.answer(1, of_era(2, 11))
        settle()
        rig.source.answer(2, listed(2, 5))
        rig.feed.on_peers_revision(1, 99, rig.clock.now_ms())
        rig.check()
        rig.check(CATCH_UP_AFTER_MS)
        assert rig.exact_reads == []
        assert rig.feed.revision_in(1) == 0


def test_a_silent_watch_is_given_up_when_peers_name_a_later_era():
    with EraRig() as rig:
        rig.tell(3, era=2)
        rig.check()
        settle()
        assert rig.source.calls[-1] == ("list",)
        rig.source.answer(2, listed(2, 3))
        assert rig.listener.applied[-1] == [3]


def test_an_exact_read_from_before_a_return_is_dropped():
    with EraRig() as rig:
        rig.tell(14, era=1)
        rig.check()
        rig.check(CATCH_UP_AFTER_MS)
        assert len(rig.exact_reads) == 1
        rig.source.answer(1, of_era(2, 11))
        settle()
        rig.source.answer(3, listed(2, 5))
        rig.source.answer(2, of_era(2, 12))
        assert rig.feed.revision == 5
        assert rig.listener.applied[-1] == [5]


def test_an_era_that_the_store_does_not_confirm_is_sought_once():
    with EraRig() as rig:
        rig.tell(3, era=9)
        rig.check()
        settle()
        rig.source.answer(2, listed(1, 10))
        rig.check()
        settle()
        assert rig.lists == 2


def test_the_probe_of_a_store_that_is_down_is_not_given_up():
    with EraRig() as rig:
        rig.feed.breaker.on_failure(False, rig.clock.now_ms())
        rig.tell(3, era=2)
        rig.check()
        settle()
        assert rig.lists == 1
        rig.feed.breaker.on_answer()
        rig.check()
        settle()
        assert rig.lists == 2


def test_a_list_that_the_return_of_the_store_cuts_is_made_again():
    class Source:
        def list(self, kind, progress):
            return Success(Snapshot([], 5, latest_revision=7, era=1))

        def watch(self, kind, revision, wait_ms, may_be_stale, progress):
            return Success(of_era(2, 6))

    failed = read_snapshot("servers", Source(), UNUSED_PROGRESS)
    assert failed.failure().kind is StoreErrorKind.GONE


def test_a_summary_holds_revisions_of_one_era():
    def info(name):
        return NodeInfo(name, f"run-{name}", "", "", "d0", "r0")

    peers = PeerTable(info("n0"))
    for name, era, revision in (("n1", 1, 90), ("n2", 2, 8)):
        beat = Heartbeat(
            info(name), 1, True, 1, {}, revisions=[revision], store_era=era
        )
        peers.on_heartbeat(beat, 0)
    own = Heartbeat(info("n0"), 1, True, 1, {}, revisions=[5], store_era=2)
    summary = peers.summarize(own, False, 0)
    assert (summary.store_era, summary.revisions) == (2, [8])
