"""Track how recent the installed configuration is known to be."""

from bilberry_core.clock import Clock

# The rest is for clocks that run at different rates.
MAX_AGE_FRACTION = 0.96


class ConfigProof:
    """Store as of when no newer configuration than the installed one existed.

    `as_of_ms` is when an exact read began that showed so, in boot time, as
    the monotonic clock stands still while the machine is suspended. The proof
    is valid for most of `revoke_ms`, after which removed keys must not work.
    Without that limit none is needed.
    """

    __slots__ = ("as_of_ms", "clock", "revoke_ms")

    def __init__(self, clock: Clock, revoke_ms: int = 0) -> None:
        self.clock = clock
        self.revoke_ms = revoke_ms
        self.as_of_ms: int | None = None

    def record(self, as_of_ms: int) -> None:
        """Record that no newer configuration existed at a time."""
        if self.as_of_ms is None or as_of_ms > self.as_of_ms:
            self.as_of_ms = as_of_ms

    def age_ms(self) -> int | None:
        """Return the age of the proof in ms of boot time, None without one."""
        return None if self.as_of_ms is None else self.clock.boot_ms() - self.as_of_ms

    def is_valid(self) -> bool:
        """Return whether keys of the installed configuration may be served."""
        if not self.revoke_ms:
            return True
        age_ms = self.age_ms()
        return age_ms is not None and age_ms <= self.revoke_ms * MAX_AGE_FRACTION
