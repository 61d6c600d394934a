"""Distances and processing times are learned from what a node sees."""

from bilberry_balance.placement.distances import Distance, Distances, Location
from bilberry_balance.placement.processing_times import ProcessingTimes, Warmth

from .common import SelectorPool, requirements, spec

HERE = Location("mtl-a", "mtl")


def test_the_distance_follows_domain_and_region():
    distances = Distances(HERE)
    assert distances.between(spec("u", "mtl-a")) is Distance.SAME_DOMAIN
    assert distances.between(spec("u", "mtl-b")) is Distance.SAME_REGION
    assert distances.between(spec("u", "qc-a")) is Distance.OTHER_REGION


def test_round_trips_are_learned_for_each_failure_domain():
    distances = Distances(HERE)
    before = distances.round_trip_ms(spec("u", "sag-a"))
    for _ in range(40):
        distances.observe(spec("u", "qc-a"), 30)
    assert abs(distances.round_trip_ms(spec("other", "qc-a")) - 30) < 1
    assert distances.round_trip_ms(spec("u", "sag-a")) == before


def test_of_equal_upstreams_the_one_with_a_connection_is_selected():
    pool = SelectorPool(spec("u0", "qc-a"), spec("u1", "qc-a"))
    for name in ("u0", "u1"):
        pool.selector.is_connected = lambda upstream, n=name: upstream.name == n
        assert pool.name_of(requirements("")) == name


def test_the_first_observations_count_more_than_later_ones():
    times = ProcessingTimes.from_target(600)
    for _ in range(8):
        times.observe(Warmth.FIRST_RANK, 200)
    assert times.expected_ms(Warmth.FIRST_RANK) < 300
    times.observe(Warmth.FIRST_RANK, 600)
    assert times.expected_ms(Warmth.FIRST_RANK) < 325


def test_times_in_other_regions_are_kept_apart():
    times = ProcessingTimes.from_target(600)
    for _ in range(20):
        times.observe(Warmth.FIRST_RANK, 900, is_local=True)
        times.observe(Warmth.FIRST_RANK, 200, is_local=False)
    assert times.expected_ms(Warmth.FIRST_RANK, is_local=True) > 700
    assert times.expected_ms(Warmth.FIRST_RANK, is_local=False) < 300
