"""Fleets keep the quotas of workspaces through jumps and cuts."""

import pytest

from bench.quota_cases import QuotaCase, jumping, steady
from bench.quota_model import QuotaFleet
from bench.quotas import broken_promises

SMALL = {"nodes": 24, "seconds": 22}
RATES = (6.0, 20.0)
CASES = [
    QuotaCase("steady", steady(0.6, RATES), is_below=True, **SMALL),
    QuotaCase("jump", jumping(7.5, RATES, (0.4, 0.8)), **SMALL),
    QuotaCase("killed", steady(1.5, RATES), killed=0.5, **SMALL),
    QuotaCase("cut off", steady(1.5, RATES), cut_off=0.5, **SMALL),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_no_window_passes_the_bound_of_its_workspace(case):
    """Nodes know each other's counts late, and some of them not at all."""
    assert broken_promises(case, QuotaFleet(case, 1).run()) == []
