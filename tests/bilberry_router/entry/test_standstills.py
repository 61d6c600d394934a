"""A node tells when it ran nothing for a while."""

from bilberry_core.clock import ManualClock
from bilberry_router.entry.standstills import MIN_STANDSTILL_MS, StandstillMonitor

INTERVAL_MS = 200


def test_only_long_standstills_are_counted_and_logged(caplog):
    clock = ManualClock()
    monitor = StandstillMonitor(clock, INTERVAL_MS)
    for late_ms in (0, MIN_STANDSTILL_MS - 1, MIN_STANDSTILL_MS, 2_000):
        clock.advance(INTERVAL_MS + late_ms)
        monitor.record_wake()
    assert (monitor.count, monitor.total_ms) == (2, MIN_STANDSTILL_MS + 2_000)
    assert "Stood still for 2000 ms" in caplog.text
