"""Count the keys that change their upstream when a pool changes."""

import math
import random
import time

from bilberry_core.const import MS_PER_SECOND

from .moves_cases import CASES
from .moves_model import (
    SERVICE,
    Moves,
    MovesNode,
    PoolModel,
    Scenario,
    make_spec,
)
from .moves_options import measure_options
from .report import Options, Report

REGION_SHARES = {"a": 0.49, "b": 0.10, "c": 0.41}
UNEQUAL_SLOTS = (2, 3, 4, 8)
KEYS = 1_500
LARGE_POOL_KEYS = 500
LARGE_POOL = 100
SHARE_KEYS = 20_000
LARGE_POOL_SHARE_KEYS = 6_000
FULL_FACTOR = 8
FULL_SHARE_KEYS = 300_000
MAX_RATIO = 1.1
# What chance alone may add to a count or a share, in standard deviations.
MAX_DEVIATIONS = 4.0
OTHER_SERVICE_KEYS = 100
COST_KEYS = 1_000
NS_PER_US = 1_000


def uneven(count: int) -> dict[str, int]:
    """Return how many of a service's upstreams each region has."""
    return {
        region: max(1, round(share * count)) for region, share in REGION_SHARES.items()
    }


def make_pools() -> list[PoolModel]:
    """Return the pools that are measured."""
    pools = [
        PoolModel(f"{count} of 3", {r: [3] * n for r, n in uneven(count).items()})
        for count in (12, 34, 138)
    ]
    unequal = {
        region: [UNEQUAL_SLOTS[i % len(UNEQUAL_SLOTS)] for i in range(count)]
        for region, count in uneven(36).items()
    }
    even = {region: [3] * 12 for region in REGION_SHARES}
    return [*pools, PoolModel("36 unequal", unequal), PoolModel("36 even", even)]


def key_count(pool: PoolModel, options: Options) -> int:
    """Return with how many keys to count moves in a pool."""
    count = LARGE_POOL_KEYS if len(pool.specs()) >= LARGE_POOL else KEYS
    return count if options.quick else count * FULL_FACTOR


def share_key_count(pool: PoolModel, options: Options) -> int:
    """Return with how many keys to compare shares with slots."""
    if not options.quick:
        return FULL_SHARE_KEYS
    is_large = len(pool.specs()) >= LARGE_POOL
    return LARGE_POOL_SHARE_KEYS if is_large else SHARE_KEYS


def make_keys(count: int, seed: int) -> list[str]:
    """Return distinct keys."""
    return [f"{seed}-{index}" for index in range(count)]


def allowed(least: float) -> float:
    """Return how many moves are few enough for the least possible number."""
    return MAX_RATIO * least + MAX_DEVIATIONS * math.sqrt(least)


def run(options: Options) -> Report:
    """Play each case on each pool, and compare shares of keys with slots."""
    report = Report()
    totals = measure_moves(report, options)
    worst = measure_shares(report, options)
    measure_cache(report)
    measure_cost(report)
    measure_options(report, options.seed)
    report.summary = (
        f"places moved {totals.ratio():.3f} times the least possible, "
        f"shares up to {worst:.3f} times their slots"
    )
    return report


def measure_moves(report: Report, options: Options) -> Moves:
    """Add the moves of each case; return their sums."""
    columns = ["pool", "case", "keys", "moved", "least", "ratio", "no place"]
    columns += ["regions moved", "by slots"]
    table = report.table("Places of keys that changed, summed over regions", columns)
    totals = Moves()
    for pool in make_pools():
        count = key_count(pool, options)
        keys = make_keys(count, options.seed)
        for name, play in CASES.items():
            scenario = Scenario(MovesNode(pool.specs().values()), keys)
            play(scenario, pool, random.Random(options.seed))
            moves = scenario.moves
            table.add(
                pool.name,
                name,
                count,
                moves.moved,
                round(moves.least, 1),
                moves.ratio(),
                moves.homeless,
                moves.region_moved,
                round(moves.region_least, 1),
            )
            totals.moved += moves.moved
            totals.least += moves.least
            check_moves(report, f"{pool.name}, {name}", moves)
    return totals


def check_moves(report: Report, case: str, moves: Moves) -> None:
    """Record which promises a case breaks."""
    if moves.moved > MAX_RATIO * moves.least:
        report.broken.append(f"{case}: places moved {moves.ratio():.2f} of the least")
    if moves.homeless:
        report.broken.append(f"{case}: {moves.homeless} keys without a place")
    if moves.region_moved > allowed(moves.region_least):
        report.broken.append(
            f"{case}: {moves.region_moved} changes of regions,"
            f" {moves.region_least:.1f} by slots"
        )


def measure_shares(report: Report, options: Options) -> float:
    """Add each pool's shares against its slots; return the worst ratio."""
    columns = ["pool", "keys", "lowest", "highest", "allowed"]
    table = report.table("Shares of a region's keys, as ratios to slots", columns)
    worst = 1.0
    for pool in make_pools():
        count = share_key_count(pool, options)
        node = MovesNode(pool.specs().values())
        view = node.view(make_keys(count, options.seed))
        ratios = {}
        for region, slots in view.slots.items():
            whole = sum(slots.values())
            places = view.places[region]
            for name, own in slots.items():
                ratios[name] = places.count(name) / (count * own / whole)
        smallest = min(
            min(slots.values()) / sum(slots.values()) for slots in view.slots.values()
        )
        bound = MAX_RATIO + MAX_DEVIATIONS / math.sqrt(count * smallest)
        low, high = min(ratios.values()), max(ratios.values())
        table.add(pool.name, count, low, high, bound)
        worst = max(worst, high, 1 / low)
        if high > bound or low < 2 - bound:
            report.broken.append(
                f"{pool.name}: shares {low:.2f} to {high:.2f} of slots"
            )
    return worst


def measure_cache(report: Report) -> None:
    """Add how many cached places outlast a change of another service."""
    columns = ["change of another service", "kept"]
    table = report.table("Cached places kept", columns)
    node = MovesNode(make_spec(f"u{index}", "a", 3) for index in range(12))
    ranks = node.state.selector.ranks
    keys = make_keys(OTHER_SERVICE_KEYS, 0)
    before = [ranks.for_key(SERVICE, key) for key in keys]
    node.put(make_spec("other", "a", 3, service="t"))
    node.wait(MS_PER_SECOND)
    after = [ranks.for_key(SERVICE, key) for key in keys]
    kept = sum(a is b for a, b in zip(before, after, strict=True))
    table.add("an upstream joins", kept / len(keys))
    if kept < len(keys):
        report.broken.append("a change of one service clears places of another")


def measure_cost(report: Report) -> None:
    """Add the processor time of the places of one key, not cached."""
    table = report.table("Places of one key, computed", ["pool", "us"])
    for pool in make_pools():
        ranks = MovesNode(pool.specs().values()).state.selector.ranks
        ranks.pool(SERVICE)
        keys = make_keys(COST_KEYS, 0)
        start_ns = time.process_time_ns()
        for key in keys:
            ranks.for_key(SERVICE, key)
        table.add(
            pool.name, (time.process_time_ns() - start_ns) / NS_PER_US / len(keys)
        )
