"""Run the scenarios on idempotent bookings."""

import gevent
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bilberry_core.ids import new_uuid7
from bilberry_testing.client import CALL_ERRORS

scenarios("features/at_most_once.feature")


@pytest.fixture
def cluster(reused_cluster):
    return reused_cluster


SERVICE_MS = 400
BOOKING_STATES = {
    "runs": lambda cluster, key, call: cluster.executions(idempotency_key=key),
    "is answered": lambda cluster, key, call: call.ready(),
}


def book(cluster, node, key, body, service_ms=SERVICE_MS):
    headers = {"Idempotency-Key": key}
    path = f"/bookings?service_ms={service_ms}"
    try:
        return cluster.send(node, "reserve", path, "POST", body, headers=headers)
    except CALL_ERRORS as error:
        return error


@given(parsers.parse("upstreams of {service} with {slots:d} slot and no queue"))
def few_slots(cluster, service, slots):
    for upstream in cluster.pool(service):
        cluster.set_control(upstream, slots=slots, queue=0)


@when(
    parsers.parse(
        "a shop books with one key through {first} and, once it {state}, "
        "through {second}"
    ),
    target_fixture="booking",
)
def book_twice(cluster, first, state, second):
    key = new_uuid7(cluster.clock)
    one = gevent.spawn(book, cluster, first, key, b"bench 4")
    with gevent.Timeout(10, AssertionError(f"the first booking never {state}")):
        while not BOOKING_STATES[state](cluster, key, one):
            gevent.sleep(0.005)
    two = gevent.spawn(book, cluster, second, key, b"bench 4")
    gevent.joinall([one, two], timeout=10)
    return key, one.value, two.value


@when("a shop reuses its key for another booking", target_fixture="second")
def reuse_key(cluster):
    key = new_uuid7(cluster.clock)
    assert book(cluster, "mtl-1", key, b"bench 4", 1).status == 200
    return book(cluster, "mtl-2", key, b"bench 5", 1)


@when(
    parsers.parse("{count:d} shops book at once through all nodes"),
    target_fixture="bookings",
)
def book_many(cluster, count):
    names = list(cluster.nodes)
    keys = [new_uuid7(cluster.clock) for _ in range(count)]
    calls = [
        gevent.spawn(book, cluster, names[i % len(names)], key, key.encode(), 100)
        for i, key in enumerate(keys)
    ]
    gevent.joinall(calls, timeout=20)
    return {key: each.value for key, each in zip(keys, calls, strict=True)}


@then("both shops' answers are the same and the later one is marked as replayed")
def same_answers(booking):
    _, one, two = booking
    assert (one.status, two.status) == (200, 200)
    assert one.body == two.body
    assert two.header("Idempotency-Replayed") == "true"


@then("the booking ran once")
def ran_once(cluster, booking):
    assert len(cluster.executions(idempotency_key=booking[0])) == 1


@then(parsers.parse("the second booking is answered {status:d} {outcome}"))
def second_refused(second, status, outcome):
    assert second.status == status
    assert second.header("X-Bilberry-Outcome") == outcome


@then("no booking ran twice")
def none_ran_twice(cluster, bookings):
    for key in bookings:
        assert len(cluster.executions(idempotency_key=key)) <= 1


@then("no booking called not-run ran")
def not_run_is_true(cluster, bookings):
    refused = [k for k, r in bookings.items() if outcome_of(r) == "not-run"]
    assert refused
    for key in refused:
        assert cluster.executions(idempotency_key=key) == []


@then("every booking that was answered ran")
def answered_ran(cluster, bookings):
    answered = [k for k, r in bookings.items() if outcome_of(r) == "run"]
    assert answered
    for key in answered:
        assert len(cluster.executions(idempotency_key=key)) == 1


def outcome_of(reply):
    if isinstance(reply, Exception):
        return "unknown"
    return reply.header("X-Bilberry-Outcome")
