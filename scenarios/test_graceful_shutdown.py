"""Run the scenarios on graceful shutdown."""

import gevent
import pytest
from pytest_bdd import parsers, scenarios, then, when

from bilberry_core.ids import new_uuid7

from .callers import PersistentConnection, failures

scenarios("features/graceful_shutdown.feature")


@pytest.fixture
def bookings():
    return []


@pytest.fixture
def stopping():
    return {}


@when(
    parsers.parse("{count:d} bookings of {service_ms:d} ms are running through {node}")
)
def start_bookings(cluster, bookings, count, service_ms, node):
    for number in range(count):
        bookings.append(gevent.spawn(book, cluster, node, number, service_ms))
    gevent.sleep(0.3)


@when(parsers.parse("{node} is told to stop"))
def stop(cluster, stopping, node):
    stopping[node] = gevent.spawn(cluster.nodes.pop(node).close)
    gevent.sleep(0.05)


@when(parsers.parse("a late booking arrives at {node}"))
def late(cluster, bookings, node):
    bookings.append(gevent.spawn(book, cluster, node, 99, 200))


@then("every booking gets its own whole answer")
def all_answered(bookings):
    gevent.joinall(bookings, timeout=10)
    assert bookings
    assert failures([booking.value for booking in bookings]) == []


@then("every booking ran exactly once")
def all_ran_once(cluster, bookings):
    for booking in bookings:
        assert len(cluster.executions(request_id=booking.value.request_id)) == 1


@then(parsers.parse("{node} stopped cleanly within {limit_ms:d} ms"))
def stopped_cleanly(stopping, node, limit_ms):
    assert stopping[node].get(timeout=limit_ms / 1_000) is True


def book(cluster, node, number, service_ms):
    kept = PersistentConnection(cluster.url(node))
    headers = [("Idempotency-Key", new_uuid7(cluster.clock))]
    path = f"/bookings/{number}?service_ms={service_ms}"
    body = f"booking {number}".encode()
    done = kept.exchange("reserve", path, f"b{number}", "POST", body, headers)
    kept.close()
    return done
