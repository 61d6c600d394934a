"""What a request needs of an upstream, and the upstreams that it may get."""

from collections.abc import Collection
from dataclasses import dataclass, field, replace
from enum import StrEnum

from .costs import INFINITE_COST_MS
from .pace import USUAL_PACE
from .processing_times import ProcessingTimes, Warmth
from .upstream import Upstream


@dataclass(slots=True, frozen=True)
class UpstreamRequirements:
    """Describe the requirements of a request on its upstream.

    `excluded` names upstreams that have already been tried. An empty
    `home_regions` allows every region.
    """

    service: str
    key: str
    processing_times: ProcessingTimes
    home_regions: frozenset[str] = frozenset()
    excluded: Collection[str] = ()


@dataclass(slots=True, frozen=True)
class Selection:
    """Represent a selected upstream and its expected processing time.

    `pace` is that of the upstream's machine, as included in the time.
    `has_region_choice` is whether it might have gone to another region.
    """

    upstream: Upstream
    warmth: Warmth
    expected_ms: float
    has_region_choice: bool = True
    pace: float = USUAL_PACE


class NoSelection(StrEnum):
    """Enumerate the reasons why no upstream was selected."""

    NO_FREE_SLOT = "no room"
    NO_UPSTREAM = "no upstream"


@dataclass(slots=True)
class RegionCandidates:
    """Store the cheapest candidate of each region and the cost of waiting.

    `lightly_loaded` names the regions where an upstream has a low load. A
    late request may use them whatever they cost.
    """

    best: dict[str, Selection] = field(default_factory=dict)
    costs: dict[str, float] = field(default_factory=dict)
    wait_cost_ms: float = INFINITE_COST_MS
    lightly_loaded: set[str] = field(default_factory=set)

    def add(self, selection: Selection, cost_ms: float) -> None:
        """Add a candidate if it is the cheapest of its region."""
        region = selection.upstream.spec.region
        if region not in self.costs or cost_ms < self.costs[region]:
            self.best[region] = selection
            self.costs[region] = cost_ms

    def only_selection(self) -> Selection | NoSelection:
        """Return what to use of one region without another to choose."""
        for region in self.regions():
            return replace(self.best[region], has_region_choice=False)
        return NoSelection.NO_FREE_SLOT

    def regions(self) -> list[str]:
        """Return the regions to use rather than wait, cheapest first."""
        selected = [
            region
            for region, cost_ms in self.costs.items()
            if cost_ms <= self.wait_cost_ms or region in self.lightly_loaded
        ]
        return sorted(selected, key=self.costs.__getitem__)


@dataclass(slots=True)
class AvailabilityCounts:
    """Count a service's upstreams by why they can't take a request.

    `closed` upstreams are draining, evacuated or not eligible; `held_back`
    ones are failing or cold; `full` ones have no slot free and enough
    requests waiting.
    """

    known: int = 0
    closed: int = 0
    held_back: int = 0
    full: int = 0
