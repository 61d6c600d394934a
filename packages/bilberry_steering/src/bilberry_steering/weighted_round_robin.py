"""Smooth weighted round robin over the services of a split route."""

from bilberry_resources.routing import WeightedService


class WeightedRoundRobin:
    """Select services by smooth weighted round robin.

    After any number of turns, each service is at most one turn off its
    share. Each node skips a different number of turns at first, so that
    the rounding errors of many nodes don't add up.
    """

    __slots__ = ("credits", "parts", "total")

    def __init__(self, parts: tuple[WeightedService, ...], skipped: int = 0) -> None:
        assert parts, "a route must have at least one service"
        self.parts = parts
        self.total = sum(part.weight for part in parts)
        self.credits = [0.0] * len(parts)
        for _ in range(skipped):
            self.next()

    def next(self) -> str:
        """Return the service whose turn it is."""
        if len(self.parts) == 1:
            return self.parts[0].service
        best = 0
        for index, part in enumerate(self.parts):
            self.credits[index] += part.weight
            if self.credits[index] > self.credits[best]:
                best = index
        self.credits[best] -= self.total
        return self.parts[best].service
