import uuid

import pytest

from bilberry_balance.const import DEFAULT_CALLER_CLOCK_SKEW_MS
from bilberry_balance.keys import (
    Execute,
    FingerprintMismatch,
    ForwardToOwner,
    KeyTable,
    Refused,
    Replay,
    StoredResponse,
    UnknownOutcome,
    WaitForFirst,
)
from bilberry_balance.ownership import Ownership

WALL = 1_700_000_000_000
RESPONSE = StoredResponse(201, (), b"booked")


def key_created_at(wall_ms, salt=0):
    value = (wall_ms << 80) | (7 << 76) | (0b10 << 62) | salt
    return str(uuid.UUID(int=value))


def settled_table(node="n1", members=("n1",), **bounds):
    ownership = Ownership(node)
    ownership.on_epoch(1, members, (), 0, WALL)
    ownership.on_confirmed(1, 1_000_000)
    return KeyTable(ownership, **bounds)


NOW = 1_000_000
SKEW = DEFAULT_CALLER_CLOCK_SKEW_MS
LATER = WALL + NOW


def test_the_first_runs_and_resends_get_its_answer():
    table = settled_table()
    key = key_created_at(LATER)
    assert table.begin(key, "f", NOW, LATER) == Execute()
    assert table.begin(key, "f", NOW, LATER) == WaitForFirst()
    assert table.begin(key, "g", NOW, LATER) == FingerprintMismatch()
    table.store(key, RESPONSE, NOW)
    assert table.begin(key, "f", NOW, LATER) == Replay(RESPONSE)


def test_a_released_key_may_run_and_a_lost_one_may_not():
    table = settled_table()
    key = key_created_at(LATER)
    table.begin(key, "f", NOW, LATER)
    table.release(key)
    assert table.begin(key, "f", NOW, LATER) == Execute()
    table.mark_lost(key, NOW)
    assert isinstance(table.begin(key, "f", NOW, LATER), UnknownOutcome)


def test_a_key_of_another_owner_is_forwarded_to_it():
    table = settled_table(members=("n2",))
    assert table.begin(key_created_at(LATER), "f", NOW, LATER) == ForwardToOwner("n2")


@pytest.mark.parametrize("age_ms", [600_001, 10_000_000])
def test_a_key_older_than_its_retention_is_unknown(age_ms):
    table = settled_table()
    assert isinstance(
        table.begin(key_created_at(LATER - age_ms), "f", NOW, LATER), UnknownOutcome
    )


def test_a_key_ahead_of_the_clock_never_runs():
    table = settled_table()
    assert isinstance(
        table.begin(key_created_at(LATER + 60_000), "f", NOW, LATER), Refused
    )
    assert isinstance(
        table.begin(key_created_at(LATER + SKEW + 1_000), "f", NOW, LATER),
        UnknownOutcome,
    )


def test_bounds_never_lead_to_a_second_execution():
    table = settled_table(max_keys=2, max_response_bytes=6)
    keys = [key_created_at(LATER, salt) for salt in range(3)]
    for key in keys[:2]:
        table.begin(key, "f", NOW, LATER)
        table.store(key, RESPONSE, NOW)
    assert isinstance(table.begin(keys[0], "f", NOW, LATER), UnknownOutcome)
    assert table.begin(keys[1], "f", NOW, LATER) == Replay(RESPONSE)
    assert isinstance(table.begin(keys[2], "f", NOW, LATER), Refused)
    table.expire(NOW + 600_000)
    assert table.entries == {}
    assert table.response_bytes == 0


def test_headers_count_towards_the_bound_of_response_bytes():
    table = settled_table(max_response_bytes=20)
    response = StoredResponse(200, (("X-Name", "long value here"),), b"ok")
    key = key_created_at(LATER)
    table.begin(key, "f", NOW, LATER)
    table.store(key, response, NOW)
    assert table.response_bytes == 0
    assert isinstance(table.begin(key, "f", NOW, LATER), UnknownOutcome)
