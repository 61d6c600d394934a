from bilberry_balance.key_handover import (
    apply_handover,
    build_end_report,
    build_handovers,
)
from bilberry_balance.keys import (
    Execute,
    KeyTable,
    Replay,
    StoredResponse,
    UnknownOutcome,
    WaitForFirst,
)
from bilberry_balance.ownership import Ownership
from bilberry_core.ids import rendezvous_order

WALL = 1_700_000_000_000
BOTH = ("n1", "n2")
RESPONSE = StoredResponse(201, (), b"booked")


def pair_with_a_running_key():
    tables = [KeyTable(Ownership(name)) for name in BOTH]
    for table in tables:
        table.ownership.on_epoch(1, BOTH, (), 0, WALL)
        table.ownership.on_confirmed(1, 100)
    keys = (f"key-{n}" for n in range(100))
    key = next(k for k in keys if tables[0].ownership.owner(k) == "n1")
    assert tables[0].begin(key, "f", 100, WALL) == Execute()
    for table in tables:
        table.ownership.on_epoch(2, ("n2",), BOTH, 200, WALL)
    tables[1].ownership.on_confirmed(2, 200)
    return *tables, key


def test_a_stopping_owner_hands_its_running_keys_over():
    former_owner, new_owner, key = pair_with_a_running_key()
    assert isinstance(new_owner.begin(key, "f", 210, WALL), UnknownOutcome)
    (complete,) = build_handovers(former_owner, 210)
    assert apply_handover(new_owner, complete, 220)
    assert new_owner.begin(key, "f", 230, WALL) == WaitForFirst()
    former_owner.store(key, RESPONSE, 300)
    assert apply_handover(new_owner, build_end_report(former_owner, key, 300), 310)
    assert new_owner.begin(key, "f", 320, WALL) == Replay(RESPONSE)


def test_a_complete_table_lets_other_keys_run_at_once():
    former_owner, new_owner, _ = pair_with_a_running_key()
    apply_handover(new_owner, build_handovers(former_owner, 210)[0], 220)
    keys = (f"other-{n}" for n in range(100))
    moved = next(k for k in keys if rendezvous_order(k, BOTH)[0] == "n1")
    assert new_owner.begin(moved, "f", 230, WALL) == Execute()


def test_a_key_released_by_its_former_owner_may_run():
    former_owner, new_owner, key = pair_with_a_running_key()
    apply_handover(new_owner, build_handovers(former_owner, 210)[0], 220)
    former_owner.release(key)
    apply_handover(new_owner, build_end_report(former_owner, key, 300), 310)
    assert new_owner.begin(key, "f", 320, WALL) == Execute()


def test_a_former_owner_that_dies_leaves_its_running_keys_unknown():
    former_owner, new_owner, key = pair_with_a_running_key()
    apply_handover(new_owner, build_handovers(former_owner, 210)[0], 220)
    assert isinstance(new_owner.begin(key, "f", 60_300, WALL), UnknownOutcome)


def test_a_hand_over_of_a_newer_epoch_is_refused():
    former_owner, _, _ = pair_with_a_running_key()
    late = KeyTable(Ownership("n2"))
    late.ownership.on_epoch(1, BOTH, (), 0, WALL)
    assert not apply_handover(late, build_handovers(former_owner, 210)[0], 220)
