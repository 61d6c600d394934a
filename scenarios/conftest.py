"""Define the fixtures and steps that all scenarios share."""

import gevent
import pytest
from pytest_bdd import given, parsers, then, when

from bilberry_testing.platform.messages import Faults

from .callers import SteadyCallers, failures
from .cluster import ClusterPool

CLUSTERS_AHEAD = 1
WARM_UP_S = 3

SOURCES = {
    "mtl": [f"127.0.1.{i}" for i in range(1, 61)],
    "qc": [f"127.0.2.{i}" for i in range(1, 61)],
}


@pytest.fixture(scope="session")
def pool(tmp_path_factory):
    made = ClusterPool(lambda: tmp_path_factory.mktemp("cluster"), CLUSTERS_AHEAD)
    yield made
    made.close()


@pytest.fixture
def cluster(pool):
    taken = pool.take()
    yield taken
    taken.close()


@pytest.fixture(scope="module")
def shared_cluster(pool):
    """Return a deployment shared by scenarios that keep its members."""
    taken = pool.take()
    yield taken
    taken.close()


@pytest.fixture
def reused_cluster(shared_cluster):
    shared_cluster.reset_upstreams()
    return shared_cluster


@pytest.fixture
def steady(cluster):
    started = []
    yield started
    for callers in started:
        callers.close()


@given("the ARCQ deployment with regions mtl and qc")
def deployment(cluster):
    return cluster


@given(parsers.parse("callers near {region} who have long been asking for {service}"))
def keep_asking(cluster, steady, region, service):
    callers = SteadyCallers(cluster, service, SOURCES[region], list(cluster.nodes))
    callers.start()
    steady.append(callers)
    gevent.sleep(WARM_UP_S)
    callers.take()


@given("the store is down")
@when("the store goes down")
def store_down(cluster):
    cluster.platform.set_faults(Faults(down=True))


@when("the store comes back")
def store_back(cluster):
    cluster.platform.set_faults(Faults())


@when(parsers.parse("the operator drains {target}"))
def drain(cluster, target):
    cluster.ctl("drain", target)
    assert cluster.exit_codes[-1] == 0, cluster.outputs[-1]


@then(parsers.parse("the command ends with exit code {code:d}"))
def check_exit_code(cluster, code):
    assert cluster.exit_codes[-1] == code, cluster.outputs[-1]


@then("no caller was failed")
def check_no_failures(steady):
    for callers in steady:
        callers.close()
        exchanges = callers.take()
        assert exchanges
        assert failures(exchanges) == []
