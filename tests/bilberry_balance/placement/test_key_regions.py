"""A region that is short of upstreams takes only some of the objects.

If callers everywhere ask for the same objects, its few caches can't hold all
of them. Each object that doesn't belong there is served in another region,
where callers keep it cached anyway, instead of evicting the others.
"""

from bilberry_balance.placement.const import KEY_FRACTION_OF_SLOTS
from bilberry_balance.placement.distances import Location

from .common import SERVICE, SelectorPool, requirements, spec

KEYS = [f"k{index}" for index in range(400)]
SHORT = Location("qc-a", "qc")


def pool_of(short=2, other=10, **fields):
    specs = [spec(f"qc{index}", "qc-a") for index in range(short)]
    for region in ("mtl", "sag"):
        specs += [spec(f"{region}{index}", f"{region}-a") for index in range(other)]
    return SelectorPool(*specs, location=SHORT, **fields)


def regions_of(pool, key):
    return pool.selector.ranks.for_key(SERVICE, key).regions


def keys_in(pool, region):
    return {key for key in KEYS if region in regions_of(pool, key)}


def test_a_short_region_takes_keys_in_proportion_to_its_slots():
    pool = pool_of(short=2, other=10)
    expected = KEY_FRACTION_OF_SLOTS * 2 / ((2 + 10 + 10) / 3)
    share = len(keys_in(pool, "qc")) / len(KEYS)
    assert abs(share - expected) < 0.05
    assert keys_in(pool, "mtl") == keys_in(pool, "sag") == set(KEYS)


def test_regions_of_equal_size_take_all_keys():
    pool = pool_of(short=10, other=10)
    assert all(regions_of(pool, key) == {"qc", "mtl", "sag"} for key in KEYS)


def test_few_keys_change_their_regions_with_an_upstream_more():
    before = keys_in(pool_of(short=3), "qc")
    after = keys_in(pool_of(short=4), "qc")
    assert before < after


def test_a_key_goes_to_a_region_where_it_belongs():
    pool = pool_of()
    own = keys_in(pool, "qc")
    for key in KEYS:
        region = pool.select(requirements(key)).upstream.spec.region
        assert (region == "qc") is (key in own)


def test_a_key_is_served_at_home_if_no_other_region_has_room():
    pool = pool_of()
    key = next(key for key in KEYS if "qc" not in regions_of(pool, key))
    for upstream in pool.directory.by_name.values():
        if upstream.spec.region != "qc":
            upstream.in_flight = upstream.spec.slots
    assert pool.select(requirements(key)).upstream.spec.region == "qc"


def test_a_short_region_takes_every_key_if_it_alone_has_room():
    pool = pool_of()
    mtl = SelectorPool(
        *(u.spec for u in pool.directory.by_name.values()),
        location=Location("mtl-a", "mtl"),
    )
    for upstream in mtl.directory.by_name.values():
        if upstream.spec.region != "qc":
            upstream.draining = True
    for key in KEYS[:50]:
        assert mtl.select(requirements(key)).upstream.spec.region == "qc"


def test_a_request_bound_to_a_region_keeps_to_its_keys_upstream_there():
    pool = pool_of(short=4)
    ranks = pool.selector.ranks
    for key in KEYS[:50]:
        first = next(
            name
            for name, rank in ranks.for_key(SERVICE, key).ranks.items()
            if rank == 0 and name.startswith("qc")
        )
        assert pool.name_of(requirements(key, homes=["qc"])) == first
