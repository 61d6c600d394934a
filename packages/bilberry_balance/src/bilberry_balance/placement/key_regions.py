"""Decide which part of the keys each region takes."""

from collections.abc import Mapping

from .const import KEY_FRACTION_OF_SLOTS, SHORT_REGION_RATIO


class KeyRegions:
    """Compute the fraction of all keys that each region of a service takes.

    A region with fewer slots than the mean takes only as many keys as its
    slots and caches can carry, if each region has the same demand. One that
    has taken all keys goes on until it is clearly short: otherwise one
    upstream more or less anywhere moves a third of the keys of each region
    near the mean.
    """

    __slots__ = ("full_share_regions",)

    def __init__(self) -> None:
        self.full_share_regions: dict[str, frozenset[str]] = {}

    def fractions(self, service: str, slots: Mapping[str, int]) -> dict[str, float]:
        """Return the fractions for the slots of each region."""
        mean = sum(slots.values()) / max(1, len(slots))
        previous = self.full_share_regions.get(service, frozenset())
        whole = frozenset(
            region
            for region, count in slots.items()
            if count >= mean * (SHORT_REGION_RATIO if region in previous else 1.0)
        )
        if slots:
            self.full_share_regions[service] = whole
        return {
            region: 1.0 if region in whole else KEY_FRACTION_OF_SLOTS * count / mean
            for region, count in slots.items()
        }
