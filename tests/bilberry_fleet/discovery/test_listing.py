"""A list in pages is one state of the store, whatever changes meanwhile."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bilberry_core.outcome import Failure, Success
from bilberry_fleet.discovery.const import CATCH_UP_WAIT_MS
from bilberry_fleet.discovery.listing import read_snapshot
from bilberry_fleet.discovery.source import Change, Changes, Record, Snapshot
from bilberry_store.errors import StoreError, StoreErrorKind

from ...bilberry_router.entry.common import eventually
from .common import UNUSED_PROGRESS, FeedRig, History

NAMES = "abcdef"


class PagedHistory(History):
    """Serve a history in pages, each as of a later revision.

    `revisions` are those of the pages and of the reads after them. An answer
    to a read has `most_events` at most. With `keeps_revision` a deletion
    bears the revision of the object that it deletes.
    """

    def __init__(self, changes, revisions, page_items, most_events, keeps_revision):
        super().__init__(changes)
        self.revisions = revisions
        self.page_items = page_items
        self.most_events = most_events
        self.keeps_revision = keeps_revision
        self.exact_reads = 0

    def next_revision(self):
        return self.revisions.pop(0) if self.revisions else len(self.changes)

    def list(self, kind, progress):
        records, revisions, after = [], [], ""
        while True:
            revisions.append(self.next_revision())
            state = self.state_at(revisions[-1])
            names = sorted(name for name in state if name > after)
            page = names[: self.page_items]
            records += [Record(name, state[name], {}) for name in page]
            if len(names) <= len(page):
                return Success(Snapshot(records, min(revisions), max(revisions)))
            after = page[-1]

    def watch(self, kind, revision, wait_ms, may_be_stale, progress):
        assert (wait_ms, may_be_stale) == (CATCH_UP_WAIT_MS, False)
        self.exact_reads += 1
        as_of = min(self.next_revision(), revision + self.most_events)
        read = self.read(revision, as_of)
        if self.keeps_revision:
            for index, change in enumerate(read.changes):
                if change.deleted:
                    number = revision + index
                    name = change.record.name
                    known = self.state_at(number).get(name, number + 1)
                    record = Record(name, known, {})
                    read.changes[index] = Change(record, deleted=True)
        return Success(read)


@given(
    st.lists(st.tuples(st.sampled_from(NAMES), st.booleans()), min_size=1, max_size=40),
    st.lists(st.integers(1, 40), max_size=6),
    st.integers(1, 4),
    st.integers(1, 40),
    st.booleans(),
)
def test_pages_and_replayed_changes_make_one_state(
    changed, revisions, page_items, most_events, keeps_revision
):
    """Guard against leaving between pages, and replays older than a page."""
    revisions = sorted(min(revision, len(changed)) for revision in revisions)
    source = PagedHistory(changed, revisions, page_items, most_events, keeps_revision)
    snapshot = read_snapshot("servers", source, UNUSED_PROGRESS).unwrap()
    state = {record.name: record.revision for record in snapshot.records}
    assert state == source.state_at(snapshot.revision)
    assert snapshot.is_consistent


@pytest.mark.parametrize("deleted", [False, True])
def test_a_replayed_change_takes_no_record_back(deleted):
    """Guard against a state from before the page that showed the record."""
    listed = Snapshot([Record("a", 7, {}), Record("b", 3, {})], 5, 8)
    replayed = [Change(Record("a", 6, {}), deleted), Change(Record("b", 3, {}), True)]
    assert listed.with_changes(Changes(replayed, 6)).records == [Record("a", 7, {})]


def test_a_list_in_one_page_costs_one_call():
    source = PagedHistory([("a", False), ("b", False)], [2], 2, 9, False)
    snapshot = read_snapshot("servers", source, UNUSED_PROGRESS).unwrap()
    assert [record.name for record in snapshot.records] == ["a", "b"]
    assert source.exact_reads == 0


class OneRead:
    """Return a list of two revisions, and one answer to the read after it."""

    def __init__(self, answer):
        self.answer = answer

    def list(self, kind, progress):
        return Success(Snapshot([Record("a", 4, {})], 5, 7))

    def watch(self, kind, revision, wait_ms, may_be_stale, progress):
        return self.answer


def test_a_store_that_knows_of_no_change_between_the_pages_ends_the_list():
    snapshot = read_snapshot(
        "servers", OneRead(Success(Changes([], 5))), UNUSED_PROGRESS
    ).unwrap()
    assert (len(snapshot.records), snapshot.revision) == (1, 5)


def test_changes_that_lead_nowhere_fail_the_list():
    again = Changes([Change(Record("a", 4, {}), False)], 5)
    failed = read_snapshot("servers", OneRead(Success(again)), UNUSED_PROGRESS)
    assert failed.failure().kind is StoreErrorKind.REFUSED


def gone():
    return Failure(StoreError(kind=StoreErrorKind.GONE, reason="status 410"))


@pytest.fixture
def short_backoff(monkeypatch):
    monkeypatch.setattr("bilberry_fleet.discovery.feed.MS_PER_SECOND", 1_000_000)


def test_a_feed_lists_again_when_the_history_goes_between_two_pages(short_backoff):
    """Guard against a list that is used though its changes are unknown."""
    with FeedRig() as rig:
        rig.source.answers[1].set(gone())
        eventually(lambda: rig.source.calls[-1] == ("list",))
        rig.source.answer(2, Snapshot([Record("u11", 11, {})], 20, 22))
        assert rig.source.calls[3] == ("watch", 20, CATCH_UP_WAIT_MS, False)
        rig.source.answers[3].set(gone())
        eventually(lambda: rig.source.calls[-1] == ("list",))
        rig.source.answer(4, Snapshot([Record("u12", 12, {})], 30))
        assert rig.listener.applied == [[], [12]]


def test_no_exact_read_breaks_a_list_off():
    """Guard against a lost history that each exact read tells of again."""
    with FeedRig() as rig:
        rig.tell(14)
        rig.check()
        rig.source.answers[1].set(gone())
        eventually(lambda: rig.source.calls[-1] == ("list",))
        rig.check(10_000)
        assert rig.source.calls[-1] == ("list",)
        rig.source.answer(2, Snapshot([], 20))
        assert rig.source.calls[-1][1] == 20
