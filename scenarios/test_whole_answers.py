"""Run the scenarios on complete answers."""

import gevent
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bilberry_testing.upstream import Fault, FaultAction

from .callers import PersistentConnection, exchange_until_run, failures

scenarios("features/whole_answers.feature")


@pytest.fixture
def cluster(reused_cluster):
    return reused_cluster


@given(parsers.parse("upstreams of {service} that take {low:d} to {high:d} ms"))
def take_between(cluster, service, low, high):
    middle = (low + high) / 2
    jitter = (high - low) / 2 / middle
    for upstream in cluster.pool(service):
        cluster.set_control(upstream, service_ms=round(middle), service_jitter=jitter)


@given(
    parsers.parse("each upstream of {service} cuts its next answer after {n:d} bytes")
)
def cut(cluster, service, n):
    for upstream in cluster.pool(service):
        fault = Fault(action=FaultAction.TRUNCATE, after_bytes=n, count=1)
        upstream.model.control.faults.append(fault)


@given(parsers.parse("upstream {name} cuts its next answer after {n:d} bytes"))
def cut_one(cluster, name, n):
    fault = Fault(action=FaultAction.TRUNCATE, after_bytes=n, count=1)
    cluster.upstreams[name].model.control.faults.append(fault)


@given(
    parsers.parse(
        "each upstream of {service} sends a stray answer after its next {n:d} answers"
    )
)
def stray(cluster, service, n):
    for upstream in cluster.pool(service):
        fault = Fault(action=FaultAction.GARBAGE, count=n)
        upstream.model.control.faults.append(fault)


@when(
    parsers.parse("{callers:d} callers send {count:d} requests each through all nodes"),
    target_fixture="exchanges",
)
def send_many(cluster, callers, count):
    done = []

    def run(number):
        node = list(cluster.nodes)[number % len(cluster.nodes)]
        kept = PersistentConnection(
            cluster.url(node), f"127.0.{1 + number % 2}.{number + 1}"
        )
        for turn in range(count):
            request_id = f"c{number}-{turn}"
            path = f"/repairs/{number}/{turn}"
            body = request_id.encode() * 50
            done.append(
                exchange_until_run(kept, "suivi", path, request_id, "PUT", body)
            )
        kept.close()

    gevent.joinall([gevent.spawn(run, n) for n in range(callers)], timeout=30)
    return done


@when(parsers.parse("a shop books bench time through {node}"), target_fixture="booking")
def book(cluster, node):
    kept = PersistentConnection(cluster.url(node))
    booking = kept.exchange("reserve", "/bookings", "b1", "POST", b'{"bench":4}')
    kept.close()
    return booking


@when(
    parsers.parse("a shop uploads {up:d} bytes and gets {down:d} bytes back"),
    target_fixture="exchanges",
)
def transfer(cluster, up, down):
    kept = PersistentConnection(cluster.url("mtl-1"))
    path = f"/photos/1?response_bytes={down}"
    done = kept.exchange("suivi", path, "p1", "PUT", b"p" * up)
    kept.close()
    assert len(done.answer) == down, done.error
    return [done]


@then(
    parsers.parse("each of the {count:d} answers is whole and belongs to its request")
)
def all_own(exchanges, count):
    assert len(exchanges) == count
    assert failures(exchanges) == []


@then("the shop does not get a complete answer")
def not_complete(booking):
    assert booking.error or booking.headers["x-bilberry-outcome"] == "unknown"
