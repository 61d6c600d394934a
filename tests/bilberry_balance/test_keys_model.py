import pytest

from bilberry_balance.keys import KeyTable
from bilberry_balance.ownership import Ownership, OwnershipStatus

from .key_model import Model

SEEDS = range(60)


def model_runs(seeds=SEEDS):
    for seed in seeds:
        model = Model(seed)
        model.run()
        yield model


def test_no_key_runs_twice_whatever_fails():
    models = list(model_runs())
    assert [m.max_runs_per_key for m in models if m.max_runs_per_key > 1] == []
    assert sum(sum(m.runs.values()) for m in models) > 1_000


def without_history_check(table, key, wall_ms):
    return None


def without_confirmation(ownership, key, now_ms):
    mine = ownership.owner(key) == ownership.node
    return OwnershipStatus.OWNER if mine else OwnershipStatus.ELSEWHERE


def with_all_executions_known(ownership, now_ms):
    return 0


MUTATIONS = [
    (KeyTable, "_check_key_history", without_history_check),
    (Ownership, "check_ownership", without_confirmation),
    (Ownership, "lost_keys_known_from_wall_ms", with_all_executions_known),
]


@pytest.mark.parametrize(("owner", "name", "mutation"), MUTATIONS)
def test_the_model_finds_a_rule_left_out(monkeypatch, owner, name, mutation):
    monkeypatch.setattr(owner, name, mutation)
    assert any(m.max_runs_per_key > 1 for m in model_runs())
