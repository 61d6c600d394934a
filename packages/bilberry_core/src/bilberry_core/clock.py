"""Clocks in whole milliseconds."""

import time
from typing import Protocol

NS_PER_MS = 1_000_000


class Clock(Protocol):
    """Return monotonic and wall time in milliseconds."""

    def now_ms(self) -> int:
        """Return monotonic time in ms from an arbitrary origin."""
        ...

    def wall_ms(self) -> int:
        """Return ms since the Unix epoch; the value may jump."""
        ...

    def boot_ms(self) -> int:
        """Return monotonic time in ms that goes on during a suspension."""
        ...


class SystemClock:
    """Read the clocks of the operating system."""

    __slots__ = ()

    def now_ms(self) -> int:
        """Return monotonic time in ms."""
        return time.monotonic_ns() // NS_PER_MS

    def wall_ms(self) -> int:
        """Return ms since the Unix epoch."""
        return time.time_ns() // NS_PER_MS

    def boot_ms(self) -> int:
        """Return ms since the machine booted, suspensions included."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS


class MonotonicWallClock:
    """Derive wall time from the monotonic clock, unaffected by clock jumps.

    The wall clock is read only once, when the instance is created.
    """

    __slots__ = ("base", "offset_ms")

    def __init__(self, base: Clock) -> None:
        self.base = base
        self.offset_ms = base.wall_ms() - base.now_ms()

    def now_ms(self) -> int:
        """Return monotonic time in ms."""
        return self.base.now_ms()

    def wall_ms(self) -> int:
        """Return the wall time read at creation plus the time since then."""
        return self.base.now_ms() + self.offset_ms

    def boot_ms(self) -> int:
        """Return the boot time of the base clock."""
        return self.base.boot_ms()


class ManualClock:
    """Advance only when told to; for tests and simulations."""

    __slots__ = ("monotonic_ms", "offset_ms", "suspended_ms")

    def __init__(self, monotonic_ms: int = 0, offset_ms: int = 0) -> None:
        self.monotonic_ms = monotonic_ms
        self.offset_ms = offset_ms
        self.suspended_ms = 0

    def now_ms(self) -> int:
        """Return the monotonic time that was set."""
        return self.monotonic_ms

    def wall_ms(self) -> int:
        """Return the monotonic time plus the wall clock's offset."""
        return self.monotonic_ms + self.offset_ms

    def boot_ms(self) -> int:
        """Return the monotonic time plus the time spent suspended."""
        return self.monotonic_ms + self.suspended_ms

    def suspend(self, duration_ms: int) -> None:
        """Pass time that only the boot clock counts."""
        self.suspended_ms += duration_ms

    def advance(self, delta_ms: int) -> int:
        """Advance by `delta_ms` and return the new monotonic time."""
        assert delta_ms >= 0, "a monotonic clock never goes back"
        self.monotonic_ms += delta_ms
        return self.monotonic_ms
