"""Run the scenarios on racing operators."""

import gevent
import msgspec
from pytest_bdd import given, parsers, scenarios, then, when

from bilberry_resources.const import KIND_SERVICE
from bilberry_testing.client import call
from bilberry_testing.demo.deployment import make_object

scenarios("features/operators_race.feature")


def stored_service(cluster):
    data = cluster.platform.table.get(KIND_SERVICE, "suivi").unwrap()
    return msgspec.json.decode(data)


@when(
    parsers.parse("two operators set the slots of {name} to {a:d} and {b:d} at once"),
    target_fixture="race",
)
def race_slots(cluster, name, a, b):
    version = stored_service(cluster)["metadata"]["version"]

    def put(node, slots):
        url = f"{cluster.admin_url(node)}/api/v1/service/{name}"
        metadata = {"name": name, "version": version}
        return call("PUT", url, {"metadata": metadata, "spec": {"slots": slots}})

    calls = [gevent.spawn(put, "mtl-1", a), gevent.spawn(put, "qc-1", b)]
    gevent.joinall(calls, timeout=10)
    return dict(zip((a, b), [each.value for each in calls], strict=True))


@given(
    "an operator who read service suivi before it was changed", target_fixture="copy"
)
def read_before(cluster):
    found = stored_service(cluster)
    exit_code = cluster.apply(make_object(KIND_SERVICE, "suivi", slots=7))
    assert exit_code == 0, cluster.outputs[-1]
    return found


@when("the operator applies the old copy with other slots")
def apply_old(cluster, copy):
    old = make_object(KIND_SERVICE, "suivi", slots=3)
    old.metadata.version = copy["metadata"]["version"]
    cluster.apply(old)


@then("one change is accepted and one is told of the conflict")
def one_of_each(race):
    assert sorted(reply.status for reply in race.values()) == [200, 409]


@then("the slots stored are those of the accepted change")
def accepted_is_stored(cluster, race):
    (slots,) = [slots for slots, reply in race.items() if reply.status == 200]
    assert stored_service(cluster)["spec"]["slots"] == slots
    (refused,) = [reply for reply in race.values() if reply.status == 409]
    assert refused.json()["spec"]["slots"] == slots


@then("the audit trail has one accepted and one refused change of suivi")
def audited(cluster):
    items = msgspec.json.decode(cluster.ctl("--output", "json", "audit"))["items"]
    results = [i["result"] for i in items if (i["kind"], i["name"]) == SUIVI]
    assert sorted(results[-2:]) == ["accepted", "refused"]


SUIVI = (KIND_SERVICE, "suivi")
