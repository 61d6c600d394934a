"""Test that values are counted under the first bound not below them."""

from bilberry_core.histogram import Histogram


def test_each_value_counts_under_its_bound():
    histogram = Histogram((10, 100))
    for value in (0, 10, 11, 100, 101, 5_000):
        histogram.observe(value)
    assert histogram.counts == [2, 2, 2]
    assert histogram.cumulative_counts() == [2, 4, 6]
    assert histogram.observations == 6
    assert histogram.value_sum == 5_222


def test_nothing_observed_is_nothing_counted():
    histogram = Histogram((10,))
    assert histogram.cumulative_counts() == [0, 0]
    assert histogram.observations == 0
