"""In a large pool a request is compared at few upstreams, the right ones."""

from bilberry_balance.placement.candidates import NoSelection
from bilberry_balance.placement.const import MAX_SCANNED_UPSTREAMS
from bilberry_balance.placement.costs import WaitState
from bilberry_balance.placement.ranks import KeyRanks

from .common import SERVICE, SelectorPool, requirements, spec

COUNT = 60


def large_pool(count=COUNT, regions=("mtl", "qc", "sag")):
    specs = [
        spec(f"{region}{index}", f"{region}-{'ab'[index % 2]}")
        for region in regions
        for index in range(count)
    ]
    return SelectorPool(*specs)


def fill(pool, names):
    for name in names:
        pool[name].in_flight = pool[name].spec.slots


def all_names(pool):
    return list(pool.directory.pools[SERVICE])


def first_rank(pool, key, region="mtl"):
    ranks = pool.selector.ranks.for_key(SERVICE, key).ranks
    return next(n for n, rank in ranks.items() if rank == 0 and n.startswith(region))


class CountedDirectory:
    """Count the upstreams that a choice looks at."""

    def __init__(self, pool):
        self.accepts = pool.directory.accepts_requests
        self.count = 0

    def __call__(self, upstream):
        self.count += 1
        return self.accepts(upstream)


def test_a_key_goes_to_its_first_rank_in_the_region():
    pool = large_pool()
    for key in map(str, range(40)):
        assert pool.name_of(requirements(key)) == first_rank(pool, key)


def test_ranks_are_those_of_the_whole_pool_hashed():
    pool = large_pool()
    ranks = KeyRanks(pool.directory.pools)
    kept = ranks.for_key(SERVICE, "k7").ranks
    assert sorted(kept.values()) == [0, 0, 0, 1, 1, 1]
    gone = first_rank(pool, "k7")
    second = next(n for n, r in kept.items() if r == 1 and n.startswith("mtl"))
    pool.directory.remove(gone)
    ranks.clear()
    assert ranks.for_key(SERVICE, "k7").ranks[second] == 0


def test_a_choice_looks_at_few_upstreams_with_room_or_without():
    pool = large_pool()
    usable = CountedDirectory(pool)
    pool.selector.select(requirements("k"), usable, lambda r, t: r[0], 10_000)
    assert usable.count <= MAX_SCANNED_UPSTREAMS
    fill(pool, all_names(pool))
    usable.count = 0
    found = pool.selector.select(
        requirements("k"), usable, lambda r, t: r[0] if r else None, 10_000
    )
    assert found is NoSelection.NO_FREE_SLOT
    assert usable.count <= MAX_SCANNED_UPSTREAMS


def test_an_upstream_that_had_the_key_is_found_wherever_it_is():
    pool = large_pool()
    ranked = pool.selector.ranks.for_key(SERVICE, "k").ranks
    warm = next(n for n in all_names(pool) if n.startswith("mtl") and n not in ranked)
    pool.selector.record_key(pool[warm], "k", 10_000)
    fill(pool, [n for n in all_names(pool) if n != warm])
    waited = WaitState(waited_ms=60_000)
    assert pool.name_of(requirements("k"), wait_state=waited) == warm


def test_free_upstreams_are_found_in_turns():
    pool = large_pool()
    local = [n for n in all_names(pool) if n.startswith("mtl")]
    free = local[38]
    ranked = pool.selector.ranks.for_key(SERVICE, "k").ranks
    assert free not in ranked
    fill(pool, [n for n in all_names(pool) if n not in local or n in ranked])
    for name in local:
        if name not in ranked:
            pool[name].in_flight = 0 if name == free else 2
    waited = WaitState(waited_ms=60_000)
    found = {pool.name_of(requirements("k"), wait_state=waited) for _ in range(COUNT)}
    assert free in found


def test_without_a_usable_sample_the_whole_pool_is_looked_at():
    pool = large_pool()
    kept = next(n for n in all_names(pool) if n.startswith("mtl"))
    for name in all_names(pool):
        pool[name].draining = name != kept
    assert pool.name_of(requirements("k")) == kept


def test_requests_without_a_key_are_spread_over_the_region():
    pool = large_pool()
    seen = set()
    for _ in range(150):
        found = pool.select(requirements(""))
        found.upstream.in_flight += 1
        seen.add(found.upstream.name)
    assert len([name for name in seen if name.startswith("mtl")]) > COUNT * 0.8


def test_no_upstream_left_is_told_from_no_room():
    pool = large_pool()
    for name in all_names(pool):
        pool[name].draining = True
    assert pool.select(requirements("k")) is NoSelection.NO_UPSTREAM
