"""Keep the share of requests that change region within its bound.

Answers the load of a short region at its peak: more and more of its requests
have to be served elsewhere, and later come back, but never more than a set
part of them from one span to the next.
"""

from collections.abc import Sequence

from .const import (
    SHIFT_GUARD_CREDIT,
    SHIFT_GUARD_PART,
    SHIFT_GUARD_RELAX_MS,
    SHIFT_GUARD_SETTLE_MS,
    SHIFT_GUARD_SPAN_MS,
    SHIFT_GUARD_VOTE_WEIGHT,
)

MAX_STEP_MS = 500


class ShiftGuard:
    """Move this node's shares of the regions slowly, whatever is wanted.

    Each request votes for the region it would go to. The shares follow the
    votes, but change by no more than `max_share` in a span; requests are
    dealt to the regions so that they keep to the shares closely. A mean of
    nodes that keep the bound keeps it too.
    """

    __slots__ = (
        "credits",
        "max_per_ms",
        "moved_at_ms",
        "relaxed_until_ms",
        "shares",
        "votes",
    )

    def __init__(self, max_share: float) -> None:
        self.max_per_ms = 0.0
        self.set_bound(max_share)
        self.moved_at_ms = 0
        self.relaxed_until_ms = 0
        self.votes: dict[str, float] = {}
        self.shares: dict[str, float] = {}
        self.credits: dict[str, float] = {}

    def set_bound(self, max_share: float) -> None:
        """Take over the largest part that may change in a span."""
        self.max_per_ms = max_share * SHIFT_GUARD_PART / SHIFT_GUARD_SPAN_MS

    def begin(self, shares: dict[str, float], now_ms: int) -> None:
        """Start from shares that are expected to suit, before any request."""
        self.votes = dict(shares)
        self.shares = dict(shares)
        self.moved_at_ms = now_ms

    def relax(self, now_ms: int) -> None:
        """Lift the bound for a while, as after the loss of an upstream."""
        self.relaxed_until_ms = now_ms + SHIFT_GUARD_RELAX_MS

    def pick(self, wanted: Sequence[str], now_ms: int) -> str | None:
        """Return the first of the wanted regions that may be used now.

        The most wanted one goes first and gets the vote.
        """
        if not wanted:
            return None
        self._vote(wanted[0])
        if not self.shares or now_ms < self.relaxed_until_ms:
            return wanted[0]
        self._move(now_ms)
        for region in wanted:
            owed = self.credits.get(region, 0.0) + self.shares.get(region, 0.0)
            if owed - 1.0 >= -SHIFT_GUARD_CREDIT:
                return region
        return None

    def note(self, region: str, now_ms: int) -> None:
        """Count a request that is sent to `region`."""
        if not self.shares or now_ms < self.relaxed_until_ms:
            self.shares = dict(self.votes)
            self.credits.clear()
            self.moved_at_ms = now_ms
            return
        for name in {region, *self.shares, *self.credits}:
            owed = self.credits.get(name, 0.0) + self.shares.get(name, 0.0)
            owed -= name == region
            self.credits[name] = min(SHIFT_GUARD_CREDIT, owed)

    def _vote(self, region: str) -> None:
        if not self.votes:
            self.votes[region] = 1.0
            return
        for name in {region, *self.votes}:
            share = self.votes.get(name, 0.0)
            self.votes[name] = share + SHIFT_GUARD_VOTE_WEIGHT * (
                (name == region) - share
            )

    def _move(self, now_ms: int) -> None:
        """Bring the shares nearer to the votes, as far as time allows."""
        names = {*self.votes, *self.shares}
        steps = {n: self.votes.get(n, 0.0) - self.shares.get(n, 0.0) for n in names}
        distance = sum(abs(step) for step in steps.values()) / 2
        passed_ms = min(MAX_STEP_MS, now_ms - self.moved_at_ms)
        self.moved_at_ms = now_ms
        most = min(self.max_per_ms, distance / SHIFT_GUARD_SETTLE_MS) * passed_ms
        part = most / distance if distance > 0 else 0.0
        for name, step in steps.items():
            self.shares[name] = self.shares.get(name, 0.0) + part * step
