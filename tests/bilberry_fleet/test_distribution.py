"""Test that installed versions are consistent and never decrease."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from bilberry_fleet.const import CONFIG_KINDS, MAX_DELTA_BYTES
from bilberry_fleet.distribution import ConfigState
from bilberry_resources.model import Metadata, StoredObject
from bilberry_store.wire import ObjectList, WatchBatch, WatchEvent


def make_object(kind, name, version, **spec):
    metadata = Metadata(name=name, version=version)
    return StoredObject(kind=kind, metadata=metadata, spec=spec)


def listed(version, items=()):
    return ObjectList(version=version, items=list(items))


def make_synced_state(version, **items):
    state = ConfigState()
    for kind in CONFIG_KINDS:
        state.apply_list(kind, listed(version, items.get(kind, ())))
    return state


def put(kind, name, version):
    event = WatchEvent(type="put", object=make_object(kind, name, version))
    return WatchBatch(version=version, events=[event])


def names(state):
    return {(e.kind, e.name) for e in state.installed_entries()}


def test_a_change_is_installed_once_all_kinds_are_known_up_to_it():
    state = make_synced_state(5, site=[make_object("site", "a", 3)])
    assert state.version == 3
    assert not state.apply_batch("site", put("site", "b", 8))
    assert state.version == 3
    assert names(state) == {("site", "a")}
    assert "region" in state.lagging_kinds()
    for kind in CONFIG_KINDS[:-1]:
        assert not state.apply_batch(kind, WatchBatch(version=8))
    assert state.apply_batch(CONFIG_KINDS[-1], WatchBatch(version=9))
    assert state.version == 8
    assert names(state) == {("site", "a"), ("site", "b")}


def test_a_list_of_an_old_replica_neither_deletes_nor_reverts():
    state = make_synced_state(9, site=[make_object("site", "a", 9)])
    assert not state.apply_list("site", listed(4, [make_object("site", "old", 4)]))
    assert names(state) == {("site", "a")}
    assert state.version == 9


def test_a_list_deletes_missing_objects_and_peers_follow():
    state = make_synced_state(
        5, site=[make_object("site", "a", 3), make_object("site", "b", 4)]
    )
    peer = ConfigState()
    assert peer.apply_delta(state.delta_since(0))
    for kind in CONFIG_KINDS:
        state.apply_list(
            kind, listed(7, [make_object("site", "b", 4)] if kind == "site" else [])
        )
    assert names(state) == {("site", "b")}
    assert peer.apply_delta(state.delta_since(peer.version))
    assert names(peer) == {("site", "b")}


def test_an_older_delta_or_one_with_a_gap_is_refused():
    state = make_synced_state(9, site=[make_object("site", "a", 9)])
    older = make_synced_state(5, site=[make_object("site", "a", 5)])
    assert not state.apply_delta(older.delta_since(0))
    gap = state.delta_since(8)
    assert not older.apply_delta(gap)
    assert older.version == 5


def test_a_large_delta_is_paged_and_installed_at_once():
    half = "x" * (MAX_DELTA_BYTES // 2 - 1_000)
    blocks = [
        make_object("client_block_set", f"b{i}", i + 1, data=half) for i in range(5)
    ]
    state = make_synced_state(9, client_block_set=blocks)
    peer = ConfigState()
    pages = 0
    while peer.version < state.version:
        known = max(peer.version, peer.fetched_version)
        delta = state.delta_since(known)
        body_bytes = sum(len(bytes(e.body)) for e in delta.entries)
        assert body_bytes <= MAX_DELTA_BYTES
        assert peer.apply_delta(delta) is not delta.more
        pages += 1
    assert pages > 1
    assert names(peer) == names(state)


KEYS = st.sampled_from([("site", "a"), ("site", "b"), ("region", "a")])


@given(st.lists(st.tuples(KEYS, st.booleans()), max_size=12), st.randoms())
def test_any_order_of_deltas_converges_and_never_reverts(changes, rng):
    states = []
    store = ConfigState()
    for index, ((kind, name), is_delete) in enumerate(changes):
        version = index + 1
        event = WatchEvent(
            type="delete" if is_delete else "put",
            object=make_object(kind, name, version),
        )
        batch = WatchBatch(version=version, events=[event])
        store.apply_batch(kind, batch)
        for other in CONFIG_KINDS:
            store.apply_batch(other, WatchBatch(version=version))
        states.append(store.delta_since(0))
        if index:
            states.append(store.delta_since(rng.randrange(index + 1)))
    rng.shuffle(states)
    peer = ConfigState()
    seen = [0]
    for delta in states:
        peer.apply_delta(
            msgspec.json.decode(msgspec.json.encode(delta), type=type(delta))
        )
        seen.append(peer.version)
    assert seen == sorted(seen)
    assert peer.version == store.version
    assert names(peer) == names(store)
