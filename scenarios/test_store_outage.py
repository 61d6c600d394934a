"""Run the scenarios on outages of the store."""

import gevent
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bilberry_core.outcome import Success
from bilberry_resources.const import KIND_REGION
from bilberry_testing.client import CALL_ERRORS
from bilberry_testing.demo.deployment import make_object
from bilberry_testing.platform.messages import Faults

scenarios("features/store_outage.feature")

REGION = "sag"


@pytest.fixture
def region():
    return make_object(KIND_REGION, REGION, failure_domains=["sag-a", "sag-b"])


@given(parsers.parse("the store loses the replies to the next {count:d} writes"))
def lose_replies(cluster, count):
    cluster.platform.set_faults(Faults(lose_reply=count))


@when("the operator tries to add a region")
def try_to_add(cluster, region):
    cluster.apply(region, options=("--retry-ms", "0"))


@when("the operator adds the region again")
@when("the operator adds a region")
def add(cluster, region):
    cluster.apply(region)


@when(parsers.parse("{name} is replaced"))
def replace(cluster, name):
    node = cluster.nodes.pop(name)
    node.force_shutdown()
    node.close()
    cluster.start_node(name)


@then("the operator is told that it was not run")
def told_not_run(cluster):
    assert "not-run" in cluster.outputs[-1]


@then("the region is stored")
def is_stored(cluster):
    assert isinstance(cluster.platform.table.get(KIND_REGION, REGION), Success)


@then(parsers.parse("{name} serves look-ups within {limit_ms:d} ms"))
def serves(cluster, name, limit_ms):
    def answers():
        try:
            return cluster.look_up("suivi", "mtl", name).status == 200
        except CALL_ERRORS:
            gevent.sleep(0.05)
            return False

    cluster.until(answers, limit_ms)
