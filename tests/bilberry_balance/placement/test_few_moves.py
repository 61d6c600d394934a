"""Keys move to another upstream only if they must, and shares follow slots.

Each upstream keeps some objects cached, so that each key that moves without
need makes its next request slow.
"""

from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberry_balance.placement import ranks as ranks_module
from bilberry_balance.placement.const import SHORT_REGION_RATIO
from bilberry_balance.placement.key_regions import KeyRegions
from bilberry_balance.placement.rendezvous import weighted_score
from bilberry_core.ids import HASH_SPACE, rendezvous_order, stable_hash, stable_hashes

from .common import SERVICE, SelectorPool, spec

KEYS = [f"k{index}" for index in range(300)]
NAMES = st.lists(
    st.sampled_from([f"u{index}" for index in range(12)]),
    min_size=2,
    max_size=8,
    unique=True,
)
SLOTS = st.integers(1, 9)


def ranks_of(slots):
    pool = SelectorPool(*(spec(name, slots=count) for name, count in slots.items()))
    return pool.selector.ranks


def places_of(ranks):
    return {key: ranks.for_key(SERVICE, key).first_ranked() for key in KEYS}


@given(NAMES, SLOTS)
@settings(max_examples=25, deadline=None)
def test_with_equal_slots_keys_stay_where_unweighted_hashing_had_them(names, slots):
    """Guard against a reshuffle of all keys at an upgrade."""
    places = places_of(ranks_of(dict.fromkeys(names, slots)))
    for key in KEYS:
        assert places[key] == {rendezvous_order(key, names)[0]}


@given(NAMES, st.data())
@settings(max_examples=25, deadline=None)
def test_a_resized_upstream_only_takes_or_only_gives_keys(names, data):
    """Guard against moves between upstreams that haven't changed."""
    slots = {name: data.draw(SLOTS) for name in names}
    resized = data.draw(st.sampled_from(names))
    more = slots | {resized: slots[resized] + data.draw(SLOTS)}
    before, after = places_of(ranks_of(slots)), places_of(ranks_of(more))
    for key in KEYS:
        assert after[key] in (before[key], {resized})


@given(NAMES, st.data())
@settings(max_examples=25, deadline=None)
def test_only_keys_of_an_upstream_that_leaves_move(names, data):
    """Guard against moves of keys whose upstream stays."""
    slots = {name: data.draw(SLOTS) for name in names}
    gone = data.draw(st.sampled_from(names))
    before = places_of(ranks_of(slots))
    after = places_of(ranks_of({n: c for n, c in slots.items() if n != gone}))
    for key in KEYS:
        assert before[key] == {gone} or after[key] == before[key]


@given(NAMES, st.data())
@settings(max_examples=25, deadline=None)
def test_nodes_agree_in_whatever_order_they_learn_of_upstreams(names, data):
    """Guard against nodes that send an object to different upstreams."""
    slots = {name: data.draw(SLOTS) for name in names}
    order = data.draw(st.permutations(names))
    late = SelectorPool(*(spec(name, slots=1) for name in order[:1]))
    places_of(late.selector.ranks)
    for name in order:
        late.directory.put(spec(name, slots=slots[name]), draining=False)
        late.selector.ranks.clear(SERVICE)
        late.selector.ranks.for_key(SERVICE, KEYS[0])
    assert places_of(late.selector.ranks) == places_of(ranks_of(slots))


def test_shares_of_keys_follow_slots():
    """Guard against an upstream of two slots that gets as much as one of 8."""
    slots = {"u0": 2, "u1": 4, "u2": 8, "u3": 2}
    ranks = ranks_of(slots)
    count = 6_000
    firsts = [ranks.for_key(SERVICE, str(n)).first_ranked() for n in range(count)]
    counts = Counter(name for names in firsts for name in names)
    for name, own in slots.items():
        assert counts[name] / count == pytest.approx(own / 16, rel=0.1)


def test_a_draining_upstream_gives_its_keys_to_their_second_ranks_once():
    """Guard against keys without a first rank, and against a second move."""
    pool = SelectorPool(*(spec(f"u{index}") for index in range(6)))
    ranks = pool.selector.ranks
    seconds = {key: rendezvous_order(key, pool.directory.by_name) for key in KEYS}
    pool["u3"].draining = True
    ranks.clear(SERVICE)
    drained = places_of(ranks)
    for key, order in seconds.items():
        assert drained[key] == {order[order[0] == "u3"]}
    pool.directory.remove("u3")
    ranks.clear(SERVICE)
    assert places_of(ranks) == drained


def test_keys_have_a_first_rank_while_any_upstream_may_be_used():
    """Guard against objects without a home during a rolling release."""
    pool = SelectorPool(*(spec(f"u{index}") for index in range(6)))
    for name in ("u0", "u1", "u2", "u3"):
        pool[name].draining = True
    places = places_of(pool.selector.ranks)
    assert all(len(found) == 1 and found <= {"u4", "u5"} for found in places.values())


def test_an_evacuation_moves_no_key_to_another_region():
    """Guard against regions that change parts while one is emptied briefly."""
    pool = SelectorPool(
        *(spec(f"{r}{index}", f"{r}-a") for r in ("mtl", "qc") for index in range(4))
    )
    ranks = pool.selector.ranks
    ranks.accepts_requests = pool.directory.accepts_requests
    ranks.is_in_service = pool.directory.is_in_service
    before = {key: ranks.for_key(SERVICE, key) for key in KEYS}
    pool.directory.evacuate(frozenset({"qc-a"}))
    ranks.clear()
    for key, places in before.items():
        now = ranks.for_key(SERVICE, key)
        assert now.regions == places.regions
        assert now.first_ranked() == {
            name for name in places.first_ranked() if name.startswith("mtl")
        }


def test_a_region_near_the_mean_keeps_all_keys():
    """Guard against one upstream that moves a third of other regions' keys."""
    regions = KeyRegions()
    even = {"a": 36, "b": 36, "c": 36}
    assert set(regions.fractions(SERVICE, even).values()) == {1.0}
    assert regions.fractions(SERVICE, even | {"a": 39}) == dict.fromkeys(even, 1.0)
    assert regions.fractions(SERVICE, even | {"a": 33}) == dict.fromkeys(even, 1.0)


def test_a_region_that_is_clearly_short_gives_keys_away():
    """Guard against too few caches for all keys after a domain is lost."""
    regions = KeyRegions()
    even = {"a": 36, "b": 36, "c": 36}
    regions.fractions(SERVICE, even)
    short = even | {"a": 18}
    assert SHORT_REGION_RATIO * sum(short.values()) / 3 > 18
    found = regions.fractions(SERVICE, short)
    assert found == KeyRegions().fractions(SERVICE, short)
    assert found["a"] < 0.5


@given(st.dictionaries(st.sampled_from("abcd"), st.integers(0, 60), min_size=1))
def test_a_node_that_starts_has_the_parts_of_before(slots):
    """Guard against deployments that are served otherwise after an upgrade."""
    mean = sum(slots.values()) / len(slots)
    for region, fraction in KeyRegions().fractions(SERVICE, slots).items():
        count = slots[region]
        assert fraction == (1.0 if count >= mean else 0.7 * count / mean)


def test_a_change_of_one_service_keeps_the_places_of_others():
    """Guard against ranking all keys again for changes of any service."""
    pool = SelectorPool(spec("u0"), spec("v0", service="other"))
    ranks = pool.selector.ranks
    found = ranks.for_key(SERVICE, "k")
    ranks.clear("other")
    assert ranks.for_key(SERVICE, "k") is found
    ranks.clear()
    assert ranks.for_key(SERVICE, "k") is not found


def test_moved_and_kept_keys_are_counted():
    """Guard against a metric that counts keys that stayed as moved."""
    pool = SelectorPool(*(spec(f"u{index}") for index in range(4)))
    ranks = pool.selector.ranks
    before = places_of(ranks)
    pool.directory.remove("u0")
    ranks.clear(SERVICE)
    places_of(ranks)
    lost = sum(found == {"u0"} for found in before.values())
    assert (ranks.moved[SERVICE], ranks.kept[SERVICE]) == (lost, len(KEYS) - lost)


def test_a_full_cache_forgets_only_its_oldest_key(monkeypatch):
    """Guard against ranking all keys again when one more is asked for."""
    monkeypatch.setattr(ranks_module, "MAX_CACHED_KEYS", 3)
    ranks = ranks_of({"u0": 4, "u1": 4})
    first, second = (ranks.for_key(SERVICE, key) for key in ("a", "b"))
    for key in ("c", "d"):
        ranks.for_key(SERVICE, key)
    assert ranks.for_key(SERVICE, "b") is second
    assert ranks.for_key(SERVICE, "a") is not first


@pytest.mark.parametrize("hashed", [0, 1, HASH_SPACE // 2, HASH_SPACE - 1])
def test_every_hash_has_a_score(hashed):
    """Guard against the logarithm of zero at the end of the hash space."""
    assert weighted_score(hashed, 3) >= weighted_score(hashed, 6) >= 0.0


@given(st.text(max_size=9), st.lists(st.text(max_size=9), max_size=4))
def test_hashes_of_many_names_are_those_of_each(key, names):
    """Guard against nodes of two versions that order upstreams differently."""
    encoded = [name.encode() for name in names]
    assert stable_hashes(key, encoded) == [stable_hash(key, name) for name in names]


def test_a_new_incarnation_keeps_the_keys_of_its_name():
    """Guard against moves when an upstream starts again at its address."""
    pool = SelectorPool(*(spec(f"u{index}") for index in range(4)))
    before = places_of(pool.selector.ranks)
    pool.directory.put(replace(pool["u1"].spec, started_at_ms=9), draining=False)
    pool.selector.ranks.clear(SERVICE)
    assert places_of(pool.selector.ranks) == before
