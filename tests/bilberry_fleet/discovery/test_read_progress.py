"""An answer of the store may take long while it goes on arriving."""

from bilberry_core.clock import ManualClock
from bilberry_fleet.discovery.const import MAX_ARRIVAL_MS, MAX_ARRIVAL_PAUSE_MS
from bilberry_fleet.discovery.read_progress import LARGE_ANSWER_BYTES, ReadProgress

STEP_MS = 500


def test_each_part_of_an_answer_gives_the_next_one_time():
    clock = ManualClock()
    progress = ReadProgress(clock)
    for _ in range(4):
        clock.advance(STEP_MS)
        assert progress.add(1) == clock.now_ms() + MAX_ARRIVAL_PAUSE_MS
    assert (progress.byte_count, progress.took_ms) == (4, 3 * STEP_MS)


def test_an_answer_that_trickles_without_end_is_given_up():
    clock = ManualClock()
    progress = ReadProgress(clock)
    end_ms = clock.now_ms() + MAX_ARRIVAL_MS
    deadline_ms = progress.add(1)
    while clock.now_ms() < deadline_ms:
        clock.advance(STEP_MS)
        deadline_ms = progress.add(1)
    assert clock.now_ms() == end_ms


def test_each_call_is_counted_from_its_own_first_byte():
    progress = ReadProgress(ManualClock())
    progress.add(LARGE_ANSWER_BYTES)
    assert progress.is_large
    progress.begin()
    assert not progress.is_large
    assert progress.first_ms is None
