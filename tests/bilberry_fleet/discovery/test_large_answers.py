"""A feed reads no more of a large kind than it needs."""

import pytest

from bilberry_core.outcome import Failure
from bilberry_fleet.discovery.const import CATCH_UP_AFTER_MS, MIN_CHANGES_LIMIT_BYTES
from bilberry_fleet.discovery.read_progress import ARRIVING_MS, LARGE_ANSWER_BYTES
from bilberry_fleet.discovery.source import Record, Snapshot
from bilberry_store.errors import StoreError, StoreErrorKind

from ...bilberry_router.entry.common import eventually
from .common import FeedRig

TOO_LARGE = StoreError(kind=StoreErrorKind.TOO_LARGE, reason="the answer is too large")


def test_changes_that_are_larger_than_a_list_are_listed_in_place():
    with FeedRig() as rig:
        rig.source.answers[1].set(Failure(TOO_LARGE))
        eventually(lambda: rig.source.calls[-1] == ("list",))
        rig.source.answer(2, Snapshot([Record("u20", 20, {})], 20))
        assert rig.listener.applied[-1] == [20]
        assert rig.source.calls[3][1] == 20
        assert not rig.feed.breaker.is_open


def test_an_exact_read_of_too_many_changes_lists_in_place():
    with FeedRig() as rig:
        rig.tell(14)
        rig.check()
        rig.check(CATCH_UP_AFTER_MS)
        rig.source.answers[2].set(Failure(TOO_LARGE))
        eventually(lambda: rig.source.calls[-1] == ("list",))


@pytest.mark.parametrize(
    ("listed_bytes", "limit_bytes"),
    [(1_000, MIN_CHANGES_LIMIT_BYTES), (4_000_000, 6_000_000)],
)
def test_changes_may_take_somewhat_more_than_a_list(listed_bytes, limit_bytes):
    with FeedRig() as rig:
        rig.source.answers[1].set(Failure(TOO_LARGE))
        eventually(lambda: rig.source.calls[-1] == ("list",))
        assert rig.feed.progress.limit_bytes is None
        rig.source.answer(2, Snapshot([], 20, byte_count=listed_bytes))
        assert rig.feed.progress.limit_bytes == limit_bytes


def read_when_due(rig, byte_count, has_ended=False):
    """Let the watch bring bytes just before an exact read is due."""
    rig.tell(14)
    rig.check()
    rig.check(CATCH_UP_AFTER_MS - 1)
    rig.feed.progress.add(byte_count)
    if has_ended:
        rig.feed.progress.end()
    rig.check(1)
    return len(rig.exact_reads)


def test_no_second_read_is_begun_while_a_large_answer_arrives():
    with FeedRig() as rig:
        assert read_when_due(rig, LARGE_ANSWER_BYTES) == 0
        rig.check(ARRIVING_MS)
        assert len(rig.exact_reads) == 1


@pytest.mark.parametrize(
    ("byte_count", "has_ended"),
    [(LARGE_ANSWER_BYTES, True), (LARGE_ANSWER_BYTES - 1, False)],
    ids=["ended", "small"],
)
def test_no_other_answer_holds_up_an_exact_read(byte_count, has_ended):
    with FeedRig() as rig:
        assert read_when_due(rig, byte_count, has_ended) == 1
