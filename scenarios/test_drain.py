"""Run the scenarios on draining upstreams."""

import gevent
from pytest_bdd import parsers, scenarios, then, when

scenarios("features/drain.feature")

WATCH_S = 1


@when(parsers.parse("{name} tells that it is draining"))
def drains_itself(cluster, name):
    cluster.set_control(cluster.upstreams[name], draining=True)


@then(parsers.parse("{delay_ms:d} ms later {name} receives no new work"))
def no_new_work(cluster, delay_ms, name):
    counters = cluster.upstreams[name].model.counters
    gevent.sleep(delay_ms / 1_000)
    before = counters.started
    assert before > 0
    gevent.sleep(WATCH_S)
    assert counters.started == before
