"""Weigh ways to place keys of one region: by hash, bounded, remembered."""

import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from bilberry_core.ids import stable_hash
from bilberry_core.registry import Registry

from .moves_model import Place, least_moves
from .report import Report

UPSTREAMS = 34
SLOTS = 3
KEYS = 1_500
# A bounded upstream takes no more than this many times its share of the keys.
MAX_LOAD = 1.1

Names = tuple[str, ...]
Hashes = dict[str, dict[str, int]]
Placement = list[Place]
Option = Callable[[list[str], Names, Hashes, Placement], Placement]

OPTIONS: Registry[str, Option] = Registry()


@OPTIONS.register("first rank")
def by_hash(
    keys: list[str], names: Names, hashes: Hashes, before: Placement
) -> Placement:
    """Place each key at the first upstream of its order."""
    return [min(names, key=hashes[key].__getitem__) for key in keys]


@OPTIONS.register("bounded loads")
def bounded(
    keys: list[str], names: Names, hashes: Hashes, before: Placement
) -> Placement:
    """Place each key at the first upstream that has room for it."""
    return fill(keys, names, hashes, [None] * len(keys))


@OPTIONS.register("memory")
def remembered(
    keys: list[str], names: Names, hashes: Hashes, before: Placement
) -> Placement:
    """Keep each key where it was while that upstream is there."""
    first = by_hash(keys, names, hashes, before)
    return [
        old if old in names else new for old, new in zip(before, first, strict=True)
    ]


@OPTIONS.register("memory, bounded")
def remembered_bounded(
    keys: list[str], names: Names, hashes: Hashes, before: Placement
) -> Placement:
    """Keep each key where it was while there is room for it."""
    return fill(keys, names, hashes, before)


def fill(keys: list[str], names: Names, hashes: Hashes, before: Placement) -> Placement:
    """Place keys one after another, where they were or by their order."""
    room = dict.fromkeys(names, math.ceil(MAX_LOAD * len(keys) / len(names)))
    places: Placement = []
    for key, old in zip(keys, before, strict=True):
        place = old if old is not None and room.get(old) else None
        if place is None:
            place = min((n for n in names if room[n]), key=hashes[key].__getitem__)
        room[place] -= 1
        places.append(place)
    return places


@dataclass(slots=True)
class Weighed:
    """Store what an option moved, its shares, and whether nodes agree."""

    ratio: float
    lowest: float
    highest: float
    agreed: float


def weigh(option: Option, seed: int, pools: list[Names]) -> Weighed:
    """Play changes of a pool at a node that sees all, and at a new one.

    The new node knows only the last pool, and learns of other keys first.
    """
    keys = [f"{seed}-{index}" for index in range(KEYS)]
    names = {name for pool in pools for name in pool}
    hashes = {key: {n: stable_hash(key, n) for n in names} for key in keys}
    places = option(keys, pools[0], hashes, [None] * KEYS)
    moved, least = 0, 0.0
    for old, new in itertools.pairwise(pools):
        after = option(keys, new, hashes, places)
        moved += sum(a != b for a, b in zip(places, after, strict=True))
        slots = dict.fromkeys(old, SLOTS), dict.fromkeys(new, SLOTS)
        least += least_moves(places, after, *slots)
        places = after
    shuffled = random.Random(seed).sample(keys, KEYS)
    other = option(shuffled, pools[-1], hashes, [None] * KEYS)
    found = dict(zip(shuffled, other, strict=True))
    agreed = sum(found[key] == a for key, a in zip(keys, places, strict=True)) / KEYS
    shares = [places.count(name) * len(pools[-1]) / KEYS for name in pools[-1]]
    return Weighed(moved / least, min(shares), max(shares), agreed)


def make_changes() -> dict[str, list[Names]]:
    """Return series of pools by what changes."""
    names = tuple(f"u{index}" for index in range(UPSTREAMS))
    release = [names]
    for start in range(0, UPSTREAMS // 2, 6):
        wave = set(names[start : start + 6])
        release.append((*release[-1], *(f"{name}-new" for name in sorted(wave))))
        release.append(tuple(n for n in release[-1] if n not in wave))
    return {
        "joins": [names, (*names, "new")],
        "leaves": [names, names[1:]],
        "release": release,
    }


def measure_options(report: Report, seed: int) -> None:
    """Add a table of what each option moves."""
    columns = ["option", "change", "ratio", "lowest share", "highest", "nodes agree"]
    table = report.table(f"Options, {UPSTREAMS} upstreams in one region", columns)
    for name, option in OPTIONS.items():
        for change, pools in make_changes().items():
            found = weigh(option, seed, pools)
            table.add(
                name, change, found.ratio, found.lowest, found.highest, found.agreed
            )
