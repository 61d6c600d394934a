"""While the store fails, a node's feeds share one probe of it."""

import gevent
from hypothesis import given, strategies

from bilberry_core.clock import ManualClock
from bilberry_core.outcome import Failure
from bilberry_fleet.discovery.const import CATCH_UP_WAIT_MS, RETRY_MAX_MS
from bilberry_fleet.discovery.feed import Feed
from bilberry_fleet.discovery.source import Changes, Snapshot
from bilberry_fleet.discovery.store_breaker import StoreBreaker
from bilberry_fleet.discovery.store_era import StoreEra
from bilberry_store.errors import StoreError, StoreErrorKind

from .common import RecordingListener, ScriptedSource

KINDS = ("config", "servers", "evacuations", "nodes")
UNREACHABLE = StoreError(kind=StoreErrorKind.UNREACHABLE, reason="refused")
GONE = StoreError(kind=StoreErrorKind.GONE, reason="status 410")
UNREADABLE = StoreError(kind=StoreErrorKind.REFUSED, reason="unreadable answer")


class NodeRig:
    """The four feeds of a node, whose calls a test answers."""

    def __init__(self):
        self.clock = ManualClock()
        self.source = ScriptedSource()
        self.breaker = StoreBreaker(1)
        self.listeners = [RecordingListener() for _ in KINDS]
        self.feeds = [
            Feed(
                kind,
                self.source,
                listener,
                self.clock,
                1,
                lambda: True,
                self.breaker,
                StoreEra(),
            )
            for kind, listener in zip(KINDS, self.listeners, strict=True)
        ]

    def __enter__(self):
        for feed in self.feeds:
            feed.start()
        gevent.sleep(0)
        return self

    def __exit__(self, *exc):
        for feed in self.feeds:
            feed.close()

    def fail(self, index, error=UNREACHABLE):
        self.source.answers[index].set(Failure(error))
        gevent.sleep(0)
        gevent.sleep(0)

    def pass_time(self, ms):
        self.clock.advance(ms)
        gevent.sleep(2 * RETRY_MAX_MS / 1_000)


def test_one_call_at_a_time_probes_a_store_that_is_down():
    with NodeRig() as rig:
        for index in range(len(KINDS)):
            rig.fail(index)
        assert len(rig.source.calls) == 4
        for failed in range(4, 7):
            rig.pass_time(RETRY_MAX_MS)
            assert len(rig.source.calls) == failed + 1
            rig.fail(failed)
        assert all("outage" in listener.applied for listener in rig.listeners)


def test_all_feeds_go_on_after_the_first_answer():
    with NodeRig() as rig:
        for index in range(len(KINDS)):
            rig.source.answer(index, Snapshot([], 10))
        for index in range(4, 8):
            rig.fail(index)
        rig.pass_time(RETRY_MAX_MS)
        assert rig.source.calls[8][2] == CATCH_UP_WAIT_MS
        rig.source.answer(8, Changes([], 10))
        rig.pass_time(0)
        assert len(rig.source.calls) == 4 + 4 + 1 + 4
        assert all(call[2] > CATCH_UP_WAIT_MS for call in rig.source.calls[9:])


def test_the_first_answer_of_any_kind_ends_an_outage_once():
    with NodeRig() as rig:
        recoveries = []
        rig.breaker.on_recovery = lambda: recoveries.append(rig.clock.now_ms())
        for index in range(len(KINDS)):
            rig.fail(index)
        rig.pass_time(RETRY_MAX_MS)
        rig.fail(4, GONE)
        ended_ms = rig.clock.now_ms()
        assert recoveries == [ended_ms]
        rig.pass_time(RETRY_MAX_MS)
        for index in range(5, len(rig.source.calls)):
            rig.source.answer(index, Snapshot([], 10))
        assert recoveries == [ended_ms]


def test_an_unreadable_kind_does_not_hold_back_the_others():
    with NodeRig() as rig:
        rig.fail(0, UNREADABLE)
        assert not rig.breaker.is_open
        for index in range(1, 4):
            rig.source.answer(index, Snapshot([], 10))
        assert len(rig.source.calls) == 7


def test_a_single_failure_is_no_outage_for_the_other_kinds():
    breaker = StoreBreaker(1)
    breaker.on_failure(False, 0)
    assert breaker.is_open
    assert not breaker.is_outage
    assert breaker.begin_call()
    breaker.on_failure(True, 100)
    assert breaker.is_outage


@given(
    strategies.integers(0, 2**32),
    strategies.lists(
        strategies.tuples(strategies.integers(0, 400), strategies.booleans()),
        max_size=60,
    ),
)
def test_it_tries_again_in_time_and_never_twice_at_once(seed, steps):
    breaker = StoreBreaker(seed)
    now_ms = 0
    breaker.on_failure(False, now_ms)
    for passed_ms, is_up in steps:
        now_ms += passed_ms
        assert breaker.retry_at_ms - now_ms <= RETRY_MAX_MS
        if breaker.delay_ms(now_ms):
            continue
        was_open = breaker.is_open
        assert breaker.begin_call() is was_open
        if not was_open:
            breaker.on_failure(False, now_ms)
            continue
        assert breaker.delay_ms(now_ms + RETRY_MAX_MS) > 0
        if is_up:
            breaker.on_answer()
            assert breaker.delay_ms(now_ms) == 0
        else:
            breaker.on_failure(True, now_ms)


def test_a_probe_that_ends_by_an_error_holds_up_no_kind(monkeypatch):
    monkeypatch.setattr("bilberry_fleet.discovery.feed.RETRY_MAX_MS", 1)
    with NodeRig() as rig:
        for index in range(len(KINDS)):
            rig.fail(index)
        rig.pass_time(RETRY_MAX_MS)
        rig.source.answers[4].set_exception(ValueError("unexpected"))
        for _ in range(3):
            rig.pass_time(RETRY_MAX_MS)
        assert len(rig.source.calls) > 5
