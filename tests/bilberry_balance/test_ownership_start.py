"""Test that the first nodes of a new fleet own keys without delay."""

from bilberry_balance.key_handover import apply_handover, build_handovers
from bilberry_balance.keys import Execute, KeyTable
from bilberry_balance.ownership import Ownership
from bilberry_core.clock import ManualClock
from bilberry_core.ids import new_uuid7

NODES = ("a", "b", "c")


def join_one_by_one(clock, step_ms):
    tables = {name: KeyTable(Ownership(name)) for name in NODES}
    for number in range(1, len(NODES) + 1):
        members, former = NODES[:number], NODES[: number - 1]
        for name in members:
            own = tables[name].ownership
            own.on_epoch(number, members, former, clock.now_ms(), clock.wall_ms())
            own.on_confirmed(number, clock.now_ms())
        for name in members:
            for handover in build_handovers(tables[name], clock.now_ms()):
                taken = apply_handover(
                    tables[handover.target], handover, clock.now_ms()
                )
                assert taken
        clock.advance(step_ms)
        for name in members:
            tables[name].ownership.on_confirmed(number, clock.now_ms())
    return tables


def test_every_owner_accepts_new_keys_at_once(clock):
    tables = join_one_by_one(clock, step_ms=700)
    for _ in range(30):
        key = new_uuid7(clock)
        owner = tables["a"].ownership.owner(key)
        decision = tables[owner].begin(key, "f", clock.now_ms(), clock.wall_ms())
        assert isinstance(decision, Execute)


def test_keys_minted_long_before_are_accepted_too():
    clock = ManualClock(monotonic_ms=1_000, offset_ms=1_700_000_000_000)
    early = [new_uuid7(clock) for _ in range(30)]
    clock.advance(5_000)
    tables = join_one_by_one(clock, step_ms=700)
    for key in early:
        owner = tables["a"].ownership.owner(key)
        decision = tables[owner].begin(key, "f", clock.now_ms(), clock.wall_ms())
        assert isinstance(decision, Execute)
