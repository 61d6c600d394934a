from hypothesis import given
from hypothesis import strategies as st

from bilberry_balance.shares import (
    compute_connection_share,
    compute_node_share,
    compute_slot_shares,
)

MEMBERS = [f"n{i}" for i in range(10)]


@given(total=st.integers(0, 400), offset=st.integers(0, 50))
def test_the_parts_add_up_to_the_total(total, offset):
    parts = [compute_node_share(total, MEMBERS, node, offset) for node in MEMBERS]
    assert sum(parts) == total
    assert max(parts) - min(parts) <= 1


@given(sizes=st.lists(st.integers(1, 9), min_size=1, max_size=16))
def test_no_node_has_more_than_one_slot_above_another(sizes):
    slots = [(f"u{i}", size) for i, size in enumerate(sizes)]
    shares = [compute_slot_shares(slots, MEMBERS, node) for node in MEMBERS]
    for name, size in slots:
        assert sum(share[name] for share in shares) == size
    totals = [sum(share.values()) for share in shares]
    assert max(totals) - min(totals) <= 1


def test_a_node_that_is_no_member_gets_nothing():
    assert compute_slot_shares([("u0", 9)], MEMBERS, "other") == {"u0": 0}


@given(count=st.integers(1, 20), max_aware=st.integers(0, 20))
def test_connections_stay_in_bound_while_views_differ_by_one(count, max_aware):
    before = [f"n{i}" for i in range(count)]
    after = [*before, "joins"]
    aware = min(max_aware, count)
    held = aware * compute_connection_share(360, after)
    held += (count - aware) * compute_connection_share(360, before)
    held += compute_connection_share(360, after)
    assert held <= 360
