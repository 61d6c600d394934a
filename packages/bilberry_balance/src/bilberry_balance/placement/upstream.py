"""State of one upstream as seen by this node; times in monotonic ms."""

from collections import OrderedDict
from dataclasses import dataclass, field

from .const import (
    FAILURES_TO_BLOCK,
    FIRST_BLOCK_MS,
    LOAD_REPORT_TTL_MS,
    MAX_BLOCK_MS,
    MAX_SLOW_RATIO,
    MAX_WAITING_PER_SLOT,
    MAX_WARM_KEYS,
    MIN_SLOW_RATIO,
    RESTART_SHARE_MS,
    SHED_BLOCK_MS,
    SHED_WAITING_TTL_MS,
    SHEDS_TO_BLOCK,
    SLOW_HALF_LIFE_MS,
    SLOW_RATIO_WEIGHT,
    SLOWNESS_SHARE_MS,
    WARM_KEY_TTL_MS,
)
from .pace import MachinePace
from .rate_limit import RateLimit


@dataclass(slots=True, frozen=True)
class UpstreamSpec:
    """Describe one registered incarnation of an upstream.

    `started_at_ms` is the start of its process, in Unix ms.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    region: str
    slots: int
    started_at_ms: int = 0


@dataclass(slots=True)
class RestartState:
    """Store whether an upstream's process has ended.

    The newest observation counts, at `observed_at_ms`, whichever node made it.
    """

    has_ended: bool = False
    observed_at_ms: int = -RESTART_SHARE_MS

    def observe(self, has_ended: bool, at_ms: int) -> bool:
        """Apply an observation unless it is older; return if it is news."""
        if at_ms < self.observed_at_ms:
            return False
        is_news = has_ended is not self.has_ended
        self.has_ended = has_ended
        self.observed_at_ms = at_ms
        return is_news

    def is_shared(self, now_ms: int) -> bool:
        """Return whether to tell peers of the newest observation."""
        return now_ms - self.observed_at_ms < RESTART_SHARE_MS


@dataclass(slots=True)
class Upstream:
    """Store the state of one upstream as seen by this node.

    Its entry says whether it is `draining`; `leaving` is what its own answers
    or its address told, and lasts as long as this incarnation. It is
    `displaced` if another one answered at its address. It wants nothing from
    this node until `refuses_until_ms`.
    `reported_peer_load` is the number of requests of other nodes in its newest
    load report, and `pace` what that tells of its machine. `shed_waiting` is
    how many waited there when it last turned a request away for being full.
    `unreachable` is set from a failed connect until the next answer; it last
    answered this node at `answered_at_ms`.
    `has_been_slow` is set while peers should know its
    `slow_ratio`, and `observed_at_ms` is when this node last measured it.
    """

    spec: UpstreamSpec
    draining: bool = False
    leaving: bool = False
    displaced: bool = False
    cold_until_ms: int = 0
    next_cold_send_ms: int = 0
    in_flight: int = 0
    reported_peer_load: int = 0
    reported_at_ms: int = -LOAD_REPORT_TTL_MS
    consecutive_failures: int = 0
    consecutive_sheds: int = 0
    unreachable: bool = False
    answered_at_ms: int | None = None
    blocked_until_ms: int = 0
    refuses_until_ms: int = 0
    slow_ratio: float = 1.0
    slow_ratio_at_ms: int = 0
    has_been_slow: bool = False
    observed_at_ms: int | None = None
    warm_keys: OrderedDict[str, int] = field(default_factory=OrderedDict)
    shed_waiting: int = 0
    shed_at_ms: int | None = None
    pace: MachinePace = field(default_factory=MachinePace)
    rate_limit: RateLimit = field(default_factory=RateLimit)
    restart: RestartState = field(default_factory=RestartState)

    @property
    def name(self) -> str:
        """Return the upstream's name."""
        return self.spec.name

    def is_cold(self, now_ms: int) -> bool:
        """Return whether it still tolerates only a small request rate."""
        return now_ms < self.cold_until_ms

    def is_blocked(self, now_ms: int) -> bool:
        """Return whether it wants no requests, or has failed too often.

        After the block, an unreachable upstream gets one request at a time.
        """
        if now_ms < max(self.blocked_until_ms, self.refuses_until_ms):
            return True
        return (self.unreachable or self.restart.has_ended) and self.in_flight > 0

    def takes_turns(self, now_ms: int) -> bool:
        """Return whether nodes take turns, as it is cold or has ended."""
        return self.is_cold(now_ms) or self.restart.has_ended

    def load(self, peers_load: float, now_ms: int) -> float:
        """Return the known number of its requests from all nodes."""
        if now_ms - self.reported_at_ms < LOAD_REPORT_TTL_MS:
            return self.in_flight + self.reported_peer_load
        return self.in_flight + peers_load

    def max_waiting(self, now_ms: int) -> int:
        """Return how many requests may wait there for a slot."""
        limit = self.spec.slots * MAX_WAITING_PER_SLOT
        shed_at_ms = self.shed_at_ms
        if shed_at_ms is None or now_ms - shed_at_ms >= SHED_WAITING_TTL_MS:
            return limit
        return min(limit, self.shed_waiting)

    def report_age_ms(self, now_ms: int) -> int:
        """Return the age of its newest load report, or -1 without one."""
        return now_ms - self.reported_at_ms if self.reported_at_ms >= 0 else -1

    def has_answered_since(self, at_ms: int) -> bool:
        """Return whether it has answered this node since a time."""
        return self.answered_at_ms is not None and self.answered_at_ms >= at_ms

    def on_report(self, running: int, waiting: int, pace: float, now_ms: int) -> None:
        """Record a load report, which includes this node's requests."""
        self.reported_peer_load = max(0, running + waiting - self.in_flight)
        self.reported_at_ms = now_ms
        self.pace.on_report(pace, now_ms)

    def on_answer(self, now_ms: int) -> None:
        """Record a complete answer."""
        self.answered_at_ms = now_ms
        self.consecutive_failures = 0
        self.consecutive_sheds = 0
        self.unreachable = False

    def on_shed(self, has_free_slot: bool, waiting: int, now_ms: int) -> None:
        """Record a shed request; shedding with free slots is a failure.

        Otherwise it lets no more than the `waiting` ones wait for a while.
        """
        self.answered_at_ms = now_ms
        if not has_free_slot:
            self.shed_waiting = waiting
            self.shed_at_ms = now_ms
            self.reported_peer_load = max(self.reported_peer_load, self.spec.slots)
            self.reported_at_ms = now_ms
            return
        self.consecutive_sheds += 1
        if self.consecutive_sheds >= SHEDS_TO_BLOCK:
            self.blocked_until_ms = now_ms + SHED_BLOCK_MS

    def on_retry_after(self, retry_after_ms: int, now_ms: int) -> None:
        """Record that it wants nothing from this node for a while."""
        self.refuses_until_ms = max(self.refuses_until_ms, now_ms + retry_after_ms)

    def on_failure(self, now_ms: int) -> None:
        """Record an answer that was lost or malformed."""
        self.consecutive_failures += 1
        if self.consecutive_failures >= FAILURES_TO_BLOCK:
            self._block(self.consecutive_failures - FAILURES_TO_BLOCK, now_ms)

    def on_unreachable(self, now_ms: int) -> None:
        """Record a failed connect; its cache is assumed to be lost."""
        self.unreachable = True
        self.consecutive_failures += 1
        self.warm_keys.clear()
        self._block(self.consecutive_failures - 1, now_ms)

    def on_processing_time(self, ratio: float, now_ms: int) -> None:
        """Record a processing time, as a ratio to the expected time."""
        previous = self.decayed_slow_ratio(now_ms)
        bounded = min(ratio, MAX_SLOW_RATIO)
        self.slow_ratio = previous + SLOW_RATIO_WEIGHT * (bounded - previous)
        self.slow_ratio_at_ms = now_ms
        self.observed_at_ms = now_ms
        self.has_been_slow = max(previous, self.slow_ratio) >= MIN_SLOW_RATIO

    def on_slow_report(self, slow_ratio: float, at_ms: int) -> None:
        """Apply the mean ratio that a peer observed, if it is newer."""
        if at_ms <= self.slow_ratio_at_ms:
            return
        self.slow_ratio = min(slow_ratio, MAX_SLOW_RATIO)
        self.slow_ratio_at_ms = at_ms
        self.has_been_slow = True

    def is_observed(self, now_ms: int) -> bool:
        """Return whether this node lately measured a processing time."""
        at_ms = self.observed_at_ms
        return at_ms is not None and now_ms - at_ms < SLOWNESS_SHARE_MS

    def is_slowness_shared(self, now_ms: int) -> bool:
        """Return whether to tell peers how slow it was lately."""
        age_ms = now_ms - self.slow_ratio_at_ms
        return self.has_been_slow and age_ms < SLOWNESS_SHARE_MS

    def decayed_slow_ratio(self, now_ms: int) -> float:
        """Return the mean ratio to the expected time, decaying towards 1."""
        age_ms = now_ms - self.slow_ratio_at_ms
        excess = (self.slow_ratio - 1.0) * 0.5 ** (age_ms / SLOW_HALF_LIFE_MS)
        return 1.0 + excess

    def is_slow(self, now_ms: int) -> bool:
        """Return whether it is clearly slower than expected."""
        return self.slow_factor(now_ms) > 1.0

    def slow_factor(self, now_ms: int) -> float:
        """Return the factor on expected times, 1 unless it is slow."""
        ratio = self.decayed_slow_ratio(now_ms)
        return ratio if ratio >= MIN_SLOW_RATIO else 1.0

    def time_factor(self, now_ms: int) -> float:
        """Return the factor on expected times, of its pace or slowness.

        What nodes measured may be due to the machine's pace, as told by peers
        or before the first report of a spell, so that the larger one applies.
        """
        pace = self.pace.at(now_ms)
        slow_factor = self.slow_factor(now_ms)
        return max(pace, slow_factor) if slow_factor > 1.0 else pace

    def is_warm(self, key: str, now_ms: int) -> bool:
        """Return whether this node recently sent it a request for `key`."""
        at_ms = self.warm_keys.get(key)
        return at_ms is not None and now_ms - at_ms < WARM_KEY_TTL_MS

    def record_key(self, key: str, now_ms: int) -> None:
        """Record that it has handled a request for `key`."""
        self.warm_keys[key] = now_ms
        self.warm_keys.move_to_end(key)
        if len(self.warm_keys) > MAX_WARM_KEYS:
            self.warm_keys.popitem(last=False)

    def _block(self, doublings: int, now_ms: int) -> None:
        block_ms = min(MAX_BLOCK_MS, FIRST_BLOCK_MS << min(doublings, 10))
        self.blocked_until_ms = now_ms + block_ms
