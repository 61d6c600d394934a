"""What a node makes of the loads that other nodes report."""

import random

from hypothesis import given, strategies

from bilberry_balance.placement.const import MIN_MEAN_LOAD, PEER_LOAD_TTL_MS
from bilberry_balance.placement.peer_loads import PeerLoads

SLOTS = 3
REPORT_MS = 1_000


def test_a_node_reports_the_whole_of_its_counts():
    loads = PeerLoads()
    loads.update("n1", {"u0": 2, "u1": 1}, 0)
    loads.update("n2", {"u0": 1}, 0)
    loads.update("n1", {"u0": 1}, 100)
    assert (loads.total("u0"), loads.total("u1")) == (2, 0)


def test_a_distant_domain_counts_with_its_mean():
    loads = PeerLoads()
    loads.update_mean("d1", {"u0": 3}, 0)
    assert loads.total("u0") == 3
    loads.update_mean("d1", {"u0": 1}, REPORT_MS)
    assert 1 < loads.total("u0") < 3
    for index in range(2, 40):
        loads.update_mean("d1", {}, index * REPORT_MS)
    assert loads.total("u0") == 0


def test_a_silent_distant_domain_is_forgotten():
    loads = PeerLoads()
    loads.update_mean("d1", {"u0": 3}, 0)
    loads.expire(PEER_LOAD_TTL_MS + 1)
    assert loads.total("u0") == 0


def test_a_busy_distant_region_is_not_taken_for_free_by_chance():
    """Play reports of a region whose upstreams are busy, and just vary."""
    rng = random.Random(7)
    latest, means = PeerLoads(), PeerLoads()
    wrong = {"latest": 0, "means": 0}
    for second in range(400):
        # The load when the report was made says little of the load now.
        reported = rng.choice([1, 2, 3, 3, 4, 4, 5])
        latest.update("d1", {"u0": reported}, second * REPORT_MS)
        means.update_mean("d1", {"u0": reported}, second * REPORT_MS)
        wrong["latest"] += latest.total("u0") < SLOTS - 1
        wrong["means"] += means.total("u0") < SLOTS - 1
    assert wrong["means"] <= wrong["latest"] / 5


def test_a_region_that_gets_room_is_used_within_seconds():
    loads = PeerLoads()
    for second in range(10):
        loads.update_mean("d1", {"u0": 4}, second * REPORT_MS)
    seconds = 0
    while loads.total("u0") > SLOTS - 1:
        seconds += 1
        loads.update_mean("d1", {"u0": 0}, (10 + seconds) * REPORT_MS)
    assert seconds <= 3


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["n1", "n2", "d1", "d2"]),
            strategies.dictionaries(
                strategies.sampled_from(["u0", "u1"]), strategies.integers(1, 9)
            ),
        ),
        max_size=40,
    )
)
def test_totals_are_the_sums_of_what_is_known(reports):
    loads = PeerLoads()
    for now_ms, (sender, counts) in enumerate(reports):
        if sender.startswith("d"):
            loads.update_mean(sender, counts, now_ms)
        else:
            loads.update(sender, counts, now_ms)
        for name in ("u0", "u1"):
            known = sum(load.counts.get(name, 0) for load in loads.peers.values())
            assert abs(loads.total(name) - known) < MIN_MEAN_LOAD / 1_000
