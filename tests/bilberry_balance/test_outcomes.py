from pathlib import Path

import pytest

from bilberry_balance.outcomes import FailurePoint, KeyAction, decide_on_failure
from bilberry_core.outcome import RequestOutcome

TABLE = Path(__file__).parents[2] / "docs" / "outcomes.md"
COLUMNS = 6


def table_rows():
    lines = TABLE.read_text().splitlines()
    cells = [[c.strip() for c in line.strip("|").split("|")] for line in lines]
    rows = [row for row in cells if len(row) == COLUMNS]
    return [row for row in rows if row[0] in set(FailurePoint)]


@pytest.mark.parametrize("row", table_rows(), ids=lambda row: "-".join(row[:2]))
def test_each_row_of_the_table(row):
    point, method, retried, outcome, caller, key = row
    decision = decide_on_failure(
        FailurePoint(point), method == "idempotent", True, True, 5_000
    )
    answer = "connection aborted" if decision.abort else str(decision.status)
    assert decision.retry == (retried == "yes")
    assert (decision.outcome, answer, decision.key_action) == (outcome, caller, key)


def test_the_table_has_both_methods_of_every_point():
    rows = {(row[0], row[1]) for row in table_rows()}
    assert rows == {(p, m) for p in FailurePoint for m in ("idempotent", "other")}


@pytest.mark.parametrize("point", list(FailurePoint))
def test_nothing_is_not_run_after_an_attempt_that_may_have_run(point):
    decision = decide_on_failure(point, True, True, True, 5_000, may_have_run=True)
    assert decision.outcome is RequestOutcome.UNKNOWN
    assert decision.key_action is KeyAction.LOSE
    assert decision.retry_after_ms is None
    assert not decide_on_failure(
        point, False, True, True, 5_000, may_have_run=True
    ).retry


@pytest.mark.parametrize("point", list(FailurePoint))
def test_no_retry_without_budget_or_time(point):
    assert not decide_on_failure(point, True, False, False, 5_000).retry
    assert not decide_on_failure(point, True, False, True, 5).retry


def test_an_unkeyed_request_leaves_keys_alone():
    decision = decide_on_failure(
        FailurePoint.AWAITING_ANSWER, False, False, True, 5_000
    )
    assert decision.key_action is KeyAction.NONE
