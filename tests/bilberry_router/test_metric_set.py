"""Test that metrics are rendered as Prometheus text."""

from bilberry_core.histogram import Histogram
from bilberry_router.metric_set import MetricSet


def lines_of(metrics):
    return metrics.render().content.decode().splitlines()


def test_a_gauge_keeps_its_last_value_for_each_label():
    metrics = MetricSet()
    metrics.set_gauge("load", "Load.", 3, service="a")
    metrics.set_gauge("load", "Load.", 5, service="a")
    metrics.set_gauge("load", "Load.", 1, service="b")
    lines = lines_of(metrics)
    assert "# TYPE load gauge" in lines
    assert 'load{service="a"} 5' in lines
    assert 'load{service="b"} 1' in lines


def test_a_count_is_a_counter():
    metrics = MetricSet()
    metrics.set_counter("calls_total", "Calls.", 7)
    assert "# TYPE calls_total counter" in lines_of(metrics)
    assert "calls_total 7" in lines_of(metrics)


def test_a_histogram_has_cumulative_buckets_a_sum_and_a_count():
    values = Histogram((10, 100))
    for value in (5, 50, 500):
        values.observe(value)
    metrics = MetricSet()
    metrics.set_histogram("took_ms", "Time.", values, service="a")
    lines = lines_of(metrics)
    assert "# TYPE took_ms histogram" in lines
    assert 'took_ms_bucket{le="10.0",service="a"} 1.0' in lines
    assert 'took_ms_bucket{le="100.0",service="a"} 2.0' in lines
    assert 'took_ms_bucket{le="+Inf",service="a"} 3.0' in lines
    assert 'took_ms_sum{service="a"} 555.0' in lines
    assert 'took_ms_count{service="a"} 3.0' in lines
