"""Loads and failures that quotas have to withstand."""

from dataclasses import dataclass, replace

from bilberry_resources.routing import Workspace


@dataclass(slots=True, frozen=True)
class WorkspaceLoad:
    """Describe a workspace's limit and the demand at all nodes together.

    Demand is `usual_per_s`, and `jump` times as much from `JUMP_MS` on.
    """

    name: str
    rate_per_s: float
    burst: float
    usual_per_s: float
    jump: float = 1.0

    def workspace(self, factor: float = 1.0) -> Workspace:
        """Return the workspace, with `factor` of its limit."""
        return Workspace(
            self.name,
            frozenset(),
            rate_per_s=self.rate_per_s * factor,
            burst=self.burst * factor,
        )


@dataclass(slots=True, frozen=True)
class QuotaCase:
    """Describe a fleet, its workspaces and what happens at `JUMP_MS`.

    `lowered_to` is the fraction of the limits that is left then; a part of
    the nodes is `killed` or `cut_off`, and the first node restarts. The
    demand stays the same, at the nodes that are left.
    """

    name: str
    workspaces: list[WorkspaceLoad]
    nodes: int = 78
    domains: int = 6
    regions: int = 3
    seconds: int = 30
    lowered_to: float = 1.0
    killed: float = 0.0
    cut_off: float = 0.0
    restarts: bool = False
    is_below: bool = False


JUMP_MS = 15_000
RATES_PER_S = (4.0, 6.0, 10.0, 20.0)
BURSTS_S = (0.0, 1.0, 2.0)
USUALS = (0.2, 0.4, 0.6, 0.8, 0.9)
JUMPS = (6.0, 7.5)
LARGE_RATES_PER_S = (50.0, 100.0)


def steady(usual: float, rates: tuple[float, ...] = RATES_PER_S) -> list[WorkspaceLoad]:
    """Return workspaces with a steady demand."""
    return [
        WorkspaceLoad(f"w{rate}-{burst_s}", rate, rate * burst_s, rate * usual)
        for rate in rates
        for burst_s in BURSTS_S
    ]


def many(count: int, usual: float) -> list[WorkspaceLoad]:
    """Return many workspaces of a few requests a second."""
    return [
        WorkspaceLoad(f"w{i}", 3.0 + i % 5, 3.0 + i % 5, (3.0 + i % 5) * usual)
        for i in range(count)
    ]


def jumping(
    jump: float,
    rates: tuple[float, ...] = RATES_PER_S,
    usuals: tuple[float, ...] = USUALS,
) -> list[WorkspaceLoad]:
    """Return workspaces whose demand jumps."""
    return [
        WorkspaceLoad(f"w{rate}-{usual}", rate, rate, rate * usual, jump)
        for rate in rates
        for usual in usuals
    ]


def large(case: QuotaCase) -> QuotaCase:
    """Return a case at 800 nodes."""
    return replace(
        case, name=f"{case.name}, large", nodes=800, domains=16, regions=4, seconds=22
    )


QUICK_CASES = (
    QuotaCase("steady 0.8", steady(0.8), is_below=True),
    QuotaCase("jump 7.5", jumping(7.5), seconds=22),
    QuotaCase("lowered", steady(0.8), lowered_to=0.3),
    QuotaCase("killed half", steady(1.5), seconds=24, killed=0.5),
    QuotaCase("cut off half", steady(1.5), seconds=24, cut_off=0.5),
)
FULL_CASES = (
    *QUICK_CASES,
    QuotaCase("steady 0.5", steady(0.5), is_below=True),
    QuotaCase("81 workspaces", many(81, 0.7), seconds=18, is_below=True),
    QuotaCase("jump 6", jumping(6.0), seconds=22),
    QuotaCase("restart", steady(1.5), seconds=24, restarts=True),
    large(QuotaCase("jump 7.5", jumping(7.5, (6.0, 20.0), (0.4, 0.9)))),
    QuotaCase("steady 0.8, long", steady(0.8), is_below=True, seconds=120),
    QuotaCase("killed half at 0.5", steady(0.5), killed=0.5),
    QuotaCase("cut off half at 0.5", steady(0.5), cut_off=0.5),
    QuotaCase("cut off, jump", jumping(6.0), cut_off=0.5),
    QuotaCase("restart at 0.5", steady(0.5), restarts=True),
    QuotaCase("large rates 0.8", steady(0.8, LARGE_RATES_PER_S), is_below=True),
    QuotaCase("large rates, jump 6", jumping(6.0, LARGE_RATES_PER_S)),
    QuotaCase("large rates, jump 7.5", jumping(7.5, LARGE_RATES_PER_S)),
    large(QuotaCase("steady 0.8", steady(0.8), is_below=True)),
    large(QuotaCase("81 workspaces", many(81, 0.7), is_below=True)),
    large(QuotaCase("killed half", steady(1.5), killed=0.5)),
    large(QuotaCase("cut off half", steady(1.5), cut_off=0.5)),
)
