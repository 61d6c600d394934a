"""Quota buckets that a request draws from, and its cost in each."""

from collections.abc import Iterator
from dataclasses import dataclass

from .resources import link_resource, region_resource
from .routing_views import ServiceView
from .token_bucket import TokenBucket


@dataclass(slots=True)
class QuotaDraw:
    """Represent what a request takes from the capacity and link buckets.

    `link_reserve` is the share of a link that the request must leave free.
    """

    capacity_bucket: TokenBucket | None
    out_link_bucket: TokenBucket | None = None
    in_link_bucket: TokenBucket | None = None
    out_bytes: float = 0.0
    in_bytes: float = 0.0
    link_reserve: float = 0.0

    def link_costs(self) -> Iterator[tuple[TokenBucket, float]]:
        """Yield each link's bucket and the bytes that a request costs."""
        if self.out_link_bucket is not None:
            yield self.out_link_bucket, self.out_bytes
        if self.in_link_bucket is not None:
            yield self.in_link_bucket, self.in_bytes

    def try_take(self, now_ms: int) -> bool:
        """Take one request from all buckets if all have room.

        Return whether it was taken.
        """
        if self.capacity_bucket is None or not self.capacity_bucket.can_take(1, now_ms):
            return False
        for bucket, size in self.link_costs():
            if not bucket.can_take(size, now_ms, self.link_reserve):
                return False
        self.charge(1)
        return True

    def take_up_to(self, count: float, now_ms: int, interval_ms: int) -> float:
        """Take up to `count` requests of an interval.

        Return how many were taken.
        """
        if self.capacity_bucket is None:
            return 0.0
        fit = min(
            count, self.capacity_bucket.available_in_interval(now_ms, interval_ms)
        )
        for bucket, size in self.link_costs():
            free = bucket.available_in_interval(now_ms, interval_ms, self.link_reserve)
            fit = min(fit, free / size)
        self.charge(fit)
        return fit

    def settle(self, out_bytes: float, in_bytes: float) -> None:
        """Charge the links the difference of actual and expected sizes."""
        if self.out_link_bucket is not None:
            self.out_link_bucket.take(out_bytes - self.out_bytes)
        if self.in_link_bucket is not None:
            self.in_link_bucket.take(in_bytes - self.in_bytes)

    def charge(self, count: float) -> None:
        """Take the cost of `count` requests from every bucket."""
        if self.capacity_bucket is not None:
            self.capacity_bucket.take(count)
        for bucket, size in self.link_costs():
            bucket.take(count * size)


def quota_draw_for(
    buckets: dict[str, TokenBucket], home: str, view: ServiceView, region: str
) -> QuotaDraw:
    """Return the buckets for a request from region `home` to `region`."""
    capacity = buckets.get(region_resource(view.name, region))
    if region == home:
        return QuotaDraw(capacity)
    return QuotaDraw(
        capacity,
        buckets.get(link_resource(home, region)),
        buckets.get(link_resource(region, home)),
        view.request_bytes,
        view.response_bytes,
        view.link_reserve,
    )
