"""Changes of a pool that are measured for the keys that they move."""

import random
from collections.abc import Callable

from bilberry_core.registry import Registry

from .moves_model import (
    PoolModel,
    Scenario,
    make_spec,
    next_incarnation,
)

STEP_MS = 5_000
RESTART_MS = 10_000
# A rolling release replaces this part of the upstreams, so many at a time.
RELEASED_FRACTION = 0.44
RELEASED_AT_ONCE = 6

Case = Callable[[Scenario, PoolModel, random.Random], None]
CASES: Registry[str, Case] = Registry()


def largest_region(pool: PoolModel) -> str:
    """Return the region with the most slots."""
    return max(pool.slots, key=lambda region: sum(pool.slots[region]))


def pick_name(pool: PoolModel, rng: random.Random, region: str = "") -> str:
    """Return an upstream of a region, by default of the largest one."""
    region = region or largest_region(pool)
    return f"{region}{rng.randrange(len(pool.slots[region]))}"


@CASES.register("one joins")
def join(scenario: Scenario, pool: PoolModel, rng: random.Random) -> None:
    """Add one upstream to the largest region."""
    scenario.node.put(make_spec("new", largest_region(pool), 3))
    scenario.step(STEP_MS)


@CASES.register("one joins a short region")
def join_short(scenario: Scenario, pool: PoolModel, rng: random.Random) -> None:
    """Add one upstream to the smallest region."""
    short = min(pool.slots, key=lambda region: sum(pool.slots[region]))
    scenario.node.put(make_spec("new", short, 3))
    scenario.step(STEP_MS)


@CASES.register("one leaves")
def leave(scenario: Scenario, pool: PoolModel, rng: random.Random) -> None:
    """Remove one upstream for good."""
    scenario.node.remove(pick_name(pool, rng))
    scenario.step(STEP_MS)


@CASES.register("one drains, then leaves")
def drain(scenario: Scenario, pool: PoolModel, rng: random.Random) -> None:
    """Drain one upstream, then remove it."""
    name = pick_name(pool, rng)
    scenario.node.drain(name)
    scenario.step(STEP_MS)
    scenario.node.remove(name)
    scenario.step(STEP_MS)


@CASES.register("one is back after 10 s")
def come_back(scenario: Scenario, pool: PoolModel, rng: random.Random) -> None:
    """Remove one upstream, and let it return under its name."""
    name = pick_name(pool, rng)
    scenario.node.remove(name)
    scenario.step(RESTART_MS)
    scenario.node.put(next_incarnation(pool.specs()[name]))
    scenario.step(STEP_MS)


@CASES.register("one starts again in place")
def restart(scenario: Scenario, pool: PoolModel, rng: random.Random) -> None:
    """Replace one upstream's entry by that of its next incarnation."""
    scenario.node.put(next_incarnation(pool.specs()[pick_name(pool, rng)]))
    scenario.step(STEP_MS)


@CASES.register("one doubles its slots")
def double(scenario: Scenario, pool: PoolModel, rng: random.Random) -> None:
    """Let one upstream start again with twice its slots."""
    spec = pool.specs()[pick_name(pool, rng)]
    scenario.node.put(next_incarnation(spec, 2 * spec.slots))
    scenario.step(STEP_MS)


@CASES.register("joins while another drains")
def overlap(scenario: Scenario, pool: PoolModel, rng: random.Random) -> None:
    """Let one upstream drain while another one joins the same region."""
    name = pick_name(pool, rng)
    scenario.node.drain(name)
    scenario.step(STEP_MS)
    scenario.node.put(make_spec("new", largest_region(pool), 3))
    scenario.step(STEP_MS)
    scenario.node.remove(name)
    scenario.step(STEP_MS)


@CASES.register("doubles while two drain")
def overlap_drains(scenario: Scenario, pool: PoolModel, rng: random.Random) -> None:
    """Let two upstreams drain while a third one doubles its slots."""
    region = largest_region(pool)
    first, second, third = rng.sample(range(len(pool.slots[region])), 3)
    scenario.node.drain(f"{region}{first}")
    scenario.step(STEP_MS)
    spec = pool.specs()[f"{region}{third}"]
    scenario.node.put(next_incarnation(spec, 2 * spec.slots))
    scenario.node.drain(f"{region}{second}")
    scenario.step(STEP_MS)
    scenario.node.remove(f"{region}{first}", f"{region}{second}")
    scenario.step(STEP_MS)


@CASES.register("rolling release")
def release(scenario: Scenario, pool: PoolModel, rng: random.Random) -> None:
    """Replace upstreams in waves: new ones start, old ones drain and leave.

    The old ones of a wave leave while those of the next one already drain.
    """
    specs = pool.specs()
    released = rng.sample(sorted(specs), round(RELEASED_FRACTION * len(specs)))
    leaving: list[str] = []
    for start in range(0, len(released), RELEASED_AT_ONCE):
        wave = released[start : start + RELEASED_AT_ONCE]
        scenario.node.put(
            *(
                make_spec(f"{name}-new", specs[name].region, specs[name].slots)
                for name in wave
            )
        )
        scenario.step(STEP_MS)
        scenario.node.drain(*wave)
        scenario.step(STEP_MS)
        scenario.node.remove(*leaving)
        scenario.step(STEP_MS)
        leaving = wave
    scenario.node.remove(*leaving)
    scenario.step(STEP_MS)
