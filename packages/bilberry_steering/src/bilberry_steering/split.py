"""Give each service of a split route its exact part of the requests."""

from bilberry_resources.routing import SplitPart


class WeightedTurns:
    """Hand out turns so that each span holds each part's share.

    After any number of turns a part is at most one turn off its share
    (smooth weighted round robin). Nodes skip different numbers of turns at
    first, so that the rounding of many nodes doesn't add up.
    """

    __slots__ = ("credits", "parts", "total")

    def __init__(self, parts: tuple[SplitPart, ...], skipped: int = 0) -> None:
        assert parts, "a route has at least one service"
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
